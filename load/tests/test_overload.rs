//! A service that is asked for more than it can do for some seconds.

use super::overload::{Got, Scene, play};

/// The site with the shortest goals: seven instances, 14 targets of two slots.
fn site() -> Scene {
    Scene {
        instances: 7,
        targets: 14,
        left: 14,
        gone: (0, 0),
        slots: 2,
        queue: 8,
        requests: 83.0,
        feeds: 292.0,
        work: 32.0,
        goal: 150,
        outage: (0, 0),
        length: 14_000,
        seed: 0,
    }
}

/// What callers got over some seeds, without and with openings that wait.
fn compare(scene: Scene, from: u64, to: u64) -> [Got; 2] {
    [false, true].map(|limited| {
        let got = (1..=6).map(|seed| play(Scene { seed, ..scene }, limited).got(from, to));
        got.fold(Got::default(), |sum, it| sum + it)
    })
}

/// Eight of 14 targets are gone for five seconds and their successors aren't known.
/// The other six could answer nine of ten requests in time, but their queues fill and
/// each request waits for the whole queue. A caller sees that nearly every answer is
/// late.
#[test]
fn more_are_answered_in_time_while_half_of_the_targets_are_gone() {
    let scene = Scene { left: 6, gone: (4_000, 9_000), ..site() };

    let [without, with] = compare(scene, 4_000, 10_000);

    assert!(with.part() > without.part() + 0.03, "{without:?}, then {with:?}");
    assert!(with.refused < without.refused * 2, "{without:?}, then {with:?}");
}

/// The same with a quarter more requests than on an ordinary day: what can't be done
/// must not make all the rest late.
#[test]
fn a_larger_excess_gains_more() {
    let scene = Scene { left: 6, gone: (4_000, 9_000), requests: 104.0, feeds: 365.0, ..site() };

    let [without, with] = compare(scene, 4_000, 10_000);

    assert!(with.part() > without.part() + 0.12, "{without:?}, then {with:?}");
    assert!(with.refused < without.refused, "{without:?}, then {with:?}");
}

/// Nobody is served for 1.7 s, and what was asked meanwhile comes within the next
/// second. Fewer are told that they were not served, and no fewer are in time.
#[test]
fn a_crowd_after_an_outage_is_served_with_fewer_refusals() {
    let scene = Scene {
        instances: 8,
        slots: 3,
        queue: 12,
        work: 60.0,
        goal: 250,
        outage: (4_000, 5_700),
        ..site()
    };

    let [without, with] = compare(scene, 4_000, 8_000);

    assert!(with.in_time >= without.in_time, "{without:?}, then {with:?}");
    assert!(with.refused * 2 < without.refused, "{without:?}, then {with:?}");
}

/// Nothing waits where targets keep up: the limit must cost nothing on all other days.
#[test]
fn an_ordinary_day_is_as_before() {
    let [without, with] = compare(site(), 0, 14_000);

    assert_eq!(with.refused, 0);
    assert!(with.part() > without.part() - 0.001, "{without:?}, then {with:?}");
}
