//! Handles repeated openings: a repetition runs no work twice, and retry storms are
//! bounded.
//!
//! After a failure every caller repeats at once. A caller repeats an opening that was not
//! answered within a second. A new decision could refuse it after its first copy went to a
//! target, and the answer *not run* would be false. [`DecisionCache`] returns the same
//! decision for the same flow. Callers that retry before the time they were given may use
//! only a fraction of what new callers use ([`RetryBudget`]). Without that bound the storm
//! sustains itself, and refusals continue at a load that fits.

use medlarspur_lib::{collections::Map, ids::FlowId, time::Millis};

/// Maximum number of entries of one generation: 64 s at 3,500 openings a second. A table of
/// 2^18 places holds as many; two of them are 13 MB.
const GENERATION_LEN: usize = 229_000;
/// Time for which a generation is filled. An entry is kept for one to two generations. The
/// last repetition of a common TCP stack comes after 63 s.
const GENERATION_AGE: Millis = Millis::secs(64);

/// The decision on a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It went to its target at this time.
    Admitted(Millis),
    /// It waits until this time at the latest.
    Waiting(Millis),
    /// It was refused until this time.
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
    /// Returns an empty cache with its full capacity allocated. A table that grows under
    /// load would stall the packet thread for milliseconds.
    pub fn new() -> DecisionCache {
        let empty = || Map::with_capacity_and_hasher(GENERATION_LEN, Default::default());
        DecisionCache { current: empty(), previous: empty(), generation_start: Millis(0) }
    }

    /// Returns the decision on the flow if it still holds.
    pub fn get(&self, now: Millis, flow: FlowId) -> Option<Decision> {
        let found = self.current.get(&flow).or_else(|| self.previous.get(&flow))?;
        match *found {
            Decision::Refused(until) if now >= until => None,
            decision => Some(decision),
        }
    }

    /// Stores the decision on the flow.
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

    /// Removes a flow that has ended and returns when it was admitted here.
    pub fn remove(&mut self, flow: FlowId) -> Option<Millis> {
        let current = self.current.remove(&flow);
        let previous = self.previous.remove(&flow);
        match current.or(previous)? {
            Decision::Admitted(at) => Some(at),
            Decision::Waiting(_) | Decision::Refused(_) => None,
        }
    }

    /// Returns the number of stored decisions.
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Returns whether no decision is stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Default for DecisionCache {
    fn default() -> DecisionCache {
        DecisionCache::new()
    }
}

/// Number of callers whose last refusal is stored.
const TRACKED_CALLERS: usize = 16_384;
/// Maximum number of saved early repetitions, and the number that a quiet service may
/// always admit at once.
const MAX_TOKENS: f64 = 20.0;

/// Limits early repetitions in proportion to new openings.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Last refused caller of each cell, and the time at which it may retry.
    retry_after: Box<[(u64, Millis)]>,
    tokens: f64,
}

impl RetryBudget {
    /// Returns a full budget.
    pub fn new() -> RetryBudget {
        RetryBudget {
            retry_after: vec![(0, Millis(0)); TRACKED_CALLERS].into_boxed_slice(),
            tokens: MAX_TOKENS,
        }
    }

    /// Stores the time at which a refused caller may retry.
    pub fn record_refusal(&mut self, key: u64, until: Millis) {
        self.retry_after[Self::cell(key)] = (key, until);
    }

    /// Returns whether the caller retries before its time.
    pub fn is_early(&self, now: Millis, key: u64) -> bool {
        let (known, until) = self.retry_after[Self::cell(key)];
        known == key && now < until
    }

    /// Returns whether the budget allows one more early repetition.
    pub fn has_tokens(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Counts an admitted opening. A new one adds `percent` of a repetition to the budget,
    /// an early repetition uses one up.
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
