//! Tests of the conversion of a bundle's limits to load settings.

use medlarspur_daemon::gate::load_settings;
use medlarspur_lib::{bundle::Limits, time::Millis};
use medlarspur_load::Settings;

#[test]
fn limits_missing_from_a_bundle_have_their_defaults() {
    let limits = Limits { patience: Some(Millis(90)), ..Limits::default() };

    assert_eq!(load_settings(&Limits::default()), Settings::default());
    assert_eq!(load_settings(&limits), Settings { patience: Millis(90), ..Settings::default() });
}
