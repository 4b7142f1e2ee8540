//! The backlog of openings that wait at an instance for capacity of a service, and their
//! order.
//!
//! Handles the load patterns of [`limit`](crate::limit): for some seconds, more work
//! arrives than the targets can do. In order of arrival every caller would wait as long as
//! the overload lasts, and all answers would be late. Here the newest opening of a level
//! goes first, so that most callers are answered in time. The openings that have waited
//! longest are late in any case. They are served when there is capacity again, or refused
//! after [`max_wait`]. The caller may then retry, and no work was done for it.
//!
//! Openings of a higher [`Level`] go first. Operators rank routes by priority. Without
//! priorities, requests go before feeds, because most requests can't be repeated once they
//! have begun.

use crate::priority::Level;
use medlarspur_lib::time::Millis;
use std::cmp::Reverse;

/// Maximum number of waiting openings. More would cost an instance with 260 MB memory for
/// callers that it can't serve. An instance of today's sites receives fewer openings within
/// one latency objective.
const MAX_LEN: usize = 1_024;

/// Maximum wait in multiples of the latency objective. The backlog of a burst, or of a lost
/// part of the targets, clears within about a second, so most openings that wait that long
/// are served, late. Callers refused after one objective would retry at once and count as
/// the newest.
const MAX_OBJECTIVES: u64 = 4;
/// Maximum wait, whatever the latency objective. Callers give up an opening after 1.4 s and
/// should be refused before that.
const MAX_WAIT: Millis = Millis(1_200);

/// Returns the maximum wait of an opening whose request has the given latency objective.
pub fn max_wait(objective: Millis) -> Millis {
    Millis(objective.0.saturating_mul(MAX_OBJECTIVES)).min(MAX_WAIT)
}

/// An opening that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting<K> {
    /// Identifies the opening.
    pub key: K,
    /// Level of the flow.
    pub level: Level,
    /// Time at which the caller first sent the opening, as far as is known.
    pub since: Millis,
    /// Time at which the opening is refused.
    pub deadline: Millis,
}

/// The openings that wait for one service.
#[derive(Debug, Clone)]
pub struct Backlog<K> {
    waiting: Vec<Waiting<K>>,
}

impl<K> Default for Backlog<K> {
    fn default() -> Backlog<K> {
        Backlog { waiting: Vec::new() }
    }
}

impl<K: Copy + PartialEq> Backlog<K> {
    /// Returns whether no opening waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting openings.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of waiting openings of each level, the highest first, down to the
    /// lowest that has any.
    pub fn count_by_level(&self) -> Vec<u64> {
        let mut counts = Vec::new();
        for rank in self.waiting.iter().map(|it| it.level.rank()) {
            counts.resize(counts.len().max(rank + 1), 0);
            counts[rank] += 1;
        }
        counts
    }

    /// Adds an opening, or returns it if the backlog is full.
    pub fn push(&mut self, opening: Waiting<K>) -> Option<Waiting<K>> {
        if self.waiting.len() >= MAX_LEN {
            return Some(opening);
        }
        self.waiting.push(opening);
        None
    }

    /// Makes room for an opening of a level if the backlog is full: removes and returns one
    /// of the lowest waiting level, if that is below the given one. The one that has waited
    /// longest is the most likely to be late.
    pub fn make_room(&mut self, level: Level) -> Option<Waiting<K>> {
        if self.waiting.len() < MAX_LEN {
            return None;
        }
        let lower = self.waiting.iter().enumerate().filter(|(_, it)| it.level > level);
        let (position, _) = lower.max_by_key(|(_, it)| (it.level, Reverse(it.since)))?;
        Some(self.waiting.swap_remove(position))
    }

    /// Replaces the levels of all waiting openings after a change of priorities.
    pub fn set_levels(&mut self, level: impl Fn(K) -> Level) {
        for opening in &mut self.waiting {
            opening.level = level(opening.key);
        }
    }

    /// Returns whether an opening of a level may go ahead of the waiting ones.
    pub fn can_bypass(&self, level: Level) -> bool {
        self.waiting.iter().all(|it| it.level > level)
    }

    /// Returns the opening that goes next.
    pub fn peek(&self) -> Option<Waiting<K>> {
        self.waiting.iter().max_by_key(|it| (Reverse(it.level), it.since)).copied()
    }

    /// Removes the opening with the given key.
    pub fn remove(&mut self, key: K) {
        self.waiting.retain(|it| it.key != key);
    }

    /// Removes and returns one opening whose deadline has passed.
    pub fn pop_expired(&mut self, now: Millis) -> Option<Waiting<K>> {
        let position = self.waiting.iter().position(|it| it.deadline <= now)?;
        Some(self.waiting.swap_remove(position))
    }

    /// Returns the earliest deadline of the waiting openings.
    pub fn next_deadline(&self) -> Option<Millis> {
        self.waiting.iter().map(|it| it.deadline).min()
    }
}
