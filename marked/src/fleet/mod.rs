//! Gossip between instances: choice of the readers of the store, propagation of updates, and
//! exchange of request outcomes ([`evidence`]).
//!
//! Calls to the store cost money and are rate-limited, so two instances in each failure domain read
//! it and propagate what they read. The readers are not appointed:
//!
//! - A reader sends its domain a heartbeat after each answer of the store. Silence means that the
//!   reader or its connection to the store has failed.
//! - An instance that knows fewer than two such readers becomes one itself: at once if there is
//!   none, after a random delay if there is one. Too many readers cost calls to the store; too few
//!   cost callers.
//! - A reader that knows two others with smaller addresses stops reading.
//!
//! Updates spread through a domain as a tree ([`spread`]). The reader sends an update to a few
//! instances, each of which forwards it to a part of the others. An instance sends it to at most
//! `FANOUT` others, or, in domains so large that a branch would exceed `MAX_BRANCH` instances, to
//! one for each branch of that size. An incremental update that does not fit into a datagram is
//! split, and each receiver gets one datagram for each part. An update names the revision that
//! the receiver must already know; an instance that lacks changes pulls them.
//!
//! All knowledge is local. After a network partition within a domain, each part has its own
//! readers, and later the parts merge their catalogs by revision.

mod evidence;
mod heartbeats;
mod pull;
mod readers;
mod seats;
mod spread;

use crate::{
    Catalog, Revision, Update,
    message::{DomainId, Message, Role, encode},
};
use evidence::EvidenceExchange;
use heartbeats::Purpose;
use medlarspur_lib::{collections::Map, ids::DomainName, time::Millis};
use medlarspur_load::random::Random;
use pull::PendingPull;
use readers::START_DELAY;
use seats::AssignedSeat;
use std::{hash::Hasher, net::SocketAddrV4};

/// Interval at which a listener sends its readers heartbeats.
const HEARTBEAT_INTERVAL: Millis = Millis::secs(4);
/// Time after its last message at which an instance is considered gone: two heartbeat intervals
/// and a margin.
const PEER_TIMEOUT: Millis = Millis::secs(10);
/// Time after which an instance is forgotten that is known only as a contact in heartbeats of
/// others. Only readers receive heartbeats of listeners; when the readers are gone, their
/// successors should know the domain.
const INDIRECT_TIMEOUT: Millis = Millis::secs(60);
/// Interval at which an instance that knows no readers asks the seeds for contacts.
const DISCOVERY_INTERVAL: Millis = Millis(1_000);
/// Interval at which a reader announces itself to the seeds, so that they can name it to starting
/// instances.
const SEED_INTERVAL: Millis = Millis::secs(4);

/// State of another instance.
#[derive(Debug, Clone, Copy)]
struct Peer {
    domain: DomainId,
    role: Role,
    /// Time at which the store last answered the instance, by the local clock.
    last_answer: Option<Millis>,
    revision: Revision,
    /// Arrival of the last message from or about the instance.
    last_seen: Millis,
    /// Whether the instance is known only as a contact in heartbeats of others.
    indirect: bool,
}

/// A datagram to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Address of the receiver.
    pub to: SocketAddrV4,
    /// Content of the datagram.
    pub bytes: Vec<u8>,
}

/// Membership and gossip of one instance.
#[derive(Debug)]
pub struct Fleet {
    address: SocketAddrV4,
    domain: DomainId,
    seeds: Vec<SocketAddrV4>,
    peers: Map<SocketAddrV4, Peer>,
    /// Time at which this instance began to read the store, if it does.
    reading_since: Option<Millis>,
    /// Number of other readers for which a promotion delay was drawn, and time at which this
    /// instance becomes a reader.
    promotion: Option<(usize, Millis)>,
    /// Time at which the store last answered this instance.
    last_answer: Option<Millis>,
    /// Revision up to which this instance has propagated updates.
    propagated: Revision,
    /// Era of the catalog, and when it was first seen.
    era: (u32, Millis),
    last_heartbeat: Option<Millis>,
    last_discovery: Option<Millis>,
    /// Time at which this instance last announced itself to the seeds as a reader.
    last_seed_heartbeat: Option<Millis>,
    last_pull: Option<Millis>,
    /// The next pull, if another instance is known to have later changes.
    pending_pull: Option<PendingPull>,
    /// Instances that may have a snapshot, while this instance knows no revision.
    sources: Vec<SocketAddrV4>,
    started: Millis,
    /// The seat that the first reader last assigned to this instance.
    assigned_seat: Option<AssignedSeat>,
    /// Outcomes of requests that other instances of the domain report.
    evidence: EvidenceExchange,
    random: Random,
    outgoing: Vec<Outgoing>,
}

impl Fleet {
    /// Creates the state of an instance that knows only the seeds. It soon reads the store itself,
    /// unless another instance has a snapshot.
    pub fn new(
        address: SocketAddrV4,
        domain: &DomainName,
        seeds: &[SocketAddrV4],
        seed: u64,
        now: Millis,
    ) -> Fleet {
        Fleet {
            address,
            domain: domain_id(domain),
            seeds: seeds.iter().copied().filter(|it| *it != address).collect(),
            peers: Map::default(),
            reading_since: None,
            promotion: Some((0, now + START_DELAY)),
            last_answer: None,
            propagated: Revision::default(),
            era: (0, now),
            last_heartbeat: None,
            last_discovery: None,
            last_seed_heartbeat: None,
            last_pull: None,
            pending_pull: None,
            sources: Vec::new(),
            started: now,
            assigned_seat: None,
            evidence: EvidenceExchange::default(),
            random: Random::new(seed),
            outgoing: Vec::new(),
        }
    }

