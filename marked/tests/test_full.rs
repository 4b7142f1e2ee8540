//! Targets without capacity for another flow, and how they are distinguished from dead ones.

use super::fixtures::{
    FEED, Instance, REQUEST, copy, flow, incremental, middle, millis, segment, target,
};
use medlarspur_lib::status::TargetUse;
use medlarspur_marked::{Content, FlowKey, Incarnation, Kind, Note, ProbeResult, Refusal};

/// Two targets whose answers take 40 ms; the first has an open feed.
fn two_targets() -> (Instance, FlowKey, Incarnation) {
    let mut instance = Instance::new(&[target(1, "desk"), target(2, "desk")]);
    instance.record_answers(FEED, 20, 40);
    let key = flow(1, FEED);
    let at = instance.establish(key, 100);
    (instance, key, at)
}

fn report_silent(instance: &mut Instance, at: Incarnation, now: u64) {
    instance.forwarder.handle_probe_result(at, ProbeResult::Silent, millis(now), &mut instance.out);
}

/// Opens flows until one goes to `at`.
fn open_at(
    instance: &mut Instance,
    at: Incarnation,
    numbers: std::ops::Range<u16>,
    now: u64,
) -> FlowKey {
    let mut keys = numbers.map(|number| flow(number, REQUEST));
    keys.find(|key| instance.open(*key, now) == at).expect("a flow is opened there")
}

/// Opens flows until one goes elsewhere; returns it and its target.
fn open_other(
    instance: &mut Instance,
    at: Incarnation,
    numbers: std::ops::Range<u16>,
    now: u64,
) -> (FlowKey, Incarnation) {
    let mut keys = numbers.map(|number| flow(number, REQUEST));
    let mut opened = keys.by_ref().map(|key| (key, instance.open(key, now)));
    opened.find(|(_, to)| *to != at).expect("a flow is opened elsewhere")
}

/// The target in a flow's record.
fn target_of(instance: &Instance, key: FlowKey) -> Option<Incarnation> {
    let name = instance.forwarder.explain(&key, None, millis(0)).target?.name;
    instance.forwarder.catalog().latest(&name).map(|entry| entry.target.incarnation)
}

fn usage(instance: &Instance, at: Incarnation, now: u64) -> TargetUse {
    instance.usage(flow(9_999, FEED), at, now)
}

/// Guards against flows of a full target that are reset as if it were dead.
#[test]
fn a_target_that_answers_open_flows_and_no_openings_keeps_its_flows() {
    let (mut instance, feed, at) = two_targets();
    let opening = open_at(&mut instance, at, 10..30, 1_000);
    instance.tick(1_030);
    instance.packet(middle(feed, at, 1001, 500, 100), 1_040);
    instance.packet(middle(feed, at, 1101, 700, 0), 1_090);
    instance.packet(copy(opening, 1), 1_200);

    report_silent(&mut instance, at, 1_330);

    assert!(instance.out.resets.is_empty());
    assert_ne!(instance.last_target(), at, "the opening moved to the other target");
    assert_eq!(usage(&instance, at, 1_340), TargetUse::Full);
    for number in 40..60 {
        assert_ne!(instance.open(flow(number, FEED), 1_340), at);
    }
    instance.packet(middle(feed, at, 1101, 700, 100), 1_400);
    assert_eq!(instance.last_target(), at);
    let is_expected = |note: &Note| matches!(note, Note::Full { target, .. } if *target == at);
    assert_eq!(instance.out.notes.iter().filter(|note| is_expected(note)).count(), 1);
    assert!(instance.forwarder.explain(&opening, None, millis(1_400)).target.is_some());
}

/// Guards against resets of idle flows, which have no request that could be unanswered.
#[test]
fn idle_flows_of_a_silent_target_are_not_reset() {
    let (mut instance, _, at) = two_targets();
    open_at(&mut instance, at, 10..30, 1_000);
    instance.tick(1_030);
    instance.establish(flow(90, REQUEST), 1_100);

    report_silent(&mut instance, at, 1_330);
    for now in (1_340..9_000).step_by(20) {
        instance.tick(now);
    }

    assert!(instance.out.resets.is_empty());
}

