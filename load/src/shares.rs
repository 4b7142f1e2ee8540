//! An instance's share of a target's slots and connections.
//!
//! Answers saturation where every instance decides alone. Eight instances
//! stand before a target with two slots: a whole slot each would overrun it
//! four times, none each would leave it idle. A share is therefore a *time
//! average*: a [`TokenBucket`] earns at the rate of the share and pays for each
//! admitted work. Without it a target's load_per_slot grows until callers give up on
//! work that then runs for nobody; one notices hold times that grow while
//! goodput falls.
//!
//! Short work earns by [`AdmissionRate`], which follows the ends that come. Long work
//! earns its part of the slots and pays the time that such work holds one;
//! [`UploadDemand`] thins it out by what targets say. [`ConnectionCount`] counts openings
//! here less ends seen here *of any flow*: a fabric that sprays packets shows
//! the end of a flow to any instance, so each count is off by a random walk,
//! and their sum is exact.

use medlarspur_lib::time::Millis;

/// For how many milliseconds a share may be saved up while nothing comes. In
/// the model, 100 ms turned callers away by chance for 13–17 s after an
/// overload where 200 ms did for 7–8 s, and a burst of ten times waited for
/// 214 ms at the median with 100 ms and 357 ms with 200 ms.
const BURST_MS: f64 = 150.0;

/// What an instance may still spend on a target, in the unit of its costs.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    min_burst: f64,
    tokens: f64,
    debt_cost: f64,
    at: Millis,
}

impl TokenBucket {
    /// An untouched ledger that may at once spend `depth` pieces of work.
    pub fn new(now: Millis, min_burst: f64) -> TokenBucket {
        TokenBucket { rate: 0.0, min_burst, tokens: f64::MAX, debt_cost: 0.0, at: now }
    }

    /// Earns up to `now` at `rate` a millisecond, keeping at most the savings.
    pub fn refill(&mut self, now: Millis, rate: f64, cost: f64) {
        let span = now.since(self.at).0 as f64;
        self.at = now.max(self.at);
        self.rate = rate;
        self.tokens = (self.tokens + rate * span).min(self.capacity(cost));
    }

    /// Reckons what work that was let in still owes by what such work is now
    /// known to cost. Otherwise work let in at a first assumption that was far
    /// too high keeps idle slots closed for as long as that would have taken.
    pub fn reprice_debt(&mut self, cost: f64) {
        if self.tokens < 0.0 && self.debt_cost > 0.0 {
            self.tokens *= cost / self.debt_cost;
        }
        self.debt_cost = cost;
    }

    /// Pays for one admitted piece of work.
    pub fn spend(&mut self, cost: f64) {
        self.tokens -= cost;
    }

    /// Whether work may be let in now. Scarce work only gets what is left
    /// over: the upper half of the savings.
    pub fn can_spend(&self, cost: f64, spare_only: bool) -> bool {
        if spare_only { self.tokens >= self.capacity(cost) / 2.0 } else { self.tokens >= 0.0 }
    }

    /// How long until work may be let in, after all that was paid for.
    pub fn delay(&self) -> Millis {
        if self.tokens >= 0.0 {
            return Millis(0);
        }
        if self.rate <= 0.0 {
            return Millis(u64::MAX);
        }
        Millis((-self.tokens / self.rate).ceil() as u64)
    }

    /// The part of the savings that is spent, from 0 to 1.
    pub fn used_fraction(&self, cost: f64) -> f64 {
        (1.0 - self.tokens / self.capacity(cost)).clamp(0.0, 1.0)
    }

    fn capacity(&self, cost: f64) -> f64 {
        (self.rate * BURST_MS).max(cost * self.min_burst)
    }
}

