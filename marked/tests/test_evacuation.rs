//! Evacuated failure domains: they get no new flows, and open flows go on.

use super::fixtures::{
    FEED, Instance, REQUEST, change, config, flow, incremental, middle, millis, segment, snapshot,
    target, update,
};
use medlarspur_lib::{
    ids::{DomainName, ServiceName},
    status::TargetUse,
};
use medlarspur_load::warmup::Seat;
use medlarspur_marked::{
    Content, FlowKey, Incarnation, Kind, Note, ProbeResult, Refusal, Scope, Service, Target,
    Update, Warmup,
};
use proptest::prelude::*;

fn south() -> DomainName {
    DomainName::new("south")
}

/// A target in the evacuated domain.
fn southern(number: u64) -> Target {
    Target { domain: south(), ..target(number, "desk") }
}

fn evacuated(revision: u64) -> Update {
    incremental(revision, Content::Evacuated(south()))
}

fn evacuation_ended(revision: u64) -> Update {
    incremental(revision, Content::EvacuationEnded(south()))
}

/// An instance with one target in the north and one in the south.
fn two_domains() -> (Instance, Incarnation, Incarnation) {
    let (north, south) = (target(1, "desk"), southern(2));
    let instance = Instance::new(&[north.clone(), south.clone()]);
    (instance, north.incarnation, south.incarnation)
}

/// Opens requests at the same time until one goes to `at`.
fn open_at(instance: &mut Instance, at: Incarnation, now: u64) -> FlowKey {
    let mut keys = (100..200).map(|number| flow(number, REQUEST));
    keys.find(|key| instance.open(*key, now) == at).expect("a flow is opened there")
}

fn usage(instance: &Instance, at: Incarnation, now: u64) -> TargetUse {
    instance.usage(flow(9_999, FEED), at, now)
}

/// Guards against flows opened in a domain that operators evacuated before maintenance of its
/// power: they break when the power goes.
#[test]
fn no_flow_is_opened_in_an_evacuated_domain() {
    let (mut instance, _, south) = two_domains();

    instance.learn(evacuated(101), 10);

    for number in 0..40 {
        assert_ne!(instance.open(flow(number, REQUEST), 20), south);
    }
    assert_eq!(usage(&instance, south, 30), TargetUse::Evacuated);
    let is_expected = |note: &Note| matches!(note, Note::Evacuated { targets: 1, .. });
    assert_eq!(instance.out.notes.iter().filter(|it| is_expected(it)).count(), 1);
}

/// Guards against flows broken by an evacuation: callers of an open feed go on where they are.
#[test]
fn flows_in_an_evacuated_domain_go_on() {
    let (mut instance, _, south) = two_domains();
    let key = open_at(&mut instance, south, 0);
    instance.packet(middle(key, south, 1001, 500, 0), 5);

    instance.learn(evacuated(101), 10);
    instance.packet(middle(key, south, 1001, 500, 100), 2_000);
    instance.tick(3_000);

    assert_eq!(instance.last_target(), south);
    assert!(instance.out.resets.is_empty());
}

/// Guards against a flow opened in an evacuated domain by a copy of its opening: the first one
/// is lost, the domain is evacuated, and the caller sends the packet again.
#[test]
fn the_copy_of_an_unanswered_opening_leaves_an_evacuated_domain() {
    let (mut instance, north, south) = two_domains();
    let key = open_at(&mut instance, south, 0);

    instance.learn(evacuated(101), 10);
    instance.packet(segment(key, Kind::Open), 200);

    assert_eq!(instance.last_target(), north);
}

/// Guards against a second target for a flow whose opening the first one has answered, if a
/// copy of the opening arrives late. The caller would have the sequence numbers of one target
/// and the mark of the other.
#[test]
fn the_copy_of_an_answered_opening_stays() {
    let (mut instance, _, south) = two_domains();
    let key = open_at(&mut instance, south, 0);
    instance.packet(middle(key, south, 1001, 500, 0), 5);

    instance.learn(evacuated(101), 10);
    instance.packet(segment(key, Kind::Open), 200);

    assert_eq!(instance.last_target(), south);
}

