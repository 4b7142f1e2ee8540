//! A concurrency limit for the requests that an instance has in flight at a service. It
//! follows the answer times.
//!
//! Handles these load patterns: a service loses half of its targets for some seconds; all
//! instances return after an outage and everything that waited arrives at once. The targets
//! then get slightly more than they can do, and their queues stay full. Each request waits
//! for the whole queue, so nearly all answers are late, although the targets could answer
//! nine of ten in time. Answer times stay at the length of the targets' queues.
//!
//! The limit moves the excess from the targets, which serve in order of arrival, to the
//! instances, which can choose the order ([`Backlog`](crate::backlog::Backlog)). No
//! instance sees the work of the others, but all see the answer times: each lowers its
//! limit while answers take more than a fraction of their latency objective and raises it
//! otherwise. The limit never falls below the instance's share of the targets' slots, so
//! that a target that is slow for another reason is not left idle. A service whose work
//! always takes most of its objective differs from one with queues in the amount of work in
//! flight (`QUEUED_FACTOR`) and in its answer times without queues (`CALM_FACTOR`).
//!
//! Targets with short queues reject the excess instead of answering late. A rejection in an
//! overload ([`shedding`](crate::shedding)) lowers the limit like a slow answer.

use crate::priority::{Level, MAX_LEVELS};
use medlarspur_lib::time::Millis;
use std::ops::AddAssign;

/// Fraction of the latency objective above which answers are slow. Without queues answers
/// take far less, so beyond one half most of the time is waiting. The rest allows for
/// variation.
const SLOW_RATIO: f32 = 0.55;
/// Multiple of the calm answer time above which answers are slow, where that is more than
/// [`SLOW_RATIO`]. Twice the time without a queue means that half of it is waiting. At a
/// service whose work takes two thirds of its objective, answers are never below
/// [`SLOW_RATIO`], and without this factor the limit would always be at its minimum.
const CALM_FACTOR: f32 = 2.0;
/// Maximum fraction of the latency objective that calm answers can take. An instance that
/// starts during an overload has seen nothing else. Without this bound it would take queues
/// for calm and admit everything.
const MAX_CALM_RATIO: f32 = 0.9;
/// Multiple of the own share of the slots above which the work in flight shows queues. The
/// work in flight is the arrival rate times the duration (Little's law); at twice the slots
/// each request waits as long as it is worked on. With [`MAX_CALM_RATIO`] and without this
/// factor, a service whose work takes two thirds of its objective would be limited.
const QUEUED_FACTOR: f32 = 2.0;
/// Weight of a new value in the mean work in flight. It equals the weight of the answer
/// times, since both means must show the same burst.
const QUEUE_WEIGHT: f32 = MEAN_WEIGHT;
/// Minimum weight of a new answer in the long mean. Its lowest value is the calm answer
/// time, and it [blocks feeds](ConcurrencyLimit::is_persistently_slow). Over some thirty
/// answers, a few short ones in a row do not look like calm, nor a pause in a burst like
/// its end.
const MIN_LONG_WEIGHT: f32 = 0.03;
/// Longest time that the long mean covers. An instance of a small site sees forty answers a
/// second, one of a large site seven. Without this bound feeds would stay blocked there for
/// four seconds more after a burst.
const LONG_WINDOW: Millis = Millis::secs(2);
/// Time during which answers must have been seen before the calm answer time is known. An
/// instance may start during a burst, which lasts some 1.2 s. Until then only
/// [`SLOW_RATIO`] decides.
const LEARNING_TIME: Millis = Millis::secs(2);
/// Time constant with which the calm answer time follows answers that stay slower: several
/// times the duration of a burst or a loss of targets.
const CALM_TIME_CONSTANT: Millis = Millis::secs(60);
/// Weight of a new answer time in the mean. One long request among four does not show a
/// queue.
const MEAN_WEIGHT: f32 = 0.25;
/// Minimum time between two reductions: about the duration of a request, so that each
/// reduction can take effect before the next.
const REDUCTION_INTERVAL: Millis = Millis(50);
/// Factor that a reduction applies to the limit.
const REDUCTION_FACTOR: f32 = 0.9;
/// Increase of the limit for an answer in time. A request whose answer passed through
/// another instance seems in flight until it is forgotten. With this step, an instance that
/// sees 50 answers a second makes up for 25 such requests in a second.
const GROWTH: f32 = 0.5;
/// Share of rejected requests at which the limit settles while targets reject work. At most a
/// tenth may be rejected. In trials, 0.04 left 2 of 100 slots idle that 0.08 used.
const TOLERATED_REJECTIONS: f32 = 0.06;
/// Time after a rejection during which an answer in time raises the limit by
/// [`TOLERATED_REJECTIONS`] of what a rejection lowers it. With [`GROWTH`], two of five
/// requests would be rejected at a limit of seven. It is one second so that service is normal
/// two seconds after the load is.
const REJECTION_MEMORY: Millis = Millis::secs(1);
/// Time between two answers of an overload from which each has its full effect on the limit.
/// Answers that come faster tell of the same queues. Their effect falls with the time between
/// them, in both directions, so that the balance does not depend on the rate of answers: with
/// [`REDUCTION_INTERVAL`] for rejections alone, the limit of an instance with 300 answers a
/// second rose while a fifth of them were rejections.
const ANSWER_SPACING: Millis = Millis(10);
/// Multiple of the work in flight plus the own share of the slots above which the limit
/// restricts nothing and is dropped. With a lower factor it would be dropped and set again
/// with each fluctuation.
const UNUSED_FACTOR: f32 = 2.0;
/// Maximum value of one answer, as a fraction of its objective. A request that waited for a
/// lost packet or a frozen machine says nothing about queues.
const MAX_RATIO: f32 = 2.0;
/// Multiple of the limit that levels above the lowest may use. Open feeds of the lowest
/// level continue whatever the limit, and without this factor the flows that operators rank
/// higher would be held back instead.
const ELEVATED_FACTOR: f32 = 2.0;
/// Time after the last answer at which the mean expires.
const STALE_AFTER: Millis = Millis::secs(1);

