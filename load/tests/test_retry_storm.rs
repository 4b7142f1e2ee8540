//! Tests that callers who come back after a refusal do not sustain the overload.

use medlarspur_lib::time::Millis;
use medlarspur_load::{
    fairness::Fairness,
    limit::{ConcurrencyLimit, InFlight},
    outcome::Outcome,
    priority::Level,
    shedding::Rejections,
    vacancy::Vacancy,
};
use std::net::Ipv4Addr;

const LEVEL: Level = Level::nth(0, 1);
const CALLER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);

/// Guards against retries that displace first attempts because they are newer.
#[test]
fn a_repeated_attempt_goes_behind_a_first_one() {
    let mut fairness = Fairness::default();
    fairness.record_refusal(LEVEL, CALLER, Millis(0));

    let repeated = fairness.record_attempt(LEVEL, CALLER, Millis(5));

    let first = fairness.turn(LEVEL, Ipv4Addr::new(10, 0, 0, 2), 0, false, Millis(5));
    assert!(fairness.turn(LEVEL, CALLER, 0, repeated, Millis(5)) > first);
}

/// Guards against a caller, or others behind its address, who stay behind after one failure.
#[test]
fn a_failure_accounts_for_one_repeated_attempt_within_two_seconds() {
    let mut fairness = Fairness::default();
    fairness.record_refusal(LEVEL, CALLER, Millis(0));
    let attempts = [10, 20].map(|at| fairness.record_attempt(LEVEL, CALLER, Millis(at)));
    fairness.record_refusal(LEVEL, CALLER, Millis(100));

    let later = fairness.record_attempt(LEVEL, CALLER, Millis(2_200));

    assert_eq!((attempts, later), ([true, false], false));
}

/// Guards against a first attempt that goes behind others because the retry came before its
/// cause was known as a failure.
#[test]
fn a_failure_that_was_repeated_already_accounts_for_no_other_attempt() {
    let mut fairness = Fairness::default();
    fairness.record_attempt(LEVEL, CALLER, Millis(100));

    let was_repeated = fairness.record_failure(LEVEL, CALLER, Millis(99), Millis(300));

    assert!(was_repeated && !fairness.record_attempt(LEVEL, CALLER, Millis(400)));
}

/// Guards against a limit that stays low after a retry storm: two seconds after the last
/// rejection, twice the share of the slots is let in again.
#[test]
fn service_is_normal_two_seconds_after_the_load_is() {
    let (mut limit, mut rejections) = (ConcurrencyLimit::default(), Rejections::default());
    for it in 0..200 {
        let now = Millis(it * 20);
        if rejections.record(it % 20, Outcome::Failed, now) {
            limit.record_rejection(4, 4.0, now);
        }
    }
    let end = 4_000;
    let mut work = InFlight::default();
    work.adjust(LEVEL, 8);
    let admits = |limit: &ConcurrencyLimit, now| limit.admits(LEVEL, work, now);
    let was_limited = !admits(&limit, Millis(end));

    for at in (end..end + 2_000).step_by(40) {
        rejections.record(at % 20, Outcome::Served, Millis(at));
        if limit.record_answer(Millis(20), Millis(250), Millis(at)) {
            limit.adjust(2, 4.0, Millis(at));
        }
    }

    assert!(was_limited && admits(&limit, Millis(end + 2_000)));
    assert!(!rejections.is_overloaded(Millis(end + 2_100)));
}

/// Guards against retries that take every connection that becomes free at a full target, whose
/// other connections are held by flows that the same callers have left idle.
#[test]
fn free_connections_beside_abandoned_flows_are_kept_for_higher_levels() {
    let mut vacancy = Vacancy::default();
    vacancy.record_unanswered(Millis(0));
    vacancy.record_flow_end(Level::nth(1, 2));

    let can_open = |abandoned, rank| vacancy.can_open_beside(abandoned, Level::nth(rank, 2), 0);

    assert_eq!([(0, 1), (3, 1), (3, 0)].map(|(it, rank)| can_open(it, rank)), [true, false, true]);
}
