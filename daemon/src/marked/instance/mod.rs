//! The main thread of an instance: packets, news and what is due.

mod report;

use super::{
    asker::Asker,
    current::Current,
    inbox::{self, Delivery, Event, Inbox, Sender},
    lines::Picture,
    meters::{Numbers, Published},
    output::Datagrams,
    peers::Peers,
    pictures::Order,
    store::Reading,
};
use crate::{clock::Clock, sink::Sink};
use medlarspur_fabric::{Batch, Socket, SocketError, Wire, wait};
use medlarspur_lib::{
    ids::{DomainName, InstanceName},
    settings::MarkedSettings,
    time::Millis,
};
use medlarspur_marked::{Fleet, Forwarder, ForwarderOptions, Update};
use medlarspur_operator::MetersError;
use medlarspur_platform::site::{packet, ready};
use report::Metrics;
use signal_hook::consts::{SIGHUP, SIGTERM};
use snafu::{ResultExt, Snafu};
use std::{
    io,
    os::fd::AsFd,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    time::Duration,
};

/// How many batches one round takes before it sends and looks at the inbox.
const ROUND: usize = 4;
/// How often packets that came before anything is known are dropped. A caller
/// gives an opening up after 1.4 s; older packets would open flows that nobody
/// waits for.
const STALE: Millis = Millis(700);
/// How long a leaving instance goes on at least: routers ask twice a second and
/// take it out after two refusals.
const LEAST: Millis = Millis(1_300);
/// How long no packet may have come before a leaving instance is done.
const QUIET: Millis = Millis(500);
/// How long before it would be killed a leaving instance ends by itself.
const MARGIN: Millis = Millis::secs(1);

/// Why an instance can't run.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// The socket for packets.
    #[snafu(display("cannot take packets"))]
    Packets {
        /// Why.
        source: SocketError,
    },
    /// The metrics.
    #[snafu(display("cannot set up the metrics"))]
    Metrics {
        /// Why.
        source: MetersError,
    },
    /// A thread, a pipe, a listener or a signal handler.
    #[snafu(display("cannot {what}"))]
    System {
        /// What was tried.
        what: &'static str,
        /// Why it failed.
        source: io::Error,
    },
}

/// Runs with the settings that were read from `path` until the process is told
/// to end.
pub fn run(path: &Path, settings: &MarkedSettings, sink: Option<Sink>) -> Result<(), RunError> {
    let system = |what| SystemSnafu { what };
    let (sender, inbox) = inbox::channel().context(system("make the inbox"))?;
    let told = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGTERM, told.clone()).context(system("handle SIGTERM"))?;
    let changed = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGHUP, changed.clone()).context(system("handle SIGHUP"))?;
    sender.wake_on(&[SIGTERM, SIGHUP]).context(system("handle signals"))?;
    let current = Arc::new(Current::new(path, settings));
    let socket = Socket::bind(settings.packets).context(PacketsSnafu)?;
    let ready = Arc::new(AtomicBool::new(false));
    let asked = ready::serve(settings.ready, ready.clone());
    let asked = asked.context(system("tell whether it is ready"))?;
    let reading = Reading::start(current.clone(), sender.clone(), settings.control.is_some());
    let reading = reading.context(system("follow the store"))?;
    let clock = Clock::start();
    let peers =
        settings.control.map(|control| Peers::join(control, settings, &sender, clock.now()));
    let peers = peers.transpose().context(system("talk to other instances"))?;
    let control = peers.as_ref().map(|peers| peers.socket.local()).transpose();
    let control = control.context(system("talk to other instances"))?;
    log::info!(
        name = settings.name.as_str(), domain = settings.domain.as_str(),
        packets:% = socket.local(), ready:% = asked, store:% = settings.store,
        control = control.map(|it| it.to_string());
        "start"
    );
    let regions = settings.regions.iter().map(|it| (it.domain.clone(), it.region.clone()));
    let regions = regions.collect();
    let options =
        ForwarderOptions { domain: settings.domain.clone(), regions, seed: rand::random() };
    let mut instance = Instance {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        forwarder: Forwarder::new(options),
        datagrams: Datagrams::new(Asker::new(sender.clone()), settings.callers, clock.now()),
        peers,
        reading,
        sender,
        batch: Batch::new(),
        socket,
        inbox,
        clock,
        heard: Millis(0),
        read: None,
        numbers: Numbers::default(),
        published: Published::default(),
        metrics: None,
        told,
        changed,
        current,
        ready,
    };
    if let Some(address) = settings.metrics {
        instance.show(address, sink)?;
    }
    instance.learn_first()?;
    log::info!(
        revision:% = instance.forwarder.revision(), after_ms = instance.clock.uptime().0;
        "ready"
    );
    instance.serve()?;
    instance.leave(settings.grace - MARGIN)?;
    log::info!(
        after_ms = instance.clock.uptime().0, counts:? = instance.forwarder.counts();
        "stop"
    );
    Ok(())
}

