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
//! much is [under way](QUEUED), and by how long its answers take when they are
//! [calm](CALM).

use medlarspur_lib::{bundle::Class, time::Millis};

/// From which part of their goal on answers count as slow. Without queues they take far
/// less, so beyond a half most of the time is waiting; the rest is left for what varies.
const SLOW: f32 = 0.55;
/// From how many times the calm answer time on answers count as slow, where that is more
/// than [`SLOW`]: twice the time without a queue is half a queue. At a service whose work
/// takes two thirds of its goal, answers are never below [`SLOW`], and without this the
/// limit would stand at the least all day.
const CALM: f32 = 2.0;
/// The most of their goal that answers may take and still be calm. An instance that starts
/// into an excess has heard nothing else, and would take its queues for calm and let
/// everybody in.
const LATE: f32 = 0.9;
/// From how many times the own part of the slots on the work under way shows queues. What
/// is under way is what is asked a second times how long it takes (Little's law); at twice
/// the slots each request waits for as long as it works. With [`LATE`] and without this,
/// work of two thirds of its goal would be limited.
const QUEUED: f32 = 2.0;
/// The weight of a new count of the work under way in its mean: as fast as the mean of
/// the answer times, since both must show the same crowd.
const COUNTED: f32 = WEIGHT;
/// The least weight of a new answer in the mean whose least is calm, and by which feeds are
/// [kept off](ConcurrencyLimit::is_persistently_slow): over some thirty answers the chance of a few short ones
/// in a row no longer looks like calm, nor a pause in a crowd like its end.
const SLOWER: f32 = 0.03;
/// The longest time over which that mean is taken. An instance of a small site hears forty
/// answers a second, and one of a large site seven; without this a crowd that is over would
/// keep feeds off there for four seconds more.
const LASTING: Millis = Millis::secs(2);
/// How long answers must have been heard before what is calm is known. An instance may
/// have started into a crowd, which lasts some 1.2 s; until then [`SLOW`] alone decides.
const LEARNING: Millis = Millis::secs(2);
/// How fast the calm time follows when answers get slower for good, as a time constant:
/// several times as long as a loss of targets or a crowd lasts.
const FORGETTING: Millis = Millis::secs(60);
/// The weight of a new answer time in the mean: one long request among four is no queue yet.
const WEIGHT: f32 = 0.25;
/// How long after one reduction the next may follow: about the time that one request
/// takes, so that each reduction can show an effect before the next.
const ROUND: Millis = Millis(50);
/// What a reduction leaves of the limit.
const REDUCED: f32 = 0.9;
/// By how much an answer in good time raises the limit. One request in flight
/// whose answer went by another instance would hold a place until it is forgotten;
/// at this pace an instance that gets 50 answers a second makes up for 25 of them in a
/// second.
const GROWTH: f32 = 0.5;
/// From how many times the work under way and the own part of the slots on a limit binds
/// nobody and is dropped. Twice, so that it is not dropped and set anew with each swing of
/// the work.
const UNUSED: f32 = 2.0;
/// The most that one answer counts. A request that waited for a lost packet or a
/// frozen machine says nothing about queues.
const MOST: f32 = 2.0;
/// How many times the limit requests may use. Operators rank them first, most of them can't
/// be repeated, and feeds that are open go on whatever the limit says.
const REQUESTS: f32 = 2.0;
/// How long after the last answer the mean says nothing any more.
const STALE: Millis = Millis::secs(1);

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
    /// The mean of answer times, each as a part of its goal.
    mean: f32,
    /// The same with a smaller weight, and the least that it has been lately.
    level: f32,
    calm: f32,
    /// The mean of the work under way while answers are slow, in parts of the own part of
    /// the slots.
    queue: f32,
    /// When the first and the last answer came.
    began: Option<Millis>,
    heard: Option<Millis>,
    /// When the limit was reduced last.
    reduced: Millis,
}

impl ConcurrencyLimit {
    /// Takes in that a request was answered after `span`, whose goal was `goal`; answers
    /// whether the limit is to be [adjusted](Self::adjust). On most days it is not, and
    /// the work under way need not be counted.
    pub fn record_answer(&mut self, span: Millis, goal: Millis, now: Millis) -> bool {
        let ratio = (span.0 as f32 / goal.0.max(1) as f32).min(MOST);
        self.mean =
            if self.is_known(now) { self.mean + (ratio - self.mean) * WEIGHT } else { ratio };
        self.learn_calm(ratio, now);
        self.heard = Some(now);
        let is_adjusted = self.mean > self.threshold(now) || self.limit.is_some();
        if !is_adjusted {
            self.queue = 0.0;
        }
        is_adjusted
    }

