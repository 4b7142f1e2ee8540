//! Benchmarks of the packet path without sockets.

use crate::{
    process::resident,
    site::{self, TARGETS},
};
use medlarspur_fabric::{Batch, Counts, Datagram, MAX_BATCH, MemoryError, Outbox, Wire};
use medlarspur_lib::{
    bundle::Protocol,
    forwarder::{AdmitAll, Forwarder, Sink},
    ids::InstanceName,
    message::Advert,
    packet::Packet,
    question,
    time::Millis,
    view::View,
};
use std::{
    hint::black_box,
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::{Duration, Instant},
};

const PACKET_SIZE: usize = 60;
const NOW: Millis = Millis(1_000);
const ROUNDS: usize = 5;

/// A measured step, with its time per packet.
pub struct Row {
    pub name: &'static str,
    pub nanos: f64,
}

/// Collects the packets that a forwarder sends.
#[derive(Default)]
pub struct SentPackets {
    pub outbox: Outbox,
}

impl Sink for SentPackets {
    fn forward(&mut self, target: SocketAddrV4, packet: &[u8]) {
        self.outbox.push(target, packet);
    }

    fn send_to_caller(&mut self, _: Vec<u8>) {}

    fn send_to_peer(&mut self, _: SocketAddrV4, _: question::Datagram) {}

    fn send_advert(&mut self, _: &InstanceName, _: Advert) {}
}

/// A wire that replays prepared packets and accepts all that are sent.
struct ReplayWire<'a> {
    packets: &'a [Vec<u8>],
    next: usize,
    counts: Counts,
}

impl Wire for ReplayWire<'_> {
    type Error = MemoryError;

    fn receive(&mut self, batch: &mut Batch, _: Duration) -> Result<usize, MemoryError> {
        batch.clear();
        let end = self.packets.len().min(self.next + MAX_BATCH);
        for bytes in &self.packets[self.next..end] {
            batch.push(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1), bytes);
        }
        self.next = end;
        Ok(batch.len())
    }

    fn send(&mut self, datagrams: &[Datagram<'_>]) -> usize {
        self.counts.sent += black_box(datagrams).len() as u64;
        datagrams.len()
    }

    fn counts(&self) -> Counts {
        self.counts
    }
}

fn targets() -> [SocketAddrV4; TARGETS] {
    std::array::from_fn(|ix| SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, ix as u8), 6080))
}

/// The view of the benchmark's services.
pub fn view() -> Arc<View> {
    site::view(&targets())
}

fn forwarder(flows: usize) -> Forwarder<AdmitAll> {
    let mut forwarder = Forwarder::new(AdmitAll, flows);
    forwarder.install(view(), NOW);
    forwarder
}

/// Returns the median time per packet of several rounds, in nanoseconds. A round returns the
/// duration of its measured part.
fn median(packets: usize, mut round: impl FnMut() -> Duration) -> f64 {
    let mut times: Vec<_> = (0..ROUNDS).map(|_| round()).collect();
    times.sort();
    times[ROUNDS / 2].as_nanos() as f64 / packets as f64
}

fn timed(work: impl FnOnce()) -> Duration {
    let start = Instant::now();
    work();
    start.elapsed()
}

/// Passes all packets through the whole path: receive, decide, send.
fn pass(forwarder: &mut Forwarder<AdmitAll>, packets: &[Vec<u8>]) {
    let mut wire = ReplayWire { packets, next: 0, counts: Counts::default() };
    let mut sent = SentPackets::default();
    let mut batch = Batch::new();
    while let Ok(1..) = wire.receive(&mut batch, Duration::ZERO) {
        for received in batch.iter() {
            forwarder.handle_packet(NOW, received.bytes, &mut sent);
        }
        sent.outbox.flush(&mut wire);
    }
    assert_eq!(wire.counts().sent, packets.len() as u64, "every packet is forwarded");
}

/// Measures the steps of the packet path with this number of flows.
pub fn run(flows: usize) -> Vec<Row> {
    let order = site::shuffled(flows);
    let openings: Vec<_> = order.iter().map(|&flow| site::opening_packet(flow)).collect();
    let mid_flow: Vec<_> =
        order.iter().rev().map(|&flow| site::mid_flow_packet(flow, PACKET_SIZE)).collect();
    let row = |name, nanos| Row { name, nanos };
    let open = median(flows, || {
        let mut forwarder = forwarder(flows);
        timed(|| pass(&mut forwarder, &openings))
    });
    let miss = median(flows, || {
        let mut forwarder = forwarder(flows);
        timed(|| pass(&mut forwarder, &mid_flow))
    });
    let copy = median(flows, || timed(|| copy(&mid_flow)));
    vec![
        row("whole path, hit", hit_nanos(flows)),
        row("whole path, miss in mid-flow", miss),
        row("whole path, opening", open),
        row("of these: receive and send, no decision", copy),
        row("parse", median(flows, || timed(|| parse(&mid_flow)))),
        row("parse and hash", median(flows, || timed(|| hash(&mid_flow)))),
        row("parse, hash, service, bucket, owner", median(flows, || timed(|| look_up(&mid_flow)))),
    ]
}

/// Returns the time of a packet through the whole path, in nanoseconds, with this number of
/// known flows and their packets in random order.
pub fn hit_nanos(flows: usize) -> f64 {
    let order = site::shuffled(flows);
    let mid_flow: Vec<_> =
        order.iter().rev().map(|&flow| site::mid_flow_packet(flow, PACKET_SIZE)).collect();
    let mut warm = forwarder(flows);
    pass(&mut warm, &mid_flow);
    median(flows, || timed(|| pass(&mut warm, &mid_flow)))
}

/// Receives and sends batches without parsing the packets.
fn copy(packets: &[Vec<u8>]) {
    let mut wire = ReplayWire { packets, next: 0, counts: Counts::default() };
    let mut outbox = Outbox::new();
    let mut batch = Batch::new();
    let to = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
    while let Ok(1..) = wire.receive(&mut batch, Duration::ZERO) {
        for received in batch.iter() {
            outbox.push(to, received.bytes);
        }
        outbox.flush(&mut wire);
    }
}

fn parse(packets: &[Vec<u8>]) {
    for bytes in packets {
        black_box(Packet::parse(black_box(bytes)).is_ok());
    }
}

fn hash(packets: &[Vec<u8>]) {
    let view = view();
    for packet in packets.iter().filter_map(|it| Packet::parse(black_box(it)).ok()) {
        black_box(view.hasher.id(&packet.key()));
    }
}

fn look_up(packets: &[Vec<u8>]) {
    let view = view();
    for packet in packets.iter().filter_map(|it| Packet::parse(black_box(it)).ok()) {
        let key = packet.key();
        let id = view.hasher.id(&key);
        if let Some((service, _)) = view.service_at(key.service, Protocol::Tcp) {
            black_box(service.state(service.bucket(id)).owner);
        }
    }
}

/// Returns the memory of this number of flows, in bytes, when the table starts without
/// capacity.
pub fn flow_memory(flows: usize) -> u64 {
    let mut forwarder = forwarder(0);
    let mut sent = SentPackets::default();
    let before = resident();
    for flow in 0..flows {
        forwarder.handle_packet(NOW, &site::opening_packet(flow), &mut sent);
        sent.outbox.clear();
    }
    assert_eq!(forwarder.flows().len(), flows, "every flow is held");
    resident().saturating_sub(before)
}
