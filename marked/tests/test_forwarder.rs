//! Packets in mid-flow.

use super::fixtures::{FEED, Instance, REQUEST, flow, incremental, middle, segment, target};
use medlarspur_marked::{Content, Kind, Mark, ProbeResult, Segment};

/// News of a target reaches one instance later than another. A packet of a flow
/// there must not go to a wrong target, which would reset it, and the instance
/// must not reset it either: the flow is well.
#[test]
fn a_packet_with_an_unknown_mark_goes_nowhere_and_is_not_reset() {
    let mut instance = Instance::new(&[target(1, "desk")]);
    let unknown = target(2, "desk").incarnation;

    instance.packet(middle(flow(1, FEED), unknown, 1001, 500, 100), 0);

    assert!(instance.out.sent.is_empty() && instance.out.resets.is_empty());
    assert_eq!(instance.forwarder.counts().unknown, 1);
}

#[test]
fn a_packet_in_mid_flow_without_a_mark_goes_nowhere() {
    let mut instance = Instance::new(&[target(1, "desk")]);

    instance.packet(segment(flow(1, FEED), Kind::Middle), 0);

    assert!(instance.out.sent.is_empty() && instance.out.resets.is_empty());
    assert_eq!(instance.forwarder.counts().unmarked, 1);
}

/// An entry vanishes while its target serves on: it lapsed, or the target takes
/// long to go after it was removed. Its flows are well and must go on.
#[test]
fn flows_of_a_removed_target_go_on() {
    let mut instance = Instance::new(&[target(1, "desk"), target(2, "desk")]);
    let key = flow(1, FEED);
    let at = instance.establish(key, 0);
    instance.learn(incremental(200, Content::Removed(super::fixtures::name(1))), 100);

    instance.packet(middle(key, at, 1001, 500, 100), 30_000);

    assert_eq!(instance.last_target(), at);
    assert!(instance.out.resets.is_empty());
}

/// A new config drops a route or leads it to another service. Feeds that are
/// open stay where they are.
#[test]
fn an_open_flow_stays_when_its_route_moves() {
    let mut instance = Instance::new(&[target(1, "desk"), target(2, "ingest")]);
    let key = flow(1, FEED);
    let at = instance.establish(key, 0);
    let mut config = super::fixtures::config(2);
    config.routes[0].shares[0].service = medlarspur_lib::ids::ServiceName::new("ingest");
    instance.learn(incremental(300, Content::Config(config)), 100);

    instance.packet(middle(key, at, 1001, 500, 100), 200);
    assert_eq!(instance.last_target(), at);

    assert_eq!(instance.open(flow(2, FEED), 200), target(2, "ingest").incarnation);
}

/// A request to a dead target would wait until the caller's time is over. The
/// caller's repetition gives the target away; others answer meanwhile.
#[test]
fn a_repeated_request_has_its_target_asked() {
    let mut instance = Instance::new(&[target(1, "desk"), target(2, "ingest")]);
    instance.record_answers(FEED, 20, 40);
    let key = flow(1, REQUEST);
    let at = instance.establish(key, 0);
    instance.packet(middle(key, at, 1001, 500, 100), 10);

    instance.packet(middle(key, at, 1001, 500, 100), 210);

    assert_eq!(instance.out.probed, [at]);
    assert_eq!(instance.forwarder.counts().repeated, 1);
    instance.establish(flow(2, super::fixtures::UPLOAD), 250);
    let now = super::fixtures::millis(300);
    instance.forwarder.answer(at, ProbeResult::Silent, now, &mut instance.out);
    assert_eq!(instance.out.resets.len(), 1);
}

/// This machine's own link is full for a moment, so no target is heard. Resets
/// would break flows whose targets are well: at a site of 300 machines, pictures
/// for others that started filled links of 10 Mbit/s, and dozens of flows were
/// reset. Another target is asked beside the silent one.
#[test]
fn a_machine_that_hears_nobody_resets_nothing_at_first() {
    let mut instance = Instance::new(&[target(1, "desk"), target(2, "ingest")]);
    let key = flow(1, REQUEST);
    let at = instance.establish(key, 0);
    instance.packet(middle(key, at, 1001, 500, 100), 10);
    instance.packet(middle(key, at, 1001, 500, 100), 210);
    instance.out.probed.clear();
    let silent = |instance: &mut Instance, now| {
        let now = super::fixtures::millis(now);
        instance.forwarder.answer(at, ProbeResult::Silent, now, &mut instance.out);
    };

    silent(&mut instance, 510);

    assert!(instance.out.resets.is_empty());
    assert_eq!(instance.out.probed, [target(2, "ingest").incarnation, at]);
    silent(&mut instance, 810);
    silent(&mut instance, 1_110);
    assert!(instance.out.resets.is_empty());
    silent(&mut instance, 1_410);
    assert_eq!(instance.out.resets.len(), 1, "in the end it is");
}