/// Guards against callers who wait at a dead target that could be taken for full.
#[test]
fn open_flows_of_a_dead_target_are_reset_at_once() {
    let (mut instance, feed, at) = two_targets();
    instance.packet(middle(feed, at, 1001, 500, 100), 1_000);
    open_at(&mut instance, at, 10..30, 1_010);
    instance.tick(1_040);
    instance.packet(middle(feed, at, 1001, 500, 100), 1_200);
    instance.establish(flow(90, REQUEST), 1_250);

    report_silent(&mut instance, at, 1_340);

    assert_eq!(instance.out.resets.len(), 1);
    assert_eq!(instance.out.resets[0].0, feed);
    assert_eq!(instance.out.resets[0].2, Refusal::TargetLost);
    assert_eq!(usage(&instance, at, 1_350), TargetUse::Lost);
}

/// Guards against a dead target whose loss each of its idle feeds must detect separately.
#[test]
fn the_first_unanswered_feed_of_a_silent_target_has_all_reset() {
    let (mut instance, feed, at) = two_targets();
    let other = flow(2, FEED);
    instance.packet(middle(other, at, 1001, 500, 0), 200);
    instance.packet(middle(other, at, 1001, 500, 100), 210);
    instance.packet(middle(other, at, 1101, 700, 0), 260);
    open_at(&mut instance, at, 10..30, 1_000);
    instance.tick(1_030);
    instance.establish(flow(90, REQUEST), 1_100);
    report_silent(&mut instance, at, 1_330);
    assert!(instance.out.resets.is_empty());

    instance.packet(middle(feed, at, 1001, 500, 100), 2_000);
    instance.packet(middle(feed, at, 1001, 500, 100), 2_200);
    instance.tick(2_249);
    assert!(instance.out.resets.is_empty());
    instance.tick(2_250);

    let mut reset: Vec<_> = instance.out.resets.iter().map(|(key, ..)| *key).collect();
    reset.sort();
    assert_eq!(reset, [feed, other]);
}

/// Guards against flows reset by an instance that started during overload and sees few answers.
#[test]
fn a_silent_target_is_lost_later_while_answer_times_are_unknown() {
    let mut instance = Instance::new(&[target(1, "desk"), target(2, "desk")]);
    let key = flow(1, FEED);
    let at = instance.establish(key, 0);
    instance.packet(middle(key, at, 1001, 500, 100), 100);
    instance.packet(middle(key, at, 1001, 500, 100), 300);
    instance.establish(flow(90, REQUEST), 400);

    report_silent(&mut instance, at, 600);

    assert!(instance.out.resets.is_empty());
    instance.tick(1_099);
    assert!(instance.out.resets.is_empty());
    instance.tick(1_100);
    assert_eq!(instance.out.resets.len(), 1);
}

/// Guards against callers who wait at a silent target whose entry is gone as well, which does
/// not happen to full targets.
#[test]
fn a_silent_target_whose_entry_was_removed_is_lost() {
    let (mut instance, feed, at) = two_targets();
    let name = instance.forwarder.catalog().entry(at).expect("known").target.name.clone();
    instance.learn(incremental(200, Content::Removed(name)), 1_000);
    instance.establish(flow(90, REQUEST), 1_100);

    report_silent(&mut instance, at, 1_300);

    assert_eq!(instance.out.resets.iter().map(|it| it.0).collect::<Vec<_>>(), [feed]);
}

/// Guards against callers who wait although all targets are known to be full.
#[test]
fn when_all_are_full_callers_are_refused_at_once() {
    let mut instance = Instance::new(&[target(1, "desk")]);
    let feed = flow(1, FEED);
    let at = instance.establish(feed, 0);
    let opening = flow(2, REQUEST);
    instance.open(opening, 1_000);
    instance.tick(1_030);
    instance.packet(middle(feed, at, 1001, 500, 100), 1_050);
    instance.packet(middle(feed, at, 1101, 700, 0), 1_100);
    instance.packet(copy(opening, 1), 1_200);

    report_silent(&mut instance, at, 1_330);
    instance.packet(segment(flow(3, REQUEST), Kind::Open), 1_340);

    let refused: Vec<_> = instance.out.resets.iter().map(|it| (it.0, it.2)).collect();
    assert_eq!(refused, [(opening, Refusal::Full), (flow(3, REQUEST), Refusal::Full)]);
}

