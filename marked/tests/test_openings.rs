//! Targets of opening packets, and openings that are left unanswered.

use super::fixtures::{FEED, Instance, REQUEST, flow, incremental, middle, name, segment, target};
use medlarspur_marked::{Content, Incarnation, Kind, ProbeResult, Refusal};
use std::{collections::BTreeMap, net::SocketAddrV4};

#[test]
fn copies_of_an_opening_go_to_the_same_target() {
    let targets: Vec<_> = (1..=14).map(|number| target(number, "desk")).collect();
    let mut instance = Instance::new(&targets);
    let key = flow(1, FEED);

    let first = instance.open(key, 0);
    let second = instance.open(key, 200);
    let third = instance.open(key, 600);

    assert_eq!((second, third), (first, first));
    assert_eq!(instance.forwarder.counts().opened, 1);
}

#[test]
fn an_opening_without_a_route_is_reset_at_once() {
    let mut instance = Instance::new(&[target(1, "desk")]);
    let nowhere = flow(1, "198.18.9.9:1".parse().expect("an address"));

    instance.packet(segment(nowhere, Kind::Open), 0);

    assert_eq!(instance.out.resets, [(nowhere, 0, Refusal::NoRoute)]);
    assert!(instance.out.sent.is_empty());
}

/// Guards against callers who wait for nothing while all targets of a service leave. A reset at
/// once is correct: no packet of the flow was sent to any of them.
#[test]
fn an_opening_that_no_target_can_take_is_reset_at_once() {
    let mut leaving = target(1, "desk");
    leaving.leaving = true;
    let mut instance = Instance::new(&[leaving, target(2, "ingest")]);

    instance.packet(segment(flow(1, FEED), Kind::Open), 0);

    assert_eq!(instance.out.resets.len(), 1);
    assert_eq!(instance.out.resets[0].2, Refusal::NoTarget);
    assert!(instance.out.sent.is_empty());
}

#[test]
fn a_leaving_target_gets_no_new_flows_and_keeps_its_own() {
    let mut instance = Instance::new(&[target(1, "desk")]);
    let old = flow(1, FEED);
    let first = instance.establish(old, 0);
    let mut leaving = target(1, "desk");
    leaving.leaving = true;
    instance.learn(incremental(200, Content::Target(leaving)), 100);
    instance.learn(incremental(201, Content::Target(target(2, "desk"))), 100);

    for number in 10..40 {
        assert_ne!(instance.open(flow(number, FEED), 200), first);
    }
    instance.packet(middle(old, first, 1001, 500, 100), 300);

    assert_eq!(instance.last_target(), first);
}

/// Guards against late requests after the opening or its answer was lost. Callers repeat an
/// opening only after 200 ms, and a request with an objective of 150 ms is late by then.
#[test]
fn an_opening_without_answer_is_sent_again_soon() {
    let mut instance = Instance::new(&[target(1, "desk")]);
    instance.open(flow(1, REQUEST), 0);

    let due = instance.forwarder.deadline().expect("a check is due");
    assert!(due.0 <= 40);
    instance.tick(due.0);

    assert_eq!(instance.out.sent.len(), 2);
    assert_eq!(instance.out.probed.len(), 1);
}

#[test]
fn an_answered_opening_is_not_checked_any_more() {
    let mut instance = Instance::new(&[target(1, "desk")]);

    instance.establish(flow(1, REQUEST), 0);

    assert_eq!(instance.forwarder.deadline(), None);
}

/// Guards against callers who wait until their deadline for a target that crashed and stays
/// listed for seconds. Flows whose handshake has not ended move to another target, and open
/// flows are reset so that their callers open them again.
#[test]
fn flows_of_a_lost_target_are_moved_or_reset() {
    let mut instance = Instance::new(&[target(1, "desk"), target(2, "desk")]);
    let (mut open, mut opening) = (Vec::new(), Vec::new());
    for number in 0..20 {
        let key = flow(number, FEED);
        open.push((key, instance.establish(key, 0)));
    }
    for number in 20..40 {
        let key = flow(number, REQUEST);
        opening.push((key, instance.open(key, 10)));
    }
    let dead = open[0].1;
    instance.out.sent.clear();

    instance.forwarder.handle_probe_result(
        dead,
        ProbeResult::Gone,
        super::fixtures::millis(100),
        &mut instance.out,
    );

    let expected = open.iter().filter(|(_, at)| *at == dead).count();
    assert_eq!(instance.out.resets.len(), expected);
    assert!(instance.out.resets.iter().all(|(.., why)| *why == Refusal::TargetLost));
    let moved = opening.iter().filter(|(_, at)| *at == dead).count();
    assert_eq!(instance.out.sent.len(), moved);
    assert!(instance.out.sent.iter().all(|(to, ..)| *to != dead));
}

