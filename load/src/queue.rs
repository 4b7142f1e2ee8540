//! Waiting: bounded, aware of deadlines, never a standing queue.
//!
//! Answers a short burst: work that a target can take within a moment is held
//! rather than turned away. What goes wrong without bounds: the queue fills
//! with callers that have given up, everybody waits the longest wait and the
//! work that comes out is done for nobody; one notices a p50 wait at the
//! max_wait of the callers. Three bounds prevent it. The wait of an opening is
//! known when it comes (the ledger says when the target has room, and is paid at
//! once), so what would wait too long is turned away *then*, not later. The line has a fixed
//! length. And once the savings were not half full for [`STANDING_AFTER`], newcomers
//! are only held for [`STANDING_MAX_WAIT`], so that the line drains.
//!
//! The line of a class is served in order of arrival, which is the shortest
//! remaining wait first. Serving the newest first was weighed: its losers are
//! held until near their deadline, which is what a caller can use least.

use medlarspur_lib::{ids::FlowId, time::Millis};
use std::{collections::VecDeque, net::Ipv4Addr};

/// The longest line of one class before one target, at one instance.
pub const MAX_LEN: usize = 64;
/// How long a line may be needed before it counts as standing:
/// two of the longest waits, so that a burst of a moment passes.
pub const STANDING_AFTER: Millis = Millis(500);
/// How long newcomers are held while a line stands.
pub const STANDING_MAX_WAIT: Millis = Millis(40);

/// Who wants to be let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Requester {
    /// The flow that it opens.
    pub flow: FlowId,
    /// Its address.
    pub caller: Ipv4Addr,
    /// Whether it or its network took more than its part lately.
    pub is_heavy: bool,
    /// Whether it comes back before it was asked to.
    pub is_early: bool,
}

/// An opening that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedOpening {
    /// Who waits.
    pub requester: Requester,
    /// When it goes to its target.
    pub release: Millis,
}

/// The openings of one class that wait for one target.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    waiting: VecDeque<QueuedOpening>,
    busy_since: Option<Millis>,
}

impl Queue {
    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The flows that wait.
    pub fn flows(&self) -> impl Iterator<Item = FlowId> {
        self.waiting.iter().map(|w| w.requester.flow)
    }

    /// Puts an opening at the end if its wait is short enough and there is a
    /// place; gives back when it goes to its target.
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

    /// Takes note that the target has room to spare again.
    pub fn mark_relieved(&mut self) {
        self.busy_since = None;
    }

    /// Takes the opening that is next, if its time has come.
    pub fn pop_due(&mut self, now: Millis) -> Option<QueuedOpening> {
        self.waiting.pop_front_if(|next| next.release <= now)
    }

    /// Takes the opening that is next, whether its time has come or not.
    pub fn pop(&mut self) -> Option<QueuedOpening> {
        self.waiting.pop_front()
    }
}