/// Guards against an instance that itself sends an unanswered opening again, into a domain that
/// was evacuated in the meantime.
#[test]
fn an_opening_that_is_sent_again_leaves_an_evacuated_domain() {
    let (mut instance, north, south) = two_domains();
    open_at(&mut instance, south, 0);

    instance.learn(evacuated(101), 10);
    let due = instance.forwarder.deadline().expect("a check is due");
    instance.out.sent.clear();
    instance.tick(due.0);

    assert!(!instance.out.sent.is_empty());
    assert!(instance.out.sent.iter().all(|(to, ..)| *to == north));
}

/// Guards against openings that move into an evacuated domain when their target dies.
#[test]
fn moved_openings_avoid_an_evacuated_domain() {
    let (one, other, empty) = (target(1, "desk"), target(3, "desk"), southern(2));
    let mut instance = Instance::new(&[one.clone(), other.clone(), empty.clone()]);
    instance.learn(evacuated(101), 10);
    for number in 0..20 {
        instance.open(flow(number, REQUEST), 20);
    }
    instance.out.sent.clear();

    instance.forwarder.handle_probe_result(
        one.incarnation,
        ProbeResult::Gone,
        millis(40),
        &mut instance.out,
    );

    assert!(!instance.out.sent.is_empty());
    assert!(instance.out.sent.iter().all(|(to, ..)| *to == other.incarnation));
}

/// Guards against new flows for a full target in an evacuated domain when one of its flows
/// ends, and against probes for its free slots.
#[test]
fn a_slot_that_becomes_free_in_an_evacuated_domain_stays_empty() {
    let (mut instance, north, south) = two_domains();
    instance.record_answers(FEED, 20, 40);
    let feed = (100..200).map(|number| flow(number, FEED));
    let feed = feed
        .into_iter()
        .find(|key| instance.establish(*key, 50) == south)
        .expect("a feed is opened there");
    open_at(&mut instance, south, 1_000);
    instance.tick(1_030);
    instance.packet(middle(feed, south, 1001, 500, 100), 1_040);
    instance.packet(middle(feed, south, 1101, 700, 0), 1_090);
    instance.forwarder.handle_probe_result(
        south,
        ProbeResult::Silent,
        millis(1_330),
        &mut instance.out,
    );
    assert_eq!(usage(&instance, south, 1_340), TargetUse::Full);

    instance.learn(evacuated(101), 1_400);
    instance.out.probed.clear();
    let mut end = middle(feed, south, 1101, 700, 0);
    end.kind = Kind::Abort;
    instance.packet(end, 1_500);
    for now in (1_500..9_000).step_by(100) {
        instance.tick(now);
    }

    assert_eq!(instance.open(flow(300, FEED), 9_000), north);
    assert!(!instance.out.probed.contains(&south));
}

/// Guards against flows for a target that starts in an evacuated domain. Its entry is newer
/// than the evacuation.
#[test]
fn a_target_that_starts_in_an_evacuated_domain_gets_no_flows() {
    let (mut instance, north, _) = two_domains();
    instance.learn(evacuated(101), 10);

    instance.learn(incremental(102, Content::Target(southern(5))), 20);

    for number in 0..40 {
        assert_eq!(instance.open(flow(number, REQUEST), 30), north);
    }
}

/// Guards against callers who wait while all domains with targets of the service are evacuated.
/// A reset at once is correct: nothing was sent to any target.
#[test]
fn callers_are_refused_at_once_where_all_domains_are_evacuated() {
    let mut instance = Instance::new(&[southern(2)]);
    instance.learn(evacuated(101), 10);

    instance.packet(segment(flow(1, REQUEST), Kind::Open), 20);

    assert_eq!(instance.out.resets, [(flow(1, REQUEST), 0, Refusal::Evacuated)]);
    assert!(instance.out.sent.is_empty());
}

#[test]
fn a_domain_is_used_again_after_its_evacuation_ended() {
    let (mut instance, _, south) = two_domains();
    instance.learn(evacuated(101), 10);

    instance.learn(evacuation_ended(102), 20);

    open_at(&mut instance, south, 30);
    assert_eq!(usage(&instance, south, 30), TargetUse::Good);
}

/// Guards against updates that arrive late and out of order: the end of an evacuation arrives
/// before its beginning.
#[test]
fn an_older_update_does_not_undo_the_last_change_by_operators() {
    let (mut instance, north, south) = two_domains();
    instance.learn(evacuation_ended(105), 10);
    instance.learn(evacuated(103), 20);
    open_at(&mut instance, south, 30);

    instance.learn(evacuated(107), 40);
    instance.learn(evacuation_ended(105), 50);

    for number in 300..320 {
        assert_eq!(instance.open(flow(number, REQUEST), 60), north);
    }
}

