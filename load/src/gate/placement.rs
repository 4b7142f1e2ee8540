//! Weights that say how much new work each target should get.
//!
//! Handles a slow target, a cold start, a target that sheds or hangs, a report endpoint
//! that is wrong, and all targets slow at once. The weights are advice for the planner,
//! which moves buckets slowly; admission limits what a target gets meanwhile. Four rules
//! keep wrong advice harmless:
//!
//! - *Observations outweigh reports.* A target's report of its load can only lower its
//!   weight, and only to `MIN_REPORTED_FACTOR`. If it could raise the weight, a target
//!   that always reports *idle* would attract all work. If it could lower it freely, one
//!   that always reports *full* would push its work onto the others.
//! - *Targets are compared with each other.* Times count relative to the median of the
//!   service. When most targets look bad at once, the cause lies elsewhere (a network, a
//!   database behind all of them), and removing some would overload the rest. Then none is
//!   removed.
//! - *Weights change slowly.* A weight falls by at most `MAX_DECREASE` and rises by at
//!   most `MAX_INCREASE` a second, and does not change for small differences. Otherwise
//!   all instances would leave a slow target at once and return at once, and the weights
//!   would oscillate with the period of the reports.
//! - *A bad target keeps some work.* Otherwise its recovery would go unnoticed. Only a
//!   leaving target gets none.

use super::opening::LoadReport;
use medlarspur_lib::{bundle::TargetState, time::Millis};

/// Weight of a target that has the full weight of the bundle.
pub const FULL_WEIGHT: u16 = 1000;
/// Interval between two updates of the weights.
pub const WEIGHT_INTERVAL: Millis = Millis::secs(1);
/// Lowest factor that a target's own report can cause. With one wrong report among four
/// targets, the maximum over the mean is 4/3.7 = 1.08, which leaves room for chance below
/// the objective of 1.15.
const MIN_REPORTED_FACTOR: f64 = 0.7;
/// Lowest factor of a target that is not leaving.
const MIN_FACTOR: f64 = 0.05;
/// Maximum decrease of a factor per update.
const MAX_DECREASE: f64 = 0.2;
/// Maximum increase of a factor per update: from cold to full in 16 s.
const MAX_INCREASE: f64 = 0.05;
/// Initial factor of a target that is new to the service.
const INITIAL_FACTOR: f64 = 0.2;
/// Multiple of the median hold time above which a target is slow. The smoothed mean of 16
/// exponential times deviates by 18 %, so twice is five deviations.
const SLOW_RATIO: f64 = 2.0;
/// Multiple of the median hold time that confirms a target's report that it is overloaded.
/// A confirmed report is applied in full. At 1.3, chance confirmed a wrong report among
/// four targets now and then (maximum over mean 1.17).
const CONFIRMING_RATIO: f64 = 1.6;
/// Multiple of the median reported load above which a target is overloaded.
const OVERLOADED_RATIO: f64 = 1.5;
/// Number of standard deviations by which a count must be too low to rule out chance.
const CHANCE_DEVIATIONS: f64 = 3.5;
/// The same to confirm a target's report that it is overloaded.
const CONFIRMING_DEVIATIONS: f64 = 2.5;
/// Minimum number of openings for a comparable ratio.
const MIN_OPENINGS: f64 = 5.0;
/// Factor below which a target looks bad.
const BAD_FACTOR: f64 = 0.7;
/// Age at which a target's report is ignored.
const REPORT_MAX_AGE: Millis = Millis::secs(10);
/// Half-life of the counts of openings and answers, in milliseconds.
const HALF_LIFE: f64 = 15_000.0;
/// Weight of one hold time in the smoothed mean of a target.
const TARGET_SMOOTHING: f64 = 1.0 / 16.0;
/// The same for a service, which sees many times as many.
const SERVICE_SMOOTHING: f64 = 1.0 / 128.0;
/// Maximum of one hold time, as a multiple of the mean. A caller whose answer was lost
/// stays one second longer. Without this bound, one such caller makes a target seem three
/// times as slow to an instance that sees one end a second.
const OUTLIER_FACTOR: f64 = 4.0;
/// Fraction by which the mean of a target moves towards that of the service per second.
/// With a larger one, a slow target would not be noticed.
const CONVERGENCE: f64 = 0.05;
/// Factor by which the least mean grows with each hold time, so that work that has become
/// longer permanently is not counted as waiting forever.
const LEAST_GROWTH: f64 = 1.0 + 1e-5;
/// Minimum number of hold times for a comparable mean.
const MIN_SAMPLES: u32 = 8;
/// Weight of the initial assumption, in hold times. Short ones end first, so the first one
/// seen says little about the mean.
const INITIAL_WEIGHT: f64 = 2.0;

