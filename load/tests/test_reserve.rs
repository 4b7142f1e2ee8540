//! Which targets feeds leave to requests.

use medlarspur_lib::{bundle::Class, time::Millis};
use medlarspur_load::reserve::RequestShare;

/// After answers to so many requests and feeds, with the work of each in milliseconds.
fn heard(requests: u64, request: u64, feeds: u64, feed: u64) -> RequestShare {
    let mut mix = RequestShare::default();
    for nth in 0..(requests + feeds) {
        let is_request =
            nth * requests / (requests + feeds) != (nth + 1) * requests / (requests + feeds);
        match is_request {
            true => mix.record(Class::Request, Millis(request)),
            false => mix.record(Class::Feed, Millis(feed)),
        }
    }
    mix
}

#[test]
fn feeds_leave_as_many_as_requests_need() {
    let mix = heard(83, 72, 292, 55);

    assert_eq!([4, 5, 14, 40].map(|targets| mix.reserved_targets(targets)), [1, 2, 5, 13]);
}

/// A service of feeds only has nothing to leave, and one of requests only no feeds.
#[test]
fn what_is_of_one_class_is_not_parted() {
    assert_eq!(heard(0, 0, 2_000, 55).reserved_targets(14), 0);
    assert_eq!(heard(2_000, 55, 0, 0).reserved_targets(14), 14);
}

/// Feeds open in the first seconds and stay; what is learnt later comes too late for them.
#[test]
fn some_are_left_before_anything_is_heard() {
    assert_eq!(
        [4, 5, 14].map(|targets| RequestShare::default().reserved_targets(targets)),
        [1, 2, 5]
    );
}

/// A crowd of feeds lasts for seconds; feeds would move back and forth if it counted.
#[test]
fn a_short_crowd_moves_nothing() {
    let mut mix = heard(830, 72, 2_920, 55);
    let before = mix.reserved_targets(40);

    (0..200).for_each(|_| mix.record(Class::Feed, Millis(60)));

    assert!(before - mix.reserved_targets(40) <= 3);
}