/// Guards against evacuations that never end: the store drops its history before the end is
/// read, so no incremental update contains it. All items are read again, and an evacuation that
/// is not among them has ended.
#[test]
fn an_evacuation_ends_with_a_snapshot_that_no_longer_lists_it() {
    let (mut instance, _, south) = two_domains();
    instance.learn(evacuated(101), 10);

    let snapshot = snapshot(&[target(1, "desk"), southern(2)]);
    instance.learn(Update { revision: medlarspur_marked::Revision::new(0, 150), ..snapshot }, 20);

    open_at(&mut instance, south, 30);
}

/// Guards against an evacuation ended by a snapshot that was read before it and arrives later.
#[test]
fn an_older_snapshot_does_not_end_an_evacuation() {
    let (mut instance, north, _) = two_domains();
    instance.learn(evacuated(120), 10);

    instance.learn(snapshot(&[target(1, "desk"), southern(2)]), 20);

    for number in 0..40 {
        assert_eq!(instance.open(flow(number, REQUEST), 30), north);
    }
}

/// Guards against flows in an evacuated domain after all instances lost their power: a starting
/// instance gets a snapshot from another one and forwards nothing before, so the snapshot must
/// contain evacuations.
#[test]
fn a_snapshot_for_a_starting_instance_contains_evacuations() {
    let (mut instance, ..) = two_domains();
    instance.learn(evacuated(101), 10);
    let snapshot = instance.forwarder.catalog().update_since(Default::default(), millis(20));

    let mut fresh = Instance::new(&[]);
    fresh.learn(snapshot, 0);

    assert!(fresh.forwarder.catalog().is_evacuated(&south()));
}

/// Guards against a starting instance that serves by an incremental update before it has a
/// snapshot. The update names targets but not that their domain is evacuated.
#[test]
fn an_incremental_update_does_not_make_a_catalog_usable() {
    let mut catalog = medlarspur_marked::Catalog::default();
    let changes =
        vec![change(90, Content::Config(config(1))), change(91, Content::Target(southern(2)))];

    catalog.merge(
        update(91, Scope::Incremental(medlarspur_marked::Revision::new(0, 89)), changes),
        millis(0),
    );

    assert!(!catalog.is_usable());
}

/// Limits the rate of requests to targets in slow start, from all instances together. A domain
/// whose evacuation ends is full of such targets, and idle, so it would get all new flows.
fn limit_slow_start_rate(instance: &mut Instance) {
    let mut config = config(7);
    let warmup = Some(Warmup { span: millis(2_000), rate: 4 });
    config.services =
        vec![Service { name: ServiceName::new("desk"), health: "/health".into(), warmup }];
    instance.learn(incremental(101, Content::Config(config)), 0);
}

#[test]
fn a_domain_gets_no_flows_after_its_evacuation_until_its_targets_are_warm() {
    let (mut instance, north, south) = two_domains();
    limit_slow_start_rate(&mut instance);
    instance.learn(evacuated(102), 10);
    instance.learn(evacuation_ended(103), 5_000);

    for number in 0..40 {
        assert_eq!(instance.open(flow(number, REQUEST), 6_900), north);
    }
    assert_eq!(usage(&instance, south, 6_900), TargetUse::Warming);

    open_at(&mut instance, south, 7_100);
}

/// A starting target announces how long it is in slow start, which may be longer.
#[test]
fn a_starting_target_gets_no_flows_until_it_is_warm() {
    let (mut instance, north, south) = two_domains();
    limit_slow_start_rate(&mut instance);

    let slow = Target { cold: millis(3_000), ..southern(2) };
    instance.learn(incremental(102, Content::Target(slow)), 100);

    for number in 0..40 {
        assert_eq!(instance.open(flow(number, REQUEST), 3_000), north);
    }
    open_at(&mut instance, south, 3_200);
}

/// Guards against requests beyond the limit while all targets of the service are in slow start:
/// anything that this instance sent would be in addition to what others send.
#[test]
fn callers_are_refused_at_once_while_all_targets_are_warming() {
    let mut instance = Instance::new(&[]);
    limit_slow_start_rate(&mut instance);
    let slow = Target { cold: millis(2_000), ..southern(2) };
    instance.learn(incremental(102, Content::Target(slow)), 100);

    instance.packet(segment(flow(1, REQUEST), Kind::Open), 200);

    assert_eq!(instance.out.resets, [(flow(1, REQUEST), 0, Refusal::Warming)]);
}

