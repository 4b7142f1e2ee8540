//! Tests the refusal of an excess that targets reject.

use crate::fixtures::*;
use medlarspur_lib::{bundle::Class, collections::Map, ids::DomainName, settings::Capabilities};
use medlarspur_marked::{
    Content, Flow, FlowKey, Forwarder, ForwarderOptions, Kind, Note, Refusal, Scope, Segment,
};
use std::net::Ipv4Addr;

/// Lengths of a full answer and of one that rejects a request.
const FULL: u32 = 840;
const REJECTION: u32 = 213;

/// One of eight instances before four targets of two slots, which have just rejected requests.
fn rejected(capabilities: Capabilities) -> Instance {
    let domain = DomainName::new("north");
    let options = ForwarderOptions { domain, regions: Map::default(), capabilities, seed: 7 };
    let mut it = Instance { forwarder: Forwarder::new(options), out: Decisions::default() };
    it.forwarder.set_domain_size(8);
    let mut config = config(1);
    config.routes.iter_mut().for_each(|route| route.objective = Some(millis(250)));
    let targets = (1..5).map(|nth| change(1 + nth, Content::Target(target(nth, "desk"))));
    let changes = [change(1, Content::Config(config))].into_iter().chain(targets).collect();
    it.learn(update(100, Scope::Snapshot, changes), 0);
    let learnt = (1, (0..80).map(|nth| (100 + nth * 100, FULL)).collect());
    let failures = (2..18).map(|number| (number, vec![(9_000 + u64::from(number), REJECTION)]));
    for (number, answers) in [learnt].into_iter().chain(failures) {
        let (key, mut seq, mut ack) = (flow(number, FEED), 1001, 500);
        let target = it.establish(key, answers[0].0 - 50);
        for (at, length) in answers {
            it.packet(middle(key, target, seq, ack, 100), at);
            (seq, ack) = (seq + 100, ack + length);
            it.packet(middle(key, target, seq, ack, 0), at + 5);
        }
    }
    it.tick(9_400);
    it.out = Decisions::default();
    it
}

fn shedding() -> Instance {
    rejected(Capabilities { health: false, pressure: true })
}

/// The opening of flow `number` of a caller.
fn open(it: &mut Instance, caller: u8, number: u16, now: u64) -> FlowKey {
    let mut key = flow(number, FEED);
    key.caller.set_ip(Ipv4Addr::new(100, 64, 1, caller));
    it.packet(segment(key, Kind::Open), now);
    key
}

/// Guards against new flows that are all sent on to targets which reject them, and against a
/// change where the capability is off.
#[test]
fn rejections_hold_new_flows_where_the_capability_is_on() {
    let held = [true, false].map(|pressure| {
        let mut it = rejected(Capabilities { health: true, pressure });
        (0..10).for_each(|number| _ = open(&mut it, 1, 100 + number, 9_410));
        it.forwarder.counts().held
    });

    assert_eq!(held, [9, 0]);
}

/// Guards against callers who wait for all their time for what can't be, and against refusals
/// of flows that were sent to a target.
#[test]
fn flows_that_cannot_be_opened_in_time_are_refused_early() {
    let mut it = shedding();
    let keys: Vec<FlowKey> = (0..20).map(|number| open(&mut it, number, 100, 9_410)).collect();
    keys.iter().for_each(|key| it.packet(copy(*key, 1), 9_610));

    it.tick(9_700);

    let shed = it.out.resets.iter().filter(|(_, _, refusal)| *refusal == Refusal::Shed);
    let shed: Vec<FlowKey> = shed.map(|(key, ..)| *key).collect();
    assert!((10..19).contains(&shed.len()), "{}", shed.len());
    assert!(!shed.contains(&keys[0]), "it was sent to a target");
    assert_eq!(it.forwarder.counts().opened, 18, "17 flows before, and one of these");
    assert_eq!(it.forwarder.counts().shed, shed.len() as u64);
}

/// Guards against a caller that gets ahead of others by opening more flows.
#[test]
fn a_caller_with_many_held_flows_goes_behind_another() {
    let mut it = shedding();
    let first = open(&mut it, 1, 100, 9_410);
    (0..5).for_each(|number| _ = open(&mut it, 2, 100 + number, 9_420));
    let other = open(&mut it, 3, 100, 9_421);
    (5..12).for_each(|number| _ = open(&mut it, 2, 100 + number, 9_422));

    let end = middle(first, it.last_target(), 1001, 500, 0);
    it.packet(Segment { kind: Kind::Abort, ..end }, 9_430);
    it.tick(9_430);

    let opened = it.out.notes.iter().filter_map(|note| match note {
        Note::Opened { flow, .. } => Some(*flow),
        _ => None,
    });
    assert_eq!(opened.collect::<Vec<_>>(), [first, other]);
}

/// Guards against connections kept for higher levels because of flows whose callers use them.
#[test]
fn a_flow_is_left_idle_from_a_failure_until_its_next_packet() {
    let packet = middle(flow(2, FEED), target(1, "desk").incarnation, 1101, 713, 100);
    let target = target(1, "desk").incarnation;
    let mut used = Flow::resume(target, Class::Feed, &packet, millis(0));
    used.left_idle = true;

    used.observe(&packet, millis(10));

    assert_eq!((shedding().forwarder.counts().left_idle, used.left_idle), (16, false));
}
