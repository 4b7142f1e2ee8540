//! Tests the limit and the refusals while more work arrives than targets take.

use medlarspur_lib::time::Millis;
use medlarspur_load::{
    limit::{ConcurrencyLimit, InFlight},
    outcome::Outcome,
    priority::Level,
    shedding::{OpeningRates, Rejections},
};

const OBJECTIVE: Millis = Millis(250);
const LOWEST: Level = Level::nth(1, 2);
const OWN_SLOTS: f32 = 4.0;

/// A limit that many targets have made this instance lower, and the time.
fn limit_in_overload() -> (ConcurrencyLimit, Millis) {
    let mut limit = ConcurrencyLimit::default();
    let mut rejections = Rejections::default();
    for it in 0..60 {
        let now = Millis(it * 20);
        if rejections.record(it % 20, Outcome::Failed, now) {
            limit.record_rejection(20, OWN_SLOTS, now);
        }
    }
    (limit, Millis(1_200))
}

fn work(count: i32) -> InFlight {
    let mut work = InFlight::default();
    work.adjust(LOWEST, count);
    work
}

/// Guards against targets that reject two of five arrivals because rejections look like fast
/// answers.
#[test]
fn rejections_lower_the_limit() {
    let (limit, now) = limit_in_overload();

    assert!(!limit.admits(LOWEST, work(8), now));
}

/// Guards against targets left idle by a limit below the instance's share of their slots.
#[test]
fn the_limit_never_falls_below_the_share_of_the_slots() {
    let (mut limit, now) = limit_in_overload();
    for it in 0..100 {
        limit.record_rejection(4, OWN_SLOTS, now + Millis(it * 60));
    }

    assert!(limit.admits(LOWEST, work(3), now + Millis(6_000)));
}

/// Guards against a limit that answers in time raise as fast as rejections lower it, so that
/// a large part of all requests stays rejected.
#[test]
fn a_tenth_of_rejected_requests_lowers_the_limit_in_balance() {
    let (mut limit, mut now) = (ConcurrencyLimit::default(), Millis(0));
    for it in 0..400 {
        now = Millis(it * 20);
        if it % 10 == 0 {
            limit.record_rejection(20, OWN_SLOTS, now);
        } else if limit.record_answer(Millis(40), OBJECTIVE, now) {
            limit.adjust(20, OWN_SLOTS, now);
        }
    }

    assert!(!limit.admits(LOWEST, work(10), now));
}

/// Guards against openings that wait for all their time behind others that take it all.
#[test]
fn an_opening_behind_more_than_fit_is_refused_at_once() {
    let (mut rates, now) = (OpeningRates::default(), Millis(2_000));
    rates.record_held(&[0, 1], Millis(0));
    (0..now.0).step_by(50).for_each(|at| rates.record_opening(LOWEST, Millis(at)));

    assert!(rates.can_open(LOWEST, 40, 40, Millis(1_200), now));
    assert!(!rates.can_open(LOWEST, 60, 60, Millis(1_200), now));
}

/// Guards against refusals in a burst that fits, by the rate of the demand before it.
#[test]
fn the_start_of_a_burst_is_not_refused() {
    let mut rates = OpeningRates::default();
    let now = Millis(10_000);
    rates.record_opening(LOWEST, now);
    rates.record_held(&[0, 1], now);

    assert!(rates.can_open(LOWEST, 500, 500, Millis(1_200), now + Millis(150)));
}

/// Guards against refusing all openings at an instance whose share of the slots is about one
/// and that therefore lets in few.
#[test]
fn the_next_opening_waits_where_none_was_let_in() {
    let mut rates = OpeningRates::default();
    rates.record_held(&[0, 1], Millis(0));

    assert!(rates.can_open(LOWEST, 1, 1, Millis(1_000), Millis(800)));
    assert!(!rates.can_open(LOWEST, 6, 6, Millis(1_000), Millis(800)));
}
