//! Repetitions: a repeated opening costs no second run, and a storm of them is
//! bounded.
//!
//! Answers the storm after a failure, when every caller repeats at once. A
//! caller repeats an opening that was not answered in a second; decided anew,
//! it would be turned away after its first copy went to a target, and *not
//! run* would be false. [`DecisionCache`] gives the same answer to the same flow. And
//! callers that come back before they were asked to may only take a part of
//! what new callers take ([`RetryBudget`]); without it the storm holds itself up,
//! which one notices by refusals that go on at a load that fits.

use medlarspur_lib::{collections::Map, ids::FlowId, time::Millis};

/// Entries of one generation: 64 s of 3,500 openings a second. A table of
/// 2^18 places holds just so many; two of them are 13 MB.
const GENERATION_LEN: usize = 229_000;
/// How long a generation is filled; an entry is known for one to two of them.
/// The last repetition that a common TCP stack makes comes after 63 s.
const GENERATION_AGE: Millis = Millis::secs(64);

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
pub struct DecisionCache {
    current: Map<FlowId, Decision>,
    previous: Map<FlowId, Decision>,
    generation_start: Millis,
}

impl DecisionCache {
    /// An empty memory with all its room, since a table that grows under load
    /// holds up the packet thread for milliseconds.
    pub fn new() -> DecisionCache {
        let empty = || Map::with_capacity_and_hasher(GENERATION_LEN, Default::default());
        DecisionCache { current: empty(), previous: empty(), generation_start: Millis(0) }
    }

    /// The decision for the flow, if it still holds.
    pub fn get(&self, now: Millis, flow: FlowId) -> Option<Decision> {
        let found = self.current.get(&flow).or_else(|| self.previous.get(&flow))?;
        match *found {
            Decision::Refused(until) if now >= until => None,
            decision => Some(decision),
        }
    }

    /// Remembers the decision for the flow.
    pub fn insert(&mut self, now: Millis, flow: FlowId, decision: Decision) {
        if now.since(self.generation_start) >= GENERATION_AGE
            || self.current.len() >= GENERATION_LEN
        {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.clear();
            self.generation_start = now;
        }
        self.current.insert(flow, decision);
    }

    /// Forgets a flow that has ended and says when it was admitted here.
    pub fn remove(&mut self, flow: FlowId) -> Option<Millis> {
        let current = self.current.remove(&flow);
        let previous = self.previous.remove(&flow);
        match current.or(previous)? {
            Decision::Admitted(at) => Some(at),
            Decision::Waiting(_) | Decision::Refused(_) => None,
        }
    }

    /// How many decisions are remembered.
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Default for DecisionCache {
    fn default() -> DecisionCache {
        DecisionCache::new()
    }
}

/// Callers of which the last refusal is remembered.
const TRACKED_CALLERS: usize = 16_384;
/// Repetitions that a quiet service may always take at once.
const MAX_TOKENS: f64 = 20.0;

/// How many early repetitions are let in beside new openings.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    retry_after: Box<[(u64, Millis)]>,
    tokens: f64,
}

impl RetryBudget {
    /// An untouched budget.
    pub fn new() -> RetryBudget {
        RetryBudget {
            retry_after: vec![(0, Millis(0)); TRACKED_CALLERS].into_boxed_slice(),
            tokens: MAX_TOKENS,
        }
    }

    /// Remembers when a caller was asked to come back.
    pub fn record_refusal(&mut self, key: u64, until: Millis) {
        self.retry_after[Self::cell(key)] = (key, until);
    }

    /// Whether the caller comes back before it was asked to.
    pub fn is_early(&self, now: Millis, key: u64) -> bool {
        let (known, until) = self.retry_after[Self::cell(key)];
        known == key && now < until
    }

    /// Whether one more early repetition fits into the budget.
    pub fn has_tokens(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Counts an admitted opening; `percent` of the new ones is saved up.
    pub fn record_admission(&mut self, is_early: bool, percent: u8) {
        if is_early {
            self.tokens = (self.tokens - 1.0).max(0.0);
        } else {
            self.tokens = (self.tokens + f64::from(percent) / 100.0).min(MAX_TOKENS);
        }
    }

    fn cell(key: u64) -> usize {
        crate::random::mix(key) as usize & (TRACKED_CALLERS - 1)
    }
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new()
    }
}
