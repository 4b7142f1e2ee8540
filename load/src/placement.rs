//! Placing: how much new work each target should get.
//!
//! Answers a slow target, a cold start, a target that sheds or hangs, an
//! endpoint that lies, and all targets slow at once. The weights are advice to
//! the planner, which moves buckets slowly; admission bounds what a target
//! gets meanwhile. Four rules keep the advice harmless:
//!
//! - *Seen outweighs told.* What a target says of its load can only lower its
//!   weight, and only to [`TOLD_FLOOR`]. If it could raise it, a target that
//!   always says *idle* would draw all work; if it could lower it freely, one
//!   that always says *full* would push its work onto the others.
//! - *Only beside the others.* Times count against the median of the service.
//!   When most look bad at once, the cause is not in them (a network, a
//!   database behind all) and taking any out overruns the rest: then nobody is.
//! - *Slow to move.* A weight falls by at most [`FALL`] and rises by at most
//!   [`RISE`] a second, and not at all for small differences. Without that
//!   every instance flees the slow target at once and comes back at once,
//!   which one notices as weights that swing with the period of the reports.
//! - *Never to zero for being bad.* Some work keeps coming, or a target that
//!   is well again would never be noticed. Only leaving ones get nothing.

use crate::opening::Report;
use medlarspur_lib::{bundle::TargetState, time::Millis};

/// The weight of a target with the full weight of the bundle.
pub const FULL: u16 = 1000;
/// How often weights are worked out.
pub const TICK: Millis = Millis::secs(1);
/// The lowest factor that a target's own word can bring about. One liar among
/// four targets then leaves max/mean at 4/3.7 = 1.08, under the goal of 1.15 with
/// room for chance.
const TOLD_FLOOR: f64 = 0.7;
/// The lowest factor that anything but leaving can bring about.
const FLOOR: f64 = 0.05;
/// The largest step down in a tick.
const FALL: f64 = 0.2;
/// The largest step up in a tick: from cold to full in 16 s.
const RISE: f64 = 0.05;
/// Where a target that is new to the service begins.
const COLD: f64 = 0.2;
/// How many times the median hold time is slow. The smoothed mean of 16
/// exponential times is off by 18 %, so twice is five deviations.
const SLOW: f64 = 2.0;
/// How many times the median hold time bears out a target that says that it
/// is overloaded. Both together are taken in full. At 1.3, chance bore out a
/// liar among four targets now and then (max/mean 1.17).
const AGREES: f64 = 1.6;
/// How many times the median told load is overloaded.
const LOADED: f64 = 1.5;
/// How many deviations of an opening count must go unanswered to be no chance.
const DEVIATIONS: f64 = 3.5;
/// The same to bear out a target that says that it is overloaded.
const AGREEING: f64 = 2.5;
/// How many openings make a part of answers that can be compared.
const OPENINGS: f64 = 5.0;
/// Below this factor a target looks bad.
const BAD: f64 = 0.7;
/// A target's word is forgotten after this.
const STALE: Millis = Millis::secs(10);
/// Half-life of the counts of openings and answers, in milliseconds.
const HALF_LIFE: f64 = 15_000.0;
/// How much one hold time counts in the smoothed mean of a target.
const SMOOTHING: f64 = 1.0 / 16.0;
/// The same for a service, which sees many times as many.
const SERVICE_SMOOTHING: f64 = 1.0 / 128.0;
/// How much longer than the mean one hold time may count. A caller whose
/// answer got lost stays a second longer; uncut, one such makes a target seem
/// three times as slow to an instance that sees one end a second.
const OUTLIER: f64 = 4.0;
/// How far the mean of a target moves towards that of all in a second; faster, a slow
/// target would not be noticed.
const RELAX: f64 = 0.05;
/// How the least mean is forgotten with each hold time, so that work which
/// has become longer for good is not taken for waiting for ever.
const FORGET: f64 = 1.0 + 1e-5;
/// How many hold times make a mean that can be compared.
const ENOUGH: u32 = 8;
/// How many hold times the first assumption is worth. Short ones end first, so
/// that the first one seen says little of the mean.
const TRUST: f64 = 2.0;

/// A smoothed mean of hold times in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Hold {
    mean: f64,
    least: f64,
    samples: u32,
    smoothing: f64,
}

impl Default for Hold {
    fn default() -> Hold {
        Hold { mean: 0.0, least: f64::MAX, samples: 0, smoothing: SMOOTHING }
    }
}

impl Hold {
    /// The mean over all targets of a service.
    pub fn of_service() -> Hold {
        Hold { smoothing: SERVICE_SMOOTHING, ..Hold::default() }
    }

    /// Takes in one hold time.
    pub fn add(&mut self, hold: Millis) {
        let mut hold = (hold.0 as f64).max(1.0);
        if self.samples >= ENOUGH {
            hold = hold.min(self.mean * OUTLIER);
        }
        self.samples = self.samples.saturating_add(1);
        let weight = self.smoothing.max(1.0 / f64::from(self.samples));
        self.mean += (hold - self.mean) * weight;
        if self.samples >= ENOUGH {
            self.least = (self.least * FORGET).min(self.mean);
        }
    }

