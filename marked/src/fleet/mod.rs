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
use pull::Lacking;
use readers::START_PAUSE;
use seats::ToldSeat;
use std::{hash::Hasher, net::SocketAddrV4};

/// How often an instance that does not read tells its readers that it is there.
const HEARTBEAT_PAUSE: Millis = Millis::secs(4);
/// How long after its last message an instance is taken for gone: two heartbeats, with room.
const PEER_TIMEOUT: Millis = Millis::secs(10);
/// How long after others told of it an instance that was never heard is
/// forgotten. Listeners are heard by readers only; when those go, whoever takes
/// over should know the domain.
const HEARSAY_TIMEOUT: Millis = Millis::secs(60);
/// How long an instance without readers waits between two questions to seeds.
const SEEK_PAUSE: Millis = Millis(1_000);
/// How often a reader tells the seeds that it is one, so that they can tell
/// whoever starts.
const SEED_PAUSE: Millis = Millis::secs(4);

/// What is believed of another instance.
#[derive(Debug, Clone, Copy)]
struct Peer {
    domain: DomainId,
    role: Role,
    /// When the store answered it last, by this instance's clock.
    fresh: Option<Millis>,
    revision: Revision,
    /// When it was heard, or heard of.
    heard: Millis,
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
    me: SocketAddrV4,
    domain: DomainId,
    seeds: Vec<SocketAddrV4>,
    peers: Map<SocketAddrV4, Peer>,
    /// Since when this instance reads the store.
    reading: Option<Millis>,
    /// When it becomes a reader, and how many others there were when that was
    /// drawn.
    due: Option<(usize, Millis)>,
    /// When the store answered this instance last.
    fresh: Option<Millis>,
    /// Up to which revision it has passed news on.
    told: Revision,
    /// The era of what this instance knows, and since when.
    era: (u32, Millis),
    heartbeat_at: Option<Millis>,
    sought: Option<Millis>,
    /// When it has told the seeds that it reads.
    seeded: Option<Millis>,
    pulled: Option<Millis>,
    /// Who knows more, if it is known that anybody does.
    lacking: Option<Lacking>,
    /// While this instance knows nothing, who may have the picture.
    sources: Vec<SocketAddrV4>,
    started: Millis,
    /// This instance's seat, as the first reader has told it last.
    seat: Option<ToldSeat>,
    random: Random,
    outgoing: Vec<Outgoing>,
}

impl Fleet {
    /// One that knows the seeds only, and reads the store soon if nobody has the
    /// picture.
    pub fn new(
        me: SocketAddrV4,
        domain: &DomainName,
        seeds: &[SocketAddrV4],
        seed: u64,
        now: Millis,
    ) -> Fleet {
        Fleet {
            me,
            domain: domain_id(domain),
            seeds: seeds.iter().copied().filter(|it| *it != me).collect(),
            peers: Map::default(),
            reading: None,
            due: Some((0, now + START_PAUSE)),
            fresh: None,
            told: Revision::default(),
            era: (0, now),
            heartbeat_at: None,
            sought: None,
            seeded: None,
            pulled: None,
            lacking: None,
            sources: Vec::new(),
            started: now,
            seat: None,
            random: Random::new(seed),
            outgoing: Vec::new(),
        }
    }

    /// Whether this instance reads the store.
    pub fn is_reading(&self) -> bool {
        self.reading.is_some()
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
        self.seeds = seeds.iter().copied().filter(|it| *it != self.me).collect();
    }

    /// When the store last answered this instance or a reader of its domain.
    pub fn confirmed(&self) -> Option<Millis> {
        let peers = self.peers.values().filter(|peer| peer.domain == self.domain);
        peers.map(|peer| peer.fresh).chain([self.fresh]).max().flatten()
    }

    /// What to send.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }

    /// The store has answered; `catalog` has what it said.
    pub fn store_answered(&mut self, catalog: &Catalog, now: Millis) {
        self.fresh = Some(now);
        // News says as well that the store has answered.
        if !self.pass_on(catalog, now) {
            self.tell_domain(catalog.revision(), now);
        }
    }

    /// The store can't be reached: the others must not rely on this instance.
    pub fn store_failed(&mut self, catalog: &Catalog, now: Millis) {
        if self.fresh.take().is_some() {
            self.tell_domain(catalog.revision(), now);
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
                self.confirm(reader, update.revision, now);
                self.receive_news(reader, update, to, seat, catalog, now)
            }
        }
    }

    /// Does what is due by now.
    pub fn tick(&mut self, catalog: &Catalog, now: Millis) {
        self.note_era(catalog.revision().era, now);
        self.forget(now);
        self.decide(catalog, now);
        let is_due = |at: Option<Millis>, pause| at.is_none_or(|at| now.since(at) >= pause);
        let revision = catalog.revision();
        if self.readers(now).next().is_none() && is_due(self.sought, SEEK_PAUSE) {
            self.sought = Some(now);
            self.seek(revision, now);
        }
        if self.is_reading() && self.fresh.is_some() && is_due(self.seeded, SEED_PAUSE) {
            self.seeded = Some(now);
            for seed in self.seeds.clone() {
                self.heartbeat(seed, Purpose::Tell, revision, now);
            }
        }
        if !self.is_reading() && is_due(self.heartbeat_at, HEARTBEAT_PAUSE) {
            self.heartbeat_at = Some(now);
            let readers: Vec<_> = self.readers(now).collect();
            for reader in readers {
                self.heartbeat(reader, Purpose::Tell, revision, now);
            }
        }
    }

    /// When [`tick`](Self::tick) has something to do next.
    pub fn deadline(&self, now: Millis) -> Millis {
        self.next_question(now).into_iter().chain([self.next_step(now)]).min().unwrap_or(now)
    }

    /// Forgets instances that were not heard of for long. One that listens hears no other
    /// listener after the start, so it knows of them by its readers only.
    fn forget(&mut self, now: Millis) {
        let listens = !self.is_reading();
        for peer in self.peers.values_mut() {
            peer.indirect |= listens && now.since(peer.heard) >= PEER_TIMEOUT;
        }
        let limit = |peer: &Peer| if peer.indirect { HEARSAY_TIMEOUT } else { PEER_TIMEOUT };
        self.peers.retain(|_, peer| now.since(peer.heard) < limit(peer));
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
