//! Asking for news that an instance lacks.

use super::{Fleet, readers::PULL_TIMEOUT};
use crate::{MAX_ERA_LEAD, Revision};
use medlarspur_lib::time::Millis;
use std::net::SocketAddrV4;

/// How long after one question for lacking news the next is asked.
const PULL_INTERVAL: Millis = Millis(400);
/// How long news may be on its way after a heartbeat that tells its revision. The heartbeat
/// comes straight from the reader, the news by way of others.
pub(super) const PROPAGATION_DELAY: Millis = Millis(250);

/// The least that an instance knows which has the picture.
const MIN_REVISION: Revision = Revision { era: 0, count: 1 };

/// News that this instance lacks.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingPull {
    /// Who has it.
    pub(super) from: SocketAddrV4,
    /// Up to which revision that one knows all.
    pub(super) revision: Revision,
    /// When to ask; it may be on its way until then.
    pub(super) due: Millis,
}

impl Fleet {
    /// Whom to ask for news that this instance lacks, if anybody.
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

    /// An instance that was asked has told nothing: it has no picture itself, tells others, or
    /// is gone. The next one that may have it is asked at once.
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

    /// An instance that starts has heard who may have the picture. It asks one of all these:
    /// if all that start asked whoever answers them first, a few seeds would tell hundreds.
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

    /// Whether another instance's word for an era is taken. An instance that the store answers
    /// takes the era from there, and nobody is led so far ahead that the store can't follow.
    pub fn is_credible(&self, claimed: Revision, known: Revision) -> bool {
        let has_store = self.is_reading() && self.last_answer.is_some();
        let max_lead = if has_store { 0 } else { MAX_ERA_LEAD };
        known == Revision::default() || claimed.era <= known.era.saturating_add(max_lead)
    }

    /// Something shows that this instance lacks news; asks whoever knows most.
    pub fn catch_up(&mut self) {
        let best = self.peers.iter().max_by_key(|(_, peer)| (peer.last_answer, peer.revision));
        self.pending_pull = best.map(|(address, peer)| PendingPull {
            from: *address,
            revision: peer.revision,
            due: Millis(0),
        });
    }

    /// When to ask for what is lacking. Not before the next question is allowed: until
    /// then nothing can be done, and the main thread would spin.
    pub(super) fn next_pull(&self, now: Millis) -> Option<Millis> {
        let allowed = self.last_pull.map_or(now, |at| at + PULL_INTERVAL);
        self.pending_pull.map(|it| it.due.max(allowed))
    }

    /// Notes that another instance knows more, unless that is known of one already.
    pub(super) fn schedule_pull(&mut self, from: SocketAddrV4, revision: Revision, due: Millis) {
        self.pending_pull.get_or_insert(PendingPull { from, revision, due });
    }
}