/// Requests and openings in flight that this instance sees, by level.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct InFlight([u32; MAX_LEVELS]);

impl InFlight {
    /// Adds `change`, which may be negative, to the work of a level.
    pub fn adjust(&mut self, level: Level, change: i32) {
        let count = &mut self.0[level.rank()];
        *count = count.saturating_add_signed(change);
    }

    /// Returns the work of all levels.
    pub fn total(&self) -> u32 {
        self.0.iter().sum()
    }

    /// Returns the work of a level and of higher ones.
    pub fn down_to(&self, level: Level) -> u32 {
        self.0[..=level.rank()].iter().sum()
    }
}

impl AddAssign for InFlight {
    fn add_assign(&mut self, other: InFlight) {
        for (count, added) in self.0.iter_mut().zip(other.0) {
            *count += added;
        }
    }
}

/// The concurrency limit of one service at one instance.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct ConcurrencyLimit {
    /// The limit in requests; `None` while answers have not been slow.
    limit: Option<f32>,
    /// Mean of the answer times, as fractions of their latency objectives.
    mean: f32,
    /// The same over a longer time, and its lowest recent value.
    long_mean: f32,
    calm: f32,
    /// Mean work in flight while answers are slow, as a multiple of the own share of the
    /// slots.
    queue_ratio: f32,
    /// Times of the first and the last answer.
    first_answer: Option<Millis>,
    last_answer: Option<Millis>,
    /// Time of the last reduction of the limit.
    last_reduction: Millis,
    /// Time of the last request that targets rejected in an overload, and of the last answer
    /// that was weighted by the time before it.
    last_rejection: Option<Millis>,
    last_weighted: Millis,
    /// Minimum limit of each level since targets have rejected work: the own share of the
    /// slots. The limit itself may be lower by [`ELEVATED_FACTOR`], so that levels above the
    /// lowest are not always let twice the share in.
    floor: f32,
}

impl ConcurrencyLimit {
    /// Records that a request with a latency objective was answered after `span`.
    ///
    /// Returns whether the limit needs to be [adjusted](Self::adjust). Usually it does not,
    /// and the caller need not count the work in flight.
    pub fn record_answer(&mut self, span: Millis, objective: Millis, now: Millis) -> bool {
        let ratio = (span.0 as f32 / objective.0.max(1) as f32).min(MAX_RATIO);
        self.mean = if self.is_mean_current(now) {
            self.mean + (ratio - self.mean) * MEAN_WEIGHT
        } else {
            ratio
        };
        self.learn_calm(ratio, now);
        self.last_answer = Some(now);
        let needs_adjustment = self.mean > self.threshold(now) || self.limit.is_some();
        if !needs_adjustment {
            self.queue_ratio = 0.0;
        }
        needs_adjustment
    }

    fn learn_calm(&mut self, ratio: f32, now: Millis) {
        if self.first_answer.is_none() {
            self.first_answer = Some(now);
            self.long_mean = ratio;
        }
        let elapsed = self.last_answer.map_or(0.0, |at| now.since(at).0 as f32);
        self.long_mean +=
            (ratio - self.long_mean) * (elapsed / LONG_WINDOW.0 as f32).clamp(MIN_LONG_WEIGHT, 1.0);
        if !self.is_calm_known(now) {
            self.calm = self.long_mean;
        }
        let weight = (elapsed / CALM_TIME_CONSTANT.0 as f32).min(1.0);
        self.calm += (self.long_mean - self.calm) * weight;
        self.calm = self.calm.min(self.long_mean);
    }

    /// Returns the mean above which answers are slow.
    fn threshold(&self, now: Millis) -> f32 {
        if self.is_calm_known(now) {
            SLOW_RATIO.max((CALM_FACTOR * self.calm).min(MAX_CALM_RATIO))
        } else {
            SLOW_RATIO
        }
    }

    /// Returns whether answers have been seen for long enough to know the calm answer time.
    fn is_calm_known(&self, now: Millis) -> bool {
        self.first_answer.is_some_and(|at| now.since(at) >= LEARNING_TIME)
    }

