//! Targets that restart under the same name.

use super::fixtures::{
    FEED, Instance, flow, incremental, middle, millis, name, segment, started, target,
};
use medlarspur_marked::{
    Catalog, Content, EntryState, Incarnation, Kind, Note, Presence, ProbeResult, Refusal, Revision,
};

const FIRST: u64 = 1_700_000_000_000;
const SECOND: u64 = FIRST + 9_000;
const THIRD: u64 = FIRST + 9_400;

fn incarnation(start: u64) -> Incarnation {
    started(1, "desk", start).incarnation
}

fn presence(catalog: &Catalog, start: u64) -> Presence {
    catalog.entry(incarnation(start)).expect("known").presence
}

/// An instance that knows the first start of target 1, and target 2.
fn two_targets() -> Instance {
    Instance::new(&[started(1, "desk", FIRST), target(2, "desk")])
}

/// Guards against resetting flows that were opened by the entry of the earlier start while the
/// store was unavailable. They are at the later process, which has the same address.
#[test]
fn flows_opened_by_the_earlier_entry_continue() {
    let mut instance = Instance::new(&[started(1, "desk", FIRST)]);
    let key = flow(1, FEED);
    let at = instance.establish(key, 100);

    instance.learn(incremental(200, Content::Target(started(1, "desk", SECOND))), 2_000);
    instance.packet(middle(key, at, 1001, 500, 100), 2_100);

    assert!(instance.out.resets.is_empty());
    assert_eq!(instance.last_target(), incarnation(FIRST), "its mark stays what it was");
    assert_eq!(instance.open(flow(2, FEED), 2_200), incarnation(SECOND));
}

/// Guards against a write of the earlier process that reaches the store after the first entry of
/// the later one. Applied, it would bring back the state of the earlier process: its slow start,
/// its leaving, its address.
#[test]
fn a_late_entry_of_the_earlier_start_changes_nothing() {
    let mut instance = two_targets();
    instance.learn(incremental(200, Content::Target(started(1, "desk", SECOND))), 1_000);
    let mut late = started(1, "desk", FIRST);
    late.leaving = true;

    instance.learn(incremental(201, Content::Target(late)), 1_100);

    assert_eq!(presence(instance.forwarder.catalog(), SECOND), Presence::Listed);
    let opened = (10..20).map(|number| instance.open(flow(number, FEED), 1_200));
    assert!(opened.collect::<Vec<_>>().contains(&incarnation(SECOND)));
}

/// Guards against ignoring a target that crashed, whose entry lapsed, and that restarts under the
/// same name.
#[test]
fn a_target_that_comes_back_after_its_entry_lapsed_is_used() {
    let mut instance = Instance::new(&[started(1, "desk", FIRST)]);
    instance.learn(incremental(200, Content::Removed(name(1))), 1_000);
    instance.packet(segment(flow(1, FEED), Kind::Open), 1_100);
    assert_eq!(instance.out.resets.len(), 1);

    instance.learn(incremental(201, Content::Target(started(1, "desk", SECOND))), 2_000);

    assert_eq!(instance.open(flow(2, FEED), 2_100), incarnation(SECOND));
    assert!(matches!(presence(instance.forwarder.catalog(), FIRST), Presence::Replaced(_)));
}

/// Guards against applying two quick restarts in the wrong order: the update of the earlier start
/// may arrive last, from another instance.
#[test]
fn of_two_starts_within_a_heartbeat_the_later_one_wins() {
    let mut instance = two_targets();
    instance.learn(incremental(202, Content::Target(started(1, "desk", THIRD))), 1_000);

    instance.learn(incremental(201, Content::Target(started(1, "desk", SECOND))), 1_010);

    assert_eq!(presence(instance.forwarder.catalog(), THIRD), Presence::Listed);
    assert!(instance.forwarder.catalog().entry(incarnation(SECOND)).is_none());
}

/// Guards against treating a target as leaving that was leaving and restarted instead of ending.
#[test]
fn a_target_that_left_and_started_again_takes_new_flows() {
    let mut leaving = started(1, "desk", FIRST);
    leaving.leaving = true;
    let mut instance = Instance::new(&[leaving]);

    instance.learn(incremental(200, Content::Target(started(1, "desk", SECOND))), 1_000);

    assert_eq!(instance.open(flow(1, FEED), 1_100), incarnation(SECOND));
}

