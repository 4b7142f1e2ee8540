//! Tests of the verification of bundles, and of the parsed bundle that is kept.

use medlarspur_daemon::checker::Checker;
use medlarspur_lib::{
    bundle::{SecretKey, TrustedKeys, sign},
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
    let meters = Meters::new().expect("metrics are registered");
    Checker::new(TrustedKeys::new(vec![key.public()]), SiteName::new("sofia"), meters)
}

const SEED: &str = "00112233445566778899aabbccddeeff";

#[test]
fn only_the_last_valid_bundle_can_be_taken_once() {
    let key = SecretKey::generate();
    let checker = &checker(&key);
    let (old, new) = (text(&key, 1, SEED), text(&key, 2, SEED));

    assert_eq!(checker.check(&old).expect("a valid bundle"), Version(1));
    assert_eq!(checker.check(&new).expect("a valid bundle"), Version(2));

    assert!(checker.take_checked(&signed(&old, 1)).is_none());
    assert_eq!(checker.check(&new).expect("a valid bundle"), Version(2));
    assert!(checker.take_checked(&signed(&new, 2)).is_some());
    assert!(checker.take_checked(&signed(&new, 2)).is_none());
}

/// Guards against accepting a bundle whose author has generated a new seed, which would send
/// each open feed to a target that doesn't know it.
#[test]
fn a_bundle_with_another_seed_is_refused() {
    let key = SecretKey::generate();
    let checker = &checker(&key);
    let first = text(&key, 1, SEED);
    checker.check(&first).expect("a valid bundle");
    checker.take_checked(&signed(&first, 1)).expect("the bundle that passed");

    let refusal = checker.check(&text(&key, 2, &SEED.replace("00", "01")));

    assert_eq!(refusal.expect_err("another seed").reason(), "seed-changed");
}