/// A smoothed mean of hold times, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct HoldTime {
    mean: f64,
    /// Lowest mean so far. It grows slowly, by [`LEAST_GROWTH`].
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
    /// Returns an empty mean over all targets of a service.
    pub fn of_service() -> HoldTime {
        HoldTime { smoothing: SERVICE_SMOOTHING, ..HoldTime::default() }
    }

    /// Adds one hold time.
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

    /// Moves the mean towards that of the service. Under a spraying fabric an instance sees
    /// few ends of each target. Without this step, the mean of a past burst would hold back
    /// a target's work for a long time.
    pub fn converge(&mut self, service_mean: f64) {
        self.mean += (service_mean - self.mean) * CONVERGENCE;
    }

    /// Returns the ratio of the mean to the least mean so far, or 1 with too few samples.
    pub fn stretch(&self) -> f64 {
        if self.samples < MIN_SAMPLES { 1.0 } else { self.mean / self.least }
    }

    /// Returns the least mean so far: the duration of a flow that does not wait.
    pub fn least(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.least)
    }

    /// Returns the mean, or an estimate that starts from `initial` while samples are few.
    ///
    /// `initial` counts as much as `INITIAL_WEIGHT` hold times. The average is taken over
    /// logarithms, because `initial` may be wrong by three orders of magnitude. Under a
    /// spraying fabric an instance sees the ends of few flows that it admitted. If it used
    /// `initial` until it had enough samples, it would take most of a minute to admit short
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

    /// Returns the mean if there are enough samples.
    pub fn mean(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.mean)
    }
}

/// Observations of one target, and the factor derived from them.
#[derive(Debug, Clone)]
pub struct TargetStats {
    opened: f64,
    established: f64,
    started: f64,
    ended: f64,
    reset: f64,
    /// Time up to which the counts have decayed.
    at: Millis,
    /// The last report and the time of its arrival.
    report: Option<(Millis, LoadReport)>,
    factor: f64,
}

impl TargetStats {
    /// Returns empty statistics. `is_new` says that the target is new to a service that
    /// existed before.
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

    /// Returns the fraction of its admission rate that a target may use here until its
    /// buckets have moved, which takes tens of seconds in which its callers would queue up.
    /// It is 1 unless more than the target's own report speaks against it.
    ///
    /// Apply it only to a target that reports a backlog while the others have capacity.
    /// Under a hashing fabric every target looks slow now and then, and targets with the
    /// longest queue of a burst would be held back long after it.
    pub fn pace_factor(&self) -> f64 {
        (self.factor / MIN_REPORTED_FACTOR).min(1.0)
    }

    /// Counts an opening sent to the target. Repetitions count too, since they show that
    /// the first packet was not answered.
    pub fn record_opening(&mut self, now: Millis) {
        self.decay(now);
        self.opened += 1.0;
    }

    /// Counts a sign that the target answered an opening.
    pub fn record_established(&mut self, now: Millis) {
        self.decay(now);
        self.established += 1.0;
    }

    /// Counts an admitted request.
    pub fn record_start(&mut self, now: Millis) {
        self.decay(now);
        self.started += 1.0;
    }

