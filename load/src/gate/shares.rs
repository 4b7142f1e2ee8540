//! An instance's share of a target's slots and connections.
//!
//! Handles saturation where every instance decides alone. Eight instances that each used a
//! whole slot of a target with two slots would overload it four times; with none each, it
//! would be idle. A share is therefore a *time average*: a [`TokenBucket`] fills at the
//! rate of the share and is charged for each admitted piece of work. Without it, a target's
//! backlog grows until callers no longer wait for their work, which still runs: hold times
//! grow while goodput falls.
//!
//! The bucket of short work fills at the [`AdmissionRate`], which follows the ends that are
//! seen. The bucket of long work fills at the instance's part of the slots and is charged
//! for the time that the work holds one; [`UploadDemand`] thins the openings out by the
//! targets' reports. [`ConnectionCount`] counts openings here less ends seen here *of any
//! flow*. A fabric that sprays packets delivers the end of a flow to any instance, so each
//! count is off by a random walk, and their sum is exact.

use medlarspur_lib::time::Millis;

/// Time for which an idle share accumulates, in milliseconds. In the model, callers were
/// refused by chance for 13–17 s after an overload with 100 ms and for 7–8 s with 200 ms.
/// In a burst of ten times the load, the median wait was 214 ms with 100 ms and 357 ms with
/// 200 ms.
const BURST_MS: f64 = 150.0;

/// A token bucket for the work that an instance may send to a target. Tokens have the unit
/// of the work's cost.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    min_burst: f64,
    tokens: f64,
    /// Cost of a piece of work on which the present debt is based.
    debt_cost: f64,
    at: Millis,
}

impl TokenBucket {
    /// Returns a full bucket. It can hold at least `min_burst` pieces of work.
    pub fn new(now: Millis, min_burst: f64) -> TokenBucket {
        TokenBucket { rate: 0.0, min_burst, tokens: f64::MAX, debt_cost: 0.0, at: now }
    }

    /// Adds tokens up to `now` at `rate` a millisecond, up to the capacity.
    pub fn refill(&mut self, now: Millis, rate: f64, cost: f64) {
        let span = now.since(self.at).0 as f64;
        self.at = now.max(self.at);
        self.rate = rate;
        self.tokens = (self.tokens + rate * span).min(self.capacity(cost));
    }

    /// Scales the debt of admitted work to the cost that is now known. Otherwise work
    /// admitted under an initial estimate that was far too high would block idle slots for
    /// the time that this estimate would have taken.
    pub fn reprice_debt(&mut self, cost: f64) {
        if self.tokens < 0.0 && self.debt_cost > 0.0 {
            self.tokens *= cost / self.debt_cost;
        }
        self.debt_cost = cost;
    }

    /// Charges one admitted piece of work.
    pub fn spend(&mut self, cost: f64) {
        self.tokens -= cost;
    }

    /// Returns whether work may be admitted now. With `spare_only` the bucket must be at
    /// least half full; otherwise it must not be in debt.
    pub fn can_spend(&self, cost: f64, spare_only: bool) -> bool {
        if spare_only { self.tokens >= self.capacity(cost) / 2.0 } else { self.tokens >= 0.0 }
    }

    /// Returns the time until work may be admitted, after everything that was charged.
    pub fn delay(&self) -> Millis {
        if self.tokens >= 0.0 {
            return Millis(0);
        }
        if self.rate <= 0.0 {
            return Millis(u64::MAX);
        }
        Millis((-self.tokens / self.rate).ceil() as u64)
    }

    /// Returns the used fraction of the capacity, from 0 to 1.
    pub fn used_fraction(&self, cost: f64) -> f64 {
        (1.0 - self.tokens / self.capacity(cost)).clamp(0.0, 1.0)
    }

    fn capacity(&self, cost: f64) -> f64 {
        (self.rate * BURST_MS).max(cost * self.min_burst)
    }
}

/// Half-life of the count of ends, in milliseconds. It covers some hundred ends at a few
/// hundred a second and still follows changes.
const HALF_LIFE: f64 = 1_000.0;
/// Flows per slot that are admitted while nothing is overloaded. A flow lasts longer than
/// its work holds a slot, by its round trips. With fewer, callers are refused by chance for
/// a long time after an overload.
const FREE_FLOWS: f64 = 2.5;
/// Work per slot, waiting work included, at which an overloaded target is kept. Some work
/// must wait, or slots would be idle until the next report, a second later.
pub(crate) const TARGET_LOAD: f64 = 10.0;
/// Work per slot below which slots are about to be idle.
pub(crate) const IDLE_LOAD: f64 = 3.0;
/// Ratio of admitted work to ended work while slots are about to be idle.
const PROBE_GAIN: f64 = 1.3;
/// Change of the admission rate per piece of work above or below [`TARGET_LOAD`]. Reports
/// lag by a second, in which a slot ends fifty short pieces of work, so a stronger
/// correction would oscillate.
const GAIN_PER_WORK: f64 = 0.01;
/// Minimum admission rate, as a fraction of the free rate. With nothing admitted nothing
/// would end, and the rate would never rise again.
const MIN_RATE_FRACTION: f64 = 0.1;
/// Number of successive updates with idle slots after which the limit is dropped.
const IDLE_TICKS: u8 = 2;

