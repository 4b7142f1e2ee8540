//! Pulling changes that this instance lacks from another instance.

use super::{Fleet, readers::PULL_TIMEOUT};
use crate::{MAX_ERA_LEAD, Revision};
use medlarspur_lib::time::Millis;
use std::net::SocketAddrV4;

/// Minimum time between two pulls.
const PULL_INTERVAL: Millis = Millis(400);
/// Time that an update may need to arrive after a heartbeat that announces its revision. The
/// heartbeat comes directly from the reader, while the update is forwarded by others.
pub(super) const PROPAGATION_DELAY: Millis = Millis(250);

/// Lowest revision of an instance that has a snapshot.
const MIN_REVISION: Revision = Revision { era: 0, count: 1 };

/// A pull to be made.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingPull {
    /// Instance to pull from.
    pub(super) from: SocketAddrV4,
    /// Revision up to which that instance knows all changes.
    pub(super) revision: Revision,
    /// Time of the pull. Until then, the update may still arrive by itself.
    pub(super) due: Millis,
}

impl Fleet {
    /// Returns the instance to pull from now, if a pull is due.
    pub fn take_pull(&mut self, known: Revision, now: Millis) -> Option<SocketAddrV4> {
        let is_early = self.last_pull.is_some_and(|at| now.since(at) < PULL_INTERVAL);
        if is_early {
            return None;
        }
        let PendingPull { from, revision, due } = self.pending_pull?;
        if revision <= known {
            self.pending_pull = None;
            return None;
        }
        if due > now {
            return None;
        }
        self.pending_pull = None;
        self.last_pull = Some(now);
        self.sources.retain(|it| *it != from);
        if known == Revision::default() && !self.is_reading() {
            self.promotion = Some((0, now + PULL_TIMEOUT));
        }
        Some(from)
    }

    /// Handles a pull without an answer: the instance has no snapshot itself, is busy with other
    /// pulls, or is gone. While this instance knows no revision, it pulls from the next possible
    /// source at once.
    pub fn pull_failed(&mut self, from: SocketAddrV4, known: Revision, now: Millis) {
        self.sources.retain(|it| *it != from);
        if known > Revision::default() {
            return;
        }
        if let Some(next) = self.pick_source() {
            self.last_pull = None;
            self.pending_pull = Some(PendingPull { from: next, revision: MIN_REVISION, due: now });
        }
    }

    /// Schedules the first pull of a starting instance from a random one of all instances that may
    /// have a snapshot. If starting instances all pulled from whichever instance replied first, a
    /// few seeds would have to serve hundreds.
    pub(super) fn schedule_first_pull(
        &mut self,
        from: SocketAddrV4,
        contacts: &[SocketAddrV4],
        now: Millis,
    ) {
        for source in contacts.iter().chain([&from]) {
            if *source != self.address && !self.sources.contains(source) {
                self.sources.push(*source);
            }
        }
        if self.pending_pull.is_none()
            && let Some(source) = self.pick_source()
        {
            self.schedule_pull(source, MIN_REVISION, now);
        }
    }

    fn pick_source(&mut self) -> Option<SocketAddrV4> {
        let count = self.sources.len() as u64;
        (count > 0).then(|| self.sources[(self.random.draw() % count) as usize])
    }

    /// Whether to accept the era in another instance's message. An instance that gets answers from
    /// the store learns the era there. For others the era is limited, so that no message makes
    /// them accept an era that the store never reaches.
    pub fn is_credible(&self, claimed: Revision, known: Revision) -> bool {
        let has_store = self.is_reading() && self.last_answer.is_some();
        let max_lead = if has_store { 0 } else { MAX_ERA_LEAD };
        known == Revision::default() || claimed.era <= known.era.saturating_add(max_lead)
    }

    /// Schedules an immediate pull from the peer that knows most, after a sign that changes are
    /// missing.
    pub fn catch_up(&mut self) {
        let best = self.peers.iter().max_by_key(|(_, peer)| (peer.last_answer, peer.revision));
        self.pending_pull = best.map(|(address, peer)| PendingPull {
            from: *address,
            revision: peer.revision,
            due: Millis(0),
        });
    }

    /// Time of the next pull. It is never earlier than the pull interval allows, because the main
    /// thread would otherwise spin until then.
    pub(super) fn next_pull(&self, now: Millis) -> Option<Millis> {
        let allowed = self.last_pull.map_or(now, |at| at + PULL_INTERVAL);
        self.pending_pull.map(|it| it.due.max(allowed))
    }

    /// Schedules a pull, unless one is already scheduled.
    pub(super) fn schedule_pull(&mut self, from: SocketAddrV4, revision: Revision, due: Millis) {
        self.pending_pull.get_or_insert(PendingPull { from, revision, due });
    }
}
