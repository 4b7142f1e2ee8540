//! The packet path over loopback, beside a bare relay of the same datagrams.

use crate::{
    memory::Sent,
    process::thread_nanos,
    site::{self, TARGETS},
};
use medlarspur_fabric::{BATCH, Batch, Datagram, Listener, Outbox, Socket, Wire};
use medlarspur_lib::{
    forwarder::{Forwarder, OpenGate},
    time::Millis,
};
use std::{
    array,
    net::{Ipv4Addr, SocketAddrV4},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    thread,
    time::{Duration, Instant},
};

const ROUNDS: usize = 7;
const ROUND: Duration = Duration::from_millis(700);
const WAIT: Duration = Duration::from_millis(5);
/// Enough to keep the relay's receive buffer full.
const GENERATORS: usize = 2;

/// What one kind of relay did.
pub struct Rate {
    pub name: &'static str,
    /// Packets relayed a second by one thread.
    pub wall: f64,
    /// Processor time a packet, kernel included.
    pub nanos: f64,
    /// The rate beside the bare relay's.
    pub ratio: f64,
}

/// The rounds of all kinds, which took turns.
pub struct Rates {
    rounds: [Vec<(f64, f64)>; 3],
}

const NAMES: [&str; 3] = ["bare relay", "bare relay that copies", "forwarder"];

impl Rates {
    pub fn rows(&self) -> impl Iterator<Item = Rate> {
        let bare = median(self.rounds[0].iter().map(|it| it.0));
        self.rounds.iter().zip(NAMES).map(move |(rounds, name)| {
            let wall = median(rounds.iter().map(|it| it.0));
            let nanos = median(rounds.iter().map(|it| it.1));
            Rate { name, wall, nanos, ratio: wall / bare }
        })
    }
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<_> = values.collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn any_port() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)
}

/// Relays packets of `size` bytes for a while by each kind in turn.
pub fn run(flows: usize, size: usize) -> Rates {
    let sinks: [Listener; TARGETS] = array::from_fn(|_| bind());
    let targets = array::from_fn(|ix| sinks[ix].local());
    let relay = bind();
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = vec![spawn_drain(sinks, &stop)];
    for part in 0..GENERATORS {
        threads.push(spawn_generator(relay.local(), flows, size, part, &stop));
    }
    let mut kinds = Kinds::new(Socket::from(relay), targets, flows, size);
    let mut rounds = [const { Vec::new() }; 3];
    for _ in 0..ROUNDS {
        rounds[0].push(kinds.round(Kinds::pass_on));
        rounds[1].push(kinds.round(Kinds::copy));
        rounds[2].push(kinds.round(Kinds::forward));
    }
    stop.store(true, Relaxed);
    threads.into_iter().for_each(|it| it.join().expect("no helper thread panics"));
    Rates { rounds }
}

fn bind() -> Listener {
    Listener::bind(any_port()).expect("loopback has free ports")
}

/// Reads what targets are sent, as their kernels would.
fn spawn_drain(sinks: [Listener; TARGETS], stop: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let stop = stop.clone();
    thread::spawn(move || {
        let mut sockets = sinks.map(Socket::from);
        let mut batch = Batch::new();
        while !stop.load(Relaxed) {
            for socket in &mut sockets {
                socket.receive(&mut batch, Duration::ZERO).expect("a sink can be read");
            }
        }
    })
}

fn spawn_generator(
    to: SocketAddrV4,
    flows: usize,
    size: usize,
    part: usize,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let stop = stop.clone();
    let order = site::shuffled(flows);
    let mine = order.chunks(flows.div_ceil(GENERATORS)).nth(part).unwrap_or_default();
    let packets: Vec<_> = mine.iter().map(|&flow| site::middle(flow, size)).collect();
    thread::spawn(move || {
        let mut socket = Socket::bind(any_port()).expect("loopback has free ports");
        let datagrams: Vec<_> = packets.iter().map(|bytes| Datagram { to, bytes }).collect();
        for batch in datagrams.chunks(BATCH).cycle() {
            socket.send(batch);
            if stop.load(Relaxed) {
                break;
            }
        }
    })
}

/// The relays, which share one socket.
struct Kinds {
    socket: Socket,
    batch: Batch,
    targets: [SocketAddrV4; TARGETS],
    outbox: Outbox,
    sent: Sent,
    forwarder: Forwarder<OpenGate>,
    start: Instant,
}

impl Kinds {
    fn new(socket: Socket, targets: [SocketAddrV4; TARGETS], flows: usize, size: usize) -> Self {
        let mut forwarder = Forwarder::new(OpenGate, flows);
        let mut sent = Sent::default();
        forwarder.install(site::view(&targets), Millis(0));
        for flow in 0..flows {
            forwarder.packet(Millis(0), &site::opening(flow, size), &mut sent);
        }
        let sent = Sent::default();
        let (batch, outbox, start) = (Batch::new(), Outbox::new(), Instant::now());
        Self { socket, batch, targets, outbox, sent, forwarder, start }
    }

    /// Answers the packets a second and the processor time a packet.
    fn round(&mut self, step: impl Fn(&mut Self) -> usize) -> (f64, f64) {
        let (start, nanos) = (Instant::now(), thread_nanos());
        let mut packets = 0;
        while start.elapsed() < ROUND {
            self.socket.receive(&mut self.batch, WAIT).expect("the relay can be read");
            packets += step(self);
        }
        let wall = packets as f64 / start.elapsed().as_secs_f64();
        (wall, (thread_nanos() - nanos) as f64 / packets as f64)
    }

    fn pass_on(&mut self) -> usize {
        let targets = self.targets.iter().cycle();
        let datagrams: Vec<_> = self
            .batch
            .iter()
            .zip(targets)
            .map(|(it, &to)| Datagram { to, bytes: it.bytes })
            .collect();
        self.socket.send(&datagrams)
    }

    fn copy(&mut self) -> usize {
        for (received, &to) in self.batch.iter().zip(self.targets.iter().cycle()) {
            self.outbox.push(to, received.bytes);
        }
        self.outbox.flush(&mut self.socket)
    }

    fn forward(&mut self) -> usize {
        let now = self.start.elapsed().into();
        for received in self.batch.iter() {
            self.forwarder.packet(now, received.bytes, &mut self.sent);
        }
        self.forwarder.tick(now, &mut self.sent);
        self.sent.outbox.flush(&mut self.socket)
    }
}