/// Guards against avoiding the new process because the old one was lost.
#[test]
fn the_loss_of_the_earlier_start_does_not_affect_the_later_one() {
    let mut instance = Instance::new(&[started(1, "desk", FIRST)]);
    instance.forwarder.handle_probe_result(
        incarnation(FIRST),
        ProbeResult::Gone,
        millis(500),
        &mut instance.out,
    );

    instance.learn(incremental(200, Content::Target(started(1, "desk", SECOND))), 1_000);

    assert_eq!(instance.open(flow(1, FEED), 1_010), incarnation(SECOND));
}

/// Guards against a result of a probe that was sent just before the target ended and arrives after
/// the entry of its next start.
#[test]
fn a_probe_result_of_the_earlier_start_does_not_affect_the_later_one() {
    let mut instance = Instance::new(&[started(1, "desk", FIRST)]);
    instance.learn(incremental(200, Content::Target(started(1, "desk", SECOND))), 1_000);
    let key = flow(1, FEED);
    let at = instance.establish(key, 1_010);

    instance.forwarder.handle_probe_result(
        incarnation(FIRST),
        ProbeResult::Silent,
        millis(1_100),
        &mut instance.out,
    );
    instance.packet(middle(key, at, 1001, 500, 100), 1_200);

    assert!(instance.out.resets.is_empty());
    assert_eq!(instance.open(flow(2, FEED), 1_300), incarnation(SECOND));
}

/// Guards against flows that hang because the target restarted at another address, and a target of
/// another service took over the earlier one.
#[test]
fn the_earlier_start_is_probed_if_it_had_another_address() {
    let mut instance = Instance::new(&[started(1, "desk", FIRST)]);
    let key = flow(1, FEED);
    let at = instance.establish(key, 100);
    let mut moved = started(1, "desk", SECOND);
    moved.address.set_port(9_090);
    let mut other = target(3, "ingest");
    other.address = started(1, "desk", FIRST).address;
    instance.learn(incremental(199, Content::Target(other.clone())), 1_900);
    instance.learn(incremental(200, Content::Target(moved)), 2_000);
    assert_eq!(instance.out.probed, [incarnation(FIRST)]);

    instance.forwarder.handle_probe_result(at, ProbeResult::Gone, millis(2_010), &mut instance.out);

    assert_eq!(instance.out.resets.len(), 1);
    assert_eq!(instance.open(flow(2, FEED), 2_100), incarnation(SECOND));
    assert!(instance.out.sent.iter().all(|(to, ..)| *to != other.incarnation));
}

/// Guards against a flow whose packets go to different processes while only some instances know
/// the later start. Packets of the flow may reach any instance.
#[test]
fn instances_with_different_catalogs_send_a_flow_to_the_same_process() {
    let mut ahead = Instance::new(&[started(1, "desk", FIRST)]);
    let mut behind = Instance::new(&[started(1, "desk", FIRST)]);
    ahead.learn(incremental(200, Content::Target(started(1, "desk", SECOND))), 1_000);
    let by_old = flow(1, FEED);
    let at = behind.establish(by_old, 1_100);
    let by_new = flow(2, FEED);
    let new = ahead.establish(by_new, 1_100);

    ahead.packet(middle(by_old, at, 1001, 500, 100), 1_200);
    behind.out.sent.clear();
    behind.packet(middle(by_new, new, 1001, 500, 100), 1_200);

    assert_eq!(ahead.last_target(), at);
    assert!(behind.out.sent.is_empty(), "a packet with an unknown mark is dropped");
    assert!(behind.out.resets.is_empty());
    behind.learn(incremental(200, Content::Target(started(1, "desk", SECOND))), 1_300);
    behind.packet(middle(by_new, new, 1001, 500, 100), 1_400);
    assert_eq!(behind.last_target(), incarnation(SECOND));
}

#[test]
fn a_restart_is_noted_with_the_name_and_both_starts() {
    let mut instance = two_targets();

    instance.learn(incremental(200, Content::Target(started(1, "desk", SECOND))), 1_000);

    let noted = instance.out.notes.iter().filter_map(|note| match note {
        Note::Entry { name: it, start, state, .. } if *it == name(1) => Some((start.0, *state)),
        _ => None,
    });
    let noted = noted.collect::<Vec<_>>();
    assert!(noted.contains(&(FIRST, EntryState::Replaced)), "{noted:?}");
    assert!(noted.contains(&(SECOND, EntryState::Listed)), "{noted:?}");
}

