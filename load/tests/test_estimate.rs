//! Tests the estimate of usual durations.

use medlarspur_lib::time::Millis;
use medlarspur_load::estimate::Estimate;

fn estimate_of(spans: impl IntoIterator<Item = u64>) -> Estimate {
    let mut estimate = Estimate::default();
    spans.into_iter().for_each(|span| estimate.record(Millis(span)));
    estimate
}

#[test]
fn there_is_no_bound_with_few_samples() {
    assert_eq!(estimate_of([40; 7]).upper_bound(), None);
    assert!(estimate_of([40; 8]).upper_bound().is_some());
}

#[test]
fn the_bound_of_constant_times_is_their_value() {
    assert_eq!(estimate_of([40; 100]).upper_bound(), Some(Millis(40)));
}

/// Half of the requests are short and half are long; both are usual.
#[test]
fn varying_times_are_within_the_bound() {
    let estimate = estimate_of((0..100).map(|nth| if nth % 2 == 0 { 20 } else { 120 }));

    assert!(
        estimate.upper_bound().is_some_and(|bound| bound >= Millis(120) && bound < Millis(400))
    );
}

/// Guards against healthy targets that look dead while queues fill, because the estimate
/// follows too slowly.
#[test]
fn the_bound_follows_within_a_dozen_answers() {
    let estimate = estimate_of([60; 50].into_iter().chain([300; 12]));

    assert!(estimate.upper_bound().is_some_and(|bound| bound >= Millis(300)));
}
