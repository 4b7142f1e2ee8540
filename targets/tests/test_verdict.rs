//! Verdicts on a target's health.

use medlarspur_target::{HealthTracker, HealthVerdict, Outcome};
use proptest::prelude::*;

fn record(tracker: &mut HealthTracker, outcomes: &[Outcome]) -> Vec<Option<HealthVerdict>> {
    outcomes.iter().map(|&it| tracker.record(it)).collect()
}

fn any_outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        Just(Outcome::Healthy),
        Just(Outcome::Unhealthy),
        Just(Outcome::Unreachable),
        Just(Outcome::Refused),
    ]
}

#[test]
fn first_good_answer_suffices_for_a_verdict() {
    let mut tracker = HealthTracker::default();

    assert_eq!(tracker.record(Outcome::Healthy), Some(HealthVerdict::Healthy));
}

#[test]
fn three_bad_answers_are_needed_for_a_first_verdict() {
    let mut tracker = HealthTracker::default();

    let verdicts = record(&mut tracker, &[Outcome::Refused, Outcome::Refused, Outcome::Refused]);

    assert_eq!(verdicts, [None, None, Some(HealthVerdict::Refused)]);
}

/// Guards against moving work away because of a few late answers, for example during a garbage
/// collection: the other targets would be overloaded and callers would wait there.
#[test]
fn two_bad_answers_do_not_change_the_verdict() {
    let mut tracker = HealthTracker::default();
    let (good, late) = (Outcome::Healthy, Outcome::Unreachable);

    let verdicts =
        record(&mut tracker, &[good, late, late, good, good, good, late, good, good, late]);

    assert!(verdicts.iter().all(|it| *it == Some(HealthVerdict::Healthy)));
}

/// Guards against following each answer of an endpoint that alternates between good and bad: new
/// work would move with each answer, and the load of all other targets would oscillate too.
#[test]
fn alternating_endpoint_changes_the_verdict_at_most_once() {
    let mut tracker = HealthTracker::default();
    let outcomes: Vec<_> =
        (0..100).map(|ix| [Outcome::Healthy, Outcome::Unhealthy][ix % 2]).collect();

    let verdicts = record(&mut tracker, &outcomes);

    let changes = verdicts.windows(2).filter(|it| it[0] != it[1]).count();
    assert!(changes <= 1, "{changes}");
}

#[test]
fn bad_target_recovers_after_four_good_answers_of_five() {
    let mut tracker = HealthTracker::default();
    record(&mut tracker, &[Outcome::Healthy; 5]);
    record(&mut tracker, &[Outcome::Refused; 5]);

    let verdicts = record(&mut tracker, &[Outcome::Healthy; 4]);

    let refused = Some(HealthVerdict::Refused);
    assert_eq!(verdicts, [refused, refused, refused, Some(HealthVerdict::Healthy)]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn five_equal_answers_decide_the_verdict(
        before in prop::collection::vec(any_outcome(), 0..50),
        last in any_outcome(),
    ) {
        let mut tracker = HealthTracker::default();
        record(&mut tracker, &before);

        let verdicts = record(&mut tracker, &[last; 5]);

        let mut fresh = HealthTracker::default();
        prop_assert_eq!(verdicts[4], record(&mut fresh, &[last; 5])[4]);
    }
}
