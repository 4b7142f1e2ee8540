//! Placing: how much new work each target should get.
//!
//! Answers a slow target, a cold start, a target that sheds or hangs, an
//! endpoint that lies, and all targets slow at once. The weights are advice to
//! the planner, which moves buckets slowly; admission bounds what a target
//! gets meanwhile. Four rules keep the advice harmless:
//!
//! - *TargetStats outweighs told.* What a target says of its load can only lower its
//!   weight, and only to [`MIN_REPORTED_FACTOR`]. If it could raise it, a target that
//!   always says *idle* would draw all work; if it could lower it freely, one
//!   that always says *full* would push its work onto the others.
//! - *Only beside the others.* Times count against the median of the service.
//!   When most look bad at once, the cause is not in them (a network, a
//!   database behind all) and taking any out overruns the rest: then nobody is.
//! - *Slow to move.* A weight falls by at most [`MAX_DECREASE`] and rises by at most
//!   [`MAX_INCREASE`] a second, and not at all for small differences. Without that
//!   every instance flees the slow target at once and comes back at once,
//!   which one notices as weights that swing with the period of the reports.
//! - *Never to zero for being bad.* Some work keeps coming, or a target that
//!   is well again would never be noticed. Only leaving ones get nothing.

use crate::opening::Report;
use medlarspur_lib::{bundle::TargetState, time::Millis};

/// The weight of a target with the full weight of the bundle.
pub const FULL_WEIGHT: u16 = 1000;
/// How often weights are worked out.
pub const WEIGHT_INTERVAL: Millis = Millis::secs(1);
/// The lowest factor that a target's own word can bring about. One liar among
/// four targets then leaves max/mean at 4/3.7 = 1.08, under the goal of 1.15 with
/// room for chance.
const MIN_REPORTED_FACTOR: f64 = 0.7;
/// The lowest factor that anything but leaving can bring about.
const MIN_FACTOR: f64 = 0.05;
/// The largest step down in a tick.
const MAX_DECREASE: f64 = 0.2;
/// The largest step up in a tick: from cold to full in 16 s.
const MAX_INCREASE: f64 = 0.05;
/// Where a target that is new to the service begins.
const INITIAL_FACTOR: f64 = 0.2;
/// How many times the median hold time is slow. The smoothed mean of 16
/// exponential times is off by 18 %, so twice is five deviations.
const SLOW_RATIO: f64 = 2.0;
/// How many times the median hold time bears out a target that says that it
/// is overloaded. Both together are taken in full. At 1.3, chance bore out a
/// liar among four targets now and then (max/mean 1.17).
const CONFIRMING_RATIO: f64 = 1.6;
/// How many times the median told load is overloaded.
const OVERLOADED_RATIO: f64 = 1.5;
/// How many deviations of an opening count must go unanswered to be no chance.
const CHANCE_DEVIATIONS: f64 = 3.5;
/// The same to bear out a target that says that it is overloaded.
const CONFIRMING_DEVIATIONS: f64 = 2.5;
/// How many openings make a part of answers that can be compared.
const MIN_OPENINGS: f64 = 5.0;
/// Below this factor a target looks bad.
const BAD_FACTOR: f64 = 0.7;
/// A target's word is forgotten after this.
const REPORT_MAX_AGE: Millis = Millis::secs(10);
/// Half-life of the counts of openings and answers, in milliseconds.
const HALF_LIFE: f64 = 15_000.0;
/// How much one hold time counts in the smoothed mean of a target.
const TARGET_SMOOTHING: f64 = 1.0 / 16.0;
/// The same for a service, which sees many times as many.
const SERVICE_SMOOTHING: f64 = 1.0 / 128.0;
/// How much longer than the mean one hold time may count. A caller whose
/// answer got lost stays a second longer; uncut, one such makes a target seem
/// three times as slow to an instance that sees one end a second.
const OUTLIER_FACTOR: f64 = 4.0;
/// How far the mean of a target moves towards that of all in a second; faster, a slow
/// target would not be noticed.
const CONVERGENCE: f64 = 0.05;
/// How the least mean is forgotten with each hold time, so that work which
/// has become longer for good is not taken for waiting for ever.
const LEAST_GROWTH: f64 = 1.0 + 1e-5;
/// How many hold times make a mean that can be compared.
const MIN_SAMPLES: u32 = 8;
/// How many hold times the first assumption is worth. Short ones end first, so
/// that the first one seen says little of the mean.
const INITIAL_WEIGHT: f64 = 2.0;

