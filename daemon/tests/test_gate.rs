//! The gate follows who owns the buckets.

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

/// Two targets, of which the second has the given state.
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
    Arc::new(Bundle::parse(&text).expect("sound"))
}

/// A draft that has published its first view, and a gate that follows it.
fn started(state: &str) -> (Draft, LoadGate) {
    let mut draft = Draft::first(InstanceName::new("entry-1"), &bundle(1, state), Millis(0));
    let mut gate = LoadGate::new(1, Meters::new().expect("metrics"));
    follow(&mut draft, &mut gate, START);
    (draft, gate)
}

fn follow(draft: &mut Draft, gate: &mut LoadGate, now: Millis) -> Arc<View> {
    draft.advance(now);
    let view = draft.commit().expect("a change");
    gate.set_view(&view, now);
    view
}

/// What becomes of flow number `flow` if it opens at the second target.
fn open(gate: &mut LoadGate, view: &View, now: Millis, flow: u64) -> Verdict {
    let service = &view.services[0].spec;
    let target = view.registry.find_by_name(&service.name, &TargetName::new("alert-2"));
    let target = target.expect("a target of the bundle");
    let caller = Ipv4Addr::new(10, 64, 0, 1);
    let opening = Opening { flow: FlowId(flow), caller, class: Class::Request, target };
    gate.open(now, &opening)
}

/// A bundle lets a target leave. Its buckets move up to 1.2 s later, and until
/// then all instances send it new flows. Refused there, callers were turned
/// away for that time at every planned change.
#[test]
fn a_leaving_target_takes_work_until_its_buckets_have_moved() {
    let (mut draft, mut gate) = started("active");
    draft.install(&bundle(2, "leaving"), START);
    let pending = draft.commit().expect("a change");
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

/// An instance starts after a target has begun to leave: none of its buckets
/// is owned by that target, so nothing may be let in there.
#[test]
fn a_target_that_left_before_the_start_takes_no_work() {
    let (mut draft, mut gate) = started("leaving");
    draft.install(&bundle(2, "leaving"), START);
    let view = follow(&mut draft, &mut gate, START);

    let verdict = open(&mut gate, &view, START, 1);

    assert!(matches!(verdict, Verdict::Refuse { .. }), "{verdict:?}");
}

/// A target is called back while its buckets are still on their way. Closed
/// by what was noted of it before, it would stand idle.
#[test]
fn a_target_that_is_called_back_takes_work_on() {
    let (mut draft, mut gate) = started("active");
    draft.install(&bundle(2, "leaving"), START);
    let pending = draft.commit().expect("a change");
    gate.set_view(&pending, START);

    draft.install(&bundle(3, "active"), START);
    let view = follow(&mut draft, &mut gate, START + PENDING_LIMIT);
    let verdict = open(&mut gate, &view, START + PENDING_LIMIT, 1);

    assert_eq!(verdict, Verdict::Admit);
}

/// An instance is frozen while a target leaves, and hears of it when it wakes.
/// The others have long moved the buckets, so the target may go down at any
/// moment: a user's work that is placed there is cut.
#[test]
fn an_instance_that_slept_places_nothing_at_a_leaving_target() {
    let (mut draft, mut gate) = started("active");
    gate.wake(START);
    draft.install(&bundle(2, "leaving"), START);
    let pending = draft.commit().expect("a change");
    gate.set_view(&pending, START);

    let verdict = open(&mut gate, &pending, START, 1);

    assert!(pending.services[0].is_pending());
    assert!(matches!(verdict, Verdict::Refuse { .. }), "{verdict:?}");
}

/// An instance has heard that a target leaves and is frozen before it has
/// carried the moves out.
#[test]
fn an_instance_that_sleeps_amid_a_move_places_nothing_at_the_old_owner() {
    let (mut draft, mut gate) = started("active");
    draft.install(&bundle(2, "leaving"), START);
    let pending = draft.commit().expect("a change");
    gate.set_view(&pending, START);
    let awake = START + Millis::secs(8);

    gate.wake(awake);
    let verdict = open(&mut gate, &pending, awake, 1);

    assert!(matches!(verdict, Verdict::Refuse { .. }), "{verdict:?}");
}