/// Guards against a service without targets after all of them were replaced: without a limit by
/// operators, a target in slow start gets fewer flows, but not none.
#[test]
fn targets_in_slow_start_are_used_if_their_rate_is_not_limited() {
    let slow = Target { cold: millis(2_000), ..southern(2) };
    let mut instance = Instance::new(std::slice::from_ref(&slow));

    assert_eq!(instance.open(flow(1, REQUEST), 100), slow.incarnation);
}

/// Changes by operators: revision, and whether the domain is evacuated.
fn operator_changes(count: usize) -> impl Strategy<Value = Vec<(u64, bool)>> {
    proptest::collection::vec(any::<bool>(), 1..count)
        .prop_map(|changes| (200..).zip(changes).collect())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// The operators' last change applies in any order and number of updates.
    #[test]
    fn the_last_change_applies_in_any_order(
        changes in operator_changes(8), order in proptest::collection::vec(any::<prop::sample::Index>(), 0..24)
    ) {
        let (mut instance, ..) = two_domains();
        let (last, is_evacuated) = *changes.last().expect("at least one change");
        let update_of = |(revision, evacuates): (u64, bool)| {
            if evacuates { evacuated(revision) } else { evacuation_ended(revision) }
        };
        for index in order {
            instance.learn(update_of(*index.get(&changes)), 10);
        }
        instance.learn(update_of((last, is_evacuated)), 20);
        instance.learn(update_of(changes[0]), 30);

        prop_assert_eq!(instance.forwarder.catalog().is_evacuated(&south()), is_evacuated);
    }
}

/// An instance of the evacuated domain and one target in each of two domains.
fn evacuated_home() -> (Instance, Incarnation, Incarnation) {
    let targets = [southern(2), target(1, "desk")];
    let mut instance = Instance::in_domain("south", &targets);
    instance.learn(evacuated(101), 10);
    let [own, other] = targets.map(|it| it.incarnation);
    (instance, own, other)
}

/// The same with the domain partitioned from others during its evacuation: neither the store
/// nor a target in another domain can be reached. Callers of this domain reach no other one,
/// and its targets are healthy.
fn partitioned_home() -> (Instance, Incarnation, Incarnation) {
    let (mut instance, own, other) = evacuated_home();
    assert_eq!(instance.establish(flow(1, REQUEST), 1_000), other);
    instance.forwarder.set_cut_off(true);
    instance.tick(3_000);
    (instance, own, other)
}

#[test]
fn a_partitioned_evacuated_domain_serves_its_callers() {
    let (mut instance, own, _) = partitioned_home();

    for number in 100..120 {
        assert_eq!(instance.open(flow(number, REQUEST), 3_010), own);
    }
    let is_expected = |note: &Note| matches!(note, Note::Stranded { .. });
    assert_eq!(instance.out.notes.iter().filter(|it| is_expected(it)).count(), 1);
}

/// The partition is over once a target in another domain or the store answers.
#[test]
fn an_evacuated_domain_is_unused_again_once_others_answer() {
    let (mut by_target, _, other) = partitioned_home();
    by_target.packet(middle(flow(1, REQUEST), other, 1001, 500, 100), 3_050);
    by_target.packet(middle(flow(1, REQUEST), other, 1101, 700, 0), 3_100);
    by_target.tick(3_100);
    let (mut by_store, ..) = partitioned_home();
    by_store.forwarder.set_cut_off(false);
    by_store.tick(3_100);

    assert_eq!(by_target.open(flow(200, REQUEST), 3_110), other);
    assert_eq!(by_store.open(flow(200, REQUEST), 3_110), other);
}

/// Guards against an evacuated domain that is used because only the store is down. The last
/// change by the operators applies.
#[test]
fn an_evacuated_domain_stays_unused_while_only_the_store_is_unreachable() {
    let (mut instance, _, other) = evacuated_home();
    instance.establish(flow(1, REQUEST), 2_900);
    instance.forwarder.set_cut_off(true);
    instance.tick(3_000);

    assert_eq!(instance.open(flow(100, REQUEST), 3_010), other);
}

