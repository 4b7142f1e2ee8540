//! Openings that grew old before they were acted on, because the process did not run.

use super::{
    fixtures::{
        COPIES, Decisions, FEED, Instance, REQUEST, config, copy, flow, incremental, middle,
        millis, target,
    },
    test_waiting::{busy_instance, end_requests, open_until_held, opened},
};
use medlarspur_lib::status::TargetUse;
use medlarspur_marked::{Content, FlowKey, Incarnation, Note, ProbeResult, Refusal};

fn instance() -> Instance {
    Instance::new(&[target(1, "desk"), target(2, "desk")])
}

/// Wakes an instance at `now` with all copies of an opening in its socket that the caller has
/// sent since 0.
fn wake(instance: &mut Instance, key: FlowKey, now: u64) {
    for nth in (0..3).filter(|nth| COPIES[*nth] <= now) {
        instance.delayed_packet(copy(key, nth), now - COPIES[nth], now);
    }
    instance.tick(now);
}

/// Guards against two targets that answer one opening: an instance that was frozen opens the flow
/// that its caller has opened through another one in the meantime.
#[test]
fn an_instance_that_was_frozen_opens_no_flow_that_its_caller_repeated_elsewhere() {
    let mut instance = instance();

    for number in 0..20 {
        wake(&mut instance, flow(number, REQUEST), 3_000);
    }

    assert!(instance.out.sent.is_empty() && instance.out.resets.is_empty());
    assert_eq!(instance.forwarder.counts().superseded, 60);
}

/// Guards against openings that are lost to every pause: the last copy of each is served at once.
#[test]
fn an_instance_that_was_frozen_briefly_opens_each_flow_once() {
    for (now, dropped) in [(150, 0), (220, 1), (500, 1), (620, 2), (1_350, 2)] {
        let mut instance = instance();

        wake(&mut instance, flow(1, REQUEST), now);

        assert_eq!(instance.out.sent.len(), 1, "after {now} ms");
        assert_eq!(instance.forwarder.counts().superseded, dropped, "after {now} ms");
    }
}

/// Guards against a second target that answers a moment after the caller has sent its next copy.
#[test]
fn an_opening_is_dropped_from_30_ms_before_its_next_copy_on() {
    for (nth, limit) in [(0, 170), (1, 370), (2, 770)] {
        let mut instance = instance();

        instance.delayed_packet(copy(flow(1, REQUEST), nth), limit, 5_000);
        instance.delayed_packet(copy(flow(2, REQUEST), nth), limit + 1, 5_000);

        assert_eq!(instance.out.sent.len(), 1, "copy {nth}");
        let dropped = Note::Superseded { flow: flow(2, REQUEST), waited: millis(limit + 1) };
        assert_eq!(instance.out.notes.last(), Some(&dropped));
    }
}

/// Guards against a target that opens a flow again after it has forgotten it: the instance still
/// has the record of the first copy and would send the old ones to the same target.
#[test]
fn old_copies_of_a_known_opening_are_not_sent_again() {
    let mut instance = instance();
    let key = flow(1, REQUEST);
    instance.packet(copy(key, 0), 0);

    instance.delayed_packet(copy(key, 1), 800, 1_000);

    assert_eq!(instance.out.sent.len(), 1);
}

/// Guards against resets of flows that were opened through another instance.
#[test]
fn an_old_opening_that_no_target_can_take_is_not_reset() {
    let mut instance = Instance::new(&[target(1, "ingest")]);

    instance.delayed_packet(copy(flow(1, REQUEST), 0), 1_000, 1_000);

    assert!(instance.out.resets.is_empty());
}

/// Guards against two targets that answer one opening: the copy of an opening that is held here
/// reaches another instance, as routers move the flow there or this instance was frozen.
#[test]
fn a_held_opening_whose_next_copy_does_not_arrive_is_not_opened() {
    for now in [COPIES[1] - 20, 250, 1_000] {
        let mut instance = busy_instance(140);
        let held = open_until_held(&mut instance, REQUEST, 500);
        instance.out = Decisions::default();

        end_requests(&mut instance, held, 500 + now);
        instance.tick(500 + now);

        assert!(opened(&instance).is_empty(), "opened after {now} ms");
        assert!(instance.out.resets.is_empty(), "refused after {now} ms");
    }
}

