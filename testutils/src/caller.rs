//! Many callers over one UDP socket, with steady streams of work.

use crate::{
    client::{Client, Patience},
    clock::Clock,
    fabric::lock,
    report::Report,
    task::Work,
    udp::Inbox,
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

/// A steady stream of work of one kind.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct Stream {
    /// The service that has to answer.
    pub service: String,
    /// The kind of work.
    pub class: Class,
    /// Where the service is reached.
    pub remote: SocketAddrV4,
    /// How much work starts a second.
    pub rate: f64,
    /// How much work starts in all; 0 sets no end.
    pub total: u64,
    /// The bytes of an upload.
    pub size: usize,
    /// How long a feed is held, in milliseconds.
    pub hold: u64,
}

/// Who calls.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Where the fabric takes callers' packets.
    pub fabric: SocketAddrV4,
    /// The first address of the callers; the others follow it.
    pub first: Ipv4Addr,
    /// How many addresses call.
    pub count: u32,
    /// How long they wait.
    pub patience: Patience,
}

impl Settings {
    /// A few callers with ordinary patience.
    pub fn new(fabric: SocketAddrV4) -> Self {
        let first = Ipv4Addr::new(10, 64, 0, 1);
        Self { fabric, first, count: 32, patience: Patience::default() }
    }
}

/// The step from one caller's address to the next: ordinary callers come from
/// networks of their own, and what one network may take is limited.
const STRIDE: u32 = 257;

/// Work goes on being opened.
const OPENING: u8 = 0;
/// No more work is opened; feeds go on.
const HOLDING: u8 = 1;
/// Feeds are ended and the rest is awaited.
const ENDING: u8 = 2;

/// How long the socket is waited for at most.
const TICK: Duration = Duration::from_millis(1);
/// How many feeds of a caller end in one millisecond. Thousands that end at
/// once overflow the sockets on their way, and their repeats do so again.
const HANG_UPS: usize = 2;

/// Callers that run in a thread of their own.
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
    /// Starts calling.
    pub fn start(settings: Settings, streams: Vec<Stream>) -> io::Result<Self> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.connect(settings.fabric)?;
        let shared = Arc::new(Shared::default());
        let mut crowd = Crowd::new(&settings, streams, Arc::clone(&shared));
        let thread = thread::spawn(move || crowd.run(Inbox::new(socket)));
        Ok(Self { shared, thread })
    }

    /// What the callers have seen so far.
    pub fn report(&self) -> Report {
        lock(&self.shared.report).summed()
    }

    /// How much work is under way.
    pub fn pending(&self) -> usize {
        self.shared.pending.load(Ordering::Relaxed)
    }

    /// Opens nothing more; what is open goes on.
    pub fn hold(&self) {
        self.shared.phase.store(HOLDING, Ordering::Relaxed);
    }

    /// Ends the feeds, awaits the rest for `grace` and reports.
    pub fn stop(self, grace: Duration) -> Report {
        self.shared.phase.store(ENDING, Ordering::Relaxed);
        let clock = Clock::start();
        // The first ticks settle the count of what is under way.
        thread::sleep(10 * TICK);
        while self.pending() > 0 && clock.now() < grace.into() {
            thread::sleep(TICK);
        }
        self.shared.stopped.store(true, Ordering::Relaxed);
        // A thread that panicked has nothing left to say.
        let _ = self.thread.join();
        lock(&self.shared.report).summed()
    }
}

/// The callers as their thread has them.
struct Crowd {
    clients: Vec<Client>,
    homes: Map<Ipv4Addr, usize>,
    streams: Vec<(Stream, u64)>,
    shared: Arc<Shared>,
    clock: Clock,
    turn: usize,
    ended: Millis,
}

impl Crowd {
    fn new(settings: &Settings, streams: Vec<Stream>, shared: Arc<Shared>) -> Self {
        let addrs = (0..settings.count)
            .map(|ix| Ipv4Addr::from_bits(settings.first.to_bits() + ix * STRIDE));
        let homes = addrs.clone().enumerate().map(|(ix, addr)| (addr, ix)).collect();
        let clients = addrs.map(|addr| Client::new(addr, settings.patience)).collect();
        let streams = streams.into_iter().map(|stream| (stream, 0)).collect();
        Self { clients, homes, streams, shared, clock: Clock::start(), turn: 0, ended: Millis(0) }
    }

    fn run(&mut self, mut inbox: Inbox) {
        while !self.shared.stopped.load(Ordering::Relaxed) {
            let now = self.clock.now();
            match self.shared.phase.load(Ordering::Relaxed) {
                OPENING => self.open(now),
                ENDING if now > self.ended => self.end(now),
                _ => {}
            }
            self.poll(now, &inbox.socket);
            if inbox.take(TICK, |packet| self.receive(packet)).is_err() {
                return;
            }
        }
    }

    /// Starts what the streams' rates say is due by now.
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
        lock(&self.shared.report).open(&work.service, work.class);
        self.turn = (self.turn + 1) % self.clients.len();
        self.clients[self.turn].open(now, work);
    }

    /// Ends a few feeds of the next caller.
    fn end(&mut self, now: Millis) {
        self.turn = (self.turn + 1) % self.clients.len();
        self.clients[self.turn].hang_up(HANG_UPS);
        self.ended = now;
    }

    fn poll(&mut self, now: Millis, socket: &UdpSocket) {
        for client in &mut self.clients {
            if client.next().is_none_or(|due| due > now) {
                continue;
            }
            for packet in client.poll(now) {
                // A packet that can't be sent is lost, as in a real network.
                let _ = socket.send(&packet);
            }
            for outcome in client.outcomes() {
                lock(&self.shared.report).close(outcome);
            }
        }
        let pending = self.clients.iter().map(Client::pending).sum();
        self.shared.pending.store(pending, Ordering::Relaxed);
    }

    fn receive(&mut self, packet: &[u8]) {
        let home =
            crate::packet::Ends::parse(packet).and_then(|ends| self.homes.get(ends.dst.ip()));
        if let Some(&ix) = home {
            self.clients[ix].receive(packet);
        }
    }
}
