//! Marks lead to their target and nowhere else.

use super::fixtures::{FEED, Instance, UPLOAD, flow, middle, segment, target};
use medlarspur_marked::{FlowKey, Incarnation, Kind, Mark, Segment};
use proptest::prelude::*;

fn keys() -> impl Strategy<Value = FlowKey> {
    (any::<u32>(), any::<u16>(), any::<u32>(), any::<u16>()).prop_map(|(a, b, c, d)| FlowKey {
        caller: std::net::SocketAddrV4::new(a.into(), b),
        service: std::net::SocketAddrV4::new(c.into(), d),
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_mark_survives_encoding_and_matches_its_flow(id in any::<u64>(), key in keys()) {
        let mark = Mark::new(Incarnation(id), &key);

        let read = Mark::from_wire(mark.to_wire()).expect("no mark is 0");

        prop_assert_eq!(read, mark);
        prop_assert!(read.matches(Incarnation(id), &key));
    }

    #[test]
    fn a_mark_of_another_flow_or_target_does_not_match(
        id in any::<u64>(), other in any::<u64>(), key in keys(), elsewhere in keys()
    ) {
        prop_assume!(id != other && key != elsewhere);
        let mark = Mark::new(Incarnation(id), &key);

        // Either matches by chance once in four million cases.
        prop_assert!(!mark.matches(Incarnation(other), &key));
        prop_assert!(!mark.matches(Incarnation(id), &elsewhere));
    }
}

#[test]
fn zero_is_no_mark() {
    assert_eq!(Mark::from_wire(0), None);
}

/// Guards against forged marks. Callers may write any mark: without the check, a packet for
/// uploads with the mark of a feed would reach a target of the feed's service with bytes meant
/// for another one.
#[test]
fn a_packet_with_the_mark_of_another_flow_is_dropped() {
    let mut instance = Instance::new(&[target(1, "desk"), target(2, "ingest")]);
    let feed = flow(40_001, FEED);
    let desk = instance.establish(feed, 0);
    instance.out.sent.clear();

    let upload = flow(40_002, UPLOAD);
    let copied = Some(Mark::new(desk, &feed));
    instance.packet(Segment { mark: copied, len: 10, ..segment(upload, Kind::Continue) }, 20);

    assert!(instance.out.sent.is_empty());
    assert!(instance.out.resets.is_empty());
    assert_eq!(instance.forwarder.counts().unknown, 1);
}

/// Guards against packets of a feed that reach a target of another service which took over the
/// address of the feed's target. A mark that named the address would lead there.
#[test]
fn a_mark_does_not_lead_to_a_later_target_with_the_same_address() {
    let mut instance = Instance::new(&[target(1, "desk")]);
    let feed = flow(40_001, FEED);
    let first = instance.establish(feed, 0);
    let mut next = target(9, "ingest");
    next.address = target(1, "desk").address;
    let listed =
        super::fixtures::incremental(200, medlarspur_marked::Content::Target(next.clone()));
    instance.learn(listed, 100);
    instance.out.sent.clear();

    instance.packet(middle(feed, first, 1001, 500, 10), 200);

    assert!(instance.out.sent.iter().all(|(to, ..)| *to == first));
    assert_ne!(first, next.incarnation);
}

/// Guards against flows that need a record: an instance that has just started has none, and
/// only the mark leads each packet to the flow's target.
#[test]
fn an_instance_without_records_forwards_every_flow_to_its_target() {
    let targets: Vec<_> = (1..=14).map(|number| target(number, "desk")).collect();
    let mut first = Instance::new(&targets);
    let mut second = Instance::new(&targets);

    for number in 0..500 {
        let key = flow(10_000 + number, FEED);
        let opened = first.establish(key, u64::from(number));
        second.packet(middle(key, opened, 1001, 500, 10), 5000);
        assert_eq!(second.last_target(), opened);
    }
}
