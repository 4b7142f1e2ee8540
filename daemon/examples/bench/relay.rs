//! Benchmark of the packet thread over loopback, compared with a bare relay of the same
//! datagrams.

use crate::{
    process::thread_nanos,
    site::{self, TARGETS},
};
use medlarspur_daemon::{
    clock::Clock,
    gate::LoadGate,
    packets::{self, PacketParts},
    sample::Sampler,
    shared::{RING_CAPACITY, Shared},
};
use medlarspur_fabric::{Batch, Datagram, Listener, MAX_BATCH, Socket, Wire};
use medlarspur_lib::settings::Secret;
use medlarspur_operator::Meters;
use rtrb::RingBuffer;
use std::{
    array,
    net::{Ipv4Addr, SocketAddrV4},
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed},
        mpsc::sync_channel,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

const ROUNDS: usize = 9;
const ROUND_TIME: Duration = Duration::from_millis(600);
/// Time that a relay runs before it is measured.
const SETTLE_TIME: Duration = Duration::from_millis(150);
const MAX_WAIT: Duration = Duration::from_millis(5);
/// Number of generator threads, enough to keep a relay's receive buffer full.
const GENERATORS: usize = 2;
/// Value of `choice` that stops the generators, the bare relay and the targets.
const STOP: usize = 2;

/// Thread names of the two kinds of relay.
const THREAD_NAMES: [&str; 2] = ["bare relay", "packets"];

/// Results of one kind of relay: medians of its rounds.
pub struct RelayResult {
    pub name: &'static str,
    /// Packets per second of one thread.
    pub rate: f64,
    /// Processor time per packet in nanoseconds, including the kernel's.
    pub nanos: f64,
    /// Rate relative to the bare relay's in the round just before.
    pub ratio: f64,
    /// Packets per second of processor time, relative to the bare relay's. Other load on the
    /// machine affects it less than `ratio`.
    pub cpu_ratio: f64,
}

/// Measures each kind of relay in turn with packets of `size` bytes.
pub fn run(flows: usize, size: usize) -> [RelayResult; 2] {
    let bench = Bench::start(flows, size);
    let mut rounds = [const { Vec::new() }; 2];
    for _ in 0..ROUNDS {
        for (kind, rounds) in rounds.iter_mut().enumerate() {
            rounds.push(bench.round(kind));
        }
    }
    bench.stop();
    array::from_fn(|kind| summarize(kind, &rounds))
}

/// Packets per second and nanoseconds per packet of one round.
type Round = (f64, f64);

