//! Properties of forwarding that hold for any sequence of events.

use super::fixtures::{FEED, Instance, REQUEST, UPLOAD, flow, incremental, segment, target};
use medlarspur_lib::collections::Map;
use medlarspur_marked::{Content, FlowKey, Incarnation, Kind, Mark, ProbeResult, Segment};
use proptest::{collection::vec, prelude::*};

/// Maximum distance between the sequence numbers of two packets of a flow: each end has up to
/// sixteen packets of 1,200 bytes in flight.
const MAX_DISTANCE: u32 = 2 * 16 * 1_200;

/// An event.
#[derive(Debug, Clone)]
enum Step {
    Packet { caller: u16, port: u8, kind: u8, seq: u32, ack: u32, len: u16, echo: u32 },
    Marked { caller: u16, port: u8, target: u64, seq: u32, len: u16 },
    Listed { target: u64, leaving: bool },
    Removed { target: u64 },
    Probed { target: u64, result: u8 },
    Wait { millis: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let packet = (0..20u16, 0..3u8, 0..4u8, any::<u32>(), any::<u32>(), 0..1200u16, any::<u32>())
        .prop_map(|(caller, port, kind, seq, ack, len, echo)| Step::Packet {
            caller,
            port,
            kind,
            seq,
            ack,
            len,
            echo,
        });
    let seq = prop_oneof![any::<u32>(), 0..100_000u32];
    let marked = (0..20u16, 0..3u8, 1..9u64, seq, 0..1200u16).prop_map(
        |(caller, port, target, seq, len)| Step::Marked { caller, port, target, seq, len },
    );
    let listed =
        (1..9u64, any::<bool>()).prop_map(|(target, leaving)| Step::Listed { target, leaving });
    let step = prop_oneof![
        4 => packet,
        4 => marked,
        1 => listed,
        1 => (1..9u64).prop_map(|target| Step::Removed { target }),
        1 => (1..9u64, 0..3u8).prop_map(|(target, result)| Step::Probed { target, result }),
        2 => (0..500u64).prop_map(|millis| Step::Wait { millis }),
    ];
    vec(step, 1..120)
}

fn service(port: u8) -> std::net::SocketAddrV4 {
    [FEED, REQUEST, UPLOAD][usize::from(port)]
}

/// Target `number`. Targets up to 4 serve `desk`, the others `ingest`.
fn numbered(number: u64) -> medlarspur_marked::Target {
    target(number, if number <= 4 { "desk" } else { "ingest" })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_opening_reaches_another_service_and_no_step_panics(steps in steps()) {
        let mut instance = Instance::new(&(1..9).map(numbered).collect::<Vec<_>>());
        let mut now = 0;
        let mut revision = 1000;
        let mut last = Map::<FlowKey, (Incarnation, u32)>::default();
        for step in steps {
            revision += 1;
            instance.out.sent.clear();
            match step {
                Step::Packet { caller, port, kind, seq, ack, len, echo } => {
                    let kinds = [Kind::Open, Kind::Continue, Kind::Close, Kind::Abort];
                    let (key, kind) = (flow(caller, service(port)), kinds[usize::from(kind)]);
                    let mark = Mark::from_wire(echo);
                    instance.packet(Segment { seq, ack, len, mark, ..segment(key, kind) }, now);
                    if kind == Kind::Open {
                        let numbers = if port == 2 { 5..9 } else { 1..5 };
                        let allowed: Vec<_> = numbers.map(|it| numbered(it).incarnation).collect();
                        prop_assert!(instance.out.sent.iter().all(|(to, ..)| allowed.contains(to)));
                    }
                }
                Step::Marked { caller, port, target, seq, len } => {
                    let key = flow(caller, service(port));
                    let at = numbered(target).incarnation;
                    let mark = Some(Mark::new(at, &key));
                    let segment = Segment { seq, ack: 1, len, mark, ..segment(key, Kind::Continue) };
                    instance.packet(segment, now);
                    // A flow whose sequence numbers continue may be known to be open at another
                    // target.
                    let continues = |to| last.get(&key).is_some_and(|(before, end)| {
                        *before == to
                            && seq.wrapping_sub(*end).cast_signed().unsigned_abs() <= MAX_DISTANCE
                    });
                    prop_assert!(
                        instance.out.sent.iter().all(|(to, ..)| *to == at || continues(*to))
                    );
                    if let Some((to, ..)) = instance.out.sent.last() {
                        last.insert(key, (*to, segment.end()));
                    }
                }
                Step::Listed { target, leaving } => {
                    let mut entry = numbered(target);
                    entry.leaving = leaving;
                    instance.learn(incremental(revision, Content::Target(entry)), now);
                }
                Step::Removed { target } => {
                    instance
                        .learn(incremental(revision, Content::Removed(numbered(target).name)), now);
                }
                Step::Probed { target, result } => {
                    let results = [ProbeResult::Answers, ProbeResult::Gone, ProbeResult::Silent];
                    let (at, result) = (numbered(target).incarnation, results[usize::from(result)]);
                    let time = super::fixtures::millis(now);
                    instance.forwarder.handle_probe_result(at, result, time, &mut instance.out);
                }
                Step::Wait { millis } => {
                    now += millis;
                    instance.tick(now);
                }
            }
        }
    }
}