    /// Whether this instance reads the store.
    pub fn is_reading(&self) -> bool {
        self.reading_since.is_some()
    }

    /// Hash of the own failure domain's name.
    pub fn domain(&self) -> DomainId {
        self.domain
    }

    /// Number of other instances that are known.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Number of known instances in the own failure domain, including this one.
    pub fn domain_size(&self) -> usize {
        1 + self.peers.values().filter(|peer| peer.domain == self.domain).count()
    }

    /// Whether no other instance is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.seeds = seeds.iter().copied().filter(|it| *it != self.address).collect();
    }

    /// Time at which the store last answered this instance or a reader of its domain.
    pub fn confirmed(&self) -> Option<Millis> {
        let peers = self.peers.values().filter(|peer| peer.domain == self.domain);
        peers.map(|peer| peer.last_answer).chain([self.last_answer]).max().flatten()
    }

    /// Returns the datagrams to send.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }

    /// Handles an answer of the store, which is already merged into `catalog`.
    pub fn store_answered(&mut self, catalog: &Catalog, now: Millis) {
        self.last_answer = Some(now);
        // An update also announces that the store has answered.
        if !self.propagate(catalog, now) {
            self.broadcast_heartbeat(catalog.revision(), now);
        }
    }

    /// Handles a failed call to the store. Others must no longer rely on this instance as a reader.
    pub fn store_failed(&mut self, catalog: &Catalog, now: Millis) {
        if self.last_answer.take().is_some() {
            self.broadcast_heartbeat(catalog.revision(), now);
        }
    }

    /// Handles a message. Returns the update in it if the update is to be merged.
    pub fn receive(
        &mut self,
        from: SocketAddrV4,
        message: Message,
        catalog: &Catalog,
        now: Millis,
    ) -> Option<Update> {
        match message {
            Message::Heartbeat(heartbeat) => {
                self.receive_heartbeat(from, &heartbeat, catalog.revision(), now);
                None
            }
            Message::Update { reader, update, to, seat } => {
                self.refresh_reader(reader, update.revision, now);
                self.receive_update(reader, update, to, seat, catalog, now)
            }
            Message::Evidence { domain, number, reports } => {
                self.receive_evidence(from, (domain, number), &reports, catalog, now);
                None
            }
        }
    }

    /// Performs all actions that are due.
    pub fn tick(&mut self, catalog: &Catalog, now: Millis) {
        self.track_era(catalog.revision().era, now);
        self.forget_silent(now);
        self.expire_reports(now);
        self.update_role(catalog, now);
        let is_due = |at: Option<Millis>, pause| at.is_none_or(|at| now.since(at) >= pause);
        let revision = catalog.revision();
        if self.readers(now).next().is_none() && is_due(self.last_discovery, DISCOVERY_INTERVAL) {
            self.last_discovery = Some(now);
            self.discover(revision, now);
        }
        if self.is_reading()
            && self.last_answer.is_some()
            && is_due(self.last_seed_heartbeat, SEED_INTERVAL)
        {
            self.last_seed_heartbeat = Some(now);
            for seed in self.seeds.clone() {
                self.heartbeat(seed, Purpose::Announce, revision, now);
            }
        }
        if !self.is_reading() && is_due(self.last_heartbeat, HEARTBEAT_INTERVAL) {
            self.last_heartbeat = Some(now);
            let readers: Vec<_> = self.readers(now).collect();
            for reader in readers {
                self.heartbeat(reader, Purpose::Announce, revision, now);
            }
        }
    }

    /// Time at which [`tick`](Self::tick) has to be called next.
    pub fn deadline(&self, now: Millis) -> Millis {
        self.next_pull(now).into_iter().chain([self.next_decision(now)]).min().unwrap_or(now)
    }

    /// Forgets instances that were not seen for long. Listeners exchange heartbeats at the start
    /// only, so a listener knows others only as contacts that its readers name.
    fn forget_silent(&mut self, now: Millis) {
        let is_listener = !self.is_reading();
        for peer in self.peers.values_mut() {
            peer.indirect |= is_listener && now.since(peer.last_seen) >= PEER_TIMEOUT;
        }
        let limit = |peer: &Peer| if peer.indirect { INDIRECT_TIMEOUT } else { PEER_TIMEOUT };
        self.peers.retain(|_, peer| now.since(peer.last_seen) < limit(peer));
    }

    fn send(&mut self, to: SocketAddrV4, message: &Message) {
        match encode(message) {
            Ok(bytes) => self.outgoing.push(Outgoing { to, bytes }),
            // A single change may be too large for a datagram. The next heartbeat announces the
            // revision, and instances that lack the change pull it.
            Err(error) => log::debug!("peers: a message to {to} was not sent: {error}"),
        }
    }

    fn domain_members(&self) -> Vec<SocketAddrV4> {
        let peers = self.peers.iter().filter(|(_, peer)| peer.domain == self.domain);
        peers.map(|(address, _)| *address).collect()
    }
}

fn domain_id(name: &DomainName) -> DomainId {
    let mut hasher = siphasher::sip::SipHasher13::new();
    hasher.write(name.as_str().as_bytes());
    DomainId(hasher.finish() as u32)
}
