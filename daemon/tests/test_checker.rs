//! Which bundles an instance takes, and what it keeps of them.

use medlarspur_daemon::checker::Checker;
use medlarspur_lib::{
    bundle::{Keys, SecretKey, sign},
    ids::{SiteName, Version},
    spread::{Check, SignedText, digest},
};
use medlarspur_operator::Meters;

fn text(key: &SecretKey, version: u64, seed: &str) -> String {
    let text = format!(
        "version: {version}
site: sofia
seed: {seed}
services:
- name: desk
  address: 10.70.0.1
  ports: [{{number: 7001, class: feed}}]
  targets: [{{name: t1, address: 10.1.0.1:6080, domain: d1}}]
"
    );
    sign(&text, key)
}

fn signed(text: &str, version: u64) -> SignedText {
    SignedText { text: text.into(), version: Version(version), digest: digest(text) }
}

fn checker(key: &SecretKey) -> Checker {
    let meters = Meters::new().expect("metrics");
    Checker::new(Keys::new(vec![key.public()]), SiteName::new("sofia"), meters)
}

const SEED: &str = "00112233445566778899aabbccddeeff";

#[test]
fn the_values_of_the_last_sound_text_are_kept_once() {
    let key = SecretKey::generate();
    let checker = &checker(&key);
    let (old, new) = (text(&key, 1, SEED), text(&key, 2, SEED));

    assert_eq!(checker.check(&old).expect("sound"), Version(1));
    assert_eq!(checker.check(&new).expect("sound"), Version(2));

    assert!(checker.take_checked(&signed(&old, 1)).is_none());
    assert_eq!(checker.check(&new).expect("sound"), Version(2));
    assert!(checker.take_checked(&signed(&new, 2)).is_some());
    assert!(checker.take_checked(&signed(&new, 2)).is_none());
}

/// An author draws a new seed under the next version. Instances must refuse
/// it, or each open feed would be sent to a target that never saw it.
#[test]
fn another_seed_than_the_one_in_force_is_refused() {
    let key = SecretKey::generate();
    let checker = &checker(&key);
    let first = text(&key, 1, SEED);
    checker.check(&first).expect("sound");
    checker.take_checked(&signed(&first, 1)).expect("in force");

    let refusal = checker.check(&text(&key, 2, &SEED.replace("00", "01")));

    assert_eq!(refusal.expect_err("another seed").reason(), "seed-changed");
}
