//! The main thread of an instance: packets, news and what is due.

mod report;

use super::{
    asker::Prober,
    current::LiveSettings,
    inbox::{self, Delivery, Event, Inbox, Sender},
    lines::CatalogState,
    meters::{SharedStats, Stats},
    output::RoundOutput,
    peers::Peers,
    pictures::Command,
    store::StoreReader,
};
use crate::{clock::Clock, sink::LogSink};
use medlarspur_fabric::{Batch, Socket, SocketError, Wire, wait};
use medlarspur_lib::{
    ids::{DomainName, InstanceName},
    settings::MarkedSettings,
    time::Millis,
};
use medlarspur_marked::{Fleet, Forwarder, News, Tuning};
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
const MAX_BATCHES: usize = 4;
/// How often packets that came before anything is known are dropped. A caller
/// gives an opening up after 1.4 s; older packets would open flows that nobody
/// waits for.
const DROP_INTERVAL: Millis = Millis(700);
/// How long a leaving instance goes on at least: routers ask twice a second and
/// take it out after two refusals.
const MIN_LEAVE_TIME: Millis = Millis(1_300);
/// How long no packet may have come before a leaving instance is done.
const IDLE_TIME: Millis = Millis(500);
/// How long before it would be killed a leaving instance ends by itself.
const KILL_MARGIN: Millis = Millis::secs(1);

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
pub fn run(path: &Path, settings: &MarkedSettings, sink: Option<LogSink>) -> Result<(), RunError> {
    let system = |what| SystemSnafu { what };
    let (sender, inbox) = inbox::channel().context(system("make the inbox"))?;
    let shutdown = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGTERM, shutdown.clone()).context(system("handle SIGTERM"))?;
    let reload = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGHUP, reload.clone()).context(system("handle SIGHUP"))?;
    sender.wake_on(&[SIGTERM, SIGHUP]).context(system("handle signals"))?;
    let current = Arc::new(LiveSettings::new(path, settings));
    let socket = Socket::bind(settings.packets).context(PacketsSnafu)?;
    let ready = Arc::new(AtomicBool::new(false));
    let asked = ready::serve(settings.ready, ready.clone());
    let asked = asked.context(system("tell whether it is ready"))?;
    let store_reader =
        StoreReader::start(current.clone(), sender.clone(), settings.control.is_some());
    let store_reader = store_reader.context(system("follow the store"))?;
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
    let tuning = Tuning { domain: settings.domain.clone(), regions, seed: rand::random() };
    let mut instance = Instance {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        forwarder: Forwarder::new(tuning),
        output: RoundOutput::new(Prober::new(sender.clone()), settings.callers, clock.now()),
        peers,
        store_reader,
        sender,
        batch: Batch::new(),
        socket,
        inbox,
        clock,
        last_packet: Millis(0),
        last_read: None,
        stats: Stats::default(),
        published: SharedStats::default(),
        metrics: None,
        shutdown,
        reload,
        settings: current,
        ready,
    };
    if let Some(address) = settings.metrics {
        instance.set_up_metrics(address, sink)?;
    }
    instance.wait_until_usable()?;
    log::info!(
        revision:% = instance.forwarder.revision(), after_ms = instance.clock.uptime().0;
        "ready"
    );
    instance.serve()?;
    instance.leave(settings.grace - KILL_MARGIN)?;
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
    output: RoundOutput,
    /// The other instances, if the settings say where to talk to them.
    peers: Option<Peers>,
    store_reader: StoreReader,
    sender: Sender,
    batch: Batch,
    socket: Socket,
    inbox: Inbox,
    clock: Clock,
    /// When the last packet came.
    last_packet: Millis,
    /// When the store answered last.
    last_read: Option<Millis>,
    stats: Stats,
    published: SharedStats,
    metrics: Option<Metrics>,
    shutdown: Arc<AtomicBool>,
    /// Whether a signal says that the settings have changed.
    reload: Arc<AtomicBool>,
    settings: Arc<LiveSettings>,
    ready: Arc<AtomicBool>,
}

