//! Asking for news that an instance lacks.

use super::{Fleet, readers::PULL_TIME};
use crate::{MAX_ERA_LEAD, Revision};
use medlarspur_lib::time::Millis;
use std::net::SocketAddrV4;

/// How long after one question for lacking news the next is asked.
const PULL_PAUSE: Millis = Millis(400);
/// How long news may be on its way after a heartbeat that tells its revision. The heartbeat
/// comes straight from the reader, the news by way of others.
pub(super) const NEWS_DELAY: Millis = Millis(250);

/// The least that an instance knows which has the picture.
const ANY: Revision = Revision { era: 0, count: 1 };

/// News that this instance lacks.
#[derive(Debug, Clone, Copy)]
pub(super) struct Lacking {
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
        self.sources.retain(|it| *it != from);
        if known == Revision::default() && !self.is_reading() {
            self.due = Some((0, now + PULL_TIME));
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
        if let Some(next) = self.draw_source() {
            self.pulled = None;
            self.lacking = Some(Lacking { from: next, revision: ANY, due: now });
        }
    }

    /// An instance that starts has heard who may have the picture. It asks one of all these:
    /// if all that start asked whoever answers them first, a few seeds would tell hundreds.
    pub(super) fn lack_all(&mut self, from: SocketAddrV4, contacts: &[SocketAddrV4], now: Millis) {
        for source in contacts.iter().chain([&from]) {
            if *source != self.me && !self.sources.contains(source) {
                self.sources.push(*source);
            }
        }
        if self.lacking.is_none()
            && let Some(source) = self.draw_source()
        {
            self.lack(source, ANY, now);
        }
    }

    fn draw_source(&mut self) -> Option<SocketAddrV4> {
        let count = self.sources.len() as u64;
        (count > 0).then(|| self.sources[(self.random.draw() % count) as usize])
    }

    /// Whether another instance's word for an era is taken. An instance that the store answers
    /// takes the era from there, and nobody is led so far ahead that the store can't follow.
    pub fn is_credible(&self, told: Revision, known: Revision) -> bool {
        let is_answered = self.is_reading() && self.fresh.is_some();
        let leap = if is_answered { 0 } else { MAX_ERA_LEAD };
        known == Revision::default() || told.era <= known.era.saturating_add(leap)
    }

    /// Something shows that this instance lacks news; asks whoever knows most.
    pub fn catch_up(&mut self) {
        let best = self.peers.iter().max_by_key(|(_, peer)| (peer.fresh, peer.revision));
        self.lacking = best.map(|(address, peer)| Lacking {
            from: *address,
            revision: peer.revision,
            due: Millis(0),
        });
    }

    /// When to ask for what is lacking. Not before the next question is allowed: until
    /// then nothing can be done, and the main thread would spin.
    pub(super) fn next_question(&self, now: Millis) -> Option<Millis> {
        let allowed = self.pulled.map_or(now, |at| at + PULL_PAUSE);
        self.lacking.map(|it| it.due.max(allowed))
    }

    /// Notes that another instance knows more, unless that is known of one already.
    pub(super) fn lack(&mut self, from: SocketAddrV4, revision: Revision, due: Millis) {
        self.lacking.get_or_insert(Lacking { from, revision, due });
    }
}
