//! The site of the benchmarks: its services, and callers' packets.

use medlarspur_lib::{
    bundle::{Bundle, Class, Limits, Port, Protocol, Seed, Service, Target, TargetState},
    ids::{DomainName, InstanceName, ServiceName, SiteName, TargetName, Version},
    time::Millis,
    view::{Draft, PUBLISH_DELAY, View},
};
use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

/// Number of hosts of each service.
pub const HOSTS: [usize; 2] = [14, 4];
/// Number of all hosts.
pub const TARGETS: usize = HOSTS[0] + HOSTS[1];

const ADDRESSES: [Ipv4Addr; 2] = [Ipv4Addr::new(10, 70, 0, 1), Ipv4Addr::new(10, 70, 0, 2)];
const PORT: u16 = 7001;
const SYN: u8 = 0x02;
/// Size of an IP and a TCP header without options, in bytes.
const HEADERS: usize = 40;
const ACK: u8 = 0x10;

/// Returns the view of a single instance with these targets.
pub fn view(targets: &[SocketAddrV4; TARGETS]) -> Arc<View> {
    let (alerts, ingest) = targets.split_at(HOSTS[0]);
    let services = vec![
        service("alertdesk", ADDRESSES[0], Class::Feed, 4096, alerts),
        service("ingest", ADDRESSES[1], Class::Upload, 4096, ingest),
    ];
    let bundle = bundle(services);
    let mut draft = Draft::first(InstanceName::new("entry-1"), &bundle, Millis(0));
    draft.advance(PUBLISH_DELAY);
    draft.commit().expect("the first view is a change")
}

/// Returns a bundle of many services with two targets and 1,024 buckets each. It isn't parsed
/// from text: memory freed by the parser would hide later allocations from a measurement.
pub fn many_services(services: usize) -> Arc<Bundle> {
    let address = |net, ix| Ipv4Addr::from(u32::from(Ipv4Addr::new(10, net, 0, 0)) + ix as u32);
    let services = (0..services).map(|ix| {
        let targets = [1, 2].map(|net| SocketAddrV4::new(address(net, ix), 6080));
        service(&format!("service-{ix}"), address(70, ix), Class::Feed, 1024, &targets)
    });
    bundle(services.collect())
}

fn bundle(services: Vec<Arc<Service>>) -> Arc<Bundle> {
    let (version, site, seed) = (Version(1), SiteName::new("sofia"), Seed([7; 16]));
    Arc::new(Bundle {
        version,
        site,
        seed,
        services,
        limits: Limits::default(),
        evacuated: Vec::new(),
    })
}

fn service(
    name: &str,
    address: Ipv4Addr,
    class: Class,
    buckets: u16,
    targets: &[SocketAddrV4],
) -> Arc<Service> {
    let targets = targets.iter().enumerate().map(|(ix, &address)| Target {
        name: TargetName::new(&format!("{name}-{ix}")),
        address,
        domain: DomainName::new("lozenets"),
        weight: 100,
        slots: 2,
        connections: 2000,
        state: TargetState::Active,
        probe: None,
    });
    Arc::new(Service {
        name: ServiceName::new(name),
        address,
        ports: vec![Port { number: PORT, protocol: Protocol::Tcp, class }],
        buckets,
        keepalive: Millis::secs(30),
        refusal: None,
        balance: 50,
        targets: targets.collect(),
    })
}

/// Returns a caller's packet that opens the flow with this number. It carries no data, because
/// an opening with data isn't forwarded.
pub fn opening_packet(flow: usize) -> Vec<u8> {
    packet(flow, HEADERS, SYN)
}

/// Returns a caller's packet in the middle of the flow with this number.
pub fn mid_flow_packet(flow: usize, size: usize) -> Vec<u8> {
    packet(flow, size, ACK)
}

fn packet(flow: usize, size: usize, flags: u8) -> Vec<u8> {
    let mut bytes = vec![0; size];
    bytes[0] = 0x45;
    bytes[2..4].copy_from_slice(&(size as u16).to_be_bytes());
    bytes[8] = 64;
    bytes[9] = 6;
    bytes[22..24].copy_from_slice(&PORT.to_be_bytes());
    bytes[32] = 0x50;
    bytes[33] = flags;
    set_flow(&mut bytes, flow);
    bytes
}

/// Sets a packet's addresses and port to those of the flow with this number. Each caller has
/// 16 flows. The services share the flows in proportion to their hosts.
pub fn set_flow(packet: &mut [u8], flow: usize) {
    let caller = Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 0, 0, 0)) + (flow / 16) as u32);
    let port = 20_000 + (flow % 16) as u16;
    let service = ADDRESSES[usize::from(flow % TARGETS >= HOSTS[0])];
    packet[12..16].copy_from_slice(&caller.octets());
    packet[16..20].copy_from_slice(&service.octets());
    packet[20..22].copy_from_slice(&port.to_be_bytes());
}

/// Returns the numbers of all flows in a fixed random order. Packets of neighbouring flows
/// would find each other's memory in the cache.
pub fn shuffled(flows: usize) -> Vec<usize> {
    let mut order: Vec<_> = (0..flows).collect();
    let mut state = 0x9e37_79b9_7f4a_7c15u64;
    for ix in (1..flows).rev() {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        order.swap(ix, (state >> 33) as usize % (ix + 1));
    }
    order
}
