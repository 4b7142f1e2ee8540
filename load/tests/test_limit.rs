//! Tests the concurrency limit and its backlog step by step.

use medlarspur_lib::time::Millis;
use medlarspur_load::{
    backlog::{Backlog, Waiting, max_wait},
    limit::{ConcurrencyLimit, InFlight},
    priority::Level,
};

/// Levels of a service with requests and feeds whose routes have no priority.
const REQUEST: Level = Level::nth(0, 2);
const FEED: Level = Level::nth(1, 2);

const OBJECTIVE: Millis = Millis(150);

fn work(requests: u32, feeds: u32) -> InFlight {
    let mut work = InFlight::default();
    work.adjust(REQUEST, requests as i32);
    work.adjust(FEED, feeds as i32);
    work
}

fn all_classes(all: u32) -> InFlight {
    work(0, all)
}

fn of_requests(requests: u32) -> InFlight {
    work(requests, 100 - requests)
}

/// Records an answer after `span` milliseconds, with `in_flight` requests still in flight.
fn record_answer(limit: &mut ConcurrencyLimit, span: u64, in_flight: u32, now: u64) {
    if limit.record_answer(Millis(span), OBJECTIVE, Millis(now)) {
        limit.adjust(in_flight, 2.0, Millis(now));
    }
}

/// Returns a limit after `count` answers of one duration, with `in_flight` requests in
/// flight.
fn limit_after(span: u64, in_flight: u32, count: u64) -> ConcurrencyLimit {
    let mut limit = ConcurrencyLimit::default();
    for number in 0..count {
        record_answer(&mut limit, span, in_flight, number * 20);
    }
    limit
}

/// Returns a limit after three seconds of calm answers and then slow ones until 8 s, with
/// `in_flight` requests in flight.
fn overloaded_limit(in_flight: u32) -> ConcurrencyLimit {
    let mut limit = limit_after(45, in_flight, 150);
    for number in 150..400 {
        record_answer(&mut limit, 140, in_flight, number * 20);
    }
    limit
}

/// Guards against a feed that is admitted when a few answers in a row are fast during
/// seconds of slow ones. It would stay open and prolong the overload after the pause. A
/// request admitted then has ended by that time.
#[test]
fn a_short_pause_in_a_burst_admits_requests_and_no_feed() {
    let mut limit = overloaded_limit(10);

    for number in 0..8 {
        record_answer(&mut limit, 45, 10, 8_000 + number * 20);
    }

    assert!(!limit.is_slow(Millis(8_160)));
    assert!(limit.admits(REQUEST, of_requests(1), Millis(8_160)));
    assert!(!limit.admits(FEED, all_classes(0), Millis(8_160)));
}

/// Guards against feeds that stay blocked after a burst is over and answers stay fast.
#[test]
fn feeds_are_admitted_once_a_burst_is_over() {
    let mut limit = overloaded_limit(10);

    for number in 0..10 {
        record_answer(&mut limit, 45, 1, 8_100 + number * 100);
    }

    assert!(limit.admits(FEED, all_classes(1), Millis(9_100)));
}

#[test]
fn nothing_is_limited_before_any_answer() {
    let limit = ConcurrencyLimit::default();

    assert!(limit.admits(FEED, all_classes(1_000), Millis(0)));
    assert!(!limit.is_slow(Millis(0)));
}

#[test]
fn fast_answers_limit_nothing() {
    let limit = limit_after(50, 30, 50);

    assert!(limit.admits(FEED, all_classes(1_000), Millis(1_000)));
    assert!(!limit.is_slow(Millis(1_000)));
}

#[test]
fn slow_answers_lower_the_limit_to_the_own_slots_at_most() {
    let limit = overloaded_limit(10);

    assert!(limit.is_slow(Millis(8_000)));
    assert!(limit.admits(REQUEST, of_requests(3), Millis(8_000)));
    assert!(!limit.admits(FEED, all_classes(2), Millis(8_000)));
}

/// Guards against requests that wait for open feeds, which continue whatever the limit.
/// Operators prioritize requests, and callers can't repeat them.
#[test]
fn requests_may_use_twice_the_limit() {
    let limit = overloaded_limit(10);

    assert!(limit.admits(REQUEST, of_requests(3), Millis(8_000)));
    assert!(!limit.admits(REQUEST, of_requests(4), Millis(8_000)));
}

/// Guards against refusing callers for work that no target does. The answers to some
/// requests passed through another instance, so that they seem to be in flight here for
/// seconds.
#[test]
fn the_limit_outgrows_work_that_only_seems_to_be_in_flight() {
    let mut limit = overloaded_limit(10);
    let start = 8_000;

    for number in 0..60 {
        record_answer(&mut limit, 45, 20, start + number * 20);
    }

    assert!(limit.admits(FEED, all_classes(20), Millis(start + 1_200)));
}

