//! How long something usually takes.

use medlarspur_lib::time::Millis;
use medlarspur_load::estimate::Estimate;

fn heard(spans: impl IntoIterator<Item = u64>) -> Estimate {
    let mut estimate = Estimate::default();
    spans.into_iter().for_each(|span| estimate.record(Millis(span)));
    estimate
}

#[test]
fn nothing_is_usual_before_enough_was_heard() {
    assert_eq!(heard([40; 7]).upper_bound(), None);
    assert!(heard([40; 8]).upper_bound().is_some());
}

#[test]
fn what_is_always_the_same_leaves_no_room() {
    assert_eq!(heard([40; 100]).upper_bound(), Some(Millis(40)));
}

/// Half of the requests are short and half are long; both are usual.
#[test]
fn what_varies_is_within_the_bound() {
    let estimate = heard((0..100).map(|nth| if nth % 2 == 0 { 20 } else { 120 }));

    assert!(
        estimate.upper_bound().is_some_and(|bound| bound >= Millis(120) && bound < Millis(400))
    );
}

/// Queues fill. What was usual must follow before well targets look dead.
#[test]
fn it_follows_within_a_dozen_answers() {
    let estimate = heard([60; 50].into_iter().chain([300; 12]));

    assert!(estimate.upper_bound().is_some_and(|bound| bound >= Millis(300)));
}