/// Guards against callers who wait for nothing: their flow is held for longer than the time to
/// the next copy, and goes on being held when that arrives.
#[test]
fn a_held_opening_is_opened_when_its_next_copy_has_arrived() {
    let mut instance = busy_instance(140);
    let held = open_until_held(&mut instance, REQUEST, 500);
    end_requests(&mut instance, held, 500 + COPIES[1] - 10);
    instance.tick(500 + COPIES[1] - 10);
    instance.out = Decisions::default();

    instance.packet(copy(held, 1), 500 + COPIES[1]);
    instance.tick(500 + COPIES[1]);

    assert_eq!(opened(&instance), [held]);
}

/// Guards against two targets that answer one opening: the process did not run when the opening's
/// check was due, and its caller has opened the flow through another instance in the meantime.
#[test]
fn an_opening_is_not_sent_again_after_a_pause() {
    for now in [180, 600, 3_000] {
        let mut instance = instance();
        instance.packet(copy(flow(1, REQUEST), 0), 0);
        instance.out = Decisions::default();

        for time in now..now + 150 {
            instance.tick(time);
        }

        assert!(instance.out.sent.is_empty(), "sent again {now} ms after it arrived");
    }
}

/// Guards against healthy targets that are probed after a pause for openings whose handshakes
/// ended at other instances.
#[test]
fn an_opening_from_before_a_pause_makes_no_target_suspected() {
    let mut instance = instance();
    instance.packet(copy(flow(1, REQUEST), 0), 0);

    for time in 3_000..3_300 {
        instance.tick(time);
    }

    assert!(instance.out.probed.is_empty());
}

/// Guards against two targets that answer one opening: a probe that ends after the pause makes
/// its target lost, and the opening moves although its caller has opened the flow elsewhere.
#[test]
fn an_opening_from_before_a_pause_moves_to_no_other_target() {
    let mut instance = instance();
    let first = instance.open(flow(1, REQUEST), 0);
    instance.out = Decisions::default();

    let (now, out) = (millis(3_000), &mut instance.out);
    instance.forwarder.handle_probe_result(first, ProbeResult::Gone, now, out);

    assert!(instance.out.sent.is_empty() && instance.out.resets.is_empty());
    assert!(instance.forwarder.is_empty());
}

/// Guards against callers who wait for nothing: their opening can't move because its next copy is
/// due, and that copy goes to another target at once.
#[test]
fn the_next_copy_of_an_opening_at_a_lost_target_goes_to_another_one() {
    let mut instance = instance();
    let key = flow(1, REQUEST);
    let first = instance.open(key, 0);
    let (now, out) = (millis(COPIES[1] - 10), &mut instance.out);
    instance.forwarder.handle_probe_result(first, ProbeResult::Gone, now, out);
    instance.out = Decisions::default();

    instance.packet(copy(key, 1), COPIES[1]);

    assert_eq!(instance.out.sent.len(), 1);
    assert_ne!(instance.last_target(), first);
}

/// An instance with an open feed at a target, whose request was retransmitted and whose probe was
/// left unanswered, and that is then paused until 4,000.
fn paused_beside_silent_target() -> (Instance, FlowKey, Incarnation) {
    let mut instance = instance();
    instance.record_answers(FEED, 20, 600);
    let key = flow(1, FEED);
    let at = instance.establish(key, 100);
    instance.packet(middle(key, at, 1001, 500, 100), 1_000);
    instance.packet(middle(key, at, 1001, 500, 100), 1_200);
    instance.establish(flow(2, REQUEST), 1_250);
    report(&mut instance, at, ProbeResult::Silent, 1_500);
    assert_eq!((instance.out.resets.len(), instance.forwarder.count_full()), (0, 1));
    instance.out = Decisions::default();
    instance.forwarder.resume(millis(4_000), &mut instance.out);
    (instance, key, at)
}

