//! Callers that share one UDP socket and start work at steady rates.

use crate::{
    client::{Client, Timeouts},
    clock::Clock,
    fabric::lock,
    report::Report,
    task::Work,
    udp::BatchReceiver,
};
use medlarspur_lib::{bundle::Class, collections::Map, time::Millis};
use std::{
    io,
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// A stream of similar work at a steady rate.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct Stream {
    /// The service that has to answer.
    pub service: String,
    /// Class of the work.
    pub class: Class,
    /// Address and port of the service.
    pub remote: SocketAddrV4,
    /// Pieces of work started per second.
    pub rate: f64,
    /// Total number of pieces of work; 0 for no limit.
    pub total: u64,
    /// Size of an upload in bytes.
    pub size: usize,
    /// Time in milliseconds after which the caller closes a feed.
    pub hold: u64,
}

/// Settings of the callers.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address of the fabric for callers' packets.
    pub fabric: SocketAddrV4,
    /// Address of the first caller; the others follow in steps of 257.
    pub first: Ipv4Addr,
    /// Number of callers, each with its own address.
    pub count: u32,
    /// Timeouts of the callers.
    pub timeouts: Timeouts,
}

impl Settings {
    /// Returns the settings of 32 callers with default timeouts.
    pub fn new(fabric: SocketAddrV4) -> Self {
        let first = Ipv4Addr::new(10, 64, 0, 1);
        Self { fabric, first, count: 32, timeouts: Timeouts::default() }
    }
}

/// Step from one caller's address to the next. It puts the callers into different
/// networks, as real callers are, because a limit applies to each network.
const ADDRESS_STRIDE: u32 = 257;

/// Phase in which work is started.
const OPENING: u8 = 0;
/// Phase in which no work is started and feeds stay open.
const HOLDING: u8 = 1;
/// Phase in which feeds are closed and other work is finished.
const ENDING: u8 = 2;

/// Receive timeout of the socket.
const TICK: Duration = Duration::from_millis(1);
/// Maximum number of feeds closed in one millisecond. Thousands closed at once
/// would overflow the sockets on their path, and so would their retransmissions.
const MAX_CLOSED_FEEDS: usize = 2;

/// Callers that run in a thread.
pub struct Callers {
    shared: Arc<Shared>,
    thread: JoinHandle<()>,
}

#[derive(Default)]
struct Shared {
    phase: AtomicU8,
    stopped: AtomicBool,
    pending: AtomicUsize,
    report: Mutex<Report>,
}

impl Callers {
    /// Starts the callers.
    pub fn start(settings: Settings, streams: Vec<Stream>) -> io::Result<Self> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.connect(settings.fabric)?;
        let shared = Arc::new(Shared::default());
        let mut caller_loop = CallerLoop::new(&settings, streams, Arc::clone(&shared));
        let thread = thread::spawn(move || caller_loop.run(BatchReceiver::new(socket)));
        Ok(Self { shared, thread })
    }

    /// Returns the results so far.
    pub fn report(&self) -> Report {
        lock(&self.shared.report).with_totals()
    }

    /// Number of pieces of work in progress.
    pub fn pending(&self) -> usize {
        self.shared.pending.load(Ordering::Relaxed)
    }

    /// Stops starting work; work in progress continues.
    pub fn hold(&self) {
        self.shared.phase.store(HOLDING, Ordering::Relaxed);
    }

    /// Closes the feeds, waits up to `grace` for the other work and returns the results.
    pub fn stop(self, grace: Duration) -> Report {
        self.shared.phase.store(ENDING, Ordering::Relaxed);
        let clock = Clock::start();
        // The first ticks bring the count of work in progress up to date.
        thread::sleep(10 * TICK);
        while self.pending() > 0 && clock.now() < grace.into() {
            thread::sleep(TICK);
        }
        self.shared.stopped.store(true, Ordering::Relaxed);
        // If the thread panicked, the results until then are returned.
        let _ = self.thread.join();
        lock(&self.shared.report).with_totals()
    }
}

/// State of the callers' thread.
struct CallerLoop {
    clients: Vec<Client>,
    by_addr: Map<Ipv4Addr, usize>,
    streams: Vec<(Stream, u64)>,
    shared: Arc<Shared>,
    clock: Clock,
    current: usize,
    last_closing: Millis,
}

impl CallerLoop {
    fn new(settings: &Settings, streams: Vec<Stream>, shared: Arc<Shared>) -> Self {
        let addrs = (0..settings.count)
            .map(|ix| Ipv4Addr::from_bits(settings.first.to_bits() + ix * ADDRESS_STRIDE));
        let by_addr = addrs.clone().enumerate().map(|(ix, addr)| (addr, ix)).collect();
        let clients = addrs.map(|addr| Client::new(addr, settings.timeouts)).collect();
        let streams = streams.into_iter().map(|stream| (stream, 0)).collect();
        Self {
            clients,
            by_addr,
            streams,
            shared,
            clock: Clock::start(),
            current: 0,
            last_closing: Millis(0),
        }
    }

    fn run(&mut self, mut receiver: BatchReceiver) {
        while !self.shared.stopped.load(Ordering::Relaxed) {
            let now = self.clock.now();
            match self.shared.phase.load(Ordering::Relaxed) {
                OPENING => self.open(now),
                ENDING if now > self.last_closing => self.close_some_feeds(now),
                _ => {}
            }
            self.poll(now, &receiver.socket);
            if receiver.receive(TICK, |packet| self.receive(packet)).is_err() {
                return;
            }
        }
    }

    /// Starts the work that is due at `now` by the rates of the streams.
    fn open(&mut self, now: Millis) {
        for ix in 0..self.streams.len() {
            let (stream, started) = &self.streams[ix];
            let due = (now.0 as f64 / 1000.0 * stream.rate) as u64;
            let due = if stream.total == 0 { due } else { due.min(stream.total) };
            for number in *started..due {
                self.start(now, ix, number);
            }
            self.streams[ix].1 = due;
        }
    }

    fn start(&mut self, now: Millis, ix: usize, number: u64) {
        let (stream, _) = &self.streams[ix];
        let work = Work {
            id: format!("{ix}-{number}"),
            service: stream.service.clone(),
            class: stream.class,
            remote: stream.remote,
            size: stream.size,
            hold: Millis(stream.hold),
        };
        lock(&self.shared.report).record_start(&work.service, work.class);
        self.current = (self.current + 1) % self.clients.len();
        self.clients[self.current].open(now, work);
    }

    /// Closes a few feeds of the next caller.
    fn close_some_feeds(&mut self, now: Millis) {
        self.current = (self.current + 1) % self.clients.len();
        self.clients[self.current].close_feeds(MAX_CLOSED_FEEDS);
        self.last_closing = now;
    }

    fn poll(&mut self, now: Millis, socket: &UdpSocket) {
        for client in &mut self.clients {
            if client.next_poll().is_none_or(|due| due > now) {
                continue;
            }
            for packet in client.poll(now) {
                // A packet that can't be sent is lost, as in a real network.
                let _ = socket.send(&packet);
            }
            for outcome in client.take_outcomes() {
                lock(&self.shared.report).record_end(outcome);
            }
        }
        let pending = self.clients.iter().map(Client::pending).sum();
        self.shared.pending.store(pending, Ordering::Relaxed);
    }

    fn receive(&mut self, packet: &[u8]) {
        let position = crate::packet::PacketHeader::parse(packet)
            .and_then(|header| self.by_addr.get(header.dst.ip()));
        if let Some(&ix) = position {
            self.clients[ix].receive(packet);
        }
    }
}