/// Guards against two targets that have the same incarnation by chance. Packets in mid-flow of one
/// would reach the other, which would reset the flow.
#[test]
fn a_target_with_a_colliding_incarnation_is_rejected() {
    let mut instance = two_targets();
    let mut clash = target(9, "desk");
    clash.incarnation = incarnation(FIRST);

    instance.learn(incremental(200, Content::Target(clash)), 1_000);

    assert_eq!(instance.forwarder.catalog().collisions(), 1);
    assert_eq!(presence(instance.forwarder.catalog(), FIRST), Presence::Listed);
}

/// Guards against an entry by another program that has a target's name and all fields except the
/// start time. Targets here always give it.
#[test]
fn an_entry_without_a_start_is_unusable_where_starts_are_known() {
    let mut instance = Instance::new(&[started(1, "desk", FIRST)]);

    instance.learn(incremental(200, Content::Target(started(1, "desk", 0))), 1_000);
    instance.packet(segment(flow(1, FEED), Kind::Open), 1_100);

    assert!(matches!(presence(instance.forwarder.catalog(), FIRST), Presence::Unusable(_)));
    assert_eq!(instance.out.resets.len(), 1);
    instance.learn(incremental(201, Content::Target(started(1, "desk", FIRST))), 2_000);
    assert_eq!(instance.open(flow(2, FEED), 2_100), incarnation(FIRST));
}

/// The snapshot of an instance that knew target 1 until its entry was removed, `later` milliseconds
/// after the removal.
fn snapshot_without_one(later: u64) -> medlarspur_marked::Update {
    let mut old = Instance::new(&[target(1, "desk"), target(2, "desk")]);
    old.learn(incremental(200, Content::Removed(name(1))), 1_000);
    old.forwarder.catalog().update_since(Revision::new(0, 0), millis(1_000 + later))
}

/// Guards against feeds that hang because an instance that started later does not know their mark.
#[test]
fn a_starting_instance_resets_flows_of_targets_removed_before() {
    let mut started = Instance::new(&[]);
    let gone = target(1, "desk").incarnation;
    let key = flow(1, FEED);

    started.learn(snapshot_without_one(500), 0);
    started.packet(middle(key, gone, 1001, 500, 100), 100);
    assert_eq!((started.last_target(), &started.out.probed[..]), (gone, &[gone][..]));
    started.forwarder.handle_probe_result(gone, ProbeResult::Gone, millis(110), &mut started.out);
    started.packet(middle(key, gone, 1001, 500, 100), 300);

    // Once at the probe's result, and once for the packet that the caller still sends.
    assert_eq!(started.out.resets, [(key, 500, Refusal::TargetLost); 2]);
    assert_eq!(started.forwarder.counts().unknown, 0);
}

/// Guards against new flows to a target that is only known for its old flows, and against retaining
/// it for too long.
#[test]
fn a_target_removed_before_gets_no_new_flow_and_is_dropped() {
    let mut started = Instance::new(&[]);
    let (gone, other) = (target(1, "desk").incarnation, target(2, "desk").incarnation);

    started.learn(snapshot_without_one(80_000), 1_000_000);
    for number in 0..10 {
        assert_eq!(started.open(flow(number, FEED), 1_000_010), other);
    }
    assert!(started.forwarder.catalog().entry(gone).is_some());
    started.learn(incremental(300, Content::Target(target(3, "desk"))), 1_010_500);

    assert!(started.forwarder.catalog().entry(gone).is_none());
}

/// Guards against new flows to a target that has shown no life since its removal.
#[test]
fn a_target_removed_just_before_gets_no_new_flow() {
    let mut started = Instance::new(&[]);
    let mut snapshot = snapshot_without_one(500);
    let other = target(2, "desk").incarnation;
    snapshot
        .changes
        .retain(|it| !matches!(&it.content, Content::Target(it) if it.incarnation == other));

    started.learn(snapshot, 1_000_000);
    started.packet(segment(flow(1, FEED), Kind::Open), 1_000_010);

    assert!(started.out.sent.is_empty());
}
