//! Repetitions: a repeated opening costs no second run, and a storm of them is
//! bounded.
//!
//! Answers the storm after a failure, when every caller repeats at once. A
//! caller repeats an opening that was not answered in a second; decided anew,
//! it would be turned away after its first copy went to a target, and *not
//! run* would be false. [`Memory`] gives the same answer to the same flow. And
//! callers that come back before they were asked to may only take a part of
//! what new callers take ([`Budget`]); without it the storm holds itself up,
//! which one notices by refusals that go on at a load that fits.

use medlarspur_lib::{collections::Map, ids::FlowId, time::Millis};

/// Entries of one generation: 64 s of 3,500 openings a second. A table of
/// 2^18 places holds just so many; two of them are 13 MB.
const GENERATION: usize = 229_000;
/// How long a generation is filled; an entry is known for one to two of them.
/// The last repetition that a common TCP stack makes comes after 63 s.
const SPAN: Millis = Millis::secs(64);

/// What was decided for a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It went to its target at this time.
    Admitted(Millis),
    /// It waits until this time at the latest.
    Waiting(Millis),
    /// It was turned away, and asked to keep away until this time.
    Refused(Millis),
}

/// The decisions of the last minute, in bounded memory.
#[derive(Debug, Clone)]
pub struct Memory {
    young: Map<FlowId, Decision>,
    old: Map<FlowId, Decision>,
    start: Millis,
}

impl Memory {
    /// An empty memory with all its room, since a table that grows under load
    /// holds up the packet thread for milliseconds.
    pub fn new() -> Memory {
        let room = || Map::with_capacity_and_hasher(GENERATION, Default::default());
        Memory { young: room(), old: room(), start: Millis(0) }
    }

    /// The decision for the flow, if it still holds.
    pub fn find(&self, now: Millis, flow: FlowId) -> Option<Decision> {
        let found = self.young.get(&flow).or_else(|| self.old.get(&flow))?;
        match *found {
            Decision::Refused(until) if now >= until => None,
            decision => Some(decision),
        }
    }

    /// Remembers the decision for the flow.
    pub fn keep(&mut self, now: Millis, flow: FlowId, decision: Decision) {
        if now.since(self.start) >= SPAN || self.young.len() >= GENERATION {
            std::mem::swap(&mut self.young, &mut self.old);
            self.young.clear();
            self.start = now;
        }
        self.young.insert(flow, decision);
    }

    /// Forgets a flow that has ended and says when it was admitted here.
    pub fn end(&mut self, flow: FlowId) -> Option<Millis> {
        let young = self.young.remove(&flow);
        let old = self.old.remove(&flow);
        match young.or(old)? {
            Decision::Admitted(at) => Some(at),
            Decision::Waiting(_) | Decision::Refused(_) => None,
        }
    }

    /// How many decisions are remembered.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Default for Memory {
    fn default() -> Memory {
        Memory::new()
    }
}

/// Callers of which the last refusal is remembered.
const CALLERS: usize = 16_384;
/// Repetitions that a quiet service may always take at once.
const FLOOR: f64 = 20.0;

/// How many early repetitions are let in beside new openings.
#[derive(Debug, Clone)]
pub struct Budget {
    told: Box<[(u64, Millis)]>,
    tokens: f64,
}

impl Budget {
    /// An untouched budget.
    pub fn new() -> Budget {
        Budget { told: vec![(0, Millis(0)); CALLERS].into_boxed_slice(), tokens: FLOOR }
    }

    /// Remembers when a caller was asked to come back.
    pub fn told(&mut self, key: u64, until: Millis) {
        self.told[Self::place(key)] = (key, until);
    }

    /// Whether the caller comes back before it was asked to.
    pub fn early(&self, now: Millis, key: u64) -> bool {
        let (known, until) = self.told[Self::place(key)];
        known == key && now < until
    }

    /// Whether one more early repetition fits into the budget.
    pub fn allows(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Counts an admitted opening; `percent` of the new ones is saved up.
    pub fn admit(&mut self, early: bool, percent: u8) {
        if early {
            self.tokens = (self.tokens - 1.0).max(0.0);
        } else {
            self.tokens = (self.tokens + f64::from(percent) / 100.0).min(FLOOR);
        }
    }

    fn place(key: u64) -> usize {
        crate::random::mix(key) as usize & (CALLERS - 1)
    }
}

impl Default for Budget {
    fn default() -> Budget {
        Budget::new()
    }
}