/// Guards against many openings for the one slot that became free.
#[test]
fn a_full_target_is_tried_by_one_opening_at_a_time() {
    let (mut instance, _, at) = two_targets();
    open_at(&mut instance, at, 10..30, 1_000);
    instance.tick(1_030);
    instance.forwarder.handle_probe_result(
        at,
        ProbeResult::Declines,
        millis(1_330),
        &mut instance.out,
    );
    instance.out.probed.clear();
    instance.tick(1_830);
    assert!(instance.out.probed.contains(&at), "probed again after 500 ms");

    instance.forwarder.handle_probe_result(
        at,
        ProbeResult::Answers,
        millis(1_835),
        &mut instance.out,
    );
    let trial = open_at(&mut instance, at, 100..120, 1_840);
    for number in 120..140 {
        assert_ne!(instance.open(flow(number, FEED), 1_845), at, "only one opening at a time");
    }
    instance.tick(1_870);
    instance.tick(1_931);

    assert_ne!(
        instance.forwarder.explain(&trial, None, millis(1_871)).target.map(|it| it.name),
        instance.forwarder.catalog().entry(at).map(|it| it.target.name.clone())
    );
    assert_eq!(usage(&instance, at, 1_871), TargetUse::Full);
    instance.out.probed.clear();
    instance.tick(2_900);
    assert!(!instance.out.probed.contains(&at), "the backoff has doubled");
    instance.tick(2_931);
    assert!(instance.out.probed.contains(&at));
}

/// Guards against a slot that stays empty until the next probe.
#[test]
fn the_slot_of_an_ended_flow_is_filled() {
    let (mut instance, feed, at) = two_targets();
    open_at(&mut instance, at, 10..30, 1_000);
    instance.tick(1_030);
    instance.forwarder.handle_probe_result(
        at,
        ProbeResult::Declines,
        millis(1_033),
        &mut instance.out,
    );

    let mut end = middle(feed, at, 1001, 500, 0);
    end.kind = Kind::Close;
    instance.packet(end, 1_100);
    let next = open_at(&mut instance, at, 100..120, 1_110);
    instance.packet(middle(next, at, 1001, 500, 0), 1_118);

    for number in 120..140 {
        assert_ne!(instance.open(flow(number, FEED), 1_120), at, "one flow per free slot");
    }
}

/// Guards against feeds that take each slot that a request frees.
#[test]
fn the_slot_of_an_ended_request_is_reserved_for_requests() {
    let (mut instance, _, at) = two_targets();
    let request = open_at(&mut instance, at, 200..220, 500);
    instance.packet(middle(request, at, 1001, 500, 100), 508);
    open_at(&mut instance, at, 10..30, 1_000);
    instance.tick(1_030);
    instance.forwarder.handle_probe_result(
        at,
        ProbeResult::Declines,
        millis(1_033),
        &mut instance.out,
    );
    let mut end = middle(request, at, 1101, 700, 0);
    end.kind = Kind::Close;
    instance.packet(end, 1_100);

    for number in 100..120 {
        assert_ne!(instance.open(flow(number, FEED), 1_110), at);
    }
    open_at(&mut instance, at, 120..140, 1_120);
}

#[test]
fn a_target_that_accepts_openings_again_is_no_longer_full() {
    let (mut instance, _, at) = two_targets();
    open_at(&mut instance, at, 10..30, 1_000);
    instance.tick(1_030);
    instance.forwarder.handle_probe_result(
        at,
        ProbeResult::Declines,
        millis(1_330),
        &mut instance.out,
    );
    instance.forwarder.handle_probe_result(
        at,
        ProbeResult::Answers,
        millis(1_835),
        &mut instance.out,
    );

    for round in 0..8 {
        assert_eq!(usage(&instance, at, 1_840), TargetUse::Full);
        let key = open_at(&mut instance, at, 100 + round * 50..150 + round * 50, 1_840);
        instance.packet(middle(key, at, 1001, 500, 0), 1_850);
    }

    assert_eq!(usage(&instance, at, 1_860), TargetUse::Good);
    let is_expected = |note: &Note| matches!(note, Note::Vacant { target } if *target == at);
    assert_eq!(instance.out.notes.iter().filter(|note| is_expected(note)).count(), 1);
    assert_eq!(instance.forwarder.count_full(), 0);
}

/// Guards against a lost target that stays out of use after its entry has come back.
#[test]
fn a_lost_target_that_is_listed_again_is_probed() {
    let mut instance = Instance::new(&[target(1, "desk")]);
    let it = target(1, "desk");
    let at = it.incarnation;
    instance.forwarder.handle_probe_result(at, ProbeResult::Gone, millis(1_000), &mut instance.out);
    instance.learn(incremental(200, Content::Removed(it.name.clone())), 1_100);
    instance.tick(3_000);
    instance.out.probed.clear();

    instance.learn(incremental(201, Content::Target(it)), 4_000);
    instance.tick(4_500);

    assert_eq!(instance.out.probed, [at]);
    instance.forwarder.handle_probe_result(
        at,
        ProbeResult::Answers,
        millis(4_510),
        &mut instance.out,
    );
    assert_eq!(instance.open(flow(5, FEED), 4_520), at);
}

