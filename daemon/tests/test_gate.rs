//! Tests of admission at leaving targets, which depends on the ownership of buckets.

use medlarspur_daemon::gate::LoadGate;
use medlarspur_lib::{
    bundle::{Bundle, Class},
    forwarder::{Gate, Opening, Verdict},
    ids::{FlowId, InstanceName, TargetName},
    time::Millis,
    view::{Draft, PENDING_LIMIT, View},
};
use medlarspur_operator::Meters;
use std::{net::Ipv4Addr, sync::Arc};

const START: Millis = Millis(10_000);

/// Returns a bundle with two targets, of which the second has the given state.
fn bundle(version: u64, state: &str) -> Arc<Bundle> {
    let text = format!(
        "\
version: {version}
site: sofia
seed: 00112233445566778899aabbccddeeff
services:
  - name: alertdesk
    address: 10.70.0.1
    ports: [{{number: 7002, class: request}}]
    targets:
      - {{name: alert-1, address: 10.1.0.1:6080, domain: lozenets}}
      - {{name: alert-2, address: 10.1.0.2:6080, domain: druzhba, state: {state}}}
"
    );
    Arc::new(Bundle::parse(&text).expect("a valid bundle"))
}

/// Returns a draft that has published its first view, and a gate that follows it.
fn started(state: &str) -> (Draft, LoadGate) {
    let mut draft = Draft::first(InstanceName::new("entry-1"), &bundle(1, state), Millis(0));
    let mut gate = LoadGate::new(1, Meters::new().expect("metrics are registered"));
    follow(&mut draft, &mut gate, START);
    (draft, gate)
}

fn follow(draft: &mut Draft, gate: &mut LoadGate, now: Millis) -> Arc<View> {
    draft.advance(now);
    let view = draft.commit().expect("the view has changed");
    gate.set_view(&view, now);
    view
}

/// Returns the verdict on an opening of the flow numbered `flow` at the second target.
fn open(gate: &mut LoadGate, view: &View, now: Millis, flow: u64) -> Verdict {
    let service = &view.services[0].spec;
    let target = view.registry.find_by_name(&service.name, &TargetName::new("alert-2"));
    let target = target.expect("a target of the bundle");
    let caller = Ipv4Addr::new(10, 64, 0, 1);
    let opening = Opening { flow: FlowId(flow), caller, class: Class::Request, target };
    gate.open(now, &opening)
}

/// Guards against refusing callers at a leaving target before its buckets have moved. The move
/// takes effect up to 1.2 s after the bundle, and until then all instances send new flows there.
#[test]
fn a_leaving_target_accepts_flows_until_its_buckets_have_moved() {
    let (mut draft, mut gate) = started("active");
    draft.install(&bundle(2, "leaving"), START);
    let pending = draft.commit().expect("the view has changed");
    gate.set_view(&pending, START);

    let before = open(&mut gate, &pending, START, 1);
    let carried = START + PENDING_LIMIT;
    let moved = follow(&mut draft, &mut gate, carried);
    let after = open(&mut gate, &moved, carried, 2);

    assert!(pending.services[0].is_pending());
    assert!(!moved.services[0].is_pending());
    assert_eq!(before, Verdict::Admit);
    assert!(matches!(after, Verdict::Refuse { .. }), "{after:?}");
}

/// Guards against admitting flows at a target that began to leave before the instance started.
/// In that instance's view the target owns no bucket.
#[test]
fn a_target_that_was_leaving_before_the_start_accepts_no_flow() {
    let (mut draft, mut gate) = started("leaving");
    draft.install(&bundle(2, "leaving"), START);
    let view = follow(&mut draft, &mut gate, START);

    let verdict = open(&mut gate, &view, START, 1);

    assert!(matches!(verdict, Verdict::Refuse { .. }), "{verdict:?}");
}

/// Guards against closing a target that becomes active again while its buckets are still to be
/// moved. It would stay idle.
#[test]
fn a_target_that_becomes_active_again_keeps_accepting_flows() {
    let (mut draft, mut gate) = started("active");
    draft.install(&bundle(2, "leaving"), START);
    let pending = draft.commit().expect("the view has changed");
    gate.set_view(&pending, START);

    draft.install(&bundle(3, "active"), START);
    let view = follow(&mut draft, &mut gate, START + PENDING_LIMIT);
    let verdict = open(&mut gate, &view, START + PENDING_LIMIT, 1);

    assert_eq!(verdict, Verdict::Admit);
}

/// Guards against opening flows at a leaving target after a sleep of the process. The other
/// instances have moved the buckets already, so the target may stop and cut the flows.
#[test]
fn after_a_sleep_no_flow_is_opened_at_a_leaving_target() {
    let (mut draft, mut gate) = started("active");
    gate.wake(START);
    draft.install(&bundle(2, "leaving"), START);
    let pending = draft.commit().expect("the view has changed");
    gate.set_view(&pending, START);

    let verdict = open(&mut gate, &pending, START, 1);

    assert!(pending.services[0].is_pending());
    assert!(matches!(verdict, Verdict::Refuse { .. }), "{verdict:?}");
}

/// Guards against opening flows at a leaving target if the process sleeps after it has learned
/// that the target leaves and before it has carried out the moves.
#[test]
fn after_a_sleep_during_a_move_no_flow_is_opened_at_the_old_owner() {
    let (mut draft, mut gate) = started("active");
    draft.install(&bundle(2, "leaving"), START);
    let pending = draft.commit().expect("the view has changed");
    gate.set_view(&pending, START);
    let awake = START + Millis::secs(8);

    gate.wake(awake);
    let verdict = open(&mut gate, &pending, awake, 1);

    assert!(matches!(verdict, Verdict::Refuse { .. }), "{verdict:?}");
}