/// The rate at which short work is admitted: the rate at which such work ends.
///
/// Neither the time that work holds a slot nor the number of flows in progress is known
/// here. A load balancer that sees no answers can't separate work from round trips. Under a
/// spraying fabric an instance sees few ends of its own flows, so a limit on flows in
/// progress would follow a late and noisy estimate and oscillate. But while targets are
/// saturated, ends come at their capacity, whichever instance opened the flows, and each
/// instance sees its part of them under either fabric. That part is its share.
#[derive(Debug, Clone, Default)]
pub struct AdmissionRate {
    ended: f64,
    /// Time up to which the count of ends has decayed.
    at: Millis,
    is_limited: bool,
    /// Ratio of admitted work to ended work.
    gain: f64,
    /// Number of successive updates with idle slots.
    idle_ticks: u8,
}

impl AdmissionRate {
    /// Counts an end, whichever instance opened the flow.
    pub fn record_end(&mut self, now: Millis) {
        self.decay(now);
        self.ended += 1.0;
    }

    /// Adjusts the rate to the work per slot, waiting work included. Called once a second.
    /// `is_refusing` says that work is being refused.
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

    /// Returns the number of openings per millisecond and slot that this instance admits.
    /// `slots` is the total of the service, `hold` the duration of the work in
    /// milliseconds.
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

/// Interval between two reports of a target, in milliseconds.
pub(crate) const REPORT_INTERVAL_MS: f64 = 1_000.0;
/// Half-life of the count of openings, in milliseconds: several uploads long.
const DEMAND_HALF_LIFE: f64 = 5_000.0;

/// The rate of openings of long work for a target at this instance.
///
/// Long work outlasts the lag of reports, so a report that a target has capacity for two
/// more is useful. But all instances receive it at once, and each would admit two. An
/// instance assumes that the others see the same rate of openings, and admits each opening
/// with the probability that gives two in total.
#[derive(Debug, Clone, Default)]
pub struct UploadDemand {
    count: f64,
    /// Time up to which the count has decayed.
    at: Millis,
}

impl UploadDemand {
    /// Counts an opening.
    pub fn record_opening(&mut self, now: Millis) {
        let span = now.since(self.at).0 as f64;
        self.at = now;
        self.count = self.count * (-span / DEMAND_HALF_LIFE).exp2() + 1.0;
    }

    /// Returns the probability of admitting an opening at which all `instances` together
    /// admit about `capacity` openings until the next report.
    pub fn admit_probability(&self, capacity: f64, instances: u16) -> f64 {
        let rate = self.count * std::f64::consts::LN_2 / DEMAND_HALF_LIFE;
        let expected = rate * REPORT_INTERVAL_MS * f64::from(instances.max(1));
        (capacity / expected.max(1.0)).clamp(0.0, 1.0)
    }
}

/// Maximum difference between a target's report and the own count for the report to be
/// believed, as a fraction of its connections. Of 250 feeds that last an hour, 250 start
/// and end in an hour, so that a count is off by about 22 (the root of 500) after it. A
/// target that always reports zero is further off once it matters.
const PLAUSIBLE_DIFFERENCE: f64 = 0.3;
/// Fraction of the difference that one report corrects. It is small, so that a lagging
/// report does not make the count oscillate.
const CORRECTION: f64 = 0.1;
/// The same for a report that is not believed. Unanswered openings have no end that passes
/// here. Without any correction, their count would close a target forever after it shed
/// work for a while.
const IMPLAUSIBLE_CORRECTION: f64 = 0.01;
/// Time during which a new count follows the target's reports. An instance that has just
/// started has seen no openings and would fill the target a second time.
const WARMUP_TIME: Millis = Millis::secs(30);
/// Maximum utilization to which a report can raise the count. An endpoint that always
/// reports *full* must not close its target to all callers.
const MAX_REPORTED_UTILIZATION: f64 = 0.7;

/// This instance's part of the connections that a target holds.
#[derive(Debug, Clone)]
pub struct ConnectionCount {
    count: f64,
    started: Millis,
}

impl ConnectionCount {
    /// Returns an empty count that starts at `now`.
    pub fn new(now: Millis) -> ConnectionCount {
        ConnectionCount { count: 0.0, started: now }
    }

    /// Counts an opening.
    pub fn record_opening(&mut self) {
        self.count += 1.0;
    }

    /// Counts the end of a flow, whichever instance opened it.
    pub fn record_close(&mut self) {
        self.count -= 1.0;
    }

    /// Corrects the count by the target's report, as far as that is plausible.
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

    /// Returns the utilized fraction of this instance's share, from 0 to about 1.
    pub fn utilization(&self, limit: u32, instances: u16) -> f64 {
        let share = f64::from(limit) / f64::from(instances.max(1));
        if share <= 0.0 { 1.0 } else { self.count.max(0.0) / share }
    }
}
