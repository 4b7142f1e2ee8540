//! The packet thread: forwards callers' packets to targets and answers peers' questions.
//!
//! It is the only owner of the flow table, so the packet path takes no lock.

use crate::{
    clock::Clock,
    gate::LoadGate,
    outbox::Outbox,
    sample::Sampler,
    shared::{Command, FlowQuery, KeeperAdvert, KnownFlow, Shared},
};
use arc_swap::Cache;
use medlarspur_fabric::{Batch, Listener, Socket, SocketError, Wire, wait_readable};
use medlarspur_lib::{
    forwarder::Forwarder, question::Datagram, settings::Secret, time::Millis, view::View,
};
use rtrb::{Consumer, Producer};
use std::{
    os::fd::AsFd,
    sync::{Arc, atomic::Ordering::Relaxed, mpsc::Receiver},
    time::Duration,
};

/// Maximum sleep of a round; bounds the delay in noticing that a held packet's
/// deadline has passed.
const MAX_WAIT: Duration = Duration::from_millis(5);

/// Interval at which counters are published.
const PUBLISH_INTERVAL: Millis = Millis(250);

/// Gap between two rounds from which on the process counts as having slept. A busy machine
/// delays a round by tens of milliseconds only.
const SLEEP_GAP: Millis = Millis(500);

/// Number of flows for which the flow table has capacity from the start.
const INITIAL_FLOWS: usize = 65_536;

/// The inputs and outputs of the packet thread.
pub struct PacketParts {
    /// Socket for packets from the fabric.
    pub fabric: Listener,
    /// Socket for questions and answers of peers.
    pub questions: Listener,
    /// Address to which packets for callers are sent.
    pub return_address: std::net::SocketAddrV4,
    /// Key that authenticates questions and answers.
    pub secret: Secret,
    /// Commands from the control thread.
    pub commands: Consumer<Command>,
    /// Queries of operators.
    pub queries: Receiver<FlowQuery>,
    /// Adverts for keepers, sent by the control thread.
    pub adverts: Producer<KeeperAdvert>,
    /// Admission control for openings.
    pub gate: LoadGate,
    /// Measures the time that packets spend in the thread.
    pub sampler: Sampler,
    /// The clock of the process.
    pub clock: Clock,
    /// State that the threads share.
    pub shared: Arc<Shared>,
}

/// Runs the packet thread until the instance stops.
///
/// # Errors
///
/// Fails if a socket can't be read.
pub fn run(parts: PacketParts) -> Result<(), SocketError> {
    let PacketParts {
        fabric,
        questions,
        return_address,
        secret,
        commands,
        queries,
        adverts,
        gate,
        sampler,
        clock,
        shared,
    } = parts;
    let outbox = Outbox::new(return_address, secret.clone(), adverts, shared.clone());
    let mut thread = PacketThread {
        forwarder: Forwarder::new(gate, INITIAL_FLOWS),
        view: Cache::new(&shared.view),
        installed_epoch: 0,
        fabric: fabric.into(),
        questions: questions.into(),
        secret,
        outbox,
        sampler,
        commands,
        queries,
        last_published: Millis(0),
        last_round: clock.now(),
    };
    let (mut datagrams, mut packets) = (Batch::new(), Batch::new());
    while !shared.should_stop() {
        wait_readable([thread.fabric.as_fd(), thread.questions.as_fd()], Some(MAX_WAIT))?;
        thread.questions.receive(&mut datagrams, Duration::ZERO)?;
        let received = thread.fabric.receive(&mut packets, Duration::ZERO)?;
        // The clock is read after the receipt. If the process is suspended before it, the sockets
        // hold packets that came during the sleep, and a time read earlier would hide the sleep.
        let now = clock.now();
        thread.detect_sleep(now);
        thread.install_view(now);
        thread.handle_commands(now);
        thread.answer_peers(now, &datagrams);
        thread.forward(now, &packets);
        if received > 0 {
            shared.last_packet.store(now.0, Relaxed);
        }
        thread.forwarder.tick(now, &mut thread.outbox);
        thread.outbox.flush(&mut thread.fabric, &mut thread.questions);
        thread.sampler.end();
        thread.publish(now, &shared);
    }
    Ok(())
}