/// Half-life of the count of ends, in milliseconds: long enough to see some
/// hundred ends at a few hundred a second, short enough to follow a change.
const HALF_LIFE: f64 = 1_000.0;
/// How many flows for each slot are let in while nothing is overloaded. A flow
/// lasts longer than its work holds a slot, by its round trips; with fewer, callers are
/// turned away by chance for long after an overload.
const FREE_FLOWS: f64 = 2.5;
/// Work for each slot, work that waits included, that an overloaded target is
/// kept at. Some must wait, or slots idle while reports are a second old.
pub(crate) const TARGET_LOAD: f64 = 10.0;
/// Below this, slots are about to idle.
pub(crate) const IDLE_LOAD: f64 = 3.0;
/// How much more than what ends is let in then.
const PROBE_GAIN: f64 = 1.3;
/// How much less is let in for each piece of work above the goal. Reports lag
/// by a second, in which a slot ends fifty short pieces of work, so that a
/// stronger correction swings.
const GAIN_PER_WORK: f64 = 0.01;
/// The least that is let in, as a part of the free rate: with nothing let in,
/// nothing would end, and the pace would never rise again.
const MIN_RATE_FRACTION: f64 = 0.1;
/// How many ticks in a row slots must idle for the limit to go.
const IDLE_TICKS: u8 = 2;

/// How fast short work is let in: as fast as such work ends.
///
/// Neither the time that work holds a slot nor the number of flows in progress
/// is known here: an edge that sees no answers can't tell work from round
/// trips, and under a spraying fabric an instance sees few ends of its own
/// flows, so a limit on flows in progress follows a late and noisy estimate
/// and swings. But while targets are
/// saturated, ends come at their capacity, whoever opened the flows; and each
/// instance sees its part of them under either fabric. That part is its share.
#[derive(Debug, Clone, Default)]
pub struct AdmissionRate {
    ended: f64,
    at: Millis,
    is_limited: bool,
    gain: f64,
    idle_ticks: u8,
}

impl AdmissionRate {
    /// Counts an end, whoever opened the flow.
    pub fn record_end(&mut self, now: Millis) {
        self.decay(now);
        self.ended += 1.0;
    }

    /// Adjusts to the work for each slot, work that waits included; called
    /// once a second. `busy` says that work is being turned away.
    pub fn adjust(&mut self, now: Millis, load_per_slot: f64, is_refusing: bool) {
        self.decay(now);
        self.idle_ticks =
            if load_per_slot < IDLE_LOAD / 2.0 { self.idle_ticks.saturating_add(1) } else { 0 };
        if is_refusing || load_per_slot > TARGET_LOAD {
            self.is_limited = true;
        }
        if self.idle_ticks >= IDLE_TICKS {
            self.is_limited = false;
        }
        self.gain = if load_per_slot < IDLE_LOAD {
            PROBE_GAIN
        } else {
            1.0 + ((TARGET_LOAD - load_per_slot) * GAIN_PER_WORK).clamp(-0.3, 0.05)
        };
    }

    /// Openings a millisecond that this instance lets in for each slot, of
    /// `slots` in the service and work that lasts `hold`.
    pub fn rate(&self, slots: u32, hold: f64, instances: u16) -> f64 {
        let free = FREE_FLOWS / hold / f64::from(instances.max(1));
        if !self.is_limited {
            return free;
        }
        let ends = self.ended * std::f64::consts::LN_2 / HALF_LIFE;
        (ends * self.gain / f64::from(slots.max(1))).clamp(free * MIN_RATE_FRACTION, free)
    }

    fn decay(&mut self, now: Millis) {
        let span = now.since(self.at).0;
        if span > 0 {
            self.at = now;
            self.ended *= (-(span as f64) / HALF_LIFE).exp2();
        }
    }
}

/// How often a target is asked, in milliseconds.
pub(crate) const REPORT_INTERVAL_MS: f64 = 1_000.0;
/// Half-life of the count of openings, in milliseconds: some uploads long.
const DEMAND_HALF_LIFE: f64 = 5_000.0;