/// A smoothed mean of hold times in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct HoldTime {
    mean: f64,
    least: f64,
    samples: u32,
    smoothing: f64,
}

impl Default for HoldTime {
    fn default() -> HoldTime {
        HoldTime { mean: 0.0, least: f64::MAX, samples: 0, smoothing: TARGET_SMOOTHING }
    }
}

impl HoldTime {
    /// The mean over all targets of a service.
    pub fn of_service() -> HoldTime {
        HoldTime { smoothing: SERVICE_SMOOTHING, ..HoldTime::default() }
    }

    /// Takes in one hold time.
    pub fn add(&mut self, hold: Millis) {
        let mut hold = (hold.0 as f64).max(1.0);
        if self.samples >= MIN_SAMPLES {
            hold = hold.min(self.mean * OUTLIER_FACTOR);
        }
        self.samples = self.samples.saturating_add(1);
        let weight = self.smoothing.max(1.0 / f64::from(self.samples));
        self.mean += (hold - self.mean) * weight;
        if self.samples >= MIN_SAMPLES {
            self.least = (self.least * LEAST_GROWTH).min(self.mean);
        }
    }

    /// Moves the mean a bit towards that of all targets. Under a spraying
    /// fabric an instance sees few ends of each target; without this, what a
    /// target was like in a past burst holds its work back long after.
    pub fn converge(&mut self, service_mean: f64) {
        self.mean += (service_mean - self.mean) * CONVERGENCE;
    }

    /// How many times the least mean so far the present one is, or one.
    pub fn stretch(&self) -> f64 {
        if self.samples < MIN_SAMPLES { 1.0 } else { self.mean / self.least }
    }

    /// The least mean so far: how long a flow lasts that need not wait.
    pub fn least(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.least)
    }

    /// What to take for the mean when it was first taken to be `first`. Each
    /// hold time seen counts as much as [`INITIAL_WEIGHT`] of that, in their logarithms:
    /// the first may be wrong by three orders. Under a spraying fabric an
    /// instance sees the ends of few flows that it let in, and with `first`
    /// until enough were seen, it takes most of a minute to let in short
    /// uploads as fast as they end.
    pub fn estimate(&self, initial: f64) -> f64 {
        if self.samples >= MIN_SAMPLES {
            return self.mean;
        }
        if self.samples == 0 {
            return initial;
        }
        let seen = f64::from(self.samples);
        ((initial.ln() * INITIAL_WEIGHT + self.mean.ln() * seen) / (INITIAL_WEIGHT + seen)).exp()
    }

    /// The mean, once enough was seen.
    pub fn mean(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.mean)
    }
}

/// What is known of one target, and the factor that follows from it.
#[derive(Debug, Clone)]
pub struct TargetStats {
    opened: f64,
    established: f64,
    started: f64,
    ended: f64,
    reset: f64,
    at: Millis,
    report: Option<(Millis, Report)>,
    factor: f64,
}

impl TargetStats {
    /// A target about which nothing is known; `cold` if it is new to a
    /// service that was there before.
    pub fn new(is_new: bool) -> TargetStats {
        let factor = if is_new { INITIAL_FACTOR } else { 1.0 };
        TargetStats {
            opened: 0.0,
            established: 0.0,
            started: 0.0,
            ended: 0.0,
            reset: 0.0,
            at: Millis(0),
            report: None,
            factor,
        }
    }

    /// How much of its pace the target may have here while its buckets are
    /// still on their way elsewhere: they take tens of seconds, in which its
    /// callers would queue up at it. All of it, unless more than its own word
    /// speaks against it. Only for a target that says it is behind while the
    /// others have room: under a hashing fabric every target looks slow now and then,
    /// and those that had a burst's longest queue would be held back long after it.
    pub fn pace_factor(&self) -> f64 {
        (self.factor / MIN_REPORTED_FACTOR).min(1.0)
    }

    /// Counts an opening that went to the target; repetitions count, as they
    /// say that the first was not answered.
    pub fn record_opening(&mut self, now: Millis) {
        self.decay(now);
        self.opened += 1.0;
    }