struct PacketThread<'a> {
    forwarder: Forwarder<LoadGate>,
    view: Cache<&'a arc_swap::ArcSwapOption<View>, Option<Arc<View>>>,
    installed_epoch: u64,
    fabric: Socket,
    questions: Socket,
    secret: Secret,
    outbox: Outbox,
    sampler: Sampler,
    commands: Consumer<Command>,
    queries: Receiver<FlowQuery>,
    last_published: Millis,
    last_round: Millis,
}

impl PacketThread<'_> {
    fn detect_sleep(&mut self, now: Millis) {
        if now.since(self.last_round) > SLEEP_GAP {
            self.wake(now);
            log::warn!("slept_ms={}", now.since(self.last_round));
        }
        self.last_round = now;
    }

    fn wake(&mut self, now: Millis) {
        self.forwarder.wake(now);
        self.forwarder.gate_mut().wake(now);
    }

    fn install_view(&mut self, now: Millis) {
        let Some(view) = self.view.load() else { return };
        if view.epoch == self.installed_epoch {
            return;
        }
        if self.installed_epoch == 0 {
            // A new instance knows neither the flows nor the earlier moves of
            // buckets. It asks its peers until it has received both.
            self.forwarder.distrust(now);
        }
        self.installed_epoch = view.epoch;
        self.forwarder.install(view.clone(), now);
    }

    fn handle_commands(&mut self, now: Millis) {
        while let Ok(command) = self.commands.pop() {
            match command {
                Command::Advert(advert) => self.forwarder.handle_advert(now, &advert),
                Command::Slept => self.wake(now),
                Command::Probed(event) => self.forwarder.gate_mut().record_probe(now, &event),
            }
        }
        while let Ok(query) = self.queries.try_recv() {
            self.answer_query(query, now);
        }
    }

    /// Answers an operator's query. The answer is dropped if the operator has disconnected.
    fn answer_query(&self, query: FlowQuery, now: Millis) {
        let flows = self.forwarder.flows();
        let known = |(id, flow): (_, &medlarspur_lib::flows::Flow)| KnownFlow {
            id,
            flow: *flow,
            age: flow.age(now),
            idle: flow.idle(now),
        };
        match query {
            FlowQuery::One(key, reply) => {
                let id = self.forwarder.view().map(|view| view.hasher.id(&key));
                let found = id.and_then(|id| flows.get(id).map(|flow| known((id, flow))));
                let _ = reply.try_send(found);
            }
            FlowQuery::List(limit, reply) => {
                let some = flows.iter().take(limit).map(known).collect();
                let _ = reply.try_send(some);
            }
            FlowQuery::Counts(reply) => {
                let mut counts = Vec::new();
                for (_, flow) in flows.iter() {
                    let ix = flow.target.0 as usize;
                    counts.resize(counts.len().max(ix + 1), 0);
                    counts[ix] += 1;
                }
                let _ = reply.try_send(counts);
            }
        }
    }

    fn answer_peers(&mut self, now: Millis, batch: &Batch) {
        for received in batch.iter() {
            match Datagram::decode(received.bytes, &self.secret) {
                Ok(datagram) => {
                    self.forwarder.handle_datagram(now, received.from, datagram, &mut self.outbox);
                }
                Err(error) => self.forwarder.count_refused_datagram(error),
            }
        }
    }

    fn forward(&mut self, now: Millis, batch: &Batch) {
        if let Some(first) = batch.iter().next() {
            self.sampler.begin(now, first.bytes, self.forwarder.view());
        }
        for received in batch.iter() {
            self.forwarder.handle_packet(now, received.bytes, &mut self.outbox);
        }
    }

    fn publish(&mut self, now: Millis, shared: &Shared) {
        if now.since(self.last_published) < PUBLISH_INTERVAL {
            return;
        }
        self.last_published = now;
        shared.advertised_all.store(self.forwarder.has_advertised_all(), Relaxed);
        shared.counters.store(Arc::new(self.forwarder.counters().clone()));
        shared.fabric.store(Arc::new(self.fabric.counts()));
        shared.questions.store(Arc::new(self.questions.counts()));
        shared.flows.store(self.forwarder.flows().len() as u64, Relaxed);
    }
}
