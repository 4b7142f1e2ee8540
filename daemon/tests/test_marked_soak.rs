//! Short soaks: a sample, and seeds that once failed.

use medlarspur_lib::time::Millis;
use medlarspur_standin::soak::{SoakOptions, run_seed};

fn soak(seed: u64) {
    let options = SoakOptions {
        program: env!("CARGO_BIN_EXE_medlarspurd").into(),
        instances: 5,
        targets: 10,
        callers: 40,
        length: Millis::secs(20),
    };

    let report = run_seed(seed, &options).expect("a site");

    assert!(report.is_sound(), "{report}");
}

#[test]
fn seed_7_is_sound() {
    soak(7);
}

/// Guards against a soak that signals an instance after it has left.
#[test]
fn seed_120_is_sound() {
    soak(120);
}

/// Guards against a check that counts openings at a leaving target while the store is down.
#[test]
fn seed_125_is_sound() {
    soak(125);
}

/// Guards against the same check when an instance was paused meanwhile.
#[test]
fn seed_165_is_sound() {
    soak(165);
}

/// Guards against a soak that expects service while its own evacuations last.
#[test]
fn seed_3012_is_sound() {
    soak(3_012);
}

/// First seed with targets that restart under their ids and targets that are full.
#[test]
fn seed_1000_is_sound() {
    soak(1_000);
}

/// First seed with restores of the store from copies.
#[test]
fn seed_9000_is_sound() {
    soak(9_000);
}

/// Guards against openings that an instance sends on after a freeze.
#[test]
fn seed_11001_is_sound() {
    soak(11_001);
}

/// Guards against a slow start of targets in use when one of two overlapping evacuations ends.
#[test]
fn seed_6103_is_sound() {
    soak(6_103);
}