    /// Counts a sign that the target answered an opening.
    pub fn record_established(&mut self, now: Millis) {
        self.decay(now);
        self.established += 1.0;
    }

    /// Counts a request that was let in.
    pub fn record_start(&mut self, now: Millis) {
        self.decay(now);
        self.started += 1.0;
    }

    /// Counts the end of a request, whoever let it in.
    pub fn record_end(&mut self, now: Millis) {
        self.decay(now);
        self.ended += 1.0;
    }

    /// Counts a flow that its caller reset.
    pub fn record_reset(&mut self, now: Millis) {
        self.decay(now);
        self.reset += 1.0;
    }

    /// Takes in what the target says of itself.
    pub fn record_report(&mut self, now: Millis, report: Report) {
        self.report = Some((now, report));
    }

    /// What the target said of itself lately.
    pub fn report(&self, now: Millis) -> Option<&Report> {
        let (at, report) = self.report.as_ref()?;
        (now.since(*at) < REPORT_MAX_AGE).then_some(report)
    }

    /// The part of openings here that something established here, if enough.
    fn established_ratio(&self) -> Option<f64> {
        (self.opened >= MIN_OPENINGS).then(|| self.established / self.opened)
    }

    /// How many requests end here for each that begins here, if enough do.
    fn end_ratio(&self) -> Option<f64> {
        (self.started >= MIN_OPENINGS).then(|| self.ended / self.started)
    }

    /// How much less often openings are answered than `usual`.
    fn established_factor(&self, usual: f64) -> f64 {
        shortfall(self.opened * usual, self.established, CHANCE_DEVIATIONS)
    }

    /// How much less often requests end than `usual`. A stuck target shows
    /// here before its hold times do, which are known only of what has ended.
    fn end_factor(&self, usual: f64, deviations: f64) -> f64 {
        shortfall(self.started * usual, self.ended, deviations)
    }

    /// The part of flows that did not end in a reset, unless it may be chance.
    fn reset_factor(&self) -> f64 {
        if self.reset > CHANCE_DEVIATIONS * self.opened.sqrt() && self.reset > self.opened / 2.0 {
            (1.0 - self.reset / (self.opened + self.reset)).max(MIN_FACTOR)
        } else {
            1.0
        }
    }

    fn decay(&mut self, now: Millis) {
        let span = now.since(self.at).0;
        if span == 0 {
            return;
        }
        self.at = now;
        let keep = (-(span as f64) / HALF_LIFE).exp2();
        self.opened *= keep;
        self.established *= keep;
        self.started *= keep;
        self.ended *= keep;
        self.reset *= keep;
    }
}

/// One target as [`update_weights`] needs it.
#[derive(Debug)]
pub struct TargetView<'a> {
    /// Whether the bundle lets it take new work.
    pub state: TargetState,
    /// Its weight in the bundle, in percent.
    pub weight: u16,
    /// How many slots it has.
    pub slots: u16,
    /// How long its work lately took, if known.
    pub hold: Option<f64>,
    /// What is known of it otherwise.
    pub stats: &'a mut TargetStats,
}

/// Works out the weights of a service's targets, in thousandths of a full one.
pub fn update_weights(now: Millis, balance: u8, targets: &mut [TargetView], weights: &mut [u16]) {
    let factors = target_factors(now, targets);
    let tolerance = 0.02 + 0.2 * (1.0 - f64::from(balance.min(100)) / 100.0);
    for ((target, wanted), weight) in targets.iter_mut().zip(factors).zip(weights) {
        let Some(wanted) = wanted else {
            *weight = 0;
            continue;
        };
        let factor = &mut target.stats.factor;
        let is_close = (wanted - *factor).abs() < tolerance && wanted < 1.0;
        if !is_close {
            *factor = wanted.clamp(*factor - MAX_DECREASE, *factor + MAX_INCREASE);
        }
        let full = f64::from(target.weight) / 100.0 * f64::from(FULL_WEIGHT);
        *weight = ((full * *factor).round() as u16).max(u16::from(target.weight > 0));
    }
}

