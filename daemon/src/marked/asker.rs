//! Active health checks of targets, all on one thread.
//!
//! When a failure domain is partitioned or loses power, many of its targets are suspected at
//! once, and each probe lasts until its timeout. A fixed number of probes is in flight. Further
//! requests are queued in order of arrival, one for each target.

use super::inbox::{self, Delivery, Event, Inbox, Sender};
use medlarspur_fabric::stream::poll_until;
use medlarspur_lib::{collections::Set, ids::TargetName};
use medlarspur_marked::{Incarnation, ProbeResult, Target};
use medlarspur_platform::site::health::Probe;
use nix::poll::{PollFd, PollFlags};
use std::{collections::VecDeque, io, net::SocketAddrV4, thread, time::Instant};

/// Maximum number of probes in flight. Each uses up to two file descriptors.
pub const MAX_PROBES: usize = 64;
/// Maximum number of queued requests. Further ones are dropped; the next suspicion of the
/// target requests a probe again.
pub const MAX_QUEUED: usize = 1_024;
/// Stack size of the thread, in bytes: enough for the head of one answer.
const STACK_SIZE: usize = 64 << 10;

/// Handle of the probing thread. The first request starts the thread; in most instances there is
/// none.
#[derive(Debug)]
pub struct Prober {
    sender: Sender,
    requests: Option<Sender<ProbeRequest>>,
}

/// Request to probe a target.
#[derive(Debug)]
struct ProbeRequest {
    incarnation: Incarnation,
    name: TargetName,
    address: SocketAddrV4,
    path: Box<str>,
}

impl Prober {
    /// Creates a prober that sends results to the main thread.
    pub fn new(sender: Sender) -> Prober {
        Prober { sender, requests: None }
    }

    /// Requests a probe of a target, without waiting for the result.
    pub fn probe(&mut self, target: &Target, path: &str) {
        let incarnation = target.incarnation;
        let (name, address) = (target.name.clone(), target.address);
        let request = ProbeRequest { incarnation, name, address, path: path.into() };
        match self.requests().map(|requests| requests.send(request)) {
            Ok(Delivery::Queued) => {}
            Ok(Delivery::Full) => {
                log::warn!("ask: probe of {incarnation} dropped, the queue is full")
            }
            Ok(Delivery::Closed) => self.requests = None,
            Err(error) => log::warn!("ask: probe of {incarnation} failed to start: {error}"),
        }
    }

    fn requests(&mut self) -> io::Result<&Sender<ProbeRequest>> {
        let requests = match self.requests.take() {
            Some(requests) => requests,
            None => {
                let (requests, inbox) = inbox::channel()?;
                let prober = ProberThread::new(inbox, self.sender.clone());
                let thread = thread::Builder::new().name("ask".to_owned()).stack_size(STACK_SIZE);
                thread.spawn(move || prober.run())?;
                requests
            }
        };
        Ok(self.requests.insert(requests))
    }
}

/// The probing thread.
struct ProberThread {
    inbox: Inbox<ProbeRequest>,
    sender: Sender,
    queue: VecDeque<ProbeRequest>,
    /// Targets with a probe queued or in flight.
    pending: Set<Incarnation>,
    probes: Vec<(Incarnation, Probe)>,
}

impl ProberThread {
    fn new(inbox: Inbox<ProbeRequest>, sender: Sender) -> ProberThread {
        let (queue, pending) = (VecDeque::new(), Set::default());
        ProberThread { inbox, sender, queue, pending, probes: Vec::new() }
    }

    fn run(mut self) {
        while !self.inbox.is_closed() {
            for request in self.inbox.drain() {
                if self.queue.len() >= MAX_QUEUED {
                    log::warn!("ask: probe of {} dropped, the queue is full", request.incarnation);
                } else if self.pending.insert(request.incarnation) {
                    self.queue.push_back(request);
                }
            }
            self.start_probes();
            match self.wait() {
                Ok(ready) => self.advance_probes(&ready),
                Err(error) => {
                    log::error!("ask: probing stopped, all probes are lost: {error}");
                    return;
                }
            }
        }
    }

    fn start_probes(&mut self) {
        while self.probes.len() < MAX_PROBES {
            let Some(request) = self.queue.pop_front() else { return };
            let ProbeRequest { incarnation, name, address, path } = request;
            match Probe::start(&name, address, &path, Instant::now()) {
                Ok(probe) => self.probes.push((incarnation, probe)),
                Err(result) => self.report(incarnation, result),
            }
        }
    }

    /// Waits for a request, a ready socket, or a probe's deadline. Returns for each probe whether
    /// one of its sockets is ready.
    fn wait(&self) -> io::Result<Vec<bool>> {
        let due = self.probes.iter().map(|(_, probe)| probe.deadline()).min();
        let sockets = self.probes.iter().enumerate();
        let sockets = sockets.flat_map(|(at, (_, it))| it.sockets().map(move |fd| (at, fd)));
        let (positions, mut fds): (Vec<usize>, Vec<PollFd<'_>>) = sockets.unzip();
        fds.push(PollFd::new(self.inbox.wake_fd(), PollFlags::POLLIN));
        poll_until(&mut fds, due)?;
        let mut ready = vec![false; self.probes.len()];
        for (position, fd) in positions.into_iter().zip(&fds) {
            ready[position] |= fd.any() == Some(true);
        }
        Ok(ready)
    }

    fn advance_probes(&mut self, ready: &[bool]) {
        let now = Instant::now();
        let mut found = Vec::new();
        let mut ready = ready.iter();
        self.probes.retain_mut(|(incarnation, probe)| {
            let is_ready = ready.next() == Some(&true);
            let result = (is_ready || probe.deadline() <= now).then(|| probe.advance(now));
            match result.flatten() {
                Some(result) => found.push((*incarnation, result)),
                None => return true,
            }
            false
        });
        for (incarnation, result) in found {
            self.report(incarnation, result);
        }
    }

    fn report(&mut self, incarnation: Incarnation, result: ProbeResult) {
        self.pending.remove(&incarnation);
        if self.sender.send(Event::Probed(incarnation, result)) == Delivery::Full {
            log::warn!("ask: probe result of {incarnation} lost, the inbox is full");
        }
    }
}
