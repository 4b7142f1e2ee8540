//! Tests what a caller gets that asks ten times as much as others.

use medlarspur_lib::time::Millis;
use medlarspur_load::{fairness::Fairness, priority::Level};
use std::net::Ipv4Addr;

const LEVEL: Level = Level::nth(0, 1);

fn caller(number: u32) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0a00_0000 + number)
}

/// Returns how many of 200 openings each of ten callers gets if two wait in each round, of
/// callers 1 to 9 in turn and of caller 0 always, and one is let in.
fn let_in() -> Vec<u32> {
    let mut fairness = Fairness::default();
    let mut counts = vec![0; 10];
    for round in 0..200 {
        let now = Millis(u64::from(round) * 20);
        let waiting = [0, 1 + round % 9];
        waiting.into_iter().for_each(|it| _ = fairness.record_attempt(LEVEL, caller(it), now));
        let turn = |it: &u32| fairness.turn(LEVEL, caller(*it), 0, false, now);
        // The heavy caller is the newest, and goes first among equals.
        let chosen = waiting.into_iter().min_by_key(turn).unwrap_or_default();
        fairness.record_opening(LEVEL, caller(chosen), now);
        counts[chosen as usize] += 1;
    }
    counts
}

/// Guards against a caller that takes the capacity of others by asking more often.
#[test]
fn a_caller_that_asks_ten_times_as_much_gets_little_more_than_others() {
    let counts = let_in();

    let least = counts[1..].iter().min().copied().unwrap_or_default();
    assert!(counts[0] * 2 <= least * 3, "{counts:?}");
}

/// Guards against memory that grows with the number of callers: later ones count as new.
#[test]
fn the_number_of_callers_is_bounded() {
    let mut fairness = Fairness::default();
    for it in 0..3_000 {
        (0..3).for_each(|_| fairness.record_opening(LEVEL, caller(it), Millis(0)));
    }

    let rank = |it| fairness.turn(LEVEL, caller(it), 3, false, Millis(0)).rank;

    assert!(rank(0) > 0);
    assert_eq!(rank(2_999), rank(5_000));
}
