//! The packet path without sockets.

use crate::{
    process::resident,
    site::{self, TARGETS},
};
use medlarspur_fabric::{BATCH, Batch, Counts, Datagram, MemoryError, Outbox, Wire};
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

const SIZE: usize = 60;
const NOW: Millis = Millis(1_000);
const ROUNDS: usize = 5;

/// One measured step.
pub struct Row {
    pub name: &'static str,
    pub nanos: f64,
}

/// Collects what a forwarder wants to send.
#[derive(Default)]
pub struct Sent {
    pub outbox: Outbox,
}

impl Sink for Sent {
    fn forward(&mut self, target: SocketAddrV4, packet: &[u8]) {
        self.outbox.push(target, packet);
    }

    fn send_to_caller(&mut self, _: Vec<u8>) {}

    fn send_to_peer(&mut self, _: SocketAddrV4, _: question::Datagram) {}

    fn send_advert(&mut self, _: &InstanceName, _: Advert) {}
}

/// A wire that repeats prepared packets and takes all that is sent.
struct Repeat<'a> {
    packets: &'a [Vec<u8>],
    next: usize,
    counts: Counts,
}

impl Wire for Repeat<'_> {
    type Error = MemoryError;

    fn receive(&mut self, batch: &mut Batch, _: Duration) -> Result<usize, MemoryError> {
        batch.clear();
        let end = self.packets.len().min(self.next + BATCH);
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

/// The view of Gromovestnik's services.
pub fn view() -> Arc<View> {
    site::view(&targets())
}

fn forwarder(flows: usize) -> Forwarder<AdmitAll> {
    let mut forwarder = Forwarder::new(AdmitAll, flows);
    forwarder.install(view(), NOW);
    forwarder
}

/// The median time a packet of several rounds; a round makes what it needs and
/// answers how long the measured part took.
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

/// Takes all packets through the whole path: receive, decide, send.
fn pass(forwarder: &mut Forwarder<AdmitAll>, packets: &[Vec<u8>]) {
    let mut wire = Repeat { packets, next: 0, counts: Counts::default() };
    let mut sent = Sent::default();
    let mut batch = Batch::new();
    while let Ok(1..) = wire.receive(&mut batch, Duration::ZERO) {
        for received in batch.iter() {
            forwarder.handle_packet(NOW, received.bytes, &mut sent);
        }
        sent.outbox.flush(&mut wire);
    }
    assert_eq!(wire.counts().sent, packets.len() as u64, "every packet goes on");
}

/// Measures the steps of the packet path with this many flows.
pub fn run(flows: usize) -> Vec<Row> {
    let order = site::shuffled(flows);
    let openings: Vec<_> = order.iter().map(|&flow| site::opening(flow)).collect();
    let middles: Vec<_> = order.iter().rev().map(|&flow| site::middle(flow, SIZE)).collect();
    let row = |name, nanos| Row { name, nanos };
    let open = median(flows, || {
        let mut forwarder = forwarder(flows);
        timed(|| pass(&mut forwarder, &openings))
    });
    let miss = median(flows, || {
        let mut forwarder = forwarder(flows);
        timed(|| pass(&mut forwarder, &middles))
    });
    let copy = median(flows, || timed(|| copy(&middles)));
    vec![
        row("whole path, hit", hit(flows)),
        row("whole path, miss in mid-flow", miss),
        row("whole path, opening", open),
        row("of these: receive and send, no decision", copy),
        row("parse", median(flows, || timed(|| parse(&middles)))),
        row("parse and hash", median(flows, || timed(|| hash(&middles)))),
        row("parse, hash, service, bucket, owner", median(flows, || timed(|| look_up(&middles)))),
    ]
}

/// The nanoseconds of a packet through the whole path when this many flows are
/// known and their packets come in random order.
pub fn hit(flows: usize) -> f64 {
    let order = site::shuffled(flows);
    let middles: Vec<_> = order.iter().rev().map(|&flow| site::middle(flow, SIZE)).collect();
    let mut warm = forwarder(flows);
    pass(&mut warm, &middles);
    median(flows, || timed(|| pass(&mut warm, &middles)))
}

/// Batches in and out without looking at them.
fn copy(packets: &[Vec<u8>]) {
    let mut wire = Repeat { packets, next: 0, counts: Counts::default() };
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

/// The memory that this many flows take when the table grows by itself, in
/// bytes.
pub fn held(flows: usize) -> u64 {
    let mut forwarder = forwarder(0);
    let mut sent = Sent::default();
    let before = resident();
    for flow in 0..flows {
        forwarder.handle_packet(NOW, &site::opening(flow), &mut sent);
        sent.outbox.clear();
    }
    assert_eq!(forwarder.flows().len(), flows, "every flow is held");
    resident().saturating_sub(before)
}
