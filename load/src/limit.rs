//! How many requests an instance keeps under way at a service: a concurrency
//! limit that follows the answer times.
//!
//! Answers these patterns: a service loses half of its targets for some seconds;
//! all instances come back after an outage and everything that waited comes at
//! once. Targets then get a little more than they can do, and their queues stay
//! full. Each request waits for the whole queue, so nearly all answers are late,
//! though the targets could give nine of ten in time. One notices answer times
//! that stay at the length of the targets' queues.
//!
//! The limit moves the excess from the targets, which serve in order of arrival,
//! to the instances, which can choose ([`Backlog`](crate::backlog::Backlog)).
//! No instance sees the others' work, but all see the answer times: each lowers
//! its limit while answers take more than a part of their goal and raises it
//! otherwise. It never goes below the instance's part of the targets' slots, so a
//! target that is slow for other reasons doesn't stand idle for it; and a service
//! whose work takes most of its goal by nature is told from one with queues by how
//! much is [under way](QUEUED_FACTOR), and by how long its answers take when they are
//! [calm](CALM_FACTOR).

use medlarspur_lib::{bundle::Class, time::Millis};

/// From which part of their goal on answers count as slow. Without queues they take far
/// less, so beyond a half most of the time is waiting; the rest is left for what varies.
const SLOW_RATIO: f32 = 0.55;
/// From how many times the calm answer time on answers count as slow, where that is more
/// than [`SLOW_RATIO`]: twice the time without a queue is half a queue. At a service whose work
/// takes two thirds of its goal, answers are never below [`SLOW_RATIO`], and without this the
/// limit would stand at the least all day.
const CALM_FACTOR: f32 = 2.0;
/// The most of their goal that answers may take and still be calm. An instance that starts
/// into an excess has heard nothing else, and would take its queues for calm and let
/// everybody in.
const MAX_CALM_RATIO: f32 = 0.9;
/// From how many times the own part of the slots on the work under way shows queues. What
/// is under way is what is asked a second times how long it takes (Little's law); at twice
/// the slots each request waits for as long as it works. With [`MAX_CALM_RATIO`] and without this,
/// work of two thirds of its goal would be limited.
const QUEUED_FACTOR: f32 = 2.0;
/// The weight of a new count of the work under way in its mean: as fast as the mean of
/// the answer times, since both must show the same crowd.
const QUEUE_WEIGHT: f32 = MEAN_WEIGHT;
/// The least weight of a new answer in the mean whose least is calm, and by which feeds are
/// [kept off](ConcurrencyLimit::is_persistently_slow): over some thirty answers the chance of a few short ones
/// in a row no longer looks like calm, nor a pause in a crowd like its end.
const MIN_LONG_WEIGHT: f32 = 0.03;
/// The longest time over which that mean is taken. An instance of a small site hears forty
/// answers a second, and one of a large site seven; without this a crowd that is over would
/// keep feeds off there for four seconds more.
const LONG_WINDOW: Millis = Millis::secs(2);
/// How long answers must have been heard before what is calm is known. An instance may
/// have started into a crowd, which lasts some 1.2 s; until then [`SLOW_RATIO`] alone decides.
const LEARNING_TIME: Millis = Millis::secs(2);
/// How fast the calm time follows when answers get slower for good, as a time constant:
/// several times as long as a loss of targets or a crowd lasts.
const CALM_TIME_CONSTANT: Millis = Millis::secs(60);
/// The weight of a new answer time in the mean: one long request among four is no queue yet.
const MEAN_WEIGHT: f32 = 0.25;
/// How long after one reduction the next may follow: about the time that one request
/// takes, so that each reduction can show an effect before the next.
const REDUCTION_INTERVAL: Millis = Millis(50);
/// What a reduction leaves of the limit.
const REDUCTION_FACTOR: f32 = 0.9;
/// By how much an answer in good time raises the limit. One request in flight
/// whose answer went by another instance would hold a place until it is forgotten;
/// at this pace an instance that gets 50 answers a second makes up for 25 of them in a
/// second.
const GROWTH: f32 = 0.5;
/// From how many times the work under way and the own part of the slots on a limit binds
/// nobody and is dropped. Twice, so that it is not dropped and set anew with each swing of
/// the work.
const UNUSED_FACTOR: f32 = 2.0;
/// The most that one answer counts. A request that waited for a lost packet or a
/// frozen machine says nothing about queues.
const MAX_RATIO: f32 = 2.0;
/// How many times the limit requests may use. Operators rank them first, most of them can't
/// be repeated, and feeds that are open go on whatever the limit says.
const REQUEST_FACTOR: f32 = 2.0;
/// How long after the last answer the mean says nothing any more.
const STALE_AFTER: Millis = Millis::secs(1);

