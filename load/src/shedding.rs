//! Tells whether the targets of a service reject work, and which held openings can't be
//! opened in time.
//!
//! Handles an overload in which targets reject what exceeds their queues. Rejections are
//! fast answers, so by answer times alone such a service looks idle, more openings go to
//! the targets, and up to 40 of 100 arrivals were rejected there. The limit of a service
//! ([`limit`](crate::limit)) therefore follows rejections as well.
//!
//! A target that is at fault fails requests too. An overload differs in that many targets
//! reject work at the same time.
//!
//! The excess is then held at the instances. An opening that can't be let in within its
//! time, at the rate at which openings of its level are being let in, is refused at once,
//! so that its caller hears early and the backlog stays short.

use crate::{
    outcome::Outcome,
    priority::{Level, MAX_LEVELS},
};
use medlarspur_lib::time::Millis;
use std::collections::VecDeque;

/// Time over which answers count. An instance of a small site sees some 20 answers a
/// second; over two seconds, three rejections in a beginning overload are likely.
const ANSWER_WINDOW: Millis = Millis::secs(2);
/// Maximum number of answers that count, which bounds memory and the cost of a count.
const MAX_ANSWERS: usize = 256;
/// Minimum number of targets that must reject work at once, where so many have answered.
const MIN_TARGETS: usize = 3;
/// Share of the targets that answered above which rejections are an overload rather than
/// faults of some targets. Faults of a ninth of the targets are to be expected.
const OVERLOAD_TARGET_SHARE: f32 = 0.125;
/// Share of failed answers above which targets are overloaded. Up to a tenth may be rejected:
/// callers repeat these, and a limit leaves some slots idle. Where a ninth of the targets fail
/// half of their requests, 6 of 100 answers fail.
const OVERLOAD_ANSWER_SHARE: f32 = 0.08;
/// Share of failed answers below which an overload is over. It is below the share at which
/// the limit settles, so that an overload is not left and found again all the time.
const NORMAL_ANSWER_SHARE: f32 = 0.03;

/// Recent answers of a service's targets.
#[derive(Debug, Clone)]
pub struct Rejections<T> {
    answers: VecDeque<Answer<T>>,
    overloaded: bool,
}

#[derive(Debug, Clone, Copy)]
struct Answer<T> {
    at: Millis,
    target: T,
    failed: bool,
}

impl<T> Default for Rejections<T> {
    fn default() -> Rejections<T> {
        Rejections { answers: VecDeque::new(), overloaded: false }
    }
}

impl<T: Copy + Ord> Rejections<T> {
    /// Records how a request at a target ended. Returns whether it was rejected in an
    /// overload, and the limit must be lowered.
    ///
    /// Unanswered requests don't count: callers that have gone leave requests and openings
    /// unanswered at targets that have capacity, and a limit lowered by these stays low.
    pub fn record(&mut self, target: T, outcome: Outcome, now: Millis) -> bool {
        let failed = match outcome {
            Outcome::Served => false,
            Outcome::Failed => true,
            Outcome::Unanswered | Outcome::Unknown => return false,
        };
        self.answers.push_back(Answer { at: now, target, failed });
        self.expire(now);
        if failed || self.overloaded {
            self.update();
        }
        failed && self.overloaded
    }

    /// Returns whether targets reject more work than faults of some of them explain.
    pub fn is_overloaded(&mut self, now: Millis) -> bool {
        if self.overloaded {
            self.expire(now);
            self.update();
        }
        self.overloaded
    }

    fn expire(&mut self, now: Millis) {
        let is_old = |it: &mut Answer<T>| now.since(it.at) > ANSWER_WINDOW;
        while self.answers.len() > MAX_ANSWERS || self.answers.front_mut().is_some_and(is_old) {
            self.answers.pop_front();
        }
    }

