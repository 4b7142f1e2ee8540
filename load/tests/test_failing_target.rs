//! Tests that faults of a few targets are not taken for an overload.

use medlarspur_lib::time::Millis;
use medlarspur_load::{outcome::Outcome, shedding::Rejections};

/// Returns how many of 40 answers a second of 30 targets, over three seconds, lower the
/// limit if those of the first `failing` targets are failures.
fn reductions(failing: u64) -> usize {
    let mut rejections = Rejections::default();
    let answers = (0..120).map(|it| (it * 7 % 30, Millis(it * 25)));
    answers
        .filter(|&(target, at)| {
            let outcome = if target < failing { Outcome::Failed } else { Outcome::Served };
            rejections.record(target, outcome, at)
        })
        .count()
}

/// Guards against callers who are refused because one target, or a ninth of them, fails all
/// requests.
#[test]
fn a_few_failing_targets_are_no_overload() {
    assert_eq!([1, 3].map(reductions), [0, 0]);
    assert!(reductions(10) > 20);
}

/// Guards against a limit that stays low because callers that have gone leave requests
/// unanswered.
#[test]
fn unanswered_requests_are_no_overload() {
    let mut rejections = Rejections::default();

    let lowers = (0..100).any(|it| rejections.record(it % 30, Outcome::Unanswered, Millis(it)));

    assert!(!lowers);
}
