//! The concurrency limit and who waits for it, step by step.

use medlarspur_lib::{bundle::Class, time::Millis};
use medlarspur_load::{
    backlog::{Backlog, Waiting, max_wait},
    limit::{ConcurrencyLimit, InFlight},
};

const GOAL: Millis = Millis(150);

fn all(all: u32) -> InFlight {
    InFlight { all, requests: 0 }
}

fn requests(requests: u32) -> InFlight {
    InFlight { all: 100, requests }
}

/// Has a limit hear of an answer after `span`, with `working` still under way.
fn answer(limit: &mut ConcurrencyLimit, span: u64, working: u32, now: u64) {
    if limit.record_answer(Millis(span), GOAL, Millis(now)) {
        limit.adjust(working, 2.0, Millis(now));
    }
}

/// A limit that has heard many answers of one length, with `working` under way.
fn heard(span: u64, working: u32, count: u64) -> ConcurrencyLimit {
    let mut limit = ConcurrencyLimit::default();
    for number in 0..count {
        answer(&mut limit, span, working, number * 20);
    }
    limit
}

/// A limit that has heard calm answers for three seconds, and then slow ones with `working`
/// under way until 8 s.
fn slowed(working: u32) -> ConcurrencyLimit {
    let mut limit = heard(45, working, 150);
    for number in 150..400 {
        answer(&mut limit, 140, working, number * 20);
    }
    limit
}

/// Answers are slow for seconds, and then a few in a row are quick. Feeds that are let in
/// then stay open, and make the crowd last when the pause is over. A request that is let in
/// has ended by then.
#[test]
fn a_short_pause_in_a_crowd_lets_requests_in_and_no_feed() {
    let mut limit = slowed(10);

    for number in 0..8 {
        answer(&mut limit, 45, 10, 8_000 + number * 20);
    }

    assert!(!limit.is_slow(Millis(8_160)));
    assert!(limit.admits(Class::Request, requests(1), Millis(8_160)));
    assert!(!limit.admits(Class::Feed, all(0), Millis(8_160)));
}

/// The crowd is over and answers stay quick. Feeds must not be kept off any longer.
#[test]
fn feeds_are_let_in_once_a_crowd_is_over() {
    let mut limit = slowed(10);

    for number in 0..10 {
        answer(&mut limit, 45, 1, 8_100 + number * 100);
    }

    assert!(limit.admits(Class::Feed, all(1), Millis(9_100)));
}

#[test]
fn nothing_is_limited_before_any_answer() {
    let limit = ConcurrencyLimit::default();

    assert!(limit.admits(Class::Feed, all(1_000), Millis(0)));
    assert!(!limit.is_slow(Millis(0)));
}

#[test]
fn answers_in_good_time_limit_nothing() {
    let limit = heard(50, 30, 50);

    assert!(limit.admits(Class::Feed, all(1_000), Millis(1_000)));
    assert!(!limit.is_slow(Millis(1_000)));
}

#[test]
fn slow_answers_lower_the_limit_to_the_own_part_at_most() {
    let limit = slowed(10);

    assert!(limit.is_slow(Millis(8_000)));
    assert!(limit.admits(Class::Request, requests(3), Millis(8_000)));
    assert!(!limit.admits(Class::Feed, all(2), Millis(8_000)));
}

/// Feeds that are open go on whatever the limit. Requests, which operators rank first
/// and callers can't repeat, would otherwise wait for them.
#[test]
fn requests_may_use_twice_the_limit() {
    let limit = slowed(10);

    assert!(limit.admits(Class::Request, requests(3), Millis(8_000)));
    assert!(!limit.admits(Class::Request, requests(4), Millis(8_000)));
}

/// The answers to some requests went by another instance, and they seem to be under way
/// here for seconds. Callers must not be turned away for work that nobody does.
#[test]
fn the_limit_outgrows_work_that_only_seems_to_be_under_way() {
    let mut limit = slowed(10);
    let start = 8_000;

    for number in 0..60 {
        answer(&mut limit, 45, 20, start + number * 20);
    }

    assert!(limit.admits(Class::Feed, all(20), Millis(start + 1_200)));
}