fn summarize(kind: usize, rounds: &[Vec<Round>; 2]) -> RelayResult {
    let pairs = || rounds[kind].iter().zip(&rounds[0]);
    RelayResult {
        name: THREAD_NAMES[kind],
        rate: median(rounds[kind].iter().map(|it| it.0)),
        nanos: median(rounds[kind].iter().map(|it| it.1)),
        ratio: median(pairs().map(|(mine, bare)| mine.0 / bare.0)),
        cpu_ratio: median(pairs().map(|(mine, bare)| bare.1 / mine.1)),
    }
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<_> = values.collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Threads of the generators, of both relays and of the targets.
struct Bench {
    choice: Arc<AtomicUsize>,
    relayed: Arc<AtomicU64>,
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Bench {
    fn start(flows: usize, size: usize) -> Bench {
        let choice = Arc::new(AtomicUsize::new(0));
        let relayed = Arc::new(AtomicU64::new(0));
        let shared = Arc::new(Shared::default());
        let sinks: [Listener; TARGETS] = array::from_fn(|_| bind());
        let targets = array::from_fn(|ix| sinks[ix].local());
        let relays = [bind(), bind()];
        let locals = [relays[0].local(), relays[1].local()];
        let [bare, fabric] = relays;
        let mut threads = vec![spawn("targets", drain(sinks, choice.clone()))];
        threads.push(spawn(THREAD_NAMES[0], relay(bare, targets, choice.clone(), relayed.clone())));
        shared.view.store(Some(site::view(&targets)));
        threads.push(spawn(THREAD_NAMES[1], packet_thread(fabric, shared.clone())));
        for part in 0..GENERATORS {
            let work = generate(locals, flows, size, part, choice.clone());
            threads.push(spawn("generator", work));
        }
        Bench { choice, relayed, shared, threads }
    }

    fn round(&self, kind: usize) -> Round {
        self.choice.store(kind, Relaxed);
        thread::sleep(SETTLE_TIME);
        let (first, start) = self.sample(kind);
        let nanos = thread_nanos(THREAD_NAMES[kind]);
        thread::sleep(ROUND_TIME);
        let (last, end) = self.sample(kind);
        let packets = (last - first) as f64;
        let nanos = (thread_nanos(THREAD_NAMES[kind]) - nanos) as f64;
        (packets / (end - start).as_secs_f64(), nanos / packets)
    }

    /// Returns the number of relayed packets and the time of the count. The packet thread
    /// publishes its counters four times a second, so this waits for the next time.
    fn sample(&self, kind: usize) -> (u64, Instant) {
        if kind == 0 {
            return (self.relayed.load(Relaxed), Instant::now());
        }
        let forwarded = || self.shared.counters.load().forwarded;
        let before = forwarded();
        while forwarded() == before {
            thread::sleep(Duration::from_micros(200));
        }
        (forwarded(), Instant::now())
    }

    fn stop(self) {
        self.choice.store(STOP, Relaxed);
        self.shared.stop.store(true, Relaxed);
        self.threads.into_iter().for_each(|it| it.join().expect("no thread panics"));
    }
}

fn bind() -> Listener {
    let any_port = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    Listener::bind(any_port).expect("loopback has free ports")
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> JoinHandle<()> {
    thread::Builder::new().name(name.to_owned()).spawn(work).expect("there are threads left")
}

/// The daemon's packet thread.
fn packet_thread(fabric: Listener, shared: Arc<Shared>) -> impl FnOnce() {
    move || {
        let (_commands, command_receiver) = RingBuffer::new(RING_CAPACITY);
        let (adverts, _advert_receiver) = RingBuffer::new(RING_CAPACITY);
        let (_queries, query_receiver) = sync_channel(1);
        let meters = Meters::new().expect("the metrics are registered");
        let parts = PacketParts {
            return_address: fabric.local(),
            fabric,
            questions: bind(),
            secret: Secret([0xab; 32]),
            commands: command_receiver,
            queries: query_receiver,
            adverts,
            gate: LoadGate::new(1, meters.clone()),
            sampler: Sampler::new(meters),
            clock: Clock::start(),
            shared,
        };
        packets::run(parts).expect("the packet thread runs until it is stopped");
    }
}

/// The bare relay: forwards batches without parsing the packets.
fn relay(
    listener: Listener,
    targets: [SocketAddrV4; TARGETS],
    choice: Arc<AtomicUsize>,
    relayed: Arc<AtomicU64>,
) -> impl FnOnce() {
    move || {
        let mut socket = Socket::from(listener);
        let mut batch = Batch::new();
        while choice.load(Relaxed) != STOP {
            socket.receive(&mut batch, MAX_WAIT).expect("the relay can be read");
            let pairs = batch.iter().zip(targets.iter().cycle());
            let datagrams: Vec<_> =
                pairs.map(|(it, &to)| Datagram { to, bytes: it.bytes }).collect();
            relayed.fetch_add(socket.send(&datagrams) as u64, Relaxed);
        }
    }
}

/// Reads the packets sent to targets, as the targets' kernels would.
fn drain(sinks: [Listener; TARGETS], choice: Arc<AtomicUsize>) -> impl FnOnce() {
    move || {
        let mut sockets = sinks.map(Socket::from);
        let mut batch = Batch::new();
        while choice.load(Relaxed) != STOP {
            for socket in &mut sockets {
                socket.receive(&mut batch, Duration::ZERO).expect("a sink can be read");
            }
        }
    }
}

/// Sends packets of the `part`th share of the flows, in random order, to the chosen relay.
fn generate(
    relays: [SocketAddrV4; 2],
    flows: usize,
    size: usize,
    part: usize,
    choice: Arc<AtomicUsize>,
) -> impl FnOnce() {
    move || {
        let mut socket = Socket::from(bind());
        let order = site::shuffled(flows);
        let mine = order.chunks(flows.div_ceil(GENERATORS)).nth(part).unwrap_or_default();
        let mut packets: [_; MAX_BATCH] = array::from_fn(|_| site::mid_flow_packet(0, size));
        for chunk in mine.chunks_exact(MAX_BATCH).cycle() {
            let Some(&to) = relays.get(choice.load(Relaxed)) else { return };
            for (packet, &flow) in packets.iter_mut().zip(chunk) {
                site::set_flow(packet, flow);
            }
            let datagrams = packets.each_ref().map(|bytes| Datagram { to, bytes });
            socket.send(&datagrams);
        }
    }
}
