//! The main thread of an instance: packets, updates and timers.

mod report;

use super::{
    asker::Prober,
    current::LiveSettings,
    inbox::{self, Delivery, Event, Inbox, Sender},
    lines::CatalogState,
    meters::{SharedStats, Stats},
    output::RoundOutput,
    pause::{MAX_WAIT, PauseDetector},
    peers::Peers,
    pictures::Command,
    store::StoreReader,
};
use crate::{clock::Clock, sink::LogSink};
use medlarspur_fabric::{Batch, Clocks, Socket, SocketError, Wire, wait_readable};
use medlarspur_lib::{
    ids::{DomainName, InstanceName},
    settings::MarkedSettings,
    time::Millis,
};
use medlarspur_marked::{Fleet, Forwarder, ForwarderOptions, Kind, Update};
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

/// Maximum number of batches of packets handled in a round before the inbox is read.
const MAX_BATCHES: usize = 4;
/// Interval at which queued packets are dropped while no routes and targets are known. A
/// caller abandons an opening after 1.4 s; older packets would open flows that no caller
/// waits for.
const DROP_INTERVAL: Millis = Millis(700);
/// Minimum duration of leaving. Routers check readiness twice a second and remove an
/// instance after two failed checks.
const MIN_LEAVE_TIME: Millis = Millis(1_300);
/// Time without packets after which a leaving instance may stop.
const IDLE_TIME: Millis = Millis(500);
/// Time before the end of the grace period, when the process is killed, at which a leaving
/// instance stops by itself.
const KILL_MARGIN: Millis = Millis::secs(1);

/// Reasons why an instance can't start or run.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// The socket for packets can't be bound or read.
    #[snafu(display("cannot receive packets"))]
    Packets {
        /// The cause.
        source: SocketError,
    },
    /// The metrics can't be registered.
    #[snafu(display("cannot set up the metrics"))]
    Metrics {
        /// The cause.
        source: MetersError,
    },
    /// A system call failed: for a thread, a pipe, a listener or a signal handler.
    #[snafu(display("cannot {what}"))]
    System {
        /// The operation that failed.
        what: &'static str,
        /// The cause.
        source: io::Error,
    },
}

/// Runs an instance with the settings that were read from `path` until SIGTERM stops it.
///
/// # Errors
///
/// Fails if a socket, thread, pipe or signal handler can't be set up, or if the socket for
/// packets can't be read.
pub fn run(path: &Path, settings: &MarkedSettings, sink: Option<LogSink>) -> Result<(), RunError> {
    let system = |what| SystemSnafu { what };
    let (sender, inbox) = inbox::channel().context(system("create the inbox"))?;
    let shutdown = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGTERM, shutdown.clone()).context(system("handle SIGTERM"))?;
    let reload = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGHUP, reload.clone()).context(system("handle SIGHUP"))?;
    sender.wake_on(&[SIGTERM, SIGHUP]).context(system("handle signals"))?;
    let live = Arc::new(LiveSettings::new(path, settings));
    let mut socket = Socket::bind(settings.packets).context(PacketsSnafu)?;
    socket.record_ages();
    let ready = Arc::new(AtomicBool::new(false));
    let ready_address = ready::serve(settings.ready, ready.clone());
    let ready_address = ready_address.context(system("serve readiness checks"))?;
    let store_reader = StoreReader::start(live.clone(), sender.clone(), settings.control.is_some());
    let store_reader = store_reader.context(system("follow the store"))?;
    let clock = Clock::start();
    let peers =
        settings.control.map(|control| Peers::join(control, settings, &sender, clock.now()));
    let peers = peers.transpose().context(system("open the control address"))?;
    let control = peers.as_ref().map(|peers| peers.socket.local()).transpose();
    let control = control.context(system("open the control address"))?;
    log::info!(
        name = settings.name.as_str(), domain = settings.domain.as_str(),
        packets:% = socket.local(), ready:% = ready_address, store:% = settings.store,
        control = control.map(|it| it.to_string());
        "start"
    );
    let regions = settings.regions.iter().map(|it| (it.domain.clone(), it.region.clone()));
    let regions = regions.collect();
    let options = ForwarderOptions {
        domain: settings.domain.clone(),
        regions,
        capabilities: settings.capabilities,
        seed: rand::random(),
    };
    let mut instance = Instance {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        forwarder: Forwarder::new(options),
        output: RoundOutput::new(Prober::new(sender.clone()), settings.callers, clock.now()),
        peers,
        store_reader,
        sender,
        batch: Batch::new(),
        socket,
        inbox,
        pauses: PauseDetector::new(clock.now()),
        clock,
        last_packet: Millis(0),
        last_read: None,
        stats: Stats::default(),
        published: SharedStats::default(),
        metrics: None,
        shutdown,
        reload,
        settings: live,
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
    /// The other instances, if the settings have a control address.
    peers: Option<Peers>,
    store_reader: StoreReader,
    sender: Sender,
    batch: Batch,
    socket: Socket,
    inbox: Inbox,
    clock: Clock,
    pauses: PauseDetector,
    /// Time of the last packet.
    last_packet: Millis,
    /// Time of the store's last answer.
    last_read: Option<Millis>,
    stats: Stats,
    published: SharedStats,
    metrics: Option<Metrics>,
    /// Set by SIGTERM.
    shutdown: Arc<AtomicBool>,
    /// Set by SIGHUP: the settings must be read again.
    reload: Arc<AtomicBool>,
    settings: Arc<LiveSettings>,
    ready: Arc<AtomicBool>,
}