impl Instance {
    /// Waits until there are routes and targets. Packets wait in the socket
    /// meanwhile: a caller whose packet is dropped repeats it only after 200 ms,
    /// and the first answer of the store takes some ten.
    fn wait_until_usable(&mut self) -> Result<(), RunError> {
        let mut dropped = self.clock.now();
        self.handle_messages();
        while !self.forwarder.catalog().is_usable() && !self.should_stop() {
            let now = self.clock.now();
            let due = self.peers.as_ref().map(|peers| peers.fleet.deadline(now).since(now));
            let limit = due.into_iter().chain([DROP_INTERVAL]).min();
            let limit = limit.map(|span| Duration::from_millis(span.0));
            match &self.peers {
                Some(peers) => wait([self.inbox.wake_fd(), peers.socket.as_fd()], limit),
                None => wait([self.inbox.wake_fd()], limit),
            }
            .context(PacketsSnafu)?;
            self.handle_events();
            self.handle_messages();
            let now = self.clock.now();
            if now.since(dropped) >= DROP_INTERVAL && !self.forwarder.catalog().is_usable() {
                dropped = now;
                while self.receive()? > 0 {}
            }
        }
        Ok(())
    }

    fn serve(&mut self) -> Result<(), RunError> {
        self.ready.store(!self.should_stop(), Relaxed);
        while !self.should_stop() {
            self.round(None)?;
        }
        Ok(())
    }

    /// Says that it is not ready and serves what still comes.
    fn leave(&mut self, limit: Millis) -> Result<(), RunError> {
        self.ready.store(false, Relaxed);
        log::info!(flows = self.forwarder.len(), limit_ms = limit.0; "leave");
        let started = self.clock.now();
        loop {
            let now = self.clock.now();
            let (elapsed, idle) = (now.since(started), now.since(self.last_packet));
            if elapsed >= limit || elapsed >= MIN_LEAVE_TIME && idle >= IDLE_TIME {
                return Ok(());
            }
            self.round(Some(IDLE_TIME))?;
        }
    }

    fn should_stop(&self) -> bool {
        self.shutdown.load(Relaxed)
    }

    /// Waits for something to do, `max_wait` at most, and does it. Packets go
    /// first: what is due may depend on an answer that waits in the socket.
    fn round(&mut self, max_wait: Option<Millis>) -> Result<(), RunError> {
        let now = self.clock.now();
        let peers = self.peers.as_ref().map(|peers| peers.fleet.deadline(now));
        let due = self.forwarder.deadline().into_iter().chain(peers).map(|due| due.since(now));
        let limit = due.chain(max_wait).min().map(|span| Duration::from_millis(span.0));
        let (packets, inbox) = (self.socket.as_fd(), self.inbox.wake_fd());
        match &self.peers {
            Some(peers) => wait([packets, inbox, peers.socket.as_fd()], limit),
            None => wait([packets, inbox], limit),
        }
        .context(PacketsSnafu)?;
        if self.reload.swap(false, Relaxed) {
            self.settings.reload();
            if let Some(peers) = &mut self.peers {
                peers.fleet.set_seeds(&self.settings.seeds());
            }
        }
        self.begin_round();
        let unknown = self.forwarder.counts().unknown;
        self.handle_packets()?;
        if self.forwarder.counts().unknown > unknown {
            self.catch_up();
        }
        self.handle_events();
        self.handle_messages();
        self.forwarder.tick(self.clock.now(), &mut self.output);
        self.output.outbox().flush(&mut self.socket);
        self.publish();
        Ok(())
    }

    /// Notes by what picture the decisions of this round are made.
    fn begin_round(&mut self) {
        let now = self.clock.now();
        let age = self.confirmed().map(|at| now.since(at));
        self.output.begin_round(CatalogState { revision: self.forwarder.revision(), age }, now);
    }

    fn handle_packets(&mut self) -> Result<(), RunError> {
        for _ in 0..MAX_BATCHES {
            let count = self.receive()?;
            if count == 0 {
                break;
            }
            let now = self.clock.now();
            self.last_packet = now;
            self.stats.received += count as u64;
            for received in self.batch.iter() {
                match packet::parse(received.bytes) {
                    Ok(segment) => {
                        self.forwarder.packet(&segment, received.bytes, now, &mut self.output);
                    }
                    Err(error) => {
                        self.stats.malformed[error as usize] += 1;
                        log::debug!("packets: one is dropped: {error}");
                    }
                }
            }
            self.output.outbox().flush(&mut self.socket);
            if count < medlarspur_fabric::BATCH {
                break;
            }
        }
        Ok(())
    }