/// Guards against resets that callers ignore because they carry another sequence number than
/// the expected one.
#[test]
fn a_reset_carries_the_sequence_number_that_the_caller_expects() {
    let mut instance = Instance::new(&[target(1, "desk")]);
    let key = flow(1, FEED);
    let at = instance.establish(key, 0);
    instance.packet(middle(key, at, 1001, 7777, 100), 20);

    instance.forwarder.handle_probe_result(
        at,
        ProbeResult::Gone,
        super::fixtures::millis(100),
        &mut instance.out,
    );

    assert_eq!(instance.out.resets, [(key, 7777, Refusal::TargetLost)]);
}

/// Guards against a target that stays out of use until it restarts after a network partition
/// has ended.
#[test]
fn a_lost_target_is_used_again_when_it_answers() {
    let mut instance = Instance::new(&[target(1, "desk")]);
    let only = target(1, "desk").incarnation;
    let answer = |instance: &mut Instance, result, now| {
        instance.forwarder.handle_probe_result(
            only,
            result,
            super::fixtures::millis(now),
            &mut instance.out,
        );
    };
    answer(&mut instance, ProbeResult::Silent, 100);
    instance.packet(segment(flow(1, FEED), Kind::Open), 150);
    assert_eq!(instance.out.resets.len(), 1);

    let due = instance.forwarder.deadline().expect("a probe is due").0;
    instance.tick(due);
    assert_eq!(instance.out.probed, [only]);
    answer(&mut instance, ProbeResult::Answers, due + 3);

    assert_eq!(instance.open(flow(2, FEED), due + 10), only);
}

/// Guards against a service that ends with the store: entries lapse needlessly while the store
/// is unreachable, and their targets are alive.
#[test]
fn a_target_whose_entry_lapsed_is_used_while_it_answers() {
    let mut instance = Instance::new(&[target(1, "desk")]);
    let only = target(1, "desk").incarnation;
    instance.learn(incremental(200, Content::Removed(name(1))), 1000);
    assert_eq!(instance.out.probed, [only]);
    instance.forwarder.handle_probe_result(
        only,
        ProbeResult::Answers,
        super::fixtures::millis(1010),
        &mut instance.out,
    );

    assert_eq!(instance.open(flow(1, FEED), 1020), only);
    instance.packet(segment(flow(2, FEED), Kind::Open), 4100);

    assert_eq!(instance.out.resets.len(), 1, "not used 3 s after the entry lapsed");
}

/// Opens `count` flows of a class and returns the number that each target gets.
fn spread(service: SocketAddrV4, count: u16) -> BTreeMap<Incarnation, u32> {
    let targets: Vec<_> = (1..=14).map(|number| target(number, "desk")).collect();
    let mut instance = Instance::new(&targets);
    let mut counts = BTreeMap::new();
    for number in 0..count {
        *counts.entry(instance.establish(flow(number, service), 0)).or_default() += 1;
    }
    counts
}

#[test]
fn requests_spread_evenly_over_equal_targets() {
    let targets: Vec<_> = (1..=14).map(|number| target(number, "desk")).collect();
    let mut instance = Instance::new(&targets);
    let mut counts = BTreeMap::<Incarnation, u32>::new();
    for number in 0..140 {
        let key = flow(number, REQUEST);
        let at = instance.establish(key, 0);
        instance.packet(middle(key, at, 1001, 500, 100), 6);
        *counts.entry(at).or_default() += 1;
    }

    assert_eq!(counts.len(), 14);
    assert!(counts.values().all(|count| *count == 10), "{counts:?}");
}

/// Of 14 targets, five are left to requests.
#[test]
fn feeds_spread_evenly_over_targets_not_reserved_for_requests() {
    let counts = spread(FEED, 90);

    assert_eq!(counts.len(), 9);
    assert!(counts.values().all(|count| *count == 10), "{counts:?}");
}

/// Beyond some number of feeds, using the other targets is better than long queues.
#[test]
fn very_many_feeds_use_all_targets() {
    assert_eq!(spread(FEED, 280).len(), 14);
}