#[test]
fn a_limit_without_answers_for_a_second_is_ignored() {
    let limit = overloaded_limit(10);

    assert!(limit.admits(FEED, all_classes(50), Millis(10_000)));
    assert!(!limit.is_slow(Millis(10_000)));
}

/// Guards against taking one long answer for a queue, after a machine froze for seconds
/// or one packet was lost.
#[test]
fn one_long_answer_does_not_show_a_queue() {
    let mut limit = limit_after(45, 10, 50);

    record_answer(&mut limit, 9_000, 10, 1_000);

    assert!(limit.admits(FEED, all_classes(9), Millis(1_000)));
}

fn waiting(key: u32, level: Level, since: u64) -> Waiting<u32> {
    Waiting { key, level, since: Millis(since), deadline: Millis(since) + max_wait(OBJECTIVE) }
}

#[test]
fn requests_go_first_and_within_a_class_the_newest() {
    let mut backlog = Backlog::default();
    for (key, level, since) in [(1, FEED, 10), (2, REQUEST, 20), (3, FEED, 40), (4, REQUEST, 30)] {
        assert_eq!(backlog.push(waiting(key, level, since)), None);
    }

    let mut order = Vec::new();
    while let Some(next) = backlog.peek() {
        backlog.remove(next.key);
        order.push(next.key);
    }

    assert_eq!(order, [4, 2, 3, 1]);
}

#[test]
fn a_request_does_not_wait_behind_feeds() {
    let mut backlog = Backlog::default();
    backlog.push(waiting(1, FEED, 10));

    assert!(backlog.can_bypass(REQUEST));
    assert!(!backlog.can_bypass(FEED));
}

#[test]
fn an_expired_opening_is_returned_at_its_deadline() {
    let mut backlog = Backlog::default();
    backlog.push(waiting(1, FEED, 10));
    backlog.push(waiting(2, FEED, 50));

    let due = backlog.next_deadline().expect("somebody waits");

    assert_eq!(backlog.pop_expired(due - Millis(1)), None);
    assert_eq!(backlog.pop_expired(due).map(|it| it.key), Some(1));
    assert_eq!(backlog.len(), 1);
}

/// Guards against an opening that waits longer than its caller, who gives up after 1.4 s,
/// however long its latency objective. It should be refused before that.
#[test]
fn no_opening_waits_longer_than_callers_do() {
    assert_eq!(max_wait(Millis(150)), Millis(600));
    assert_eq!(max_wait(Millis(60_000)), Millis(1_200));
}

#[test]
fn the_backlog_is_bounded() {
    let mut backlog = Backlog::default();
    let refused = (0..2_000).filter(|key| backlog.push(waiting(*key, FEED, 0)).is_some());

    assert_eq!(refused.count(), 2_000 - 1_024);
}

/// Guards against taking answers for slow that always take 0.8 of their latency
/// objective, which does not show a queue.
#[test]
fn answers_that_always_take_long_are_not_slow() {
    let limit = limit_after(120, 10, 300);

    assert!(!limit.is_slow(Millis(6_000)));
    assert!(limit.admits(FEED, all_classes(50), Millis(6_000)));
}

/// Guards against an instance that takes an overload for normal because it started during
/// one. A service has a third of its usual targets, and each answer waits for a whole
/// queue. Without a limit, nearly all answers would be late until the overload ends.
#[test]
fn an_instance_that_starts_during_an_overload_limits_it() {
    let limit = limit_after(210, 10, 300);

    assert!(limit.is_slow(Millis(6_000)));
    assert!(!limit.admits(FEED, all_classes(3), Millis(6_000)));
}

#[test]
fn answers_that_take_longer_than_before_are_slow() {
    let mut limit = limit_after(45, 10, 150);

    for number in 0..20 {
        record_answer(&mut limit, 120, 10, 3_000 + number * 20);
    }

    assert!(limit.is_slow(Millis(3_400)));
    assert!(!limit.admits(FEED, all_classes(10), Millis(3_400)));
}

/// Guards against taking an overload for normal while half of the targets of a service
/// are gone for ten seconds.
#[test]
fn a_long_overload_is_not_taken_for_normal() {
    let mut limit = limit_after(45, 10, 150);

    for number in 0..500 {
        record_answer(&mut limit, 120, 10, 3_000 + number * 20);
    }

    assert!(limit.is_slow(Millis(13_000)));
}