/// Guards against a target that all instances probe at the moment when a network partition
/// ends.
#[test]
fn instances_probe_a_relisted_target_at_different_times() {
    let it = target(1, "desk");
    let at = it.incarnation;
    let mut instances: Vec<Instance> =
        (0..160).map(|seed| Instance::with_seed(std::slice::from_ref(&it), seed)).collect();
    for instance in &mut instances {
        instance.forwarder.handle_probe_result(
            at,
            ProbeResult::Gone,
            millis(1_000),
            &mut instance.out,
        );
        instance.learn(incremental(200, Content::Removed(it.name.clone())), 1_100);
        instance.tick(3_000);
        instance.out.probed.clear();
        instance.learn(incremental(201, Content::Target(it.clone())), 4_000);
    }

    let mut most = 0;
    for now in (4_000..=4_500).step_by(10) {
        let mut probed = 0;
        for instance in &mut instances {
            instance.tick(now);
            probed += instance.out.probed.drain(..).count();
        }
        most = most.max(probed);
    }

    assert!(most <= 16, "{most} of 160 probes at once");
}

/// Guards against openings of distant callers that are all sent twice.
#[test]
fn the_opening_timeout_follows_the_handshakes_of_distant_callers() {
    let mut instance = Instance::new(&[target(1, "desk"), target(2, "desk")]);
    for number in 0..20 {
        let key = flow(number, REQUEST);
        let at = instance.open(key, u64::from(number) * 100);
        instance.packet(middle(key, at, 1001, 500, 0), u64::from(number) * 100 + 64);
    }
    instance.out = Default::default();

    instance.open(flow(50, REQUEST), 5_000);
    instance.tick(5_070);

    assert!(instance.out.probed.is_empty());
    assert_eq!(instance.out.sent.len(), 1);
    instance.tick(5_150);
    assert_eq!(instance.out.probed.len(), 1, "probed after the maximum timeout");
}

/// Guards against a wait for a silent target that has already declined.
#[test]
fn a_target_that_declines_probes_and_openings_is_full_at_once() {
    let (mut instance, _, at) = two_targets();
    open_at(&mut instance, at, 10..30, 1_000);
    instance.tick(1_030);

    instance.forwarder.handle_probe_result(
        at,
        ProbeResult::Declines,
        millis(1_033),
        &mut instance.out,
    );

    assert_eq!(usage(&instance, at, 1_034), TargetUse::Full);
    assert_ne!(instance.last_target(), at, "the opening moved to the other target");
    assert!(instance.out.resets.is_empty());
}

/// Guards against targets that count as full because a connection was reset on the way. No
/// opening is unanswered, so the declined probe proves nothing.
#[test]
fn a_declined_probe_alone_leaves_a_target_in_use() {
    let (mut instance, feed, at) = two_targets();
    instance.packet(middle(feed, at, 1001, 500, 100), 1_000);
    instance.packet(middle(feed, at, 1001, 500, 100), 1_200);

    instance.forwarder.handle_probe_result(
        at,
        ProbeResult::Declines,
        millis(1_210),
        &mut instance.out,
    );

    assert_eq!(usage(&instance, at, 1_600), TargetUse::Good);
}

/// Guards against resets of the last flows of a leaving target, which stops listening before
/// they end.
#[test]
fn a_leaving_target_that_refuses_probes_keeps_its_flows() {
    let (mut instance, feed, at) = two_targets();
    let mut leaving = instance.forwarder.catalog().entry(at).expect("known").target.clone();
    leaving.leaving = true;
    instance.learn(incremental(200, Content::Target(leaving)), 500);
    instance.packet(middle(feed, at, 1001, 500, 100), 1_000);

    instance.forwarder.handle_probe_result(at, ProbeResult::Gone, millis(1_020), &mut instance.out);

    assert!(instance.out.resets.is_empty());
    instance.packet(middle(feed, at, 1101, 700, 0), 1_060);
    assert_eq!(instance.last_target(), at);
}

