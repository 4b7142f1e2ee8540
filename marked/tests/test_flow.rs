//! What a caller's half of a flow shows of its target.

use super::fixtures::{FEED, UPLOAD, flow, middle, millis, target};
use medlarspur_lib::bundle::Class;
use medlarspur_marked::{Flow, Segment};

fn opened(class: Class) -> (Flow, impl Fn(u32, u32, u16) -> Segment) {
    let to = target(1, "desk").incarnation;
    let key = flow(1, if class == Class::Upload { UPLOAD } else { FEED });
    let mut flow = Flow::open(to, class, b"open".as_slice().into(), 1000, millis(0));
    flow.observe(&middle(key, to, 1001, 500, 0), millis(6));
    (flow, move |seq, ack, len| middle(key, to, seq, ack, len))
}

#[test]
fn the_end_of_the_handshake_shows_life() {
    let to = target(1, "desk").incarnation;
    let mut it = Flow::open(to, Class::Feed, b"open".as_slice().into(), 1000, millis(0));
    assert!(it.is_opening());

    let seen = it.observe(&middle(flow(1, FEED), to, 1001, 500, 0), millis(6));

    assert!(seen.alive);
    assert!(!it.is_opening() && !it.has_pending_request());
}

#[test]
fn a_request_waits_until_its_answer_is_acknowledged() {
    let (mut it, packet) = opened(Class::Feed);

    it.observe(&packet(1001, 500, 200), millis(10));
    assert!(it.has_pending_request());
    let seen = it.observe(&packet(1201, 2900, 0), millis(50));

    assert_eq!((seen.alive, seen.request_since), (true, Some(millis(10))));
    assert!(!it.has_pending_request());
}

/// A target dies while it works on a request: the caller sends the request
/// again, and nothing was acknowledged in between.
#[test]
fn a_repeated_request_without_answer_is_told() {
    let (mut it, packet) = opened(Class::Feed);
    it.observe(&packet(1001, 500, 200), millis(10));

    let seen = it.observe(&packet(1001, 500, 200), millis(210));

    assert_eq!((seen.alive, seen.unanswered_since), (false, Some(millis(10))));
}

/// An upload sends sixteen packets at most before the target acknowledges some,
/// so more new data is a sign of life though the caller has nothing to
/// acknowledge itself.
#[test]
fn an_upload_that_goes_on_shows_life() {
    let (mut it, packet) = opened(Class::Upload);

    let lives: Vec<bool> = (0..40)
        .map(|nth| it.observe(&packet(1001 + nth * 1200, 500, 1200), millis(u64::from(nth))).alive)
        .collect();

    assert!(lives[..16].iter().all(|life| !life));
    assert_eq!(lives.iter().filter(|life| **life).count(), 2);
}

#[test]
fn numbers_that_wrap_around_are_followed() {
    let to = target(1, "desk").incarnation;
    let key = flow(1, FEED);
    let mut it = Flow::open(to, Class::Feed, b"open".as_slice().into(), u32::MAX - 1, millis(0));
    it.observe(&middle(key, to, u32::MAX, u32::MAX, 0), millis(6));

    it.observe(&middle(key, to, u32::MAX, u32::MAX, 200), millis(10));
    assert!(it.has_pending_request());
    let seen = it.observe(&middle(key, to, 199, 2000, 0), millis(50));

    assert!(seen.alive && !it.has_pending_request());
}

/// Packets of one burst overtake each other on the way. Taken for repetitions,
/// they would have a healthy target asked and passed over for a while.
#[test]
fn packets_that_overtake_each_other_are_no_repetition() {
    let (mut it, packet) = opened(Class::Upload);
    it.observe(&packet(2201, 500, 1200), millis(10));

    let seen = it.observe(&packet(1001, 500, 1200), millis(11));

    assert_eq!(seen.unanswered_since, None);
}
