//! Tests what callers get while a service is overloaded for some seconds.

use super::overload::{Scene, Tally, play};
use medlarspur_lib::bundle::Class;

/// Returns the results over some seeds, without and with openings that wait.
fn compare(scene: fn(u64) -> Scene, from: u64, to: u64) -> [Tally; 2] {
    [false, true].map(|limited| {
        let tally = (1..=6).map(|seed| play(scene(seed), limited).tally(from, to));
        tally.fold(Tally::default(), |sum, it| sum + it)
    })
}

/// Guards against late answers to nearly all requests while eight of 14 targets are gone
/// for five seconds and their successors are not known. The other six could answer nine
/// of ten requests in time, but their queues fill, and each request waits for the whole
/// queue.
#[test]
fn more_are_answered_in_time_while_half_of_the_targets_are_gone() {
    let [without, with] = compare(Scene::half_gone, 4_000, 10_000);

    assert!(
        with.fraction_in_time() > without.fraction_in_time() + 0.03,
        "{without:?}, then {with:?}"
    );
    assert!(with.refused < without.refused * 2, "{without:?}, then {with:?}");
}

/// Guards against work that can't be done and makes all the rest late, in the same scene
/// with a quarter more requests than usual.
#[test]
fn a_larger_overload_gains_more() {
    let [without, with] = compare(Scene::more_requests, 4_000, 10_000);

    assert!(
        with.fraction_in_time() > without.fraction_in_time() + 0.12,
        "{without:?}, then {with:?}"
    );
    assert!(with.refused < without.refused, "{without:?}, then {with:?}");
}

/// Guards against refusing callers after an outage of 1.7 s, whose packets arrive within
/// the next second. Fewer are refused, and no fewer are answered in time.
#[test]
fn a_burst_after_an_outage_is_served_with_fewer_refusals() {
    let [without, with] = compare(Scene::outage, 4_000, 8_000);

    assert!(with.in_time >= without.in_time, "{without:?}, then {with:?}");
    assert!(with.refused * 2 < without.refused, "{without:?}, then {with:?}");
}

/// Guards against openings that wait although targets keep up. Under ordinary load the
/// limit must have no cost.
#[test]
fn ordinary_load_is_not_affected() {
    let [without, with] = compare(Scene::site, 0, 14_000);

    assert_eq!(with.refused, 0);
    assert!(
        with.fraction_in_time() > without.fraction_in_time() - 0.001,
        "{without:?}, then {with:?}"
    );
}

/// Guards against holding back requests of a site that take two thirds of their latency
/// objective, so that answers always look slow. They would be later still while targets
/// are idle.
#[test]
fn a_service_with_long_work_is_not_limited() {
    let [without, with] = compare(Scene::slow, 3_000, 14_000);

    assert!(
        with.fraction_in_time() > without.fraction_in_time() - 0.01,
        "{without:?}, then {with:?}"
    );
}

/// Guards against requests that are late first in a burst that is mostly on open feeds,
/// which continue whatever the limit. Requests wait only for requests.
#[test]
fn requests_are_not_late_first_in_an_excess_of_feeds() {
    let of = |class| {
        let tally =
            (1..=6).map(|seed| play(Scene::excess(seed), true).tally_class(class, 2_000, 14_000));
        tally.fold(Tally::default(), |sum, it| sum + it)
    };

    let (requests, feeds) = (of(Class::Request), of(Class::Feed));

    assert!(requests.fraction_in_time() > feeds.fraction_in_time(), "{requests:?} {feeds:?}");
    assert!(requests.fraction_refused() < feeds.fraction_refused(), "{requests:?} {feeds:?}");
}
