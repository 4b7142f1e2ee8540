//! Who reads the store, and how news reaches the others.
//!
//! Each call to the store is priced and its rate is limited, so two instances in
//! each failure domain read it and pass on what they read. Nobody appoints them:
//!
//! - A reader tells its domain after each answer of the store, so silence says
//!   that the reader or its way to the store is gone.
//! - Who hears of fewer than two such readers becomes one itself, at once if
//!   there is none, after a random pause if there is one. Too many readers cost
//!   calls; too few would cost callers.
//! - A reader that hears of two others with smaller addresses stops.
//!
//! News goes through a domain as a tree: the reader sends it to a few, each of
//! which passes it on to a part of the others, so no instance sends more than
//! [`FANOUT`] copies. It says up to which revision the receiver must know all;
//! who lacks something asks for it.
//!
//! All beliefs are local. Two parts of a domain that are cut off from each other
//! each have their own readers, and what they know merges by revision.

mod heartbeats;
mod pull;
mod readers;
mod seats;
mod spread;

use crate::{
    Catalog, Revision, Update,
    message::{DomainId, Message, Role, encode},
};
use heartbeats::Purpose;
use medlarspur_lib::{collections::Map, ids::DomainName, time::Millis};
use medlarspur_load::random::Random;
use pull::PendingPull;
use readers::START_DELAY;
use seats::AssignedSeat;
use std::{hash::Hasher, net::SocketAddrV4};

/// How often an instance that does not read tells its readers that it is there.
const HEARTBEAT_INTERVAL: Millis = Millis::secs(4);
/// How long after its last message an instance is taken for gone: two heartbeats, with room.
const PEER_TIMEOUT: Millis = Millis::secs(10);
/// How long after others told of it an instance that was never heard is
/// forgotten. Listeners are heard by readers only; when those go, whoever takes
/// over should know the domain.
const INDIRECT_TIMEOUT: Millis = Millis::secs(60);
/// How long an instance without readers waits between two questions to seeds.
const DISCOVERY_INTERVAL: Millis = Millis(1_000);
/// How often a reader tells the seeds that it is one, so that they can tell
/// whoever starts.
const SEED_INTERVAL: Millis = Millis::secs(4);

/// What is believed of another instance.
#[derive(Debug, Clone, Copy)]
struct Peer {
    domain: DomainId,
    role: Role,
    /// When the store answered it last, by this instance's clock.
    last_answer: Option<Millis>,
    revision: Revision,
    /// When it was heard, or heard of.
    last_seen: Millis,
    /// Whether others have told of it and it was never heard itself.
    indirect: bool,
}

/// A datagram to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Who gets it.
    pub to: SocketAddrV4,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// The other instances as one of them sees them.
#[derive(Debug)]
pub struct Fleet {
    address: SocketAddrV4,
    domain: DomainId,
    seeds: Vec<SocketAddrV4>,
    peers: Map<SocketAddrV4, Peer>,
    /// Since when this instance reads the store.
    reading_since: Option<Millis>,
    /// When it becomes a reader, and how many others there were when that was
    /// drawn.
    promotion: Option<(usize, Millis)>,
    /// When the store answered this instance last.
    last_answer: Option<Millis>,
    /// Up to which revision it has passed news on.
    propagated: Revision,
    /// The era of what this instance knows, and since when.
    era: (u32, Millis),
    last_heartbeat: Option<Millis>,
    last_discovery: Option<Millis>,
    /// When it has told the seeds that it reads.
    last_seed_heartbeat: Option<Millis>,
    last_pull: Option<Millis>,
    /// Who knows more, if it is known that anybody does.
    pending_pull: Option<PendingPull>,
    /// While this instance knows nothing, who may have the picture.
    sources: Vec<SocketAddrV4>,
    started: Millis,
    /// This instance's seat, as the first reader has told it last.
    assigned_seat: Option<AssignedSeat>,
    random: Random,
    outgoing: Vec<Outgoing>,
}

impl Fleet {
    /// One that knows the seeds only, and reads the store soon if nobody has the
    /// picture.
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
            random: Random::new(seed),
            outgoing: Vec::new(),
        }
    }

    /// Whether this instance reads the store.
    pub fn is_reading(&self) -> bool {
        self.reading_since.is_some()
    }

    /// Its failure domain, as messages carry it.
    pub fn domain(&self) -> DomainId {
        self.domain
    }

    /// How many others are known.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// How many instances of its failure domain are known, this one included.
    pub fn domain_size(&self) -> usize {
        1 + self.peers.values().filter(|peer| peer.domain == self.domain).count()
    }

    /// Whether no other is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.seeds = seeds.iter().copied().filter(|it| *it != self.address).collect();
    }

    /// When the store last answered this instance or a reader of its domain.
    pub fn confirmed(&self) -> Option<Millis> {
        let peers = self.peers.values().filter(|peer| peer.domain == self.domain);
        peers.map(|peer| peer.last_answer).chain([self.last_answer]).max().flatten()
    }

    /// What to send.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }

    /// The store has answered; `catalog` has what it said.
    pub fn store_answered(&mut self, catalog: &Catalog, now: Millis) {
        self.last_answer = Some(now);
        // News says as well that the store has answered.
        if !self.propagate(catalog, now) {
            self.broadcast_heartbeat(catalog.revision(), now);
        }
    }

    /// The store can't be reached: the others must not rely on this instance.
    pub fn store_failed(&mut self, catalog: &Catalog, now: Millis) {
        if self.last_answer.take().is_some() {
            self.broadcast_heartbeat(catalog.revision(), now);
        }
    }

    /// Takes in a message; answers the news in it, to be merged.
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
        }
    }

    /// Does what is due by now.
    pub fn tick(&mut self, catalog: &Catalog, now: Millis) {
        self.track_era(catalog.revision().era, now);
        self.forget_silent(now);
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

    /// When [`tick`](Self::tick) has something to do next.
    pub fn deadline(&self, now: Millis) -> Millis {
        self.next_pull(now).into_iter().chain([self.next_decision(now)]).min().unwrap_or(now)
    }

    /// Forgets instances that were not heard of for long. One that listens hears no other
    /// listener after the start, so it knows of them by its readers only.
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
            // One item may be too large for a datagram. The next heartbeat tells the
            // revision, and whoever lacks it asks for it.
            Err(error) => log::debug!("peers: a message is not sent: {error}"),
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
