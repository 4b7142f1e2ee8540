//! A short soak, and seeds that once failed.

use medlarspur_lib::time::Millis;
use medlarspur_standin::soak::{Size, play};

fn soak(seed: u64) {
    let size = Size {
        program: env!("CARGO_BIN_EXE_medlarspurd").into(),
        instances: 5,
        targets: 10,
        callers: 40,
        length: Millis::secs(20),
    };

    let report = play(seed, &size).expect("a site");

    assert!(report.is_sound(), "{report}");
}

#[test]
fn seed_7_is_sound() {
    soak(7);
}

/// The soak itself told an instance something that had left already.
#[test]
fn seed_120_is_sound() {
    soak(120);
}

/// A target began to leave while the store was down, so nobody could know. The
/// check counted that as a late opening; the users' bound counts from a store
/// that is stable.
#[test]
fn seed_125_is_sound() {
    soak(125);
}

/// As seed 125, with an instance that froze meanwhile.
#[test]
fn seed_165_is_sound() {
    soak(165);
}

/// The soak itself took an evacuation back only after it had found that callers of the domain
/// are not served.
#[test]
fn seed_3012_is_sound() {
    soak(3_012);
}

/// The first seed on which targets start again under their ids and are full.
#[test]
fn seed_1000_is_sound() {
    soak(1_000);
}