    fn update(&mut self) {
        let failures = || self.answers.iter().filter(|it| it.failed);
        let share = failures().count() as f32 / self.answers.len().max(1) as f32;
        if self.overloaded {
            self.overloaded = share > NORMAL_ANSWER_SHARE;
            return;
        }
        let answering = count_distinct(self.answers.iter().map(|it| it.target));
        let rejecting = count_distinct(failures().map(|it| it.target));
        self.overloaded = share > OVERLOAD_ANSWER_SHARE
            && rejecting >= MIN_TARGETS.min(answering).max(2)
            && rejecting as f32 > answering as f32 * OVERLOAD_TARGET_SHARE;
    }
}

fn count_distinct<T: Ord>(targets: impl Iterator<Item = T>) -> usize {
    let mut targets: Vec<T> = targets.collect();
    targets.sort_unstable();
    targets.dedup();
    targets.len()
}

/// Time over which the rate of openings is measured: about the longest time that an opening
/// is held.
const RATE_WINDOW: Millis = Millis::secs(1);
/// Number of parts in which the window is counted.
const BUCKETS: u64 = 10;
const BUCKET: Millis = Millis(RATE_WINDOW.0 / BUCKETS);
/// Time for which flows of a level must have been held before any is refused. Until then
/// the rate is that of the demand before, and a burst would be refused that fits.
const MIN_HELD_TIME: Millis = Millis(200);

/// Multiple of the measured rate at which openings may be let in within the remaining time. An
/// overload may end before that, and a caller that is refused repeats at once and may use up its
/// attempts in an overload that it could have waited out.
const RATE_MARGIN: u64 = 2;

/// Rates at which openings of a service are let in, by level, while others are held.
#[derive(Debug, Default, Clone)]
pub struct OpeningRates {
    /// Openings let in by level, in each part of the window. The parts are reused in turn.
    buckets: [Bucket; BUCKETS as usize],
    /// Time since when flows of a level have been held without a pause.
    held_since: [Option<Millis>; MAX_LEVELS],
}

#[derive(Debug, Default, Clone, Copy)]
struct Bucket {
    /// Number of the part since time 0.
    number: u64,
    openings: [u32; MAX_LEVELS],
}

impl OpeningRates {
    /// Records an opening that is let in.
    pub fn record_opening(&mut self, level: Level, now: Millis) {
        let number = now.0 / BUCKET.0;
        let bucket = &mut self.buckets[(number % BUCKETS) as usize];
        if bucket.number != number {
            *bucket = Bucket { number, ..Bucket::default() };
        }
        bucket.openings[level.rank()] += 1;
    }

    /// Records how many flows of each level are held, the highest first.
    pub fn record_held(&mut self, counts: &[u64], now: Millis) {
        let mut counts = counts.iter();
        for since in &mut self.held_since {
            *since = match counts.next() {
                Some(1..) => since.or(Some(now)),
                _ => None,
            };
        }
    }

    /// Returns whether a held opening can be let in within `remaining`, while `ahead`
    /// openings go before it, `ahead_in_level` of them of its own level.
    pub fn can_open(
        &self,
        level: Level,
        ahead: usize,
        ahead_in_level: usize,
        remaining: Millis,
        now: Millis,
    ) -> bool {
        let rank = level.rank();
        let Some(since) = self.held_since[rank] else { return true };
        let held = now.since(since);
        if held < MIN_HELD_TIME {
            return true;
        }
        // Parts that began before the flows were held are left out, and so is the time
        // before the first of them.
        let first = (since.0 / BUCKET.0 + 1).max((now.0 / BUCKET.0 + 1).saturating_sub(BUCKETS));
        let elapsed = now.since(Millis(first * BUCKET.0)).0.max(1);
        let (mut openings, mut openings_of_level) = (0, 0);
        for bucket in self.buckets.iter().filter(|it| it.number >= first) {
            openings += bucket.openings[..=rank].iter().sum::<u32>();
            openings_of_level += bucket.openings[rank];
        }
        // One opening more than was seen may just be due. At an instance whose share of the
        // slots is about one, none may have been let in for some time.
        let fits = |count: usize, openings: u32| {
            count as u64 * elapsed <= (u64::from(openings) + 1) * RATE_MARGIN * remaining.0
        };
        fits(ahead, openings) && fits(ahead_in_level, openings_of_level)
    }
}