/// How many openings of long work ask for a target here.
///
/// Long work outlasts the lag of reports, so what a target says is of use: it
/// has room for two more. But all instances hear that at once, and each would
/// let in two. Taking the others to be asked as often as itself, an instance
/// lets each opening in with the chance that makes two of all of them.
#[derive(Debug, Clone, Default)]
pub struct UploadDemand {
    count: f64,
    at: Millis,
}

impl UploadDemand {
    /// Counts an opening.
    pub fn record_opening(&mut self, now: Millis) {
        let span = now.since(self.at).0 as f64;
        self.at = now;
        self.count = self.count * (-span / DEMAND_HALF_LIFE).exp2() + 1.0;
    }

    /// The chance with which to let one in, so that about `room` get in at all
    /// `instances` together until the target speaks again.
    pub fn admit_probability(&self, capacity: f64, instances: u16) -> f64 {
        let rate = self.count * std::f64::consts::LN_2 / DEMAND_HALF_LIFE;
        let expected = rate * REPORT_INTERVAL_MS * f64::from(instances.max(1));
        (capacity / expected.max(1.0)).clamp(0.0, 1.0)
    }
}

/// How far a target's word may be from the own count to be believed, as a
/// part of its connections. Of 250 feeds that last an hour, 250 begin and end in
/// an hour, so that a count is off by about 22 (the root of 500) after it; a
/// target that always says zero is farther off once it matters.
const PLAUSIBLE_DIFFERENCE: f64 = 0.3;
/// How much of the difference one report corrects, so that a lagging report
/// cannot make the count swing.
const CORRECTION: f64 = 0.1;
/// The same if it is not believed. Openings that nobody answered have no end
/// that passes here; what they left would close a target that shed for a while
/// for ever.
const IMPLAUSIBLE_CORRECTION: f64 = 0.01;
/// How long a new count takes a target's word for it: an instance that just
/// started has seen no openings and would fill the target a second time.
const WARMUP_TIME: Millis = Millis::secs(30);
/// The part of the room up to which a report can raise the count. One whose endpoint always says
/// *full* must not be closed to all by that.
const MAX_REPORTED_UTILIZATION: f64 = 0.7;

/// This instance's part of the connections that a target holds.
#[derive(Debug, Clone)]
pub struct ConnectionCount {
    count: f64,
    started: Millis,
}

impl ConnectionCount {
    /// Starts to count at `now`.
    pub fn new(now: Millis) -> ConnectionCount {
        ConnectionCount { count: 0.0, started: now }
    }

    /// Counts an opening.
    pub fn record_opening(&mut self) {
        self.count += 1.0;
    }

    /// Counts the end of a flow, whoever opened it.
    pub fn record_close(&mut self) {
        self.count -= 1.0;
    }

    /// Takes in what the target says, as far as it can be true.
    pub fn reconcile(&mut self, now: Millis, connections: u32, limit: u32, instances: u16) {
        let reported = f64::from(connections) / f64::from(instances.max(1));
        let share = f64::from(limit) / f64::from(instances.max(1));
        let raised = reported.min(share * MAX_REPORTED_UTILIZATION);
        if now.since(self.started) < WARMUP_TIME {
            self.count = self.count.max(raised);
            return;
        }
        let corrected = if reported < self.count { reported } else { raised.max(self.count) };
        let is_plausible = (corrected - self.count).abs() <= share * PLAUSIBLE_DIFFERENCE;
        let step = if is_plausible { CORRECTION } else { IMPLAUSIBLE_CORRECTION };
        self.count += (corrected - self.count) * step;
    }

    /// The part of this instance's room that is taken, from 0 to about 1.
    pub fn utilization(&self, limit: u32, instances: u16) -> f64 {
        let share = f64::from(limit) / f64::from(instances.max(1));
        if share <= 0.0 { 1.0 } else { self.count.max(0.0) / share }
    }
}
