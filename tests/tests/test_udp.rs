//! Tests of flows of UDP services, whose first and last packets are not marked.

use medlarspur_lib::{
    bundle::{Bundle, Protocol},
    collections::{Map, Set},
    packet::{FlowKey, Packet},
    time::Millis,
};
use medlarspur_testutils::{
    bundles::{FEEDS, SiteBuilder},
    fleet::{Fleet, Network},
};
use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

const FLOWS: u16 = 400;

/// Returns the bundle of a site whose services all use UDP.
fn bundle(site: &SiteBuilder) -> Arc<Bundle> {
    let mut bundle = Arc::unwrap_or_clone(site.bundle());
    for service in &mut bundle.services {
        for port in &mut Arc::make_mut(service).ports {
            port.protocol = Protocol::Udp;
        }
    }
    Arc::new(bundle)
}

fn datagram(number: u16) -> Vec<u8> {
    let mut bytes = vec![0; 28];
    bytes[0] = 0x45;
    bytes[3] = 28;
    bytes[9] = 17;
    bytes[12..16].copy_from_slice(&Ipv4Addr::new(10, 0, 0, 1).octets());
    bytes[16..20].copy_from_slice(&FEEDS.ip().octets());
    bytes[20..22].copy_from_slice(&(20_000 + number).to_be_bytes());
    bytes[22..24].copy_from_slice(&FEEDS.port().to_be_bytes());
    bytes
}

/// Sends a datagram of each flow to a random instance, one every 10 ms, and returns
/// the target that each reached.
fn send(fleet: &mut Fleet, flows: std::ops::Range<u16>) -> Map<FlowKey, SocketAddrV4> {
    let mut targets = Map::default();
    for number in flows {
        let awake: Vec<_> = (0..fleet.nodes.len()).filter(|ix| fleet.is_awake(*ix)).collect();
        let ix = awake[fleet.random(awake.len() as u64) as usize];
        fleet.receive(ix, &datagram(number));
        fleet.advance(Millis(10));
    }
    fleet.advance(Millis(100));
    for (target, bytes) in std::mem::take(&mut fleet.packets) {
        let packet = Packet::parse(&bytes).expect("a datagram");
        targets.insert(packet.key(), target);
    }
    targets
}

/// Whether a running instance knows the flow. A flow that only a dead instance knew
/// can't be distinguished from a new one.
fn is_known(fleet: &Fleet, key: &FlowKey) -> bool {
    let nodes = fleet.nodes.iter().enumerate().filter(|(ix, _)| fleet.is_awake(*ix));
    nodes.map(|(_, node)| &node.forwarder).any(|forwarder| {
        let id = forwarder.view().map(|view| view.hasher.id(key));
        id.is_some_and(|id| forwarder.flows().get(id).is_some())
    })
}

/// Guards against known UDP flows that move away from a leaving target, which loses
/// their state, and against new flows there, which are interrupted when its host
/// goes down. Callers send datagrams through any instance, with and without an
/// instance that died just before, after which no keeper can deny a flow for a
/// while.
#[test]
fn datagrams_stay_at_their_target_and_new_ones_avoid_a_leaving_one() {
    for dies in [false, true] {
        let site = SiteBuilder::new(14, 4);
        let mut fleet = Fleet::new(8, 4, &bundle(&site), Network::default());
        let leaving = site.bundle().services[0].targets[3].address;
        let before = send(&mut fleet, 0..FLOWS);
        assert!(before.values().any(|target| *target == leaving));
        if dies {
            fleet.kill(6);
        }
        let known: Set<_> = before.keys().filter(|key| is_known(&fleet, key)).copied().collect();

        fleet.publish(&bundle(&site.leaving("alertdesk-3")));
        fleet.advance(Millis::secs(2));
        let new = send(&mut fleet, FLOWS..2 * FLOWS);
        let after = send(&mut fleet, 0..FLOWS);

        assert_eq!(before.len(), usize::from(FLOWS));
        for (key, target) in before.iter().filter(|(key, _)| known.contains(key)) {
            assert_eq!(after.get(key), Some(target), "{dies} {key}");
        }
        assert_eq!(new.len(), usize::from(FLOWS));
        assert!(new.values().all(|target| *target != leaving));
    }
}