    /// Moves the mean a bit towards that of all targets. Under a spraying
    /// fabric an instance sees few ends of each target; without this, what a
    /// target was like in a past burst holds its work back long after.
    pub fn relax(&mut self, usual: f64) {
        self.mean += (usual - self.mean) * RELAX;
    }

    /// How many times the least mean so far the present one is, or one.
    pub fn stretch(&self) -> f64 {
        if self.samples < ENOUGH { 1.0 } else { self.mean / self.least }
    }

    /// The least mean so far: how long a flow lasts that need not wait.
    pub fn least(&self) -> Option<f64> {
        (self.samples >= ENOUGH).then_some(self.least)
    }

    /// What to take for the mean when it was first taken to be `first`. Each
    /// hold time seen counts as much as [`TRUST`] of that, in their logarithms:
    /// the first may be wrong by three orders. Under a spraying fabric an
    /// instance sees the ends of few flows that it let in, and with `first`
    /// until enough were seen, it takes most of a minute to let in short
    /// uploads as fast as they end.
    pub fn guess(&self, first: f64) -> f64 {
        if self.samples >= ENOUGH {
            return self.mean;
        }
        if self.samples == 0 {
            return first;
        }
        let seen = f64::from(self.samples);
        ((first.ln() * TRUST + self.mean.ln() * seen) / (TRUST + seen)).exp()
    }

    /// The mean, once enough was seen.
    pub fn mean(&self) -> Option<f64> {
        (self.samples >= ENOUGH).then_some(self.mean)
    }
}

/// What is known of one target, and the factor that follows from it.
#[derive(Debug, Clone)]
pub struct Seen {
    opened: f64,
    followed: f64,
    begun: f64,
    ended: f64,
    reset: f64,
    at: Millis,
    told: Option<(Millis, Report)>,
    factor: f64,
}

impl Seen {
    /// A target about which nothing is known; `cold` if it is new to a
    /// service that was there before.
    pub fn new(cold: bool) -> Seen {
        let factor = if cold { COLD } else { 1.0 };
        Seen {
            opened: 0.0,
            followed: 0.0,
            begun: 0.0,
            ended: 0.0,
            reset: 0.0,
            at: Millis(0),
            told: None,
            factor,
        }
    }

    /// How much of its pace the target may have here while its buckets are
    /// still on their way elsewhere: they take tens of seconds, in which its
    /// callers would queue up at it. All of it, unless more than its own word
    /// speaks against it. Only for a target that says it is behind while the
    /// others have room: under a hashing fabric every target looks slow now and then,
    /// and those that had a burst's longest queue would be held back long after it.
    pub fn slowdown(&self) -> f64 {
        (self.factor / TOLD_FLOOR).min(1.0)
    }

    /// Counts an opening that went to the target; repetitions count, as they
    /// say that the first was not answered.
    pub fn open(&mut self, now: Millis) {
        self.decay(now);
        self.opened += 1.0;
    }

    /// Counts a sign that the target answered an opening.
    pub fn follow(&mut self, now: Millis) {
        self.decay(now);
        self.followed += 1.0;
    }

    /// Counts a request that was let in.
    pub fn begin(&mut self, now: Millis) {
        self.decay(now);
        self.begun += 1.0;
    }

    /// Counts the end of a request, whoever let it in.
    pub fn end(&mut self, now: Millis) {
        self.decay(now);
        self.ended += 1.0;
    }

    /// Counts a flow that its caller reset.
    pub fn reset(&mut self, now: Millis) {
        self.decay(now);
        self.reset += 1.0;
    }

    /// Takes in what the target says of itself.
    pub fn tell(&mut self, now: Millis, told: Report) {
        self.told = Some((now, told));
    }

    /// What the target said of itself lately.
    pub fn told(&self, now: Millis) -> Option<&Report> {
        let (at, told) = self.told.as_ref()?;
        (now.since(*at) < STALE).then_some(told)
    }

    /// The part of openings here that something followed here, if enough.
    fn ratio(&self) -> Option<f64> {
        (self.opened >= OPENINGS).then(|| self.followed / self.opened)
    }

    /// How many requests end here for each that begins here, if enough do.
    fn progress(&self) -> Option<f64> {
        (self.begun >= OPENINGS).then(|| self.ended / self.begun)
    }

    /// How much less often openings are answered than `usual`.
    fn answered(&self, usual: f64) -> f64 {
        fewer(self.opened * usual, self.followed, DEVIATIONS)
    }

    /// How much less often requests end than `usual`. A stuck target shows
    /// here before its hold times do, which are known only of what has ended.
    fn finished(&self, usual: f64, deviations: f64) -> f64 {
        fewer(self.begun * usual, self.ended, deviations)
    }

