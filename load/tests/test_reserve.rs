//! Tests the number of targets that feeds leave to requests.

use medlarspur_lib::time::Millis;
use medlarspur_load::{priority::Level, reserve::ElevatedShare};

/// Levels of a service with requests and feeds whose routes have no priority.
const REQUEST: Level = Level::nth(0, 2);
const FEED: Level = Level::nth(1, 2);

/// Returns the share after answers to so many requests and feeds, with the work of each in
/// milliseconds.
fn share_after(requests: u64, request: u64, feeds: u64, feed: u64) -> ElevatedShare {
    let mut share = ElevatedShare::default();
    for nth in 0..(requests + feeds) {
        let is_request =
            nth * requests / (requests + feeds) != (nth + 1) * requests / (requests + feeds);
        match is_request {
            true => share.record(REQUEST, Millis(request)),
            false => share.record(FEED, Millis(feed)),
        }
    }
    share
}

#[test]
fn reserved_targets_follow_the_share_of_requests() {
    let share = share_after(83, 72, 292, 55);

    assert_eq!([4, 5, 14, 40].map(|targets| share.reserved_targets(targets)), [1, 2, 5, 13]);
}

/// A service with feeds only reserves no target, and one with requests only reserves all.
#[test]
fn a_service_of_one_class_is_not_split() {
    assert_eq!(share_after(0, 0, 2_000, 55).reserved_targets(14), 0);
    assert_eq!(share_after(2_000, 55, 0, 0).reserved_targets(14), 14);
}

/// Guards against a share that is learnt too late. Feeds open in the first seconds and
/// stay.
#[test]
fn some_targets_are_reserved_before_any_answer() {
    assert_eq!(
        [4, 5, 14].map(|targets| ElevatedShare::default().reserved_targets(targets)),
        [1, 2, 5]
    );
}

/// Guards against feeds that move back and forth because a burst of feeds, which lasts
/// for seconds, counts too much.
#[test]
fn a_short_burst_moves_little() {
    let mut share = share_after(830, 72, 2_920, 55);
    let before = share.reserved_targets(40);

    (0..200).for_each(|_| share.record(FEED, Millis(60)));

    assert!(before - share.reserved_targets(40) <= 3);
}