fn report(instance: &mut Instance, at: Incarnation, result: ProbeResult, now: u64) {
    instance.forwarder.handle_probe_result(at, result, millis(now), &mut instance.out);
}

/// Guards against resets of open flows at a healthy target that was silent before the pause and
/// whose callers have continued through other instances.
#[test]
fn silence_before_a_pause_is_no_reason_to_reset_flows_after_it() {
    let (mut instance, _, at) = paused_beside_silent_target();

    for now in 4_000..6_000 {
        instance.tick(now);
    }

    assert!(instance.out.resets.is_empty());
    assert!(instance.out.probed.contains(&at));
}

/// Guards against callers who wait at a dead target because the instance was paused.
#[test]
fn a_target_that_is_silent_after_a_pause_is_lost() {
    let (mut instance, key, at) = paused_beside_silent_target();
    instance.packet(middle(key, at, 1001, 500, 100), 4_100);
    instance.establish(flow(3, REQUEST), 4_150);
    report(&mut instance, at, ProbeResult::Silent, 4_310);
    assert!(instance.out.resets.is_empty());

    for now in 4_310..5_300 {
        instance.tick(now);
    }

    assert_eq!(instance.out.resets.len(), 1);
    assert_eq!(instance.out.resets[0].2, Refusal::TargetLost);
}

/// Guards against resets of open flows whose target came back during the pause.
#[test]
fn a_target_lost_before_a_pause_is_probed_before_its_flows_are_reset() {
    let mut instance = instance();
    let key = flow(1, FEED);
    let at = target(1, "desk").incarnation;
    report(&mut instance, at, ProbeResult::Gone, 100);
    instance.forwarder.resume(millis(4_000), &mut instance.out);
    instance.out = Decisions::default();

    instance.packet(middle(key, at, 1001, 500, 100), 4_000);
    instance.tick(4_001);
    assert_eq!((instance.out.sent.len(), instance.out.resets.len()), (1, 0));
    assert_eq!(instance.out.probed, [at]);
    report(&mut instance, at, ProbeResult::Silent, 4_310);
    instance.packet(middle(key, at, 1001, 500, 100), 4_400);

    assert_eq!(instance.out.resets.len(), 1);
}

/// Guards against a target that is taken for silent because its answer came during the pause.
#[test]
fn a_probe_from_before_a_pause_that_got_no_answer_is_repeated() {
    let mut instance = instance();
    let at = instance.open(flow(1, REQUEST), 0);
    instance.tick(30);
    assert_eq!(instance.out.probed, [at]);
    instance.forwarder.resume(millis(4_000), &mut instance.out);

    report(&mut instance, at, ProbeResult::Silent, 4_001);

    assert_eq!(instance.out.probed, [at, at]);
    assert_eq!(instance.usage(flow(9, FEED), at, 4_001), TargetUse::Good);
}

/// Guards against new flows that are held and refused after a pause, as if the targets had been
/// slow: their answers waited in the socket meanwhile.
#[test]
fn answers_that_waited_during_a_pause_do_not_make_a_service_slow() {
    let pressure = |is_resumed: bool| {
        let mut config = config(2);
        config.routes.iter_mut().for_each(|route| route.objective = Some(millis(150)));
        let mut instance = instance();
        instance.learn(incremental(200, Content::Config(config)), 0);
        let key = flow(1, FEED);
        let at = instance.establish(key, 100);
        instance.packet(middle(key, at, 1001, 500, 100), 1_000);
        if is_resumed {
            instance.forwarder.resume(millis(4_000), &mut instance.out);
        }
        instance.packet(middle(key, at, 1101, 600, 0), 4_000);
        instance.forwarder.services(millis(4_000)).remove(0).pressure
    };

    let (unnoticed, noticed) = (pressure(false), pressure(true));

    assert!(unnoticed > 100);
    assert_eq!(noticed, 0);
}
