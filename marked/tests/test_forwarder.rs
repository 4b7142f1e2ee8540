//! Packets in mid-flow.

use super::fixtures::{FEED, Instance, REQUEST, flow, incremental, middle, segment, target};
use medlarspur_marked::{Content, Kind, Mark, ProbeResult, Segment};

/// Guards against healthy flows reset by an instance that learns of a target later than
/// another. Sent to another target, the packet would be answered with a reset as well.
#[test]
fn a_packet_with_an_unknown_mark_is_dropped_without_a_reset() {
    let mut instance = Instance::new(&[target(1, "desk")]);
    let unknown = target(2, "desk").incarnation;

    instance.packet(middle(flow(1, FEED), unknown, 1001, 500, 100), 0);

    assert!(instance.out.sent.is_empty() && instance.out.resets.is_empty());
    assert_eq!(instance.forwarder.counts().unknown, 1);
}

#[test]
fn a_packet_in_mid_flow_without_a_mark_is_dropped() {
    let mut instance = Instance::new(&[target(1, "desk")]);

    instance.packet(segment(flow(1, FEED), Kind::Continue), 0);

    assert!(instance.out.sent.is_empty() && instance.out.resets.is_empty());
    assert_eq!(instance.forwarder.counts().unmarked, 1);
}

/// Guards against healthy flows reset because the entry of their target is gone while the
/// target still serves: the entry lapsed, or the target takes long to stop after its removal.
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

/// Guards against open feeds that are moved when a new config drops their route or leads it to
/// another service.
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

/// Guards against requests to a dead target that wait until the caller's deadline. The caller's
/// retransmission makes the target suspected, while others answer.
#[test]
fn a_retransmitted_request_has_its_target_probed() {
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
    instance.forwarder.handle_probe_result(at, ProbeResult::Silent, now, &mut instance.out);
    assert_eq!(instance.out.resets.len(), 1);
}

/// Guards against healthy flows reset because this machine's own link is saturated for a
/// moment, so that no answers arrive. At a site of 300 machines, snapshots for starting
/// instances filled links of 10 Mbit/s, and dozens of flows were reset. Another target is
/// probed along with the silent one.
#[test]
fn an_isolated_machine_resets_nothing_at_first() {
    let mut instance = Instance::new(&[target(1, "desk"), target(2, "ingest")]);
    let key = flow(1, REQUEST);
    let at = instance.establish(key, 0);
    instance.packet(middle(key, at, 1001, 500, 100), 10);
    instance.packet(middle(key, at, 1001, 500, 100), 210);
    instance.out.probed.clear();
    let silent = |instance: &mut Instance, now| {
        let now = super::fixtures::millis(now);
        instance.forwarder.handle_probe_result(at, ProbeResult::Silent, now, &mut instance.out);
    };

    silent(&mut instance, 510);

    assert!(instance.out.resets.is_empty());
    assert_eq!(instance.out.probed, [target(2, "ingest").incarnation, at]);
    silent(&mut instance, 810);
    silent(&mut instance, 1_110);
    assert!(instance.out.resets.is_empty());
    silent(&mut instance, 1_410);
    assert_eq!(instance.out.resets.len(), 1, "reset after the isolation limit");
}

/// Guards against healthy flows reset because ten targets are silent at once, as they are
/// behind a saturated link. Their number proves no more than one alone.
#[test]
fn many_silent_targets_at_once_are_not_lost() {
    let targets: Vec<_> = (1..=10).map(|number| target(number, "desk")).collect();
    let mut instance = Instance::new(&targets);
    for number in 0..40 {
        instance.establish(flow(number, FEED), 0);
    }
    let silent = |instance: &mut Instance, now: u64| {
        for it in &targets {
            let now = super::fixtures::millis(now);
            instance.forwarder.handle_probe_result(
                it.incarnation,
                ProbeResult::Silent,
                now,
                &mut instance.out,
            );
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
    assert_eq!(instance.out.resets.len(), 40, "reset after the isolation limit");
}

/// Guards against packets sent to a lost target on flows that another instance opened there.
#[test]
fn a_packet_for_a_lost_target_is_answered_by_a_reset() {
    let mut instance = Instance::new(&[target(1, "desk")]);
    let at = target(1, "desk").incarnation;
    instance.forwarder.handle_probe_result(
        at,
        ProbeResult::Gone,
        super::fixtures::millis(0),
        &mut instance.out,
    );

    instance.packet(middle(flow(1, FEED), at, 1001, 4242, 100), 10);

    assert_eq!(instance.out.resets.len(), 1);
    assert_eq!(instance.out.resets[0].1, 4242);
}

#[test]
fn a_closed_flow_has_no_record_and_its_last_packets_are_forwarded() {
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
fn the_mark_is_written_into_every_forwarded_packet() {
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
