//! Openings that wait at an instance until a service has room, and who goes first.
//!
//! Answers the patterns of [`limit`](crate::limit): for some seconds more is asked
//! than targets can do. Served in order of arrival, everybody would wait for as
//! long as the excess lasts, and all answers would be late. Here the newest go
//! first within a class, so that most callers are answered in time. Those who have
//! waited longest are late in any case; they are served when there is room again, and
//! told after [`max_wait`] that they were not served. They may then come back, and no
//! work was done for them.
//!
//! Requests go before feeds and uploads: most of them can't be repeated once they
//! have begun, and operators rank them first.

use medlarspur_lib::{bundle::Class, time::Millis};

/// How many openings wait at most. Beyond that an instance with 260 MB would pay
/// with memory for callers whom it can't serve; at today's sites an instance gets
/// fewer within a objective.
const MAX_LEN: usize = 1_024;

/// How many times the objective of its request an opening waits at most. A crowd or a lost
/// part of the targets is made up for within about a second, so most of those who
/// wait that long are served, late; told after one objective, they would come back at once as the
/// newest.
const MAX_OBJECTIVES: u64 = 4;
/// How long an opening waits at most, whatever its objective: callers give an opening up
/// after 1.4 s, and should hear before that they were not served.
const MAX_WAIT: Millis = Millis(1_200);

/// How long an opening waits whose request should be answered within `objective`.
pub fn max_wait(objective: Millis) -> Millis {
    Millis(objective.0.saturating_mul(MAX_OBJECTIVES)).min(MAX_WAIT)
}

/// An opening that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting<K> {
    /// Which one.
    pub key: K,
    /// The class of the request.
    pub class: Class,
    /// When its caller asked first, as far as is known.
    pub since: Millis,
    /// When its caller is told that it isn't served.
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
    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Has an opening wait; gives it back if there is no place.
    pub fn push(&mut self, opening: Waiting<K>) -> Option<Waiting<K>> {
        if self.waiting.len() >= MAX_LEN {
            return Some(opening);
        }
        self.waiting.push(opening);
        None
    }

    /// Whether one of a class need not wait behind those who do.
    pub fn can_bypass(&self, class: Class) -> bool {
        self.waiting.is_empty()
            || has_priority(class) && !self.waiting.iter().any(|it| has_priority(it.class))
    }

    /// The one that goes next.
    pub fn peek(&self) -> Option<Waiting<K>> {
        self.waiting.iter().max_by_key(|it| (has_priority(it.class), it.since)).copied()
    }

    /// Takes one out.
    pub fn remove(&mut self, key: K) {
        self.waiting.retain(|it| it.key != key);
    }

    /// Takes one whose time is over.
    pub fn pop_expired(&mut self, now: Millis) -> Option<Waiting<K>> {
        let position = self.waiting.iter().position(|it| it.deadline <= now)?;
        Some(self.waiting.swap_remove(position))
    }

    /// When the next one's time is over.
    pub fn next_deadline(&self) -> Option<Millis> {
        self.waiting.iter().map(|it| it.deadline).min()
    }
}

fn has_priority(class: Class) -> bool {
    class == Class::Request
}