/// Guards against callers who wait at a target that answers probes, which take one connection
/// for a moment, and no openings.
#[test]
fn openings_that_a_live_target_leaves_unanswered_move() {
    let (mut instance, _, at) = two_targets();
    let first = open_at(&mut instance, at, 200..230, 1_000);
    let second = open_at(&mut instance, at, 230..300, 1_000);
    instance.tick(1_030);
    instance.forwarder.handle_probe_result(
        at,
        ProbeResult::Answers,
        millis(1_032),
        &mut instance.out,
    );
    for it in [target(1, "desk"), target(2, "desk")] {
        instance.forwarder.handle_probe_result(
            it.incarnation,
            ProbeResult::Answers,
            millis(1_033),
            &mut instance.out,
        );
    }
    let other = open_other(&mut instance, at, 300..900, 1_040);
    instance.packet(middle(other.0, other.1, 1001, 500, 0), 1_048);

    instance.tick(1_062);

    assert_eq!(usage(&instance, at, 1_063), TargetUse::Full);
    for key in [first, second] {
        assert_ne!(target_of(&instance, key), Some(at));
    }
}

/// Guards against openings moved by an instance at which no handshakes end any more.
#[test]
fn openings_do_not_move_while_no_later_one_is_answered() {
    let (mut instance, _, at) = two_targets();
    let first = open_at(&mut instance, at, 200..230, 1_000);
    open_at(&mut instance, at, 230..300, 1_000);
    instance.tick(1_030);
    instance.forwarder.handle_probe_result(
        at,
        ProbeResult::Answers,
        millis(1_032),
        &mut instance.out,
    );

    for now in (1_040..1_400).step_by(10) {
        instance.tick(now);
    }

    assert_eq!(usage(&instance, at, 1_400), TargetUse::Good);
    assert_eq!(target_of(&instance, first), Some(at));
}

/// Guards against longer waits at full targets because some handshakes took a second opening.
#[test]
fn openings_sent_twice_do_not_lengthen_the_timeout() {
    let mut instance = Instance::new(&[target(1, "desk"), target(2, "desk")]);
    for number in 0..40 {
        let (key, now) = (flow(number, REQUEST), u64::from(number) * 200);
        let at = instance.open(key, now);
        let late = number % 3 == 0;
        if late {
            instance.tick(now + 30);
        }
        let end = if late { now + 38 } else { now + 8 };
        instance.packet(middle(key, at, 1001, 500, 0), end);
    }
    instance.out = Default::default();

    instance.open(flow(50, REQUEST), 9_000);
    instance.tick(9_030);

    assert_eq!(instance.out.probed.len(), 1);
}

/// Guards against targets of a large site that look full because unanswered openings add up
/// over a day.
#[test]
fn openings_unanswered_seconds_apart_do_not_add_up() {
    let (mut instance, feed, at) = two_targets();
    let opening = |instance: &mut Instance, numbers, now| {
        let key = open_at(instance, at, numbers, now);
        instance.tick(now + 30);
        for it in [target(1, "desk"), target(2, "desk")] {
            let answers = ProbeResult::Answers;
            instance.forwarder.handle_probe_result(
                it.incarnation,
                answers,
                millis(now + 33),
                &mut instance.out,
            );
        }
        let other = open_other(instance, at, 400..900, now + 40);
        instance.packet(middle(other.0, other.1, 1001, 500, 0), now + 48);
        instance.tick(now + 62);
        key
    };
    opening(&mut instance, 200..230, 1_000);

    let second = opening(&mut instance, 1_000..1_300, 4_000);

    assert_eq!(usage(&instance, at, 4_070), TargetUse::Good);
    assert_eq!(target_of(&instance, second), Some(at));
    assert!(instance.forwarder.explain(&feed, None, millis(4_070)).target.is_some());
}

/// Number of probes that one of `instances` instances sends to a full target in the second half
/// of a minute.
fn probes_of_one(instances: usize) -> usize {
    let (mut instance, _, at) = two_targets();
    instance.forwarder.set_domain_size(instances);
    open_at(&mut instance, at, 10..30, 1_000);
    instance.tick(1_030);
    instance.forwarder.handle_probe_result(
        at,
        ProbeResult::Declines,
        millis(1_031),
        &mut instance.out,
    );
    for now in (1_340..60_000).step_by(20) {
        if now == 30_000 {
            instance.out.probed.clear();
        }
        let before = instance.out.probed.len();
        instance.tick(now);
        if instance.out.probed.len() > before {
            instance.forwarder.handle_probe_result(
                at,
                ProbeResult::Declines,
                millis(now + 1),
                &mut instance.out,
            );
        }
    }
    instance.out.probed.len()
}

/// Guards against a full target whose last connections are taken by the probes of hundreds of
/// instances.
#[test]
fn instances_of_a_large_fleet_probe_a_full_target_rarely() {
    let alone = probes_of_one(1);

    assert!((25..=31).contains(&alone), "one probe per second: {alone}");
    assert!(probes_of_one(80) <= alone / 8, "{}", probes_of_one(80));
}
