//! Deciding which instances of a failure domain read the store.

use super::{DISCOVERY_INTERVAL, Fleet, Peer};
use crate::{Catalog, Revision, message::Role};
use medlarspur_lib::time::Millis;
use std::net::SocketAddrV4;

/// How many instances of a failure domain read the store: one may fail, be cut
/// off or be turned away, and the other still does.
pub(super) const READERS_PER_DOMAIN: usize = 2;
/// How old a reader's last answer from the store may be: longer than a watch takes, with a
/// slow store and a busy reader.
pub(super) const READER_TIMEOUT: Millis = Millis(2_400);
/// How long a reader may take to hear of a later era: some calls, and the time until others
/// have heard of it.
const ERA_TIMEOUT: Millis = Millis::secs(6);
/// How long an instance waits at most before it becomes the second reader.
const MAX_SECOND_DELAY: Millis = Millis(1_500);
/// How long it waits at most before it becomes the only one, so that of many that lose their
/// readers at once a few go first.
const MAX_FIRST_DELAY: Millis = Millis(150);
/// How long a reader reads at least. Roles that change with each lost datagram
/// would cost more calls than they save.
const MIN_READING_TIME: Millis = Millis::secs(3);
/// How long an instance that starts waits for others that have the picture before it reads the
/// store: longer than a seed takes to answer. The store serves a picture dearly, and a crowd
/// that starts reads it at once.
pub(super) const START_DELAY: Millis = Millis(12);
/// How long it waits for a picture that it has asked for before it reads the
/// store after all.
pub(super) const PULL_TIMEOUT: Millis = Millis(400);

impl Peer {
    /// Whether it reads the store, which has answered it lately.
    pub(super) fn is_reading(&self, now: Millis) -> bool {
        self.role == Role::Reader
            && self.last_answer.is_some_and(|at| now.since(at) <= READER_TIMEOUT)
    }
}

impl Fleet {
    /// Whether nobody of this instance's domain hears from the store, as far as it knows. An
    /// instance that hears from no reader reads by itself, so that this doesn't last where the
    /// store can be reached.
    pub fn is_cut_off(&self, now: Millis) -> bool {
        self.confirmed().is_none_or(|at| now.since(at) > READER_TIMEOUT)
    }

    /// The other readers of the domain that have heard from the store lately. One that stays in
    /// an earlier era is none: either it or this instance is wrong about the store.
    pub(super) fn readers(&self, now: Millis) -> impl Iterator<Item = SocketAddrV4> {
        let (era, since) = self.era;
        let is_behind =
            move |peer: &Peer| peer.revision.era < era && now.since(since) > ERA_TIMEOUT;
        let peers = self.peers.iter().filter(move |(_, peer)| peer.domain == self.domain);
        let peers = peers.filter(move |(_, peer)| peer.is_reading(now) && !is_behind(peer));
        peers.map(|(address, _)| *address)
    }

    /// Notes since when this instance knows of the era.
    pub(super) fn track_era(&mut self, era: u32, now: Millis) {
        if self.era.0 != era {
            self.era = (era, now);
        }
    }

    /// Decides whether to read.
    pub(super) fn update_role(&mut self, catalog: &Catalog, now: Millis) {
        if let Some(since) = self.reading_since {
            let is_long = now.since(since) >= MIN_READING_TIME;
            if is_long && self.is_redundant(now) {
                log::info!("readers: this instance stops reading, others do");
                self.reading_since = None;
                self.last_answer = None;
            }
            return;
        }
        let count = self.readers(now).count();
        let is_known = catalog.revision() > Revision::default();
        if count >= READERS_PER_DOMAIN && is_known {
            self.promotion = None;
            return;
        }
        let due = match self.promotion {
            Some((drawn_for, due)) if drawn_for <= count => due,
            _ => now + self.promotion_delay(count),
        };
        self.promotion = Some((count, due));
        if due <= now {
            log::info!("readers: this instance reads the store, {count} others do");
            self.promotion = None;
            // What was read for the start only may stop at once.
            self.reading_since = Some(if is_known { now } else { now - MIN_READING_TIME });
            self.propagated = catalog.revision();
        }
    }

    /// Whether enough others read whose addresses are smaller.
    pub(super) fn is_redundant(&self, now: Millis) -> bool {
        self.readers(now).filter(|it| *it < self.address).count() >= READERS_PER_DOMAIN
    }

    /// A random pause before this instance reads beside `count` others.
    fn promotion_delay(&mut self, count: usize) -> Millis {
        let max_delay = if count == 0 { MAX_FIRST_DELAY } else { MAX_SECOND_DELAY };
        Millis(self.random.draw() % (max_delay.0 + 1))
    }

    pub(super) fn next_decision(&self, now: Millis) -> Millis {
        if let Some((_, due)) = self.promotion {
            return due;
        }
        if self.is_reading() {
            return now + DISCOVERY_INTERVAL;
        }
        // The moment from which the first of its readers is too old.
        let fresh = self.readers(now).filter_map(|it| self.peers[&it].fresh).min();
        fresh.map_or(now, |at| at + READER_TIMEOUT + Millis(1))
    }
}