    /// Adjusts the limit after an answer. `in_flight` is the number of requests that are
    /// still in flight here, `own_slots` this instance's share of the targets' slots.
    pub fn adjust(&mut self, in_flight: u32, own_slots: f32, now: Millis) {
        self.queue_ratio +=
            (in_flight as f32 / own_slots.max(f32::EPSILON) - self.queue_ratio) * QUEUE_WEIGHT;
        self.floor = self.floor.min(own_slots.max(1.0));
        if self.is_slow(now) {
            self.reduce(in_flight, own_slots, now);
        } else if let Some(limit) = &mut self.limit {
            let is_rejecting =
                self.last_rejection.is_some_and(|at| now.since(at) < REJECTION_MEMORY);
            if is_rejecting {
                let step = (1.0 - REDUCTION_FACTOR) * TOLERATED_REJECTIONS;
                *limit *= 1.0 + step * weight(self.last_weighted, now);
                self.last_weighted = now;
                return;
            }
            *limit += GROWTH;
            if *limit > UNUSED_FACTOR * (in_flight as f32 + own_slots) {
                self.limit = None;
            }
        }
    }

    fn reduce(&mut self, in_flight: u32, own_slots: f32, now: Millis) {
        if now.since(self.last_reduction) < REDUCTION_INTERVAL {
            return;
        }
        self.last_reduction = now;
        let in_flight = in_flight as f32 + 1.0;
        let limit = self.limit.map_or(in_flight, |limit| limit.min(in_flight));
        self.limit = Some((limit * REDUCTION_FACTOR).max(own_slots).max(1.0));
    }

    /// Lowers the limit after a request that targets rejected in an overload. The arguments
    /// are those of [`adjust`](Self::adjust).
    pub fn record_rejection(&mut self, in_flight: u32, own_slots: f32, now: Millis) {
        let step = (1.0 - REDUCTION_FACTOR) * weight(self.last_weighted, now);
        self.last_rejection = Some(now);
        self.last_weighted = now;
        self.floor = own_slots.max(1.0);
        // The work in flight varies by more than a step, so it bounds the limit only where it
        // restricts nothing.
        let in_flight = in_flight as f32 + 1.0;
        let limit =
            self.limit.map_or(in_flight, |it| it.min(UNUSED_FACTOR * (in_flight + own_slots)));
        self.limit = Some((limit * (1.0 - step)).max(self.floor / ELEVATED_FACTOR));
    }

    /// Returns whether any number of requests may start.
    pub fn is_unlimited(&self, now: Millis) -> bool {
        let is_rejecting = self.last_rejection.is_some_and(|at| now.since(at) <= STALE_AFTER);
        self.limit.is_none() || !self.is_mean_current(now) && !is_rejecting
    }

    /// Returns whether one more opening of a level may start with `work` in flight.
    ///
    /// Levels above the lowest are limited by the work of their own and higher levels. Open
    /// feeds continue whatever the limit; if lower levels counted, an excess of them would
    /// hold back only higher ones. The lowest level is also blocked while the service is
    /// [persistently slow](Self::is_persistently_slow). An opening that is admitted would
    /// also be admitted at any higher level.
    pub fn admits(&self, level: Level, work: InFlight, now: Millis) -> bool {
        let limit = self.limit.filter(|_| !self.is_unlimited(now));
        let (work, factor) = match level.is_elevated() {
            true => (work.down_to(level), ELEVATED_FACTOR),
            false => (work.total(), 1.0),
        };
        let is_blocked = !level.is_elevated() && self.is_persistently_slow(now);
        limit.is_none_or(|limit| !is_blocked && (work as f32) < (limit * factor).max(self.floor))
    }

    /// Returns whether answers have recently taken too much of their latency objective
    /// while work queued.
    pub fn is_slow(&self, now: Millis) -> bool {
        self.is_queueing(self.mean, now)
    }

    /// Returns whether answers are slow over a longer time. The lowest level, which has the
    /// feeds at most services, is then not opened: a feed admitted during a short pause stays
    /// open after it, and the feeds of several pauses would prolong the overload by themselves.
    pub fn is_persistently_slow(&self, now: Millis) -> bool {
        self.is_queueing(self.long_mean, now)
    }

    fn is_queueing(&self, mean: f32, now: Millis) -> bool {
        self.is_mean_current(now) && mean > self.threshold(now) && self.queue_ratio > QUEUED_FACTOR
    }

    /// Returns whether the mean is recent.
    fn is_mean_current(&self, now: Millis) -> bool {
        self.last_answer.is_some_and(|at| now.since(at) <= STALE_AFTER)
    }

    /// Returns the mean answer time, in hundredths of the latency objective.
    pub fn pressure(&self) -> u32 {
        (self.mean * 100.0) as u32
    }
}

/// Returns the effect of an answer on the limit, from 0 to 1.
fn weight(last: Millis, now: Millis) -> f32 {
    (now.since(last).0 as f32 / ANSWER_SPACING.0 as f32).min(1.0)
}
