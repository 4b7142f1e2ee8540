use medlarspur_lib::{
    bundle::{Class, TargetState},
    collections::Map,
    ids::{FlowId, ServiceIx, ServiceName, TargetIx, TargetName},
    time::Millis,
};
use medlarspur_load::{
    Closing, Gate, LoadReport, Opening, ServiceSpec, Settings, Signal, TargetSpec, Verdict,
    gate::{
        placement,
        retry::{Decision, DecisionCache},
    },
};
use proptest::prelude::*;
use std::net::Ipv4Addr;

const TARGETS: u16 = 4;

fn service(leaving: Option<u16>) -> ServiceSpec {
    let target = |n| TargetSpec {
        name: TargetName::new(&format!("t{n}")),
        slots: 2,
        connections: 20,
        weight: 100,
        state: if leaving == Some(n) { TargetState::Leaving } else { TargetState::Active },
    };
    let targets = (0..TARGETS).map(target).collect();
    ServiceSpec { name: ServiceName::new("s"), has_requests: true, balance: 50, targets }
}

fn class() -> impl Strategy<Value = Class> {
    prop_oneof![Just(Class::Feed), Just(Class::Request), Just(Class::Upload)]
}

fn is_refusal(verdict: Verdict) -> bool {
    matches!(verdict, Verdict::Refuse { .. })
}

#[derive(Debug, Clone)]
enum Step {
    Open(u64, Class, u16),
    Close(u64, Class, u16),
    Report(u16, u32, u32, bool),
    Leave(Option<u16>),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let target = || 0..TARGETS;
    prop_oneof![
        8 => (0..200u64, class(), target()).prop_map(|(f, c, t)| Step::Open(f, c, t)),
        3 => (0..200u64, class(), target()).prop_map(|(f, c, t)| Step::Close(f, c, t)),
        1 => (target(), 0..100u32, 0..100u32, any::<bool>())
            .prop_map(|(t, s, c, d)| Step::Report(t, s, c, d)),
        1 => proptest::option::of(target()).prop_map(Step::Leave),
        4 => (0..2_000u64).prop_map(Step::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against callers that receive *not run* for work that runs, or get no
    /// answer. While a decision is stored, a repeated opening gets the same one; a
    /// waiting opening gets one final verdict by the promised time; and a leaving target
    /// gets nothing new.
    #[test]
    fn every_opening_gets_one_lasting_verdict(steps in proptest::collection::vec(step(), 1..300)) {
        let mut gate = Gate::new(Settings::default(), 1);
        let mut now = Millis(0);
        let mut waiting: Map<FlowId, Millis> = Map::default();
        let mut refused: Map<FlowId, Millis> = Map::default();
        let mut leaving = None;
        gate.set_instances(2);
        gate.set_services(now, vec![service(None)]);
        for step in steps {
            match step {
                Step::Open(flow, class, target) => {
                    let flow = FlowId(flow);
                    let opening = Opening {
                        flow,
                        caller: Ipv4Addr::from(flow.0 as u32 % 5),
                        service: ServiceIx(0),
                        class,
                        target: TargetIx(target),
                    };
                    let known = gate.counts().repeated;
                    let verdict = gate.open(now, &opening);
                    let again = gate.counts().repeated > known;
                    if refused.get(&flow).is_some_and(|&until| now < until) {
                        prop_assert!(is_refusal(verdict));
                    }
                    if leaving == Some(target) && !again {
                        prop_assert!(is_refusal(verdict));
                    }
                    match verdict {
                        Verdict::Wait { until } => {
                            prop_assert!(until.since(now) <= Settings::default().patience);
                            waiting.insert(flow, until);
                        }
                        Verdict::Refuse { after } => {
                            refused.insert(flow, now + after);
                        }
                        Verdict::Admit => {}
                    }
                }
                Step::Close(flow, class, target) => {
                    let flow = FlowId(flow);
                    let closing = Closing { flow, service: ServiceIx(0), class, target: TargetIx(target) };
                    gate.record_closing(now, &closing);
                    waiting.remove(&flow);
                    refused.remove(&flow);
                }
                Step::Report(target, work, connections, draining) => {
                    let report = LoadReport { healthy: true, draining, work, connections };
                    gate.record_signal(now, ServiceIx(0), TargetIx(target), Signal::Report(report));
                }
                Step::Leave(target) => {
                    leaving = target;
                    gate.set_services(now, vec![service(target)]);
                }
                Step::Pass(span) => {
                    let end = now + Millis(span);
                    while now < end {
                        now = now + Millis(1);
                        let mut out = Vec::new();
                        gate.collect_verdicts(now, &mut out);
                        for (flow, verdict) in out {
                            prop_assert!(waiting.remove(&flow).is_some(), "one final verdict");
                            if let Verdict::Refuse { after } = verdict {
                                refused.insert(flow, now + after);
                            }
                        }
                    }
                    prop_assert!(waiting.values().all(|&until| until > now), "in time");
                    let weights = gate.weights(ServiceIx(0));
                    prop_assert!(weights.iter().all(|&w| w <= placement::FULL_WEIGHT));
                    if let Some(target) = leaving {
                        prop_assert!(span < 1_001 || weights[usize::from(target)] == 0);
                    }
                }
            }
        }
    }

    /// Guards against a flood of openings that takes the instance down, as the cache of
    /// decisions would grow without bound.
    #[test]
    fn decision_cache_is_bounded(flows in proptest::collection::vec(any::<u64>(), 1..2_000)) {
        let mut cache = DecisionCache::default();
        for (at, &flow) in flows.iter().enumerate() {
            cache.insert(Millis(at as u64 * 200), FlowId(flow), Decision::Admitted(Millis(0)));
        }
        prop_assert!(cache.len() <= 2 * 64_000 / 200 + 2);
    }
}