impl Instance {
    /// Waits until routes and targets are known. Packets stay queued in the socket
    /// meanwhile: a caller retransmits a dropped packet only after 200 ms, and the store's
    /// first answer takes some 10 ms.
    fn wait_until_usable(&mut self) -> Result<(), RunError> {
        let mut last_drop = self.clock.now();
        self.handle_messages();
        while !self.forwarder.catalog().is_usable() && !self.should_stop() {
            let now = self.clock.now();
            let due = self.peers.as_ref().map(|peers| peers.fleet.deadline(now).since(now));
            let limit = due.into_iter().chain([DROP_INTERVAL]).min();
            let limit = limit.map(|span| Duration::from_millis(span.0));
            match &self.peers {
                Some(peers) => wait_readable([self.inbox.wake_fd(), peers.socket.as_fd()], limit),
                None => wait_readable([self.inbox.wake_fd()], limit),
            }
            .context(PacketsSnafu)?;
            self.handle_events();
            self.handle_messages();
            let now = self.clock.now();
            if now.since(last_drop) >= DROP_INTERVAL && !self.forwarder.catalog().is_usable() {
                last_drop = now;
                while self.receive()? > 0 {}
            }
        }
        Ok(())
    }

    fn serve(&mut self) -> Result<(), RunError> {
        self.ready.store(!self.should_stop(), Relaxed);
        self.pauses = PauseDetector::new(self.clock.now());
        while !self.should_stop() {
            self.round(None)?;
        }
        Ok(())
    }

    /// Reports that the instance isn't ready, and serves packets that still arrive.
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

