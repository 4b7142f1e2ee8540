use medlarspur_lib::{
    bundle::{Class, TargetState},
    ids::{FlowId, ServiceIx, ServiceName, TargetIx, TargetName},
    time::Millis,
};
use medlarspur_load::{
    Closing, Gate, LoadReport, Opening, ServiceSpec, Settings, Signal, TargetSpec, Verdict,
};
use std::net::Ipv4Addr;

fn alertdesk() -> ServiceSpec {
    let target = |n| TargetSpec {
        name: TargetName::new(&format!("alertdesk-{n}")),
        slots: 2,
        connections: 2000,
        weight: 100,
        state: TargetState::Active,
    };
    ServiceSpec {
        name: ServiceName::new("alertdesk"),
        has_requests: true,
        balance: 50,
        targets: (0..14).map(target).collect(),
    }
}

fn gate() -> Gate {
    let mut gate = Gate::new(Settings::default(), 7);
    gate.set_instances(8);
    gate.set_services(Millis(0), vec![alertdesk()]);
    gate
}

fn request(flow: u64) -> Opening {
    Opening {
        flow: FlowId(flow),
        caller: Ipv4Addr::from(0x0a00_0000 + (flow as u32) * 977),
        service: ServiceIx(0),
        class: Class::Request,
        target: TargetIx(3),
    }
}

#[test]
fn an_idle_service_admits_an_opening_at_once() {
    let mut gate = gate();
    assert_eq!(gate.open(Millis(1), &request(1)), Verdict::Admit);
}

/// Guards against a new decision on a repeated opening, whose caller got no answer for a
/// second. Under load, the caller would receive *not run* for work that runs.
#[test]
fn a_repeated_opening_is_answered_as_the_first() {
    let mut gate = gate();
    let first: Vec<Verdict> = (0..200).map(|f| gate.open(Millis(1), &request(f))).collect();

    let again: Vec<Verdict> = (0..200).map(|f| gate.open(Millis(1), &request(f))).collect();

    assert_eq!(first, again);
    assert!(first.contains(&Verdict::Admit));
    assert!(first.iter().any(|v| matches!(v, Verdict::Wait { .. })));
    assert!(first.iter().any(|v| matches!(v, Verdict::Refuse { .. })));
}

/// Guards against openings that a burst leaves in the queue without one final verdict
/// within the maximum wait. Their callers would hold connections that never open.
#[test]
fn a_waiting_opening_gets_one_final_verdict_in_time() {
    let mut gate = gate();
    let waiting = (0..200)
        .filter(|&f| matches!(gate.open(Millis(1), &request(f)), Verdict::Wait { .. }))
        .count();

    let mut out = Vec::new();
    for now in 1..=1 + Settings::default().patience.0 {
        gate.collect_verdicts(Millis(now), &mut out);
    }

    assert!(waiting > 0);
    assert_eq!(out.len(), waiting);
}

#[test]
fn the_end_of_an_unknown_flow_is_harmless() {
    let mut gate = gate();
    let closing = Closing {
        flow: FlowId(99),
        service: ServiceIx(9),
        class: Class::Upload,
        target: TargetIx(99),
    };
    gate.record_closing(Millis(5), &closing);
    assert_eq!(gate.weights(ServiceIx(9)), &[] as &[u16]);
}

#[test]
fn a_leaving_target_gets_nothing_new() {
    let mut gate = gate();
    let mut service = alertdesk();
    service.targets[3].state = TargetState::Leaving;

    gate.set_services(Millis(10), vec![service]);
    gate.collect_verdicts(Millis(10), &mut Vec::new());

    assert!(matches!(gate.open(Millis(11), &request(1)), Verdict::Refuse { .. }));
    assert_eq!(gate.weights(ServiceIx(0))[3], 0);
    assert_eq!(gate.weights(ServiceIx(0))[4], 1000);
}

fn ingest() -> Gate {
    let mut gate = Gate::new(Settings::default(), 7);
    gate.set_instances(4);
    let ingest = ServiceSpec { has_requests: false, ..alertdesk() };
    gate.set_services(
        Millis(0),
        vec![ServiceSpec { targets: ingest.targets[..2].into(), ..ingest }],
    );
    gate
}

const IDLE: LoadReport = LoadReport { healthy: true, draining: false, work: 0, connections: 0 };

/// Guards against refusing short uploads at idle targets. Stations send small images that
/// are stored in milliseconds, and under a spraying fabric an instance sees the end of
/// one in four of the uploads that it admitted. With an assumed duration of five seconds
/// until eight ends were seen, two thirds of them were refused.
#[test]
fn idle_targets_get_short_uploads_after_a_few_ends() {
    let mut gate = ingest();

    let mut admitted = Vec::new();
    for flow in 0..60 {
        let now = Millis(400 * flow);
        let target = TargetIx((flow % 2) as u16);
        if flow % 5 < 2 {
            gate.record_signal(now, ServiceIx(0), target, Signal::Report(IDLE));
        }
        let opening = Opening { class: Class::Upload, target, ..request(flow) };
        if gate.open(now, &opening) != Verdict::Admit {
            continue;
        }
        admitted.push(flow);
        if admitted.len() % 4 == 0 {
            let Opening { flow, service, class, target, .. } = opening;
            gate.record_closing(now + Millis(8), &Closing { flow, service, class, target });
        }
    }

    let late = admitted.iter().filter(|&&flow| flow >= 30).count();
    assert!(late >= 27, "{late} of 30");
}

/// Guards against charging admitted work at the initial estimate after the end of one
/// upload was seen. Callers would be refused by an idle target for most of a minute.
#[test]
fn an_end_lowers_the_cost_of_work_admitted_before_it() {
    let mut gate = ingest();
    let upload = |flow| Opening { class: Class::Upload, target: TargetIx(0), ..request(flow) };
    let open = |gate: &mut Gate, now, flow| {
        gate.record_signal(now, ServiceIx(0), TargetIx(0), Signal::Report(IDLE));
        gate.open(now, &upload(flow))
    };
    let first: Vec<_> = (0..10).map(|flow| open(&mut gate, Millis(flow), flow)).collect();

    let Opening { flow, service, class, target, .. } = upload(0);
    gate.record_closing(Millis(20), &Closing { flow, service, class, target });
    let later = |flow| Millis(1_000 + 1_000 * (flow - 10));
    let second: Vec<_> = (10..15).map(|flow| open(&mut gate, later(flow), flow)).collect();

    assert_eq!(first[0], Verdict::Admit);
    assert!(matches!(first[9], Verdict::Refuse { .. }));
    assert_eq!(second, [Verdict::Admit; 5]);
}