/// Guards against an evacuated domain that is used because this instance was paused, and heard
/// neither the store nor targets in other domains meanwhile.
#[test]
fn an_evacuated_domain_stays_unused_after_a_pause() {
    let (mut instance, _, other) = evacuated_home();
    instance.establish(flow(1, REQUEST), 1_000);
    instance.forwarder.set_cut_off(true);

    instance.forwarder.resume(millis(4_000), &mut instance.out);
    instance.tick(4_000);

    assert_eq!(instance.open(flow(100, REQUEST), 4_010), other);
    instance.tick(5_100);
    assert_ne!(instance.open(flow(101, REQUEST), 5_110), other);
}

/// Guards against callers of a partitioned domain who are refused since the instance was paused.
#[test]
fn a_partitioned_evacuated_domain_serves_its_callers_after_a_pause() {
    let (mut instance, own, _) = partitioned_home();

    instance.forwarder.resume(millis(7_000), &mut instance.out);
    instance.tick(7_000);

    assert_eq!(instance.open(flow(100, REQUEST), 7_010), own);
}

/// Guards against an evacuated domain that is used because no target answers elsewhere. The
/// store does, so the end of the evacuation would have arrived.
#[test]
fn an_evacuated_domain_stays_unused_while_only_other_targets_are_silent() {
    let (mut instance, own, _) = evacuated_home();
    instance.establish(flow(1, REQUEST), 1_000);
    instance.tick(3_000);

    assert_ne!(instance.open(flow(100, REQUEST), 3_010), own);
}

/// Guards against an evacuated domain that is used although all domains are evacuated and the
/// store is down. Without usable targets elsewhere, silence doesn't show that this instance is
/// partitioned from others.
#[test]
fn an_evacuated_domain_stays_unused_if_all_are_evacuated() {
    let mut instance = Instance::in_domain("south", &[southern(2)]);
    instance.learn(evacuated(101), 10);
    instance.forwarder.set_cut_off(true);
    instance.tick(3_000);

    instance.packet(segment(flow(1, REQUEST), Kind::Open), 3_010);

    assert_eq!(instance.out.resets, [(flow(1, REQUEST), 0, Refusal::Evacuated)]);
}

/// Guards against callers who give up because their openings were sent to targets that can't be
/// reached any more.
#[test]
fn unanswered_openings_move_home_when_the_domain_is_partitioned() {
    let (mut instance, own, other) = evacuated_home();
    instance.establish(flow(1, REQUEST), 1_000);
    assert_eq!(instance.open(flow(50, REQUEST), 2_900), other);
    instance.out.sent.clear();

    instance.forwarder.set_cut_off(true);
    instance.tick(3_000);

    assert_eq!(instance.out.sent.len(), 1);
    assert_eq!(instance.last_target(), own);
}

/// Guards against targets in slow start that get more than their owner may open, while all
/// targets of the service are in slow start.
#[test]
fn an_owner_opens_flows_at_a_limited_rate_during_slow_start() {
    let mut instance = Instance::in_domain("south", &[]);
    limit_slow_start_rate(&mut instance);
    let slow = Target { cold: millis(5_000), ..southern(2) };
    instance.learn(incremental(102, Content::Target(slow.clone())), 0);
    instance.forwarder.set_seat(Some(Seat { position: 0, count: 1 }));

    for (number, now) in (0..).zip((100..3_100).step_by(100)) {
        instance.packet(segment(flow(number, REQUEST), Kind::Open), now);
        let at = slow.incarnation;
        instance.packet(middle(flow(number, REQUEST), at, 1001, 500, 0), now + 5);
    }

    assert_eq!(instance.forwarder.counts().opened, 6, "two per second: half of the target's limit");
    assert!(instance.out.resets.iter().all(|(.., why)| *why == Refusal::Warming));
}

/// Guards against two owners of a target in slow start: owners are in the target's domain, and
/// with that domain partitioned, an instance of another domain may assume to be the owner too.
#[test]
fn targets_in_slow_start_are_owned_within_their_domain() {
    let mut instance = Instance::new(&[]);
    limit_slow_start_rate(&mut instance);
    let slow = Target { cold: millis(5_000), ..southern(2) };
    instance.learn(incremental(102, Content::Target(slow)), 0);
    instance.forwarder.set_seat(Some(Seat { position: 0, count: 1 }));

    instance.packet(segment(flow(1, REQUEST), Kind::Open), 100);

    assert_eq!(instance.out.resets, [(flow(1, REQUEST), 0, Refusal::Warming)]);
}