/// Requests and openings under way at a service as far as an instance sees them.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct InFlight {
    /// Of all classes.
    pub all: u32,
    /// Of requests.
    pub requests: u32,
}

/// The concurrency limit of one service at one instance.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct ConcurrencyLimit {
    /// The limit in requests; none while answers were never slow.
    limit: Option<f32>,
    /// The mean of answer times, each as a part of its objective.
    mean: f32,
    /// The same with a smaller weight, and the least that it has been lately.
    long_mean: f32,
    calm: f32,
    /// The mean of the work under way while answers are slow, in parts of the own part of
    /// the slots.
    queue_ratio: f32,
    /// When the first and the last answer came.
    first_answer: Option<Millis>,
    last_answer: Option<Millis>,
    /// When the limit was reduced last.
    last_reduction: Millis,
}

impl ConcurrencyLimit {
    /// Takes in that a request was answered after `span`, whose goal was `goal`; answers
    /// whether the limit is to be [adjusted](Self::adjust). On most days it is not, and
    /// the work under way need not be counted.
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

    /// From which mean on answers are slow.
    fn threshold(&self, now: Millis) -> f32 {
        if self.is_calm_known(now) {
            SLOW_RATIO.max((CALM_FACTOR * self.calm).min(MAX_CALM_RATIO))
        } else {
            SLOW_RATIO
        }
    }

    /// Whether answers have been heard for long enough to tell what is calm.
    fn is_calm_known(&self, now: Millis) -> bool {
        self.first_answer.is_some_and(|at| now.since(at) >= LEARNING_TIME)
    }

    /// Adjusts the limit after an answer. `in_flight` requests are still under way here,
    /// and `part` is this instance's part of the targets' slots.
    pub fn adjust(&mut self, in_flight: u32, own_slots: f32, now: Millis) {
        self.queue_ratio +=
            (in_flight as f32 / own_slots.max(f32::EPSILON) - self.queue_ratio) * QUEUE_WEIGHT;
        if self.is_slow(now) {
            self.reduce(in_flight, own_slots, now);
        } else if let Some(limit) = &mut self.limit {
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

    /// Whether any number may begin.
    pub fn is_unlimited(&self, now: Millis) -> bool {
        self.limit.is_none() || !self.is_mean_current(now)
    }

    /// Whether one more of a class may begin while that much work is under way. A
    /// request waits for requests only: feeds that are open go on whatever the limit
    /// says, so in an excess of them the whole of it would fall on requests. A feed waits
    /// for as long as the service is [strained](Self::is_persistently_slow), too.
    pub fn admits(&self, class: Class, work: InFlight, now: Millis) -> bool {
        let limit = self.limit.filter(|_| !self.is_unlimited(now));
        let (work, factor) = match class {
            Class::Request => (work.requests, REQUEST_FACTOR),
            Class::Feed | Class::Upload => (work.all, 1.0),
        };
        let is_blocked = class != Class::Request && self.is_persistently_slow(now);
        limit.is_none_or(|limit| !is_blocked && (work as f32) < limit * factor)
    }

    /// Whether answers have taken too much of their goals lately, and work waits in queues.
    pub fn is_slow(&self, now: Millis) -> bool {
        self.is_queueing(self.mean, now)
    }

    /// Whether the same is true over a longer time. Then no feed is opened. A feed
    /// that is let in during a short pause stays when the pause is over, and each pause of a
    /// crowd lets in some more, until what is open is a crowd by itself.
    pub fn is_persistently_slow(&self, now: Millis) -> bool {
        self.is_queueing(self.long_mean, now)
    }

    fn is_queueing(&self, mean: f32, now: Millis) -> bool {
        self.is_mean_current(now) && mean > self.threshold(now) && self.queue_ratio > QUEUED_FACTOR
    }

    /// Whether the mean is of late.
    fn is_mean_current(&self, now: Millis) -> bool {
        self.last_answer.is_some_and(|at| now.since(at) <= STALE_AFTER)
    }

    /// The mean of answer times, in hundredths of their goals.
    pub fn pressure(&self) -> u32 {
        (self.mean * 100.0) as u32
    }
}