    /// Counts the end of a request, whichever instance admitted it.
    pub fn record_end(&mut self, now: Millis) {
        self.decay(now);
        self.ended += 1.0;
    }

    /// Counts a flow that its caller reset.
    pub fn record_reset(&mut self, now: Millis) {
        self.decay(now);
        self.reset += 1.0;
    }

    /// Stores the target's report.
    pub fn record_report(&mut self, now: Millis, report: LoadReport) {
        self.report = Some((now, report));
    }

    /// Returns the target's report if it is recent.
    pub fn report(&self, now: Millis) -> Option<&LoadReport> {
        let (at, report) = self.report.as_ref()?;
        (now.since(*at) < REPORT_MAX_AGE).then_some(report)
    }

    /// Returns the fraction of openings here that were answered, with enough openings.
    fn established_ratio(&self) -> Option<f64> {
        (self.opened >= MIN_OPENINGS).then(|| self.established / self.opened)
    }

    /// Returns the number of requests that end here for each that starts here, with enough
    /// of them.
    fn end_ratio(&self) -> Option<f64> {
        (self.started >= MIN_OPENINGS).then(|| self.ended / self.started)
    }

    /// Returns by which factor openings are answered less often than `usual`.
    fn established_factor(&self, usual: f64) -> f64 {
        shortfall(self.opened * usual, self.established, CHANCE_DEVIATIONS)
    }

    /// Returns by which factor requests end less often than `usual`. A stuck target shows
    /// here before its hold times show it, since these are known only for ended work.
    fn end_factor(&self, usual: f64, deviations: f64) -> f64 {
        shortfall(self.started * usual, self.ended, deviations)
    }

    /// Returns the fraction of flows that did not end in a reset, or 1 if the resets may be
    /// chance.
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

/// A target, as [`update_weights`] needs it.
#[derive(Debug)]
pub struct TargetView<'a> {
    /// Whether the bundle lets it take new work.
    pub state: TargetState,
    /// Its weight in the bundle, in percent.
    pub weight: u16,
    /// Number of slots.
    pub slots: u16,
    /// Recent hold time in milliseconds, if known.
    pub hold: Option<f64>,
    /// Observations of the target.
    pub stats: &'a mut TargetStats,
}

/// Updates the weights of a service's targets, in thousandths of a full weight.
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

/// Returns whether a target must not get new work: because the bundle says so, or because
/// it reports that it is draining and such reports are trusted.
pub fn is_leaving(
    now: Millis,
    state: TargetState,
    stats: &TargetStats,
    trusts_draining: bool,
) -> bool {
    let draining = stats.report(now).is_some_and(|report| report.draining);
    state != TargetState::Active || trusts_draining && draining
}

/// Returns whether reports of draining are plausible: not if most targets send them.
pub fn is_draining_plausible(draining: usize, targets: usize) -> bool {
    draining * 2 < targets
}

/// Returns the factor that each target should reach; `None` for a leaving one.
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

/// Medians of a service, with which each target is compared.
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

/// Returns `counted` as a fraction of `expected`, or 1 if the difference may be chance.
///
/// Under a fabric that sprays packets, an instance sees starts and ends of different flows,
/// and only one of them for some flows. The test therefore treats them as two independent
/// counts, and `expected` comes from the other targets.
fn shortfall(expected: f64, counted: f64, deviations: f64) -> f64 {
    let chance = deviations * (expected + counted).sqrt();
    if expected - counted > chance { counted / expected } else { 1.0 }
}

/// Returns the factor that follows from the target's own report.
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

/// Returns the reported work per slot.
fn reported_load(now: Millis, target: &TargetView) -> Option<f64> {
    let report = target.stats.report(now)?;
    Some(f64::from(report.work) / f64::from(target.slots.max(1)))
}

/// Returns the lower median.
pub(crate) fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    if values.is_empty() {
        return None;
    }
    values.sort_by(f64::total_cmp);
    Some(values[(values.len() - 1) / 2])
}