    fn learn_calm(&mut self, ratio: f32, now: Millis) {
        if self.began.is_none() {
            self.began = Some(now);
            self.level = ratio;
        }
        let passed = self.heard.map_or(0.0, |at| now.since(at).0 as f32);
        self.level += (ratio - self.level) * (passed / LASTING.0 as f32).clamp(SLOWER, 1.0);
        if !self.is_learnt(now) {
            self.calm = self.level;
        }
        let forgotten = (passed / FORGETTING.0 as f32).min(1.0);
        self.calm += (self.level - self.calm) * forgotten;
        self.calm = self.calm.min(self.level);
    }

    /// From which mean on answers are slow.
    fn threshold(&self, now: Millis) -> f32 {
        if self.is_learnt(now) { SLOW.max((CALM * self.calm).min(LATE)) } else { SLOW }
    }

    /// Whether answers have been heard for long enough to tell what is calm.
    fn is_learnt(&self, now: Millis) -> bool {
        self.began.is_some_and(|at| now.since(at) >= LEARNING)
    }

    /// Adjusts the limit after an answer. `working` requests are still under way here,
    /// and `part` is this instance's part of the targets' slots.
    pub fn adjust(&mut self, working: u32, part: f32, now: Millis) {
        self.queue += (working as f32 / part.max(f32::EPSILON) - self.queue) * COUNTED;
        if self.is_slow(now) {
            self.reduce(working, part, now);
        } else if let Some(limit) = &mut self.limit {
            *limit += GROWTH;
            if *limit > UNUSED * (working as f32 + part) {
                self.limit = None;
            }
        }
    }

    fn reduce(&mut self, working: u32, part: f32, now: Millis) {
        if now.since(self.reduced) < ROUND {
            return;
        }
        self.reduced = now;
        let working = working as f32 + 1.0;
        let limit = self.limit.map_or(working, |limit| limit.min(working));
        self.limit = Some((limit * REDUCED).max(part).max(1.0));
    }

    /// Whether any number may begin.
    pub fn is_unlimited(&self, now: Millis) -> bool {
        self.limit.is_none() || !self.is_known(now)
    }

    /// Whether one more of a class may begin while that much work is under way. A
    /// request waits for requests only: feeds that are open go on whatever the limit
    /// says, so in an excess of them the whole of it would fall on requests. A feed waits
    /// for as long as the service is [strained](Self::is_persistently_slow), too.
    pub fn admits(&self, class: Class, work: InFlight, now: Millis) -> bool {
        let limit = self.limit.filter(|_| !self.is_unlimited(now));
        let (work, factor) = match class {
            Class::Request => (work.requests, REQUESTS),
            Class::Feed | Class::Upload => (work.all, 1.0),
        };
        let is_kept_off = class != Class::Request && self.is_persistently_slow(now);
        limit.is_none_or(|limit| !is_kept_off && (work as f32) < limit * factor)
    }

    /// Whether answers have taken too much of their goals lately, and work waits in queues.
    pub fn is_slow(&self, now: Millis) -> bool {
        self.exceeds(self.mean, now)
    }

    /// Whether the same is true over a longer time. Then no feed is opened. A feed
    /// that is let in during a short pause stays when the pause is over, and each pause of a
    /// crowd lets in some more, until what is open is a crowd by itself.
    pub fn is_persistently_slow(&self, now: Millis) -> bool {
        self.exceeds(self.level, now)
    }

    fn exceeds(&self, level: f32, now: Millis) -> bool {
        self.is_known(now) && level > self.threshold(now) && self.queue > QUEUED
    }

    /// Whether the mean is of late.
    fn is_known(&self, now: Millis) -> bool {
        self.heard.is_some_and(|at| now.since(at) <= STALE)
    }

    /// The mean of answer times, in hundredths of their goals.
    pub fn pressure(&self) -> u32 {
        (self.mean * 100.0) as u32
    }
}