    fn receive(&mut self) -> Result<usize, RunError> {
        self.socket.receive(&mut self.batch, Duration::ZERO).context(PacketsSnafu)
    }

    fn handle_events(&mut self) {
        let now = self.clock.now();
        let events: Vec<Event> = self.inbox.drain().collect();
        for event in events {
            match event {
                Event::StoreRead { update, fell_back } => {
                    self.last_read = Some(now);
                    if fell_back {
                        log::warn!(known:% = self.forwarder.revision(), read:% = update.revision; "store: in an earlier era than was believed");
                        self.forwarder.fall_back();
                    }
                    let era = update.revision.era;
                    self.apply_update(update, now);
                    let known = self.forwarder.revision();
                    if era < known.era {
                        self.store_reader.read_from(known);
                    }
                    self.with_fleet(|fleet, forwarder| {
                        fleet.store_answered(forwarder.catalog(), now);
                    });
                }
                Event::StoreFailed => self.with_fleet(|fleet, forwarder| {
                    fleet.store_failed(forwarder.catalog(), now);
                }),
                Event::Pulled { from, update } => {
                    log::debug!("peers: {from} has told {}", update.revision);
                    let known = self.forwarder.revision();
                    let fleet = self.peers.as_ref().map(|peers| &peers.fleet);
                    if fleet.is_none_or(|fleet| fleet.is_credible(update.revision, known)) {
                        self.apply_update(update, now);
                    }
                }
                Event::PullRequested { known, reply } => {
                    let update = self.forwarder.catalog().since(known, now);
                    if reply.send(Command::Send(known, update)) != Delivery::Queued {
                        log::debug!("peers: whoever asked is not told");
                    }
                }
                Event::PullFailed(from) => {
                    let known = self.forwarder.revision();
                    self.with_fleet(|fleet, _| fleet.pull_failed(from, known, now));
                }
                Event::Probed(target, finding) => {
                    self.forwarder.answer(target, finding, now, &mut self.output);
                }
                Event::Operator(question) => self.answer_operator(question, now),
            }
        }
    }

    /// A packet carries a mark that means nothing here: there is a target that
    /// others know already. The caller sends the packet again after 200 ms, and
    /// by then the target should be known.
    fn catch_up(&mut self) {
        match &mut self.peers {
            Some(peers) if !peers.fleet.is_reading() => peers.fleet.suspect_lack(),
            _ => self.store_reader.wake(),
        }
    }

    fn apply_update(&mut self, update: News, now: Millis) {
        self.forwarder.learn(update, now, &mut self.output);
    }

    fn with_fleet(&mut self, act: impl FnOnce(&mut Fleet, &Forwarder)) {
        if let Some(Peers { fleet, socket, .. }) = &mut self.peers {
            act(fleet, &self.forwarder);
            socket.send(fleet);
        }
    }

    /// Takes other instances' messages, and does what is due among them.
    fn handle_messages(&mut self) {
        let now = self.clock.now();
        let Some(Peers { fleet, socket, exchange }) = &mut self.peers else { return };
        while let Some((from, message)) = socket.receive() {
            // Merged one by one: each may go on from the one before.
            if let Some(update) = fleet.receive(from, message, self.forwarder.catalog(), now) {
                self.forwarder.learn(update, now, &mut self.output);
            }
        }
        self.forwarder.set_near(fleet.near());
        self.forwarder.set_cut_off(fleet.is_cut_off(now));
        self.forwarder.set_seat(fleet.seat(now));
        let known = self.forwarder.revision();
        fleet.tick(self.forwarder.catalog(), now);
        if let Some(from) = fleet.pull(known, now) {
            exchange.pull(from, self.forwarder.catalog().basis());
        }
        match fleet.is_reading() {
            true => self.store_reader.unpause(known),
            false => self.store_reader.pause(),
        }
        socket.send(fleet);
    }
}
