//! The packet thread: callers' packets and peers' questions in, packets to
//! targets out. It alone has the flow table, so nothing here waits for a lock.

use crate::{
    clock::Clock,
    gate::LoadGate,
    outbox::Outbox,
    sample::Sampler,
    shared::{Command, Known, Look, Outgoing, Shared},
};
use arc_swap::Cache;
use medlarspur_fabric::{Batch, Listener, Socket, SocketError, Wire, wait};
use medlarspur_lib::{
    forwarder::Forwarder, question::Datagram, settings::Secret, time::Millis, view::View,
};
use rtrb::{Consumer, Producer};
use std::{
    os::fd::AsFd,
    sync::{Arc, atomic::Ordering::Relaxed, mpsc::Receiver},
    time::Duration,
};

/// How long the thread sleeps at most: bounds how late a held packet's time
/// limit is noticed.
const WAIT: Duration = Duration::from_millis(5);

/// How often counters are published.
const PUBLISH: Millis = Millis(250);

/// A gap between two rounds that means that the process slept. A busy machine
/// delays a round by tens of milliseconds, not by this.
const SLEPT: Millis = Millis(500);

/// For how many flows there is room from the start.
const CAPACITY: usize = 65_536;

/// What the packet thread works with.
pub struct Packets {
    /// Takes packets from the fabric.
    pub fabric: Listener,
    /// Exchanges questions with peers.
    pub questions: Listener,
    /// Where packets for callers go.
    pub returns: std::net::SocketAddrV4,
    /// The key of the questions.
    pub secret: Secret,
    /// What other threads ask.
    pub commands: Consumer<Command>,
    /// What operators ask.
    pub looks: Receiver<Look>,
    /// Adverts for keepers.
    pub adverts: Producer<Outgoing>,
    /// The decisions on openings.
    pub gate: LoadGate,
    /// Measures how long packets stay here.
    pub sampler: Sampler,
    /// The clock of the process.
    pub clock: Clock,
    /// What the threads share.
    pub shared: Arc<Shared>,
}

/// Runs until told to stop.
pub fn run(parts: Packets) -> Result<(), SocketError> {
    let Packets {
        fabric,
        questions,
        returns,
        secret,
        commands,
        looks,
        adverts,
        gate,
        sampler,
        clock,
        shared,
    } = parts;
    let outbox = Outbox::new(returns, secret.clone(), adverts, shared.clone());
    let mut thread = Thread {
        forwarder: Forwarder::new(gate, CAPACITY),
        view: Cache::new(&shared.view),
        installed: 0,
        fabric: fabric.into(),
        questions: questions.into(),
        secret,
        outbox,
        sampler,
        commands,
        looks,
        published: Millis(0),
        last: clock.now(),
    };
    let mut batch = Batch::new();
    while !shared.stops() {
        wait([thread.fabric.as_fd(), thread.questions.as_fd()], Some(WAIT))?;
        let now = clock.now();
        thread.watch_clock(now);
        thread.follow(now);
        thread.obey(now);
        thread.answer_peers(now, &mut batch)?;
        let received = thread.forward(now, &mut batch)?;
        if received > 0 {
            shared.heard.store(now.0, Relaxed);
        }
        thread.forwarder.tick(now, &mut thread.outbox);
        thread.outbox.flush(&mut thread.fabric, &mut thread.questions);
        thread.sampler.end();
        thread.publish(now, &shared);
    }
    Ok(())
}

struct Thread<'a> {
    forwarder: Forwarder<LoadGate>,
    view: Cache<&'a arc_swap::ArcSwapOption<View>, Option<Arc<View>>>,
    installed: u64,
    fabric: Socket,
    questions: Socket,
    secret: Secret,
    outbox: Outbox,
    sampler: Sampler,
    commands: Consumer<Command>,
    looks: Receiver<Look>,
    published: Millis,
    last: Millis,
}

impl Thread<'_> {
    fn watch_clock(&mut self, now: Millis) {
        if now.since(self.last) > SLEPT {
            self.wake(now);
            log::warn!("slept_ms={}", now.since(self.last));
        }
        self.last = now;
    }

    fn wake(&mut self, now: Millis) {
        self.forwarder.wake(now);
        self.forwarder.gate_mut().wake(now);
    }

    fn follow(&mut self, now: Millis) {
        let Some(view) = self.view.load() else { return };
        if view.epoch == self.installed {
            return;
        }
        if self.installed == 0 {
            // A new instance knows no flow and not yet what moved before it
            // came; until its peers have told it, it asks.
            self.forwarder.distrust(now);
        }
        self.installed = view.epoch;
        self.forwarder.install(view.clone(), now);
    }

    fn obey(&mut self, now: Millis) {
        while let Ok(command) = self.commands.pop() {
            match command {
                Command::Advert(advert) => self.forwarder.handle_advert(now, &advert),
                Command::Distrust => self.wake(now),
                Command::Probed(event) => self.forwarder.gate_mut().probed(now, &event),
            }
        }
        while let Ok(look) = self.looks.try_recv() {
            self.look(look, now);
        }
    }

    /// Answers an operator; one that has gone away misses the answer.
    fn look(&self, look: Look, now: Millis) {
        let flows = self.forwarder.flows();
        let known = |(id, flow): (_, &medlarspur_lib::flows::Flow)| Known {
            id,
            flow: *flow,
            age: flow.age(now),
            idle: flow.idle(now),
        };
        match look {
            Look::One(key, reply) => {
                let id = self.forwarder.view().map(|view| view.hasher.id(&key));
                let found = id.and_then(|id| flows.get(id).map(|flow| known((id, flow))));
                let _ = reply.try_send(found);
            }
            Look::Some(limit, reply) => {
                let some = flows.iter().take(limit).map(known).collect();
                let _ = reply.try_send(some);
            }
            Look::Counts(reply) => {
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

    fn answer_peers(&mut self, now: Millis, batch: &mut Batch) -> Result<(), SocketError> {
        self.questions.receive(batch, Duration::ZERO)?;
        for received in batch.iter() {
            match Datagram::decode(received.bytes, &self.secret) {
                Ok(datagram) => {
                    self.forwarder.handle_datagram(now, received.from, datagram, &mut self.outbox);
                }
                Err(error) => self.forwarder.count_refused_datagram(error),
            }
        }
        Ok(())
    }

    fn forward(&mut self, now: Millis, batch: &mut Batch) -> Result<usize, SocketError> {
        let received = self.fabric.receive(batch, Duration::ZERO)?;
        if let Some(first) = batch.iter().next() {
            self.sampler.begin(now, first.bytes, self.forwarder.view());
        }
        for received in batch.iter() {
            self.forwarder.handle_packet(now, received.bytes, &mut self.outbox);
        }
        Ok(received)
    }

    fn publish(&mut self, now: Millis, shared: &Shared) {
        if now.since(self.published) < PUBLISH {
            return;
        }
        self.published = now;
        shared.told.store(self.forwarder.has_advertised_all(), Relaxed);
        shared.counters.store(Arc::new(self.forwarder.counters().clone()));
        shared.fabric.store(Arc::new(self.fabric.counts()));
        shared.questions.store(Arc::new(self.questions.counts()));
        shared.flows.store(self.forwarder.flows().len() as u64, Relaxed);
    }
}