    /// Waits for input or a timer, for `max_wait` at most, and handles it. Packets are
    /// handled first: a timer's action may depend on an answer queued in the socket.
    fn round(&mut self, max_wait: Option<Millis>) -> Result<(), RunError> {
        let now = self.clock.now();
        let stopped = self.pauses.record_run(now);
        let peers = self.peers.as_ref().map(|peers| peers.fleet.deadline(now));
        let due = self.forwarder.deadline().into_iter().chain(peers).map(|due| due.since(now));
        let max_wait = due.chain(max_wait).fold(MAX_WAIT, Millis::min);
        let limit = Duration::from_millis(max_wait.0);
        let began = Clocks::read();
        let (packets, inbox) = (self.socket.as_fd(), self.inbox.wake_fd());
        match &self.peers {
            Some(peers) => wait_readable([packets, inbox, peers.socket.as_fd()], Some(limit)),
            None => wait_readable([packets, inbox], Some(limit)),
        }
        .context(PacketsSnafu)?;
        self.socket.record_wait(began, Clocks::read(), limit);
        let pause = stopped.max(self.pauses.record_run(self.clock.now()));
        if self.reload.swap(false, Relaxed) {
            self.settings.reload();
            if let Some(peers) = &mut self.peers {
                peers.fleet.set_seeds(&self.settings.seeds());
            }
        }
        self.begin_round();
        if let Some(pause) = pause {
            self.resume(pause);
        }
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

    /// Sets the catalog state that this round's decisions are logged with.
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
            let received_at = self.clock.now();
            self.last_packet = received_at;
            self.stats.received += count as u64;
            for received in self.batch.iter() {
                match packet::parse(received.bytes) {
                    Ok(segment) => {
                        let is_opening = segment.kind == Kind::Open;
                        let now = if is_opening { self.clock.now() } else { received_at };
                        let queued = Millis::from(received.age) + now.since(received_at);
                        let (bytes, out) = (received.bytes, &mut self.output);
                        self.forwarder.handle_packet(&segment, bytes, queued, now, out);
                        if is_opening {
                            // The process may be suspended before the rest of the batch is
                            // handled, and the opening would be sent when it is resumed.
                            self.output.outbox().flush(&mut self.socket);
                        }
                    }
                    Err(error) => {
                        self.stats.malformed[error as usize] += 1;
                        log::debug!("packets: malformed packet dropped: {error}");
                    }
                }
            }
            self.output.outbox().flush(&mut self.socket);
            if count < medlarspur_fabric::MAX_BATCH {
                break;
            }
        }
        Ok(())
    }

    /// Prepares for packets that arrive after a pause of the process. What other instances have
    /// sent meanwhile is merged first, so that no target is chosen from the state before.
    fn resume(&mut self, pause: Millis) {
        log::warn!(slept_ms = pause.0; "resumed");
        self.forwarder.resume(self.clock.now(), &mut self.output);
        if let Some(peers) = &mut self.peers {
            peers.fleet.resume();
        }
        self.handle_messages();
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
                    log::debug!("peers: update from {from} up to revision {}", update.revision);
                    let known = self.forwarder.revision();
                    let fleet = self.peers.as_ref().map(|peers| &peers.fleet);
                    if fleet.is_none_or(|fleet| fleet.is_credible(update.revision, known)) {
                        self.apply_update(update, now);
                    }
                }
                Event::PullRequested { known, reply } => {
                    let update = self.forwarder.catalog().update_since(known, now);
                    if reply.send(Command::Send(known, update)) != Delivery::Queued {
                        log::debug!("peers: answer to a pull dropped, the queue is full");
                    }
                }
                Event::PullFailed(from) => {
                    let known = self.forwarder.revision();
                    self.with_fleet(|fleet, _| fleet.pull_failed(from, known, now));
                }
                Event::Probed(target, result) => {
                    self.forwarder.handle_probe_result(target, result, now, &mut self.output);
                }
                Event::Operator(query) => self.answer_operator(query, now),
            }
        }
    }

    /// Requests an update after a packet with an unknown mark, which belongs to a target
    /// that other instances know already. The caller retransmits the packet after 200 ms;
    /// the target should be known by then.
    fn catch_up(&mut self) {
        match &mut self.peers {
            Some(peers) if !peers.fleet.is_reading() => peers.fleet.catch_up(),
            _ => self.store_reader.wake(),
        }
    }

    fn apply_update(&mut self, update: Update, now: Millis) {
        self.forwarder.apply_update(update, now, &mut self.output);
    }

    fn with_fleet(&mut self, act: impl FnOnce(&mut Fleet, &Forwarder)) {
        if let Some(Peers { fleet, socket, .. }) = &mut self.peers {
            act(fleet, &self.forwarder);
            socket.send(fleet);
        }
    }

    /// Handles other instances' messages and the membership's timers.
    fn handle_messages(&mut self) {
        let now = self.clock.now();
        let Some(Peers { fleet, socket, exchange }) = &mut self.peers else { return };
        while let Some((from, message)) = socket.receive() {
            // Updates are merged one by one: each may build on the one before.
            if let Some(update) = fleet.receive(from, message, self.forwarder.catalog(), now) {
                self.forwarder.apply_update(update, now, &mut self.output);
            }
        }
        self.forwarder.set_domain_size(fleet.domain_size());
        self.forwarder.set_cut_off(fleet.is_cut_off(now));
        self.forwarder.set_seat(fleet.seat(now));
        let known = self.forwarder.revision();
        fleet.tick(self.forwarder.catalog(), now);
        if let Some(reports) = fleet.take_reports(now) {
            self.forwarder.set_reports(reports);
        }
        if fleet.are_reports_due(now) {
            fleet.send_reports(self.forwarder.reports(now), now);
        }
        if let Some(from) = fleet.take_pull(known, now) {
            exchange.pull(from, self.forwarder.catalog().pull_base());
        }
        match fleet.is_reading() {
            true => self.store_reader.unpause(known),
            false => self.store_reader.pause(),
        }
        socket.send(fleet);
    }
}