#[test]
fn a_limit_that_hears_nothing_for_a_second_says_nothing() {
    let limit = slowed(10);

    assert!(limit.admits(Class::Feed, all(50), Millis(10_000)));
    assert!(!limit.is_slow(Millis(10_000)));
}

/// A machine stood still for seconds, or one packet was lost. One such time is no queue.
#[test]
fn one_long_answer_is_no_queue() {
    let mut limit = heard(45, 10, 50);

    answer(&mut limit, 9_000, 10, 1_000);

    assert!(limit.admits(Class::Feed, all(9), Millis(1_000)));
}

fn waiting(key: u32, class: Class, asked: u64) -> Waiting<u32> {
    Waiting { key, class, since: Millis(asked), deadline: Millis(asked) + max_wait(GOAL) }
}

#[test]
fn requests_go_first_and_the_newest_of_a_class() {
    let mut backlog = Backlog::default();
    for (key, class, asked) in [
        (1, Class::Feed, 10),
        (2, Class::Request, 20),
        (3, Class::Feed, 40),
        (4, Class::Request, 30),
    ] {
        assert_eq!(backlog.push(waiting(key, class, asked)), None);
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
    backlog.push(waiting(1, Class::Feed, 10));

    assert!(backlog.admits(Class::Request));
    assert!(!backlog.admits(Class::Feed));
}

#[test]
fn who_has_waited_too_long_is_found_in_time() {
    let mut backlog = Backlog::default();
    backlog.push(waiting(1, Class::Feed, 10));
    backlog.push(waiting(2, Class::Feed, 50));

    let due = backlog.deadline().expect("somebody waits");

    assert_eq!(backlog.expire(due - Millis(1)), None);
    assert_eq!(backlog.expire(due).map(|it| it.key), Some(1));
    assert_eq!(backlog.len(), 1);
}

/// A caller gives an opening up after 1.4 s and should hear before that it wasn't served,
/// however long its goal.
#[test]
fn nobody_waits_longer_than_callers_do() {
    assert_eq!(max_wait(Millis(150)), Millis(600));
    assert_eq!(max_wait(Millis(60_000)), Millis(1_200));
}

#[test]
fn the_backlog_is_bounded() {
    let mut backlog = Backlog::default();
    let refused = (0..2_000).filter(|key| backlog.push(waiting(*key, Class::Feed, 0)).is_some());

    assert_eq!(refused.count(), 2_000 - 1_024);
}

/// The answers of a service take 0.8 of their goal at all times. That is no queue.
#[test]
fn answers_that_always_take_long_are_not_slow() {
    let limit = heard(120, 10, 300);

    assert!(!limit.is_slow(Millis(6_000)));
    assert!(limit.admits(Class::Feed, all(50), Millis(6_000)));
}

/// A service has a third of its usual targets from the moment at which the instance
/// starts, and each answer waits for a whole queue. An instance that takes that for how the
/// service always is would let all in, and nearly all would be late for as long as it lasts.
#[test]
fn an_instance_that_starts_into_an_excess_limits_it() {
    let limit = heard(210, 10, 300);

    assert!(limit.is_slow(Millis(6_000)));
    assert!(!limit.admits(Class::Feed, all(3), Millis(6_000)));
}

#[test]
fn answers_that_take_longer_than_before_are_slow() {
    let mut limit = heard(45, 10, 150);

    for number in 0..20 {
        answer(&mut limit, 120, 10, 3_000 + number * 20);
    }

    assert!(limit.is_slow(Millis(3_400)));
    assert!(!limit.admits(Class::Feed, all(10), Millis(3_400)));
}

/// Half of the targets of a service are gone for ten seconds. That is not to be taken for
/// how the service always is.
#[test]
fn a_long_excess_stays_an_excess() {
    let mut limit = heard(45, 10, 150);

    for number in 0..500 {
        answer(&mut limit, 120, 10, 3_000 + number * 20);
    }

    assert!(limit.is_slow(Millis(13_000)));
}