/// Ten targets are silent in the same moment, as they are behind a link that is
/// full. That they are many says no more than one alone.
#[test]
fn many_silences_at_once_are_no_proof() {
    let targets: Vec<_> = (1..=10).map(|number| target(number, "desk")).collect();
    let mut instance = Instance::new(&targets);
    for number in 0..40 {
        instance.establish(flow(number, FEED), 0);
    }
    let silent = |instance: &mut Instance, now: u64| {
        for it in &targets {
            let now = super::fixtures::millis(now);
            instance.forwarder.answer(it.incarnation, ProbeResult::Silent, now, &mut instance.out);
        }
    };
    for number in 0..40 {
        let key = flow(number, FEED);
        let at = instance.out.sent[usize::from(number) * 2].0;
        instance.packet(middle(key, at, 1001, 500, 100), 1_000);
        instance.packet(middle(key, at, 1001, 500, 100), 1_200);
    }

    silent(&mut instance, 1_500);
    assert!(instance.out.resets.is_empty());
    silent(&mut instance, 1_800);
    assert!(instance.out.resets.is_empty());
    silent(&mut instance, 2_400);
    assert_eq!(instance.out.resets.len(), 40, "in the end they are lost");
}

/// A flow that another instance opened at a target that is lost here.
#[test]
fn a_packet_for_a_lost_target_is_answered_by_a_reset() {
    let mut instance = Instance::new(&[target(1, "desk")]);
    let at = target(1, "desk").incarnation;
    instance.forwarder.answer(at, ProbeResult::Gone, super::fixtures::millis(0), &mut instance.out);

    instance.packet(middle(flow(1, FEED), at, 1001, 4242, 100), 10);

    assert_eq!(instance.out.resets.len(), 1);
    assert_eq!(instance.out.resets[0].1, 4242);
}

#[test]
fn a_closed_flow_has_no_record_and_its_last_packets_still_pass() {
    let mut instance = Instance::new(&[target(1, "desk")]);
    let key = flow(1, REQUEST);
    let at = instance.establish(key, 0);
    let close = Segment { kind: Kind::Close, ..middle(key, at, 1101, 900, 0) };

    instance.packet(close, 50);
    assert!(instance.forwarder.is_empty());
    instance.packet(close, 250);
    instance.packet(middle(key, at, 1102, 901, 0), 260);

    assert_eq!(instance.out.sent.len(), 5);
    assert!(instance.forwarder.is_empty());
}

#[test]
fn the_mark_is_written_into_every_packet_that_is_sent_on() {
    let mut instance = Instance::new(&[target(1, "desk")]);
    let key = flow(1, FEED);

    let at = instance.establish(key, 0);

    assert!(instance.out.sent.iter().all(|(_, mark, _)| *mark == Mark::new(at, &key)));
}

#[test]
fn times_are_measured_for_service_and_class() {
    use super::fixtures::millis;
    use medlarspur_lib::bundle::Class;
    use medlarspur_marked::Span;
    let mut instance = Instance::new(&[target(1, "desk")]);
    let key = flow(1, REQUEST);
    let at = instance.establish(key, 0);
    instance.packet(middle(key, at, 1001, 500, 100), 10);
    instance.packet(middle(key, at, 1101, 900, 0), 52);
    instance.packet(Segment { kind: Kind::Close, ..middle(key, at, 1101, 900, 0) }, 60);

    let spans: Vec<Span> = instance.out.spans.iter().map(|(.., span)| *span).collect();
    let expected = [Span::Handshake(millis(5)), Span::Answer(millis(42)), Span::Length(millis(60))];
    assert_eq!(spans, expected);
    let mut of = instance.out.spans.iter();
    assert!(of.all(|(service, class, _)| service.as_str() == "desk" && *class == Class::Request));
}