struct Instance {
    name: InstanceName,
    domain: DomainName,
    forwarder: Forwarder,
    datagrams: Datagrams,
    /// The other instances, if the settings say where to talk to them.
    peers: Option<Peers>,
    reading: Reading,
    sender: Sender,
    batch: Batch,
    socket: Socket,
    inbox: Inbox,
    clock: Clock,
    /// When the last packet came.
    heard: Millis,
    /// When the store answered last.
    read: Option<Millis>,
    numbers: Numbers,
    published: Published,
    metrics: Option<Metrics>,
    told: Arc<AtomicBool>,
    /// Whether a signal says that the settings have changed.
    changed: Arc<AtomicBool>,
    current: Arc<Current>,
    ready: Arc<AtomicBool>,
}

impl Instance {
    /// Waits until there are routes and targets. Packets wait in the socket
    /// meanwhile: a caller whose packet is dropped repeats it only after 200 ms,
    /// and the first answer of the store takes some ten.
    fn learn_first(&mut self) -> Result<(), RunError> {
        let mut dropped = self.clock.now();
        self.take_messages();
        while !self.forwarder.catalog().is_usable() && !self.is_told() {
            let now = self.clock.now();
            let due = self.peers.as_ref().map(|peers| peers.fleet.deadline(now).since(now));
            let limit = due.into_iter().chain([STALE]).min();
            let limit = limit.map(|span| Duration::from_millis(span.0));
            match &self.peers {
                Some(peers) => wait([self.inbox.waker(), peers.socket.as_fd()], limit),
                None => wait([self.inbox.waker()], limit),
            }
            .context(PacketsSnafu)?;
            self.take_events();
            self.take_messages();
            let now = self.clock.now();
            if now.since(dropped) >= STALE && !self.forwarder.catalog().is_usable() {
                dropped = now;
                while self.receive()? > 0 {}
            }
        }
        Ok(())
    }

    fn serve(&mut self) -> Result<(), RunError> {
        self.ready.store(!self.is_told(), Relaxed);
        while !self.is_told() {
            self.round(None)?;
        }
        Ok(())
    }

    /// Says that it is not ready and serves what still comes.
    fn leave(&mut self, limit: Millis) -> Result<(), RunError> {
        self.ready.store(false, Relaxed);
        log::info!(flows = self.forwarder.len(), limit_ms = limit.0; "leave");
        let began = self.clock.now();
        loop {
            let now = self.clock.now();
            let (spent, silence) = (now.since(began), now.since(self.heard));
            if spent >= limit || spent >= LEAST && silence >= QUIET {
                return Ok(());
            }
            self.round(Some(QUIET))?;
        }
    }

    fn is_told(&self) -> bool {
        self.told.load(Relaxed)
    }

    /// Waits for something to do, `most` at most, and does it. Packets go
    /// first: what is due may depend on an answer that waits in the socket.
    fn round(&mut self, most: Option<Millis>) -> Result<(), RunError> {
        let now = self.clock.now();
        let peers = self.peers.as_ref().map(|peers| peers.fleet.deadline(now));
        let due = self.forwarder.deadline().into_iter().chain(peers).map(|due| due.since(now));
        let limit = due.chain(most).min().map(|span| Duration::from_millis(span.0));
        let (packets, inbox) = (self.socket.as_fd(), self.inbox.waker());
        match &self.peers {
            Some(peers) => wait([packets, inbox, peers.socket.as_fd()], limit),
            None => wait([packets, inbox], limit),
        }
        .context(PacketsSnafu)?;
        if self.changed.swap(false, Relaxed) {
            self.current.reload();
            if let Some(peers) = &mut self.peers {
                peers.fleet.set_seeds(&self.current.seeds());
            }
        }
        self.begin();
        let unknown = self.forwarder.counts().unknown_mark;
        self.take_packets()?;
        if self.forwarder.counts().unknown_mark > unknown {
            self.catch_up();
        }
        self.take_events();
        self.take_messages();
        self.forwarder.tick(self.clock.now(), &mut self.datagrams);
        self.datagrams.outbox().flush(&mut self.socket);
        self.publish();
        Ok(())
    }

    /// Notes by what picture the decisions of this round are made.
    fn begin(&mut self) {
        let now = self.clock.now();
        let age = self.confirmed().map(|at| now.since(at));
        self.datagrams.begin(Picture { revision: self.forwarder.revision(), age }, now);
    }

