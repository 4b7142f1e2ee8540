//! A bounded queue of openings that wait for a target.
//!
//! Handles a short burst: work that a target can take within a moment is held instead of
//! refused. Without bounds, the queue fills with callers that have given up, every opening
//! waits the maximum time, and targets do work that no caller waits for: the median wait
//! reaches the time after which callers give up. Three bounds prevent this. The wait of an
//! opening is known when it arrives, because the token bucket gives the time at which the
//! target has capacity and is charged at once. An opening that would wait too long is
//! therefore refused *then*, not later. The queue has a maximum length. And once the token
//! bucket has been less than half full for [`STANDING_AFTER`], new openings are held for
//! [`STANDING_MAX_WAIT`] at most, so that the queue drains.
//!
//! The queue of a class is served in order of arrival, which is also the shortest remaining
//! wait first. Serving the newest first would hold the others until near their deadlines,
//! which is the worst result for a caller.

use medlarspur_lib::{ids::FlowId, time::Millis};
use std::{collections::VecDeque, net::Ipv4Addr};

/// Maximum length of the queue of one class for one target, at one instance.
pub const MAX_LEN: usize = 64;
/// Time after which a queue that stays in use is a standing queue: twice the longest wait,
/// so that a short burst passes.
pub const STANDING_AFTER: Millis = Millis(500);
/// Maximum wait of new openings in a standing queue.
pub const STANDING_MAX_WAIT: Millis = Millis(40);

/// The sender of an opening, as the decision needs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Requester {
    /// The flow to be opened.
    pub flow: FlowId,
    /// The address of the caller.
    pub caller: Ipv4Addr,
    /// Whether the caller or its network recently took more than its share.
    pub is_heavy: bool,
    /// Whether the caller retries before the time that it was given.
    pub is_early: bool,
}

/// An opening that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedOpening {
    /// The sender of the opening.
    pub requester: Requester,
    /// Time at which the opening goes to its target.
    pub release: Millis,
}

/// The openings of one class that wait for one target.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    waiting: VecDeque<QueuedOpening>,
    /// Time at which an opening first had to wait since the target last had spare capacity.
    busy_since: Option<Millis>,
}

impl Queue {
    /// Returns whether no opening waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the flows that wait.
    pub fn flows(&self) -> impl Iterator<Item = FlowId> {
        self.waiting.iter().map(|w| w.requester.flow)
    }

    /// Appends an opening and returns its release time, or `None` if the wait is too long
    /// or the queue is full.
    pub fn push(
        &mut self,
        now: Millis,
        requester: Requester,
        delay: Millis,
        max_wait: Millis,
    ) -> Option<Millis> {
        let since = *self.busy_since.get_or_insert(now);
        let standing = now.since(since) >= STANDING_AFTER;
        let max_wait = if standing { max_wait.min(STANDING_MAX_WAIT) } else { max_wait };
        if delay > max_wait || self.waiting.len() >= MAX_LEN {
            return None;
        }
        let release = now + delay;
        self.waiting.push_back(QueuedOpening { requester, release });
        Some(release)
    }

    /// Records that the target has spare capacity again.
    pub fn mark_relieved(&mut self) {
        self.busy_since = None;
    }

    /// Removes and returns the next opening, if it is due.
    pub fn pop_due(&mut self, now: Millis) -> Option<QueuedOpening> {
        self.waiting.pop_front_if(|next| next.release <= now)
    }

    /// Removes and returns the next opening, whether it is due or not.
    pub fn pop(&mut self) -> Option<QueuedOpening> {
        self.waiting.pop_front()
    }
}
