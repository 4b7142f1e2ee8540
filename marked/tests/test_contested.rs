//! Openings that two targets answer.

use super::fixtures::{FEED, Instance, REQUEST, flow, middle, millis, target};
use medlarspur_marked::{FlowKey, Incarnation, Kind, ProbeResult};

/// A flow whose opening was sent twice to the first of two targets and then to the second, as
/// the first seemed full.
struct Moved {
    instance: Instance,
    key: FlowKey,
    first: Incarnation,
    second: Incarnation,
}

fn moved_flow() -> Moved {
    let mut instance = Instance::new(&[target(1, "desk"), target(2, "desk")]);
    let key = flow(1, REQUEST);
    let first = instance.open(key, 1_000);
    instance.tick(1_030);
    instance.forwarder.handle_probe_result(
        first,
        ProbeResult::Declines,
        millis(1_031),
        &mut instance.out,
    );
    let second = instance.last_target();
    assert_ne!(second, first);
    Moved { instance, key, first, second }
}

/// A target other than the given one.
fn other_than(instance: &Instance, target: Incarnation) -> Incarnation {
    let entries = instance.forwarder.catalog().entries();
    let mut others = entries.map(|entry| entry.target.incarnation).filter(|it| *it != target);
    others.next().expect("another target exists")
}

/// Number of flows with an opening or request in progress at a target.
fn work_at(instance: &Instance, at: Incarnation) -> u32 {
    let name = &instance.forwarder.catalog().entry(at).expect("known").target.name;
    let explained = instance.forwarder.explain(&flow(9_999, FEED), None, millis(0));
    let found = explained.candidates.iter().find(|it| it.name == *name).expect("a candidate");
    found.work
}

/// Guards against data sent to the target that answered second, which doesn't have the flow.
#[test]
fn data_goes_to_the_target_whose_answer_the_caller_has_acknowledged() {
    let Moved { mut instance, key, first, second } = moved_flow();

    instance.packet(middle(key, first, 1001, 500, 0), 1_033);
    instance.packet(middle(key, second, 1001, 500, 900), 1_034);

    assert_eq!(instance.last_target(), first);
}

/// Guards against data sent to the first target although the caller acknowledged the second:
/// the answer to the earlier copy of the opening arrives last.
#[test]
fn data_goes_on_to_the_second_target_when_the_first_answers_late() {
    let Moved { mut instance, key, first, second } = moved_flow();

    instance.packet(middle(key, second, 1001, 500, 0), 1_033);
    instance.packet(middle(key, first, 1001, 500, 900), 1_034);

    assert_eq!(instance.last_target(), second);
}

/// Guards against a target that never learns that its flow has ended.
#[test]
fn closing_packets_go_to_the_target_of_the_data() {
    for kind in [Kind::Close, Kind::Abort] {
        let Moved { mut instance, key, first, second } = moved_flow();
        instance.packet(middle(key, first, 1001, 500, 0), 1_033);

        let mut end = middle(key, second, 1901, 1_100, 0);
        end.kind = kind;
        instance.packet(end, 1_200);

        assert_eq!(instance.last_target(), first);
    }
}

/// Guards against data sent to the wrong one of two targets after routers brought a copy of the
/// opening to another instance.
#[test]
fn data_goes_to_the_target_that_another_instance_has_opened_the_flow_at() {
    let mut instance = Instance::new(&[target(1, "desk"), target(2, "desk")]);
    let key = flow(1, REQUEST);
    let here = instance.open(key, 1_000);
    let other = other_than(&instance, here);

    instance.packet(middle(key, other, 1001, 500, 0), 1_010);
    instance.packet(middle(key, here, 1001, 500, 900), 1_011);

    assert_eq!(instance.last_target(), other);
}

/// Guards against copies of an opening that follow a mark to a target of another service.
#[test]
fn a_mark_of_another_service_does_not_move_an_opening_there() {
    let mut instance = Instance::new(&[target(1, "desk"), target(2, "ingest")]);
    let key = flow(1, REQUEST);
    let here = instance.open(key, 1_000);

    instance.packet(middle(key, target(2, "ingest").incarnation, 1001, 500, 0), 1_010);

    assert_eq!(instance.open(key, 1_200), here);
}

/// Guards against a record that outlives its flow and diverts a later flow of the same ports.
#[test]
fn a_later_flow_of_the_same_ports_follows_its_mark() {
    let Moved { mut instance, key, first, second } = moved_flow();
    instance.packet(middle(key, second, 1001, 500, 0), 1_033);

    instance.packet(middle(key, first, 700_001, 900_000, 100), 3_000);

    assert_eq!(instance.last_target(), first);
}

/// Guards against openings that count forever as work of a target that they are not at.
#[test]
fn an_opening_that_one_target_accepted_is_no_work_of_the_other() {
    let Moved { mut instance, key, first, second } = moved_flow();
    assert_eq!(work_at(&instance, second), 1);

    instance.packet(middle(key, first, 1001, 500, 0), 1_033);

    assert_eq!(work_at(&instance, second), 0);
}

/// Guards against requests that count forever as work of a target after a flow of the same
/// ports continued at another one.
#[test]
fn a_replaced_record_is_no_longer_counted_as_work() {
    let mut instance = Instance::new(&[target(1, "desk"), target(2, "desk")]);
    let key = flow(1, REQUEST);
    let here = instance.establish(key, 1_000);
    instance.packet(middle(key, here, 1001, 500, 900), 1_010);
    let other = other_than(&instance, here);
    assert_eq!(work_at(&instance, here), 1);

    instance.packet(middle(key, other, 700_001, 900_000, 100), 3_000);

    assert_eq!(work_at(&instance, here), 0);
}