/// Whether a target may get new work: the bundle's word, and its own if not
/// most say the same at once.
pub fn is_leaving(
    now: Millis,
    state: TargetState,
    stats: &TargetStats,
    trusts_draining: bool,
) -> bool {
    let draining = stats.report(now).is_some_and(|report| report.draining);
    state != TargetState::Active || trusts_draining && draining
}

/// Whether targets that say they drain are believed: not when most do.
pub fn is_draining_plausible(draining: usize, targets: usize) -> bool {
    draining * 2 < targets
}

/// The factor that each target should come to; none for a leaving one.
fn target_factors(now: Millis, targets: &mut [TargetView]) -> Vec<Option<f64>> {
    let draining = targets.iter().filter(|t| t.stats.report(now).is_some_and(|x| x.draining));
    let trusts_draining = is_draining_plausible(draining.count(), targets.len());
    let holds = median(targets.iter().filter_map(|t| t.hold));
    let loads = median(targets.iter().filter_map(|t| reported_load(now, t)));
    let answers = median(targets.iter().filter_map(|t| t.stats.established_ratio())).unwrap_or(0.0);
    let ends = median(targets.iter().filter_map(|t| t.stats.end_ratio())).unwrap_or(0.0);
    let medians = Medians { holds, loads, answers, ends };
    let mut factors = Vec::with_capacity(targets.len());
    for target in targets.iter_mut() {
        target.stats.decay(now);
        let is_leaving = is_leaving(now, target.state, target.stats, trusts_draining);
        factors.push((!is_leaving).then(|| target_factor(now, target, &medians)));
    }
    let staying = factors.iter().flatten().count();
    let bad = factors.iter().flatten().filter(|&&factor| factor < BAD_FACTOR).count();
    if bad * 2 > staying {
        for factor in factors.iter_mut().flatten() {
            *factor = 1.0;
        }
    }
    factors
}

/// The medians of a service, beside which each target is judged.
struct Medians {
    holds: Option<f64>,
    loads: Option<f64>,
    answers: f64,
    ends: f64,
}

fn target_factor(now: Millis, target: &TargetView, medians: &Medians) -> f64 {
    let mut factor = target.stats.established_factor(medians.answers) * target.stats.reset_factor();
    factor *= target.stats.end_factor(medians.ends, CHANCE_DEVIATIONS);
    let is_stuck = target.stats.end_factor(medians.ends, CONFIRMING_DEVIATIONS) < 1.0;
    let slowdown = match (target.hold, medians.holds) {
        (Some(hold), Some(median)) => hold / median,
        _ => 1.0,
    };
    let (reported, is_confirmed) =
        (reported_factor(now, target, medians.loads), is_stuck || slowdown > CONFIRMING_RATIO);
    if slowdown > SLOW_RATIO || is_confirmed && reported < 1.0 {
        factor /= slowdown.max(1.0);
    }
    factor *= if is_confirmed { reported } else { reported.max(MIN_REPORTED_FACTOR) };
    factor.clamp(MIN_FACTOR, 1.0)
}

/// The part of `expected` that was counted, unless it may be chance.
///
/// Under a fabric that sprays packets, an instance sees beginnings and ends of
/// different flows, and of some flows only one of them. So the test is for two
/// independent counts, and what is expected comes from the other targets.
fn shortfall(expected: f64, counted: f64, deviations: f64) -> f64 {
    let chance = deviations * (expected + counted).sqrt();
    if expected - counted > chance { counted / expected } else { 1.0 }
}

/// The factor that a target's own word asks for.
fn reported_factor(now: Millis, target: &TargetView, loads: Option<f64>) -> f64 {
    let Some(report) = target.stats.report(now) else { return 1.0 };
    if !report.healthy {
        return MIN_REPORTED_FACTOR;
    }
    match (reported_load(now, target), loads) {
        (Some(load), Some(median)) if load > 1.0 && load > median * OVERLOADED_RATIO => {
            median / load
        }
        _ => 1.0,
    }
}

/// Report work for each slot.
fn reported_load(now: Millis, target: &TargetView) -> Option<f64> {
    let report = target.stats.report(now)?;
    Some(f64::from(report.work) / f64::from(target.slots.max(1)))
}

/// The lower median.
pub(crate) fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    if values.is_empty() {
        return None;
    }
    values.sort_by(f64::total_cmp);
    Some(values[(values.len() - 1) / 2])
}
