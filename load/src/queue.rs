//! Waiting: bounded, aware of deadlines, never a standing queue.
//!
//! Answers a short burst: work that a target can take within a moment is held
//! rather than turned away. What goes wrong without bounds: the queue fills
//! with callers that have given up, everybody waits the longest wait and the
//! work that comes out is done for nobody; one notices a p50 wait at the
//! patience of the callers. Three bounds prevent it. The wait of an opening is
//! known when it comes (the ledger says when the target has room), so what
//! would wait too long is turned away *then*, not later. The line has a fixed
//! length. And once a line has stood for [`STANDING`], newcomers are only held
//! for [`SHORT`], so that it drains.
//!
//! The line of a class is served in order of arrival, which is the shortest
//! remaining wait first. Serving the newest first was weighed: its losers are
//! held until near their deadline, which is what a caller can use least.

use medlarspur_lib::{ids::FlowId, time::Millis};
use std::{collections::VecDeque, net::Ipv4Addr};

/// The longest line of one class before one target, at one instance.
pub const LENGTH: usize = 64;
/// How long a line may go without being empty before it counts as standing:
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
    /// When it came.
    pub since: Millis,
    /// When it is given up.
    pub until: Millis,
}

/// The openings of one class that wait for one target.
#[derive(Debug, Clone, Default)]
pub struct Line {
    waiting: VecDeque<Waiting>,
    busy: Option<Millis>,
}

impl Line {
    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// How long a newcomer may be held now.
    pub fn patience(&self, now: Millis, patience: Millis) -> Millis {
        let standing = self.busy.is_some_and(|since| now.since(since) >= STANDING);
        if standing { patience.min(SHORT) } else { patience }
    }

    /// Puts an opening at the end if its wait is short enough and there is a
    /// place; gives back when it will be decided at the latest.
    pub fn join(
        &mut self,
        now: Millis,
        who: Newcomer,
        delay: Millis,
        patience: Millis,
    ) -> Option<Millis> {
        let patience = self.patience(now, patience);
        if delay > patience || self.waiting.len() >= LENGTH {
            return None;
        }
        let until = now + patience;
        self.busy.get_or_insert(now);
        self.waiting.push_back(Waiting { who, since: now, until });
        Some(until)
    }

    /// The flows that wait.
    pub fn flows(&self) -> impl Iterator<Item = FlowId> {
        self.waiting.iter().map(|w| w.who.flow)
    }

    /// The opening that is next.
    pub fn head(&self) -> Option<&Waiting> {
        self.waiting.front()
    }

    /// Takes the opening that is next.
    pub fn take(&mut self) -> Option<Waiting> {
        let next = self.waiting.pop_front();
        if self.waiting.is_empty() {
            self.busy = None;
        }
        next
    }
}
