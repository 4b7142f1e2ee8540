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
//! have begun. Among openings of one level, the [turns](Turn) of their callers go before
//! their times, where the forwarder has any.

use crate::{fairness::Turn, priority::Level};
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
    waiting: Vec<Entry<K>>,
}

#[derive(Debug, Clone, Copy)]
struct Entry<K> {
    opening: Waiting<K>,
    turn: Turn,
}

impl<K> Entry<K> {
    /// Returns the position in the order; the least goes next.
    fn order(&self) -> (Level, Turn, Reverse<Millis>) {
        (self.opening.level, self.turn, Reverse(self.opening.since))
    }
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

    /// Returns the number of waiting openings that match.
    pub fn count_matching(&self, is_match: impl Fn(&Waiting<K>) -> bool) -> usize {
        self.waiting.iter().filter(|it| is_match(&it.opening)).count()
    }

    /// Returns the number of waiting openings of each level, the highest first, down to the
    /// lowest that has any.
    pub fn count_by_level(&self) -> Vec<u64> {
        let mut counts = Vec::new();
        for rank in self.waiting.iter().map(|it| it.opening.level.rank()) {
            counts.resize(counts.len().max(rank + 1), 0);
            counts[rank] += 1;
        }
        counts
    }

    /// Adds an opening, or returns it if the backlog is full.
    pub fn push(&mut self, opening: Waiting<K>) -> Option<Waiting<K>> {
        self.push_with_turn(opening, Turn::default())
    }

    /// Adds an opening with a turn among those of its level, or returns it if the backlog is
    /// full.
    pub fn push_with_turn(&mut self, opening: Waiting<K>, turn: Turn) -> Option<Waiting<K>> {
        if self.waiting.len() >= MAX_LEN {
            return Some(opening);
        }
        self.waiting.push(Entry { opening, turn });
        None
    }

    /// Places the earliest opening that matches behind first attempts, unless it is there.
    pub fn mark_repeated(&mut self, is_match: impl Fn(&Waiting<K>) -> bool) {
        let firsts =
            self.waiting.iter_mut().filter(|it| !it.turn.repeated && is_match(&it.opening));
        if let Some(entry) = firsts.min_by_key(|it| it.opening.since) {
            entry.turn.repeated = true;
        }
    }

    /// Makes room for an opening of a level if the backlog is full: removes and returns one
    /// of the lowest waiting level, if that is below the given one. The one that would go
    /// last, which without turns has waited longest, is the most likely to be late.
    pub fn make_room(&mut self, level: Level) -> Option<Waiting<K>> {
        if self.waiting.len() < MAX_LEN {
            return None;
        }
        let lower = self.waiting.iter().enumerate().filter(|(_, it)| it.opening.level > level);
        let (position, _) = lower.max_by_key(|(_, it)| it.order())?;
        Some(self.waiting.swap_remove(position).opening)
    }

    /// Replaces the levels of all waiting openings after a change of priorities.
    pub fn set_levels(&mut self, level: impl Fn(K) -> Level) {
        for Entry { opening, .. } in &mut self.waiting {
            opening.level = level(opening.key);
        }
    }

    /// Returns whether an opening of a level may go ahead of the waiting ones.
    pub fn can_bypass(&self, level: Level) -> bool {
        self.waiting.iter().all(|it| it.opening.level > level)
    }

    /// Returns the opening that goes next.
    pub fn peek(&self) -> Option<Waiting<K>> {
        self.peek_matching(|_| true)
    }

    /// Returns the opening that goes next of those that match.
    pub fn peek_matching(&self, is_match: impl Fn(&Waiting<K>) -> bool) -> Option<Waiting<K>> {
        let matching = self.waiting.iter().filter(|it| is_match(&it.opening));
        // The last one of equals goes next: of those that arrived at once, it is the newest.
        matching.rev().min_by_key(|it| it.order()).map(|it| it.opening)
    }

    /// Removes the opening with the given key.
    pub fn remove(&mut self, key: K) {
        self.waiting.retain(|it| it.opening.key != key);
    }

    /// Removes and returns one opening whose deadline has passed.
    pub fn pop_expired(&mut self, now: Millis) -> Option<Waiting<K>> {
        let position = self.waiting.iter().position(|it| it.opening.deadline <= now)?;
        Some(self.waiting.swap_remove(position).opening)
    }

    /// Removes and returns the openings that can't be opened in time, judged with the number
    /// of openings that go before each, of all levels and of its own.
    pub fn take_unservable(
        &mut self,
        can_open: impl Fn(&Waiting<K>, usize, usize) -> bool,
    ) -> Vec<Waiting<K>> {
        let mut order: Vec<usize> = (0..self.waiting.len()).collect();
        order.sort_by_key(|position| self.waiting[*position].order());
        let (mut ahead, mut ahead_in_level, mut level) = (0, 0, Level::HIGHEST);
        let mut unservable = Vec::new();
        let mut is_kept = vec![true; self.waiting.len()];
        for position in order {
            let opening = self.waiting[position].opening;
            if opening.level != level {
                (level, ahead_in_level) = (opening.level, 0);
            }
            if can_open(&opening, ahead, ahead_in_level) {
                ahead += 1;
                ahead_in_level += 1;
            } else {
                unservable.push(opening);
                is_kept[position] = false;
            }
        }
        let mut is_kept = is_kept.into_iter();
        self.waiting.retain(|_| is_kept.next().unwrap_or(true));
        unservable
    }

    /// Returns the earliest deadline of the waiting openings.
    pub fn next_deadline(&self) -> Option<Millis> {
        self.waiting.iter().map(|it| it.opening.deadline).min()
    }
}
