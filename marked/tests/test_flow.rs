//! Information that the caller's packets give about a flow's target.

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
fn the_end_of_the_handshake_shows_that_the_target_is_alive() {
    let to = target(1, "desk").incarnation;
    let mut it = Flow::open(to, Class::Feed, b"open".as_slice().into(), 1000, millis(0));
    assert!(it.is_opening());

    let seen = it.observe(&middle(flow(1, FEED), to, 1001, 500, 0), millis(6));

    assert!(seen.alive);
    assert!(!it.is_opening() && !it.has_pending_request());
}

#[test]
fn a_request_is_pending_until_its_answer_is_acknowledged() {
    let (mut it, packet) = opened(Class::Feed);

    it.observe(&packet(1001, 500, 200), millis(10));
    assert!(it.has_pending_request());
    let seen = it.observe(&packet(1201, 2900, 0), millis(50));

    assert_eq!((seen.alive, seen.request_since), (true, Some(millis(10))));
    assert!(!it.has_pending_request());
}

/// Guards against a dead target that goes unnoticed: the target dies while it works on a
/// request, so the caller retransmits it and nothing was acknowledged in between.
#[test]
fn an_unanswered_retransmission_is_reported() {
    let (mut it, packet) = opened(Class::Feed);
    it.observe(&packet(1001, 500, 200), millis(10));

    let seen = it.observe(&packet(1001, 500, 200), millis(210));

    assert_eq!((seen.alive, seen.unanswered_since), (false, Some(millis(10))));
}

/// Guards against healthy targets suspected during uploads. The caller has nothing to
/// acknowledge, but sends at most sixteen packets before the target acknowledges some, so more
/// new data shows that the target is alive.
#[test]
fn progress_of_an_upload_shows_that_the_target_is_alive() {
    let (mut it, packet) = opened(Class::Upload);

    let alive: Vec<bool> = (0..40)
        .map(|nth| it.observe(&packet(1001 + nth * 1200, 500, 1200), millis(u64::from(nth))).alive)
        .collect();

    assert!(alive[..16].iter().all(|is_alive| !is_alive));
    assert_eq!(alive.iter().filter(|is_alive| **is_alive).count(), 2);
}

#[test]
fn sequence_numbers_may_wrap_around() {
    let to = target(1, "desk").incarnation;
    let key = flow(1, FEED);
    let mut it = Flow::open(to, Class::Feed, b"open".as_slice().into(), u32::MAX - 1, millis(0));
    it.observe(&middle(key, to, u32::MAX, u32::MAX, 0), millis(6));

    it.observe(&middle(key, to, u32::MAX, u32::MAX, 200), millis(10));
    assert!(it.has_pending_request());
    let seen = it.observe(&middle(key, to, 199, 2000, 0), millis(50));

    assert!(seen.alive && !it.has_pending_request());
}

/// Guards against healthy targets that are probed and avoided because packets of one burst were
/// reordered.
#[test]
fn reordered_packets_are_no_retransmission() {
    let (mut it, packet) = opened(Class::Upload);
    it.observe(&packet(2201, 500, 1200), millis(10));

    let seen = it.observe(&packet(1001, 500, 1200), millis(11));

    assert_eq!(seen.unanswered_since, None);
}
