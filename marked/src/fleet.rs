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

use crate::{
    Catalog, News, Revision, Scope,
    message::{DomainId, Heartbeat, Message, Role, encode},
};
use medlarspur_lib::{collections::Map, ids::DomainName, time::Millis};
use medlarspur_load::random::Random;
use std::{hash::Hasher, net::SocketAddrV4};

/// How many instances of a failure domain read the store: one may fail, be cut
/// off or be turned away, and the other still does.
const READERS: usize = 2;
/// To how many others an instance passes news on. Four levels reach a hundred
/// instances of a domain twice over.
const FANOUT: usize = 5;
/// How old a reader's last answer from the store may be. A watch ends after
/// 1.5 s; a slow store and a busy reader take some hundred milliseconds.
const FRESH: Millis = Millis(2_400);
/// How long an instance waits at most before it becomes the second reader.
const SECOND_PAUSE: Millis = Millis(1_500);
/// How long it waits at most before it becomes the only one: enough that of a
/// hundred instances that lose their readers at once a few go first.
const FIRST_PAUSE: Millis = Millis(150);
/// How long a reader reads at least. Roles that change with each lost datagram
/// would cost more calls than they save.
const LEAST_READING: Millis = Millis::secs(3);
/// How often an instance that does not read tells its readers that it is there.
const HEARTBEAT_PAUSE: Millis = Millis::secs(4);
/// How long after its last message an instance is taken for gone: two heartbeats of
/// one that does not read, with room.
const GONE: Millis = Millis::secs(10);
/// How long after others told of it an instance that was never heard is
/// forgotten. Listeners are heard by readers only; when those go, whoever takes
/// over should know the domain.
const INDIRECT: Millis = Millis::secs(60);
/// How many others a heartbeat tells of: at most three, for a reader of a hundred
/// instances to stay within 8 KB a second.
const TOLD: usize = 3;
/// How many others whoever asks is told of.
const TOLD_ASKED: usize = 12;
/// How long an instance without readers waits between two questions to seeds.
const SEEK_PAUSE: Millis = Millis(1_000);
/// How long an instance that starts waits for others that have the picture before
/// it reads the store: an answer of a seed takes some 5 ms. A picture of 5,600
/// targets takes 2 MB and 80 ms of processor time from the store, and a tenth of
/// both from another instance; and a crowd that starts reads the store at once.
const START_PAUSE: Millis = Millis(12);
/// How long it waits for a picture that it has asked for before it reads the
/// store after all.
const PULL_TIME: Millis = Millis(400);
/// How often a reader tells the seeds that it is one, so that they can tell
/// whoever starts.
const SEED_PAUSE: Millis = Millis::secs(4);
/// How long after one question for lacking news the next is asked.
const PULL_PAUSE: Millis = Millis(400);
/// How long news may be on its way after a heartbeat that tells its revision. The heartbeat
/// comes straight from the reader, the news by way of others.
const ON_ITS_WAY: Millis = Millis(250);

/// How many others are remembered at most; ten times a large domain.
const MOST: usize = 1_000;

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

/// News that this instance lacks.
#[derive(Debug, Clone, Copy)]
struct Lacking {
    /// Who has it.
    from: SocketAddrV4,
    /// Up to which revision that one knows all.
    revision: Revision,
    /// When to ask; it may be on its way until then.
    due: Millis,
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
    heartbeat_at: Option<Millis>,
    sought: Option<Millis>,
    /// When it has told the seeds that it reads.
    seeded: Option<Millis>,
    pulled: Option<Millis>,
    /// Who knows more, if it is known that anybody does.
    lacking: Option<Lacking>,
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
            heartbeat_at: None,
            sought: None,
            seeded: None,
            pulled: None,
            lacking: None,
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

    /// Tells the domain what is new since the last time; answers whether anything
    /// is.
    fn pass_on(&mut self, catalog: &Catalog, now: Millis) -> bool {
        let revision = catalog.revision();
        if revision <= self.told {
            return false;
        }
        let news = catalog.since(self.told, now);
        let is_first = self.told == Revision::default();
        self.told = revision;
        // The first picture is whole; the others read it or ask for it.
        if is_first {
            return false;
        }
        let domain = self.domain_members();
        self.spread(self.me, &news, domain);
        true
    }

