//! Choice of the instances of a failure domain that read the store.

use super::{DISCOVERY_INTERVAL, Fleet, Peer};
use crate::{Catalog, Revision, message::Role};
use medlarspur_lib::time::Millis;
use std::net::SocketAddrV4;

/// Number of instances in a failure domain that read the store. If one fails, is cut off or is
/// refused by the store, the other continues.
pub(super) const READERS_PER_DOMAIN: usize = 2;
/// Maximum age of a reader's last answer from the store. It exceeds the duration of a watch,
/// including a slow store and a busy reader.
pub(super) const READER_TIMEOUT: Millis = Millis(2_400);
/// Time within which a reader must learn of a later era. It covers some calls, and the time until
/// others have learned of it.
const ERA_TIMEOUT: Millis = Millis::secs(6);
/// Maximum delay before an instance becomes the second reader.
const MAX_SECOND_DELAY: Millis = Millis(1_500);
/// Maximum delay before an instance becomes the only reader. When many instances lose their readers
/// at once, the random delay lets a few go first.
const MAX_FIRST_DELAY: Millis = Millis(150);
/// Minimum time that an instance remains a reader. Roles that changed with each lost datagram would
/// cost more calls than they save.
const MIN_READING_TIME: Millis = Millis::secs(3);
/// Time that a starting instance waits for others that have a snapshot before it reads the store,
/// longer than a seed needs to reply. Full reads are expensive for the store, and many instances
/// may start at once.
pub(super) const START_DELAY: Millis = Millis(12);
/// Time that a starting instance waits for a snapshot that it has pulled before it reads the store
/// itself.
pub(super) const PULL_TIMEOUT: Millis = Millis(400);

impl Peer {
    /// Whether the instance reads the store and got an answer recently.
    pub(super) fn is_reading(&self, now: Millis) -> bool {
        self.role == Role::Reader
            && self.last_answer.is_some_and(|at| now.since(at) <= READER_TIMEOUT)
    }
}

impl Fleet {
    /// Whether no instance of this domain gets answers from the store, as far as is known. An
    /// instance that knows no readers begins to read itself, so this state does not last where the
    /// store can be reached.
    pub fn is_cut_off(&self, now: Millis) -> bool {
        self.confirmed().is_none_or(|at| now.since(at) > READER_TIMEOUT)
    }

    /// The other readers of the domain that recently got an answer from the store. A reader that
    /// stays in an earlier era does not count: either it or this instance is wrong about the store.
    pub(super) fn readers(&self, now: Millis) -> impl Iterator<Item = SocketAddrV4> {
        let (era, since) = self.era;
        let is_behind =
            move |peer: &Peer| peer.revision.era < era && now.since(since) > ERA_TIMEOUT;
        let peers = self.peers.iter().filter(move |(_, peer)| peer.domain == self.domain);
        let peers = peers.filter(move |(_, peer)| peer.is_reading(now) && !is_behind(peer));
        peers.map(|(address, _)| *address)
    }

    /// Records when the catalog's era changed.
    pub(super) fn track_era(&mut self, era: u32, now: Millis) {
        if self.era.0 != era {
            self.era = (era, now);
        }
    }

    /// Starts or stops reading the store.
    pub(super) fn update_role(&mut self, catalog: &Catalog, now: Millis) {
        if let Some(since) = self.reading_since {
            let may_stop = now.since(since) >= MIN_READING_TIME;
            if may_stop && self.is_redundant(now) {
                log::info!("readers: this instance stops reading the store, enough others read it");
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
            log::info!("readers: this instance reads the store in addition to {count} others");
            self.promotion = None;
            // A start without a snapshot counts as having read long enough, so that the instance
            // can stop at once.
            self.reading_since = Some(if is_known { now } else { now - MIN_READING_TIME });
            self.propagated = catalog.revision();
        }
    }

    /// Whether enough readers with smaller addresses exist.
    pub(super) fn is_redundant(&self, now: Millis) -> bool {
        self.readers(now).filter(|it| *it < self.address).count() >= READERS_PER_DOMAIN
    }

    /// Random delay before this instance reads in addition to `count` others.
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
        // Time at which the first of the readers no longer counts.
        let oldest = self.readers(now).filter_map(|it| self.peers[&it].last_answer).min();
        oldest.map_or(now, |at| at + READER_TIMEOUT + Millis(1))
    }
}