    /// The part of flows that did not end in a reset, unless it may be chance.
    fn kept(&self) -> f64 {
        if self.reset > DEVIATIONS * self.opened.sqrt() && self.reset > self.opened / 2.0 {
            (1.0 - self.reset / (self.opened + self.reset)).max(FLOOR)
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
        self.followed *= keep;
        self.begun *= keep;
        self.ended *= keep;
        self.reset *= keep;
    }
}

/// One target as [`advise`] needs it.
#[derive(Debug)]
pub struct View<'a> {
    /// Whether the bundle lets it take new work.
    pub state: TargetState,
    /// Its weight in the bundle, in percent.
    pub weight: u16,
    /// How many slots it has.
    pub slots: u16,
    /// How long its work lately took, if known.
    pub hold: Option<f64>,
    /// What is known of it otherwise.
    pub seen: &'a mut Seen,
}

/// Works out the weights of a service's targets, in thousandths of a full one.
pub fn advise(now: Millis, balance: u8, targets: &mut [View], weights: &mut [u16]) {
    let goals = goals(now, targets);
    let tolerance = 0.02 + 0.2 * (1.0 - f64::from(balance.min(100)) / 100.0);
    for ((target, goal), weight) in targets.iter_mut().zip(goals).zip(weights) {
        let Some(goal) = goal else {
            *weight = 0;
            continue;
        };
        let factor = &mut target.seen.factor;
        let near = (goal - *factor).abs() < tolerance && goal < 1.0;
        if !near {
            *factor = goal.clamp(*factor - FALL, *factor + RISE);
        }
        let full = f64::from(target.weight) / 100.0 * f64::from(FULL);
        *weight = ((full * *factor).round() as u16).max(u16::from(target.weight > 0));
    }
}

/// Whether a target may get new work: the bundle's word, and its own if not
/// most say the same at once.
pub fn leaving(now: Millis, state: TargetState, seen: &Seen, believed: bool) -> bool {
    let draining = seen.told(now).is_some_and(|told| told.draining);
    state != TargetState::Active || believed && draining
}

/// Whether targets that say they drain are believed: not when most do.
pub fn drains_believed(draining: usize, targets: usize) -> bool {
    draining * 2 < targets
}

/// The factor that each target should come to; none for a leaving one.
fn goals(now: Millis, targets: &mut [View]) -> Vec<Option<f64>> {
    let draining = targets.iter().filter(|t| t.seen.told(now).is_some_and(|x| x.draining));
    let believed = drains_believed(draining.count(), targets.len());
    let holds = median(targets.iter().filter_map(|t| t.hold));
    let loads = median(targets.iter().filter_map(|t| load(now, t)));
    let answers = median(targets.iter().filter_map(|t| t.seen.ratio())).unwrap_or(0.0);
    let ends = median(targets.iter().filter_map(|t| t.seen.progress())).unwrap_or(0.0);
    let usual = Usual { holds, loads, answers, ends };
    let mut goals = Vec::with_capacity(targets.len());
    for target in targets.iter_mut() {
        target.seen.decay(now);
        let leaves = leaving(now, target.state, target.seen, believed);
        goals.push((!leaves).then(|| goal(now, target, &usual)));
    }
    let staying = goals.iter().flatten().count();
    let bad = goals.iter().flatten().filter(|&&goal| goal < BAD).count();
    if bad * 2 > staying {
        for goal in goals.iter_mut().flatten() {
            *goal = 1.0;
        }
    }
    goals
}

/// The medians of a service, beside which each target is judged.
struct Usual {
    holds: Option<f64>,
    loads: Option<f64>,
    answers: f64,
    ends: f64,
}

fn goal(now: Millis, target: &View, usual: &Usual) -> f64 {
    let mut goal = target.seen.answered(usual.answers) * target.seen.kept();
    goal *= target.seen.finished(usual.ends, DEVIATIONS);
    let stuck = target.seen.finished(usual.ends, AGREEING) < 1.0;
    let slower = match (target.hold, usual.holds) {
        (Some(hold), Some(median)) => hold / median,
        _ => 1.0,
    };
    let (word, agrees) = (word(now, target, usual.loads), stuck || slower > AGREES);
    if slower > SLOW || agrees && word < 1.0 {
        goal /= slower.max(1.0);
    }
    goal *= if agrees { word } else { word.max(TOLD_FLOOR) };
    goal.clamp(FLOOR, 1.0)
}

/// The part of `expected` that was counted, unless it may be chance.
///
/// Under a fabric that sprays packets, an instance sees beginnings and ends of
/// different flows, and of some flows only one of them. So the test is for two
/// independent counts, and what is expected comes from the other targets.
fn fewer(expected: f64, counted: f64, deviations: f64) -> f64 {
    let chance = deviations * (expected + counted).sqrt();
    if expected - counted > chance { counted / expected } else { 1.0 }
}

/// The factor that a target's own word asks for.
fn word(now: Millis, target: &View, loads: Option<f64>) -> f64 {
    let Some(told) = target.seen.told(now) else { return 1.0 };
    if !told.healthy {
        return TOLD_FLOOR;
    }
    match (load(now, target), loads) {
        (Some(load), Some(median)) if load > 1.0 && load > median * LOADED => median / load,
        _ => 1.0,
    }
}

/// Report work for each slot.
fn load(now: Millis, target: &View) -> Option<f64> {
    let told = target.seen.told(now)?;
    Some(f64::from(told.work) / f64::from(target.slots.max(1)))
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
