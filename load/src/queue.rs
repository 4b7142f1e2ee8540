//! Waiting: bounded, aware of deadlines, never a standing queue.
//!
//! Answers a short burst: work that a target can take within a moment is held
//! rather than turned away. What goes wrong without bounds: the queue fills
//! with callers that have given up, everybody waits the longest wait and the
//! work that comes out is done for nobody; one notices a p50 wait at the
//! patience of the callers. Three bounds prevent it. The wait of an opening is
//! known when it comes (the ledger says when the target has room, and is paid at
//! once), so what would wait too long is turned away *then*, not later. The line has a fixed
//! length. And once the savings were not half full for [`STANDING`], newcomers
//! are only held for [`SHORT`], so that the line drains.
//!
//! The line of a class is served in order of arrival, which is the shortest
//! remaining wait first. Serving the newest first was weighed: its losers are
//! held until near their deadline, which is what a caller can use least.

use medlarspur_lib::{ids::FlowId, time::Millis};
use std::{collections::VecDeque, net::Ipv4Addr};

/// The longest line of one class before one target, at one instance.
pub const LENGTH: usize = 64;
/// How long a line may be needed before it counts as standing:
/// two of the longest waits, so that a burst of a moment passes.
pub const STANDING: Millis = Millis(500);
/// How long newcomers are held while a line stands.
pub const SHORT: Millis = Millis(40);

/// Who wants to be let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Newcomer {
    /// The flow that it opens.
    pub flow: FlowId,
    /// Its address.
    pub caller: Ipv4Addr,
    /// Whether it or its network took more than its part lately.
    pub heavy: bool,
    /// Whether it comes back before it was asked to.
    pub early: bool,
}

/// An opening that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting {
    /// Who waits.
    pub who: Newcomer,
    /// When it goes to its target.
    pub until: Millis,
}

/// The openings of one class that wait for one target.
#[derive(Debug, Clone, Default)]
pub struct Line {
    waiting: VecDeque<Waiting>,
    busy: Option<Millis>,
}

impl Line {
    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The flows that wait.
    pub fn flows(&self) -> impl Iterator<Item = FlowId> {
        self.waiting.iter().map(|w| w.who.flow)
    }

    /// Puts an opening at the end if its wait is short enough and there is a
    /// place; gives back when it goes to its target.
    pub fn join(
        &mut self,
        now: Millis,
        who: Newcomer,
        delay: Millis,
        patience: Millis,
    ) -> Option<Millis> {
        let since = *self.busy.get_or_insert(now);
        let standing = now.since(since) >= STANDING;
        let patience = if standing { patience.min(SHORT) } else { patience };
        if delay > patience || self.waiting.len() >= LENGTH {
            return None;
        }
        let until = now + delay;
        self.waiting.push_back(Waiting { who, until });
        Some(until)
    }

    /// Takes note that the target has room to spare again.
    pub fn relax(&mut self) {
        self.busy = None;
    }

    /// Takes the opening that is next, if its time has come.
    pub fn take(&mut self, now: Millis) -> Option<Waiting> {
        self.waiting.pop_front_if(|next| next.until <= now)
    }

    /// Takes the opening that is next, whether its time has come or not.
    pub fn give_up(&mut self) -> Option<Waiting> {
        self.waiting.pop_front()
    }
}