/// Guards against a target that gets no more flows because records of flows without a closing
/// packet count as work forever.
#[test]
fn records_of_idle_flows_are_removed() {
    let mut instance = Instance::new(&[target(1, "desk")]);
    let key = flow(1, REQUEST);
    let at = instance.establish(key, 0);
    instance.packet(middle(key, at, 1001, 500, 100), 10);
    instance.open(flow(2, FEED), 20);

    instance.establish(flow(3, FEED), 20_000);

    assert_eq!(instance.forwarder.len(), 1);
}

/// Guards against an opening sent to the target of an earlier flow of the same ports, which
/// another instance opened and whose record still exists. The route may lead to another service
/// now.
#[test]
fn an_opening_does_not_follow_the_record_of_an_earlier_flow() {
    let mut instance = Instance::new(&[target(1, "desk"), target(5, "ingest")]);
    let key = flow(1, super::fixtures::UPLOAD);
    let earlier = target(1, "desk").incarnation;
    instance.packet(middle(key, earlier, 1001, 500, 10), 0);

    assert_eq!(instance.open(key, 0), target(5, "ingest").incarnation);
}

/// Guards against suspicion of other targets because one process has ended and its machine
/// refuses connections.
#[test]
fn a_target_that_is_gone_raises_no_suspicion_of_others() {
    let mut instance = Instance::new(&[target(1, "desk"), target(2, "desk")]);
    for number in 0..10 {
        instance.establish(flow(number, FEED), 0);
    }
    let now = super::fixtures::millis(1_000);
    let gone = target(1, "desk").incarnation;

    instance.forwarder.handle_probe_result(gone, ProbeResult::Gone, now, &mut instance.out);

    assert!(instance.out.probed.is_empty());
}

/// Guards against flows of a healthy target that are reset by an outdated probe result: the
/// target answers other flows while it is probed, or this machine was too busy to receive the
/// answer.
#[test]
fn a_target_that_answered_other_flows_while_probed_is_not_lost() {
    let mut instance = Instance::new(&[target(1, "desk")]);
    let key = flow(1, FEED);
    let at = instance.establish(key, 0);
    instance.packet(middle(key, at, 1001, 500, 100), 1_000);
    instance.packet(middle(key, at, 1001, 500, 100), 1_200);
    assert_eq!(instance.out.probed, [at]);
    instance.packet(middle(key, at, 1101, 2500, 0), 1_250);

    let now = super::fixtures::millis(1_320);
    instance.forwarder.handle_probe_result(at, ProbeResult::Silent, now, &mut instance.out);

    assert!(instance.out.resets.is_empty());
    assert_eq!(instance.open(flow(2, FEED), 1_330), at);
}

/// Guards against feeds that fill all targets, so that requests wait behind them during
/// overload. Two instances that never communicated leave the same targets to requests.
#[test]
fn feeds_leave_the_same_targets_to_requests_at_all_instances() {
    let targets: Vec<_> = (1..=10).map(|number| target(number, "desk")).collect();
    let placed = || {
        let mut instance = Instance::new(&targets);
        instance.record_answers(FEED, 73, 50);
        instance.record_answers(REQUEST, 60, 40);
        let feeds = (0..28).map(|number| instance.establish(flow(number, FEED), 1_000));
        let feeds: std::collections::BTreeSet<Incarnation> = feeds.collect();
        let requests = (100..108).map(|number| instance.establish(flow(number, REQUEST), 1_000));
        (feeds.clone(), requests.filter(|it| !feeds.contains(it)).count())
    };

    let ((first, requests), (second, _)) = (placed(), placed());

    assert_eq!(first, second);
    assert!(first.len() < 10, "feeds leave out some targets");
    assert!(requests >= 4, "requests use these targets");
}

/// Guards against a moved opening that is checked at the time of its first target: the new
/// target would get the opening twice and be probed without having had the time to answer.
#[test]
fn a_moved_opening_is_checked_at_a_time_of_its_own() {
    let mut instance = Instance::new(&[target(1, "desk"), target(2, "desk")]);
    let first = instance.open(flow(1, REQUEST), 0);
    instance.forwarder.handle_probe_result(
        first,
        ProbeResult::Gone,
        super::fixtures::millis(25),
        &mut instance.out,
    );
    instance.out.sent.clear();
    instance.out.probed.clear();

    instance.tick(35);
    assert!(instance.out.sent.is_empty() && instance.out.probed.is_empty());
    instance.tick(60);

    assert_eq!(instance.out.sent.len(), 1, "sent again after its own timeout");
}
