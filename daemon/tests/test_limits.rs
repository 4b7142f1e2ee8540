//! The limits of a bundle reach the decisions under load.

use medlarspur_daemon::gate::load_settings;
use medlarspur_lib::{bundle::Limits, time::Millis};
use medlarspur_load::Settings;

#[test]
fn what_a_bundle_does_not_set_is_as_the_decisions_have_it() {
    let limits = Limits { patience: Some(Millis(90)), ..Limits::default() };

    assert_eq!(load_settings(&Limits::default()), Settings::default());
    assert_eq!(load_settings(&limits), Settings { patience: Millis(90), ..Settings::default() });
}