    /// Sends news to a few instances, each with a part of the others to pass it
    /// on to.
    fn spread(&mut self, reader: SocketAddrV4, news: &News, mut others: Vec<SocketAddrV4>) {
        others.sort_unstable();
        let part = others.len().div_ceil(FANOUT).max(1);
        let pieces = pieces(news);
        for part in others.chunks(part) {
            for news in &pieces {
                let to = part[1..].to_vec();
                self.send(part[0], &Message::News { reader, news: news.clone(), to });
            }
        }
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

    /// Takes in a message; answers the news in it, to be merged.
    pub fn receive(
        &mut self,
        from: SocketAddrV4,
        message: Message,
        catalog: &Catalog,
        now: Millis,
    ) -> Option<News> {
        match message {
            Message::Heartbeat(heartbeat) => {
                self.receive_heartbeat(from, &heartbeat, catalog.revision(), now);
                None
            }
            Message::News { reader, news, to } => {
                self.confirm(reader, news.revision, now);
                self.receive_news((from, reader), news, to, catalog, now)
            }
        }
    }

    fn receive_heartbeat(
        &mut self,
        from: SocketAddrV4,
        heartbeat: &Heartbeat,
        known: Revision,
        now: Millis,
    ) {
        let fresh = heartbeat.fresh.map(|age| now.since(Millis(age.into())));
        if self.peers.len() >= MOST && !self.peers.contains_key(&from) {
            log::debug!("peers: {from} is one too many");
            return;
        }
        let peer = Peer {
            domain: heartbeat.domain,
            role: heartbeat.role,
            fresh,
            revision: heartbeat.revision,
            heard: now,
            indirect: false,
        };
        let is_new = self.peers.insert(from, peer).is_none();
        for contact in &heartbeat.contacts {
            self.hear_of(*contact, known, now);
        }
        if heartbeat.asks || is_new && heartbeat.domain == self.domain {
            self.heartbeat(from, Purpose::Answer, known, now);
        }
        // Within a domain all that readers know is passed on. An instance that
        // starts, or can't reach the store, takes it from anywhere.
        let starts = known == Revision::default();
        let is_cut = self.is_reading() && self.fresh.is_none();
        if heartbeat.revision > known && (heartbeat.domain == self.domain || starts || is_cut) {
            let wait = if starts { Millis(0) } else { ON_ITS_WAY };
            self.lack(from, heartbeat.revision, now + wait);
        }
    }

    /// Takes in that another one has told of an instance in this one's domain.
    fn hear_of(&mut self, contact: SocketAddrV4, known: Revision, now: Millis) {
        let is_full = self.peers.len() >= MOST;
        if contact == self.me || is_full || self.peers.contains_key(&contact) {
            return;
        }
        let unknown = Peer {
            domain: self.domain,
            role: Role::Listener,
            fresh: None,
            revision: Revision::default(),
            heard: now,
            indirect: true,
        };
        self.peers.insert(contact, unknown);
        // Whoever starts needs the readers of its domain, and they it.
        if self.readers(now).count() < READERS {
            self.heartbeat(contact, Purpose::Ask, known, now);
        }
    }

    /// News of a reader has come, by way of others: the store answers it.
    fn confirm(&mut self, reader: SocketAddrV4, revision: Revision, now: Millis) {
        let domain = self.domain;
        let Some(peer) = self.peers.get_mut(&reader).filter(|it| it.domain == domain) else {
            return;
        };
        peer.role = Role::Reader;
        peer.fresh = Some(now);
        peer.heard = now;
        peer.revision = peer.revision.max(revision);
    }

    fn receive_news(
        &mut self,
        (from, reader): (SocketAddrV4, SocketAddrV4),
        news: News,
        mut others: Vec<SocketAddrV4>,
        catalog: &Catalog,
        now: Millis,
    ) -> Option<News> {
        // Passed on also if it is known here already: the others may not know it.
        others.retain(|it| *it != self.me);
        others.truncate(MOST);
        self.spread(reader, &news, others);
        if news.revision <= catalog.revision() {
            return None;
        }
        if catalog.lacks(&news) {
            // Whoever passed it on may lack the same, and what it knows was never
            // told. The reader has it all. Without this question an instance stays
            // behind for as long as news keeps coming, up to 3.6 s in a domain of
            // 17, because a reader that has news to tell sends no heartbeats.
            self.lack(reader, news.revision, now + ON_ITS_WAY);
        }
        // What came from another reader need not be told again by this one.
        if matches!(news.scope, Scope::Since(known) if known <= self.told) {
            self.told = self.told.max(news.revision);
        }
        Some(news)
    }

    /// Whom to ask for news that this instance lacks, if anybody.
    pub fn pull(&mut self, known: Revision, now: Millis) -> Option<SocketAddrV4> {
        let is_early = self.pulled.is_some_and(|at| now.since(at) < PULL_PAUSE);
        if is_early {
            return None;
        }
        let Lacking { from, revision, due } = self.lacking?;
        if revision <= known {
            self.lacking = None;
            return None;
        }
        if due > now {
            return None;
        }
        self.lacking = None;
        self.pulled = Some(now);
        if known == Revision::default() && !self.is_reading() {
            self.due = Some((0, now + PULL_TIME));
        }
        Some(from)
    }

    /// Something shows that this instance lacks news; asks whoever knows most.
    pub fn suspect_lack(&mut self) {
        let best = self.peers.iter().max_by_key(|(_, peer)| (peer.fresh, peer.revision));
        self.lacking = best.map(|(address, peer)| Lacking {
            from: *address,
            revision: peer.revision,
            due: Millis(0),
        });
    }

    /// Notes that another instance knows more, unless that is known of one already.
    fn lack(&mut self, from: SocketAddrV4, revision: Revision, due: Millis) {
        self.lacking.get_or_insert(Lacking { from, revision, due });
    }

    /// Does what is due by now.
    pub fn tick(&mut self, catalog: &Catalog, now: Millis) {
        let limit = |peer: &Peer| if peer.indirect { INDIRECT } else { GONE };
        self.peers.retain(|_, peer| now.since(peer.heard) < limit(peer));
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

    /// Asks the seeds and one other who is there.
    fn seek(&mut self, revision: Revision, now: Millis) {
        let mut asked = self.seeds.clone();
        let others = self.domain_members();
        if !others.is_empty() {
            asked.push(others[(self.random.draw() % others.len() as u64) as usize]);
        }
        for seed in asked {
            self.heartbeat(seed, Purpose::Ask, revision, now);
        }
    }

    /// The other readers of the domain that have heard from the store lately.
    fn readers(&self, now: Millis) -> impl Iterator<Item = SocketAddrV4> {
        let is_reader = move |peer: &Peer| {
            peer.role == Role::Reader && peer.fresh.is_some_and(|at| now.since(at) <= FRESH)
        };
        let peers = self.peers.iter().filter(move |(_, peer)| peer.domain == self.domain);
        peers.filter(move |(_, peer)| is_reader(peer)).map(|(address, _)| *address)
    }

    /// Decides whether to read.
    fn decide(&mut self, catalog: &Catalog, now: Millis) {
        if let Some(since) = self.reading {
            let is_long = now.since(since) >= LEAST_READING;
            if is_long && self.is_spare(now) {
                log::info!("readers: this instance stops reading, others do");
                self.reading = None;
                self.fresh = None;
            }
            return;
        }
        let count = self.readers(now).count();
        let is_known = catalog.revision() > Revision::default();
        if count >= READERS && is_known {
            self.due = None;
            return;
        }
        let due = match self.due {
            Some((drawn_for, due)) if drawn_for <= count => due,
            _ => now + self.pause(count),
        };
        self.due = Some((count, due));
        if due <= now {
            log::info!("readers: this instance reads the store, {count} others do");
            self.due = None;
            // What was read for the start only may stop at once.
            self.reading = Some(if is_known { now } else { now - LEAST_READING });
            self.told = catalog.revision();
        }
    }

    /// Whether enough others read whose addresses are smaller.
    fn is_spare(&self, now: Millis) -> bool {
        self.readers(now).filter(|it| *it < self.me).count() >= READERS
    }

    /// A random pause before this instance reads beside `count` others.
    fn pause(&mut self, count: usize) -> Millis {
        let most = if count == 0 { FIRST_PAUSE } else { SECOND_PAUSE };
        Millis(self.random.draw() % (most.0 + 1))
    }

    /// When [`tick`](Self::tick) has something to do next.
    pub fn deadline(&self, now: Millis) -> Millis {
        // Not before the next question is allowed: until then nothing can be done.
        let allowed = self.pulled.map_or(now, |at| at + PULL_PAUSE);
        let lacking = self.lacking.map(|it| it.due.max(allowed));
        lacking.into_iter().chain([self.next_step(now)]).min().unwrap_or(now)
    }

    fn next_step(&self, now: Millis) -> Millis {
        if let Some((_, due)) = self.due {
            return due;
        }
        if self.is_reading() {
            return now + SEEK_PAUSE;
        }
        // The moment from which the first of its readers is too old.
        let fresh = self.readers(now).filter_map(|it| self.peers[&it].fresh).min();
        fresh.map_or(now, |at| at + FRESH + Millis(1))
    }

    /// Tells the whole domain, unless enough others do: when all start at once,
    /// all read, and heartbeats between all pairs would grow with their square.
    fn tell_domain(&mut self, revision: Revision, now: Millis) {
        if self.is_spare(now) {
            return;
        }
        for to in self.domain_members() {
            self.heartbeat(to, Purpose::Tell, revision, now);
        }
    }

    fn heartbeat(&mut self, to: SocketAddrV4, purpose: Purpose, revision: Revision, now: Millis) {
        let fresh = self.fresh.map(|at| now.since(at).0).and_then(|age| u16::try_from(age).ok());
        let role = if self.is_reading() { Role::Reader } else { Role::Listener };
        let contacts = self.contacts(to, purpose.contacts());
        let asks = purpose == Purpose::Ask;
        let heartbeat = Heartbeat { domain: self.domain, role, fresh, revision, asks, contacts };
        self.send(to, &Message::Heartbeat(heartbeat));
    }

    /// Some instances of the receiver's domain, readers first, the others drawn
    /// anew each time.
    fn contacts(&mut self, to: SocketAddrV4, most: usize) -> Vec<SocketAddrV4> {
        let Some(domain) = self.peers.get(&to).map(|peer| peer.domain) else {
            return Vec::new();
        };
        let others = self.peers.iter().filter(|(it, peer)| **it != to && peer.domain == domain);
        let others = others.map(|(address, peer)| (peer.role == Role::Listener, *address));
        let mut others: Vec<(bool, SocketAddrV4)> = others.collect();
        if others.len() > most {
            let start = (self.random.draw() % others.len() as u64) as usize;
            others.rotate_left(start);
            // Readers first: they know all the others.
            others.sort_by_key(|(listens, _)| *listens);
            others.truncate(most);
        }
        others.into_iter().map(|(_, address)| address).collect()
    }
}

/// What a heartbeat is sent for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    /// To say that this instance is there and what it knows.
    Tell,
    /// To learn who else is there.
    Ask,
    /// To tell who else is there.
    Answer,
}

impl Purpose {
    fn contacts(self) -> usize {
        match self {
            Purpose::Tell => TOLD,
            Purpose::Ask => 0,
            Purpose::Answer => TOLD_ASKED,
        }
    }
}

/// How many changes go into one datagram. An entry of a target takes some 60
/// bytes and an address to pass it on to 6, of which a domain of a hundred has
/// twenty a branch; [`MAX_DATAGRAM`](crate::message::MAX_DATAGRAM) is 1,200.
const PIECE: usize = 12;

/// Cuts news into parts that fit into datagrams. In the order of revisions each
/// part is complete from one revision to another, so a lost one is noticed like
/// any lost news.
fn pieces(news: &News) -> Vec<News> {
    let Scope::Since(mut known) = news.scope else { return vec![news.clone()] };
    let mut changes = news.changes.clone();
    changes.sort_by_key(|change| change.revision);
    let mut pieces: Vec<News> = Vec::new();
    for changes in changes.chunks(PIECE) {
        let revision = changes[changes.len() - 1].revision;
        pieces.push(News { revision, scope: Scope::Since(known), changes: changes.to_vec() });
        known = revision;
    }
    match pieces.last_mut() {
        Some(last) => last.revision = news.revision,
        None => pieces.push(news.clone()),
    }
    pieces
}

fn domain_id(name: &DomainName) -> DomainId {
    let mut hasher = siphasher::sip::SipHasher13::new();
    hasher.write(name.as_str().as_bytes());
    DomainId(hasher.finish() as u32)
}