    fn take_packets(&mut self) -> Result<(), RunError> {
        for _ in 0..ROUND {
            let count = self.receive()?;
            if count == 0 {
                break;
            }
            let now = self.clock.now();
            self.heard = now;
            self.numbers.received += count as u64;
            for received in self.batch.iter() {
                match packet::parse(received.bytes) {
                    Ok(segment) => {
                        self.forwarder.handle_packet(
                            &segment,
                            received.bytes,
                            now,
                            &mut self.datagrams,
                        );
                    }
                    Err(error) => {
                        self.numbers.malformed[error as usize] += 1;
                        log::debug!("packets: one is dropped: {error}");
                    }
                }
            }
            self.datagrams.outbox().flush(&mut self.socket);
            if count < medlarspur_fabric::BATCH {
                break;
            }
        }
        Ok(())
    }

    fn receive(&mut self) -> Result<usize, RunError> {
        self.socket.receive(&mut self.batch, Duration::ZERO).context(PacketsSnafu)
    }

    fn take_events(&mut self) {
        let now = self.clock.now();
        let events: Vec<Event> = self.inbox.drain().collect();
        for event in events {
            match event {
                Event::Read { news, fell_back } => {
                    self.read = Some(now);
                    if fell_back {
                        log::warn!(known:% = self.forwarder.revision(), read:% = news.revision; "store: in an earlier era than was believed");
                        self.forwarder.fall_back();
                    }
                    let era = news.revision.era;
                    self.learn(news, now);
                    let known = self.forwarder.revision();
                    if era < known.era {
                        self.reading.resume(known);
                    }
                    self.with_fleet(|fleet, forwarder| {
                        fleet.store_answered(forwarder.catalog(), now);
                    });
                }
                Event::Unread => self.with_fleet(|fleet, forwarder| {
                    fleet.store_failed(forwarder.catalog(), now);
                }),
                Event::Told { from, news } => {
                    log::debug!("peers: {from} has told {}", news.revision);
                    let known = self.forwarder.revision();
                    let fleet = self.peers.as_ref().map(|peers| &peers.fleet);
                    if fleet.is_none_or(|fleet| fleet.is_credible(news.revision, known)) {
                        self.learn(news, now);
                    }
                }
                Event::Asked { known, reply } => {
                    let news = self.forwarder.catalog().update_since(known, now);
                    if reply.send(Order::Tell(known, news)) != Delivery::Taken {
                        log::debug!("peers: whoever asked is not told");
                    }
                }
                Event::NotTold(from) => {
                    let known = self.forwarder.revision();
                    self.with_fleet(|fleet, _| fleet.pull_failed(from, known, now));
                }
                Event::Found(target, finding) => {
                    self.forwarder.handle_probe_result(target, finding, now, &mut self.datagrams);
                }
                Event::Shown(question) => self.show_operator(question, now),
            }
        }
    }

    /// A packet carries a mark that means nothing here: there is a target that
    /// others know already. The caller sends the packet again after 200 ms, and
    /// by then the target should be known.
    fn catch_up(&mut self) {
        match &mut self.peers {
            Some(peers) if !peers.fleet.is_reading() => peers.fleet.catch_up(),
            _ => self.reading.hurry(),
        }
    }

    fn learn(&mut self, news: Update, now: Millis) {
        self.forwarder.apply_update(news, now, &mut self.datagrams);
    }

    fn with_fleet(&mut self, act: impl FnOnce(&mut Fleet, &Forwarder)) {
        if let Some(Peers { fleet, socket, .. }) = &mut self.peers {
            act(fleet, &self.forwarder);
            socket.send(fleet);
        }
    }

    /// Takes other instances' messages, and does what is due among them.
    fn take_messages(&mut self) {
        let now = self.clock.now();
        let Some(Peers { fleet, socket, pictures }) = &mut self.peers else { return };
        while let Some((from, message)) = socket.receive() {
            // Merged one by one: each may go on from the one before.
            if let Some(news) = fleet.receive(from, message, self.forwarder.catalog(), now) {
                self.forwarder.apply_update(news, now, &mut self.datagrams);
            }
        }
        self.forwarder.set_domain_size(fleet.domain_size());
        self.forwarder.set_cut_off(fleet.is_cut_off(now));
        self.forwarder.set_seat(fleet.seat(now));
        let known = self.forwarder.revision();
        fleet.tick(self.forwarder.catalog(), now);
        if let Some(from) = fleet.take_pull(known, now) {
            pictures.pull(from, self.forwarder.catalog().pull_base());
        }
        match fleet.is_reading() {
            true => self.reading.go_on(known),
            false => self.reading.pause(),
        }
        socket.send(fleet);
    }
}
