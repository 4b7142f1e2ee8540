//! Openings that two targets answer.

use super::fixtures::{FEED, Instance, REQUEST, flow, middle, millis, target};
use medlarspur_marked::{Finding, FlowKey, Incarnation};

/// Two targets, and a flow whose opening went to the first of them twice and then, as that
/// seemed to be full, to the second.
struct Moved {
    instance: Instance,
    key: FlowKey,
    first: Incarnation,
    second: Incarnation,
}

fn moved() -> Moved {
    let mut instance = Instance::new(&[target(1, "desk"), target(2, "desk")]);
    let key = flow(1, REQUEST);
    let first = instance.open(key, 1_000);
    instance.tick(1_030);
    instance.forwarder.answer(first, Finding::Declines, millis(1_031), &mut instance.out);
    let second = instance.last();
    assert_ne!(second, first);
    Moved { instance, key, first, second }
}

/// How many flows are being opened at a target, or worked on.
fn busy(instance: &Instance, at: Incarnation) -> u32 {
    let name = &instance.forwarder.catalog().entry(at).expect("known").target.name;
    let explained = instance.forwarder.explain(&flow(9_999, FEED), None, millis(0));
    let found = explained.candidates.iter().find(|it| it.name == *name).expect("a candidate");
    found.work
}

/// Guards against flows that count as work of a target for good: it would look busy to all
/// that is opened later, and a full one would never be tried again.
#[test]
fn an_opening_that_another_target_took_is_no_work_of_the_second() {
    let Moved { mut instance, key, first, second } = moved();
    assert_eq!(busy(&instance, second), 1);

    instance.packet(middle(key, first, 1001, 500, 0), 1_033);

    assert_eq!(busy(&instance, second), 0);
}

/// Guards against the same where a flow of the same ports goes on at another target.
#[test]
fn a_record_that_is_replaced_is_no_work_any_more() {
    let mut instance = Instance::new(&[target(1, "desk"), target(2, "desk")]);
    let key = flow(1, REQUEST);
    let here = instance.opened(key, 1_000);
    instance.packet(middle(key, here, 1001, 500, 900), 1_010);
    let entries = instance.forwarder.catalog().entries();
    let other = entries.map(|entry| entry.target.incarnation).find(|it| *it != here);
    assert_eq!(busy(&instance, here), 1);

    let later = middle(key, other.expect("another target"), 700_001, 900_000, 100);
    instance.packet(later, 3_000);

    assert_eq!(busy(&instance, here), 0);
}
