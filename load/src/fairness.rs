//! The order among the callers of one level.
//!
//! Handles a caller that opens many times as many flows as others, and callers that return
//! at once after a refusal. In the order of arrival, newest first, a caller's share grows
//! with the number of its attempts: one caller takes the capacity of many, and a caller that
//! is refused displaces one that isn't, so that a retry storm sustains itself.
//!
//! Callers are served by max-min fairness: whoever has got less than the mean of the level
//! goes first, and nobody is limited while others leave capacity. Among these, first
//! attempts go before repeated ones. Callers behind one address have one share.

use crate::priority::{Level, MAX_LEVELS};
use medlarspur_lib::time::Millis;
use std::{collections::BTreeMap, net::Ipv4Addr};

/// Maximum number of callers of a level. An instance of the largest planned site gets 48 new
/// flows a second, so fewer callers are current. Further callers count as new ones.
const MAX_CALLERS: usize = 1_024;
/// Time constant with which openings are forgotten: the time budget of a caller.
const USAGE_TIME: Millis = Millis::secs(2);
/// Openings below which a caller is forgotten.
const MIN_USAGE: f32 = 0.1;
/// Interval between removals of callers that are no longer current.
const PRUNE_INTERVAL: Millis = Millis::secs(1);
/// Time after a failed attempt within which another one repeats it: the time budget of a
/// caller.
const REPEAT_WINDOW: Millis = Millis::secs(2);

/// Position of an opening among those of its level; lower ones go first.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Turn {
    /// What the caller has got and waits for, in multiples of the mean of its level.
    pub rank: u16,
    /// Whether the attempt repeats one that failed a moment ago.
    pub repeated: bool,
}

/// What the callers of a service have got recently.
#[derive(Debug, Default, Clone)]
pub struct Fairness {
    levels: [Callers; MAX_LEVELS],
}

#[derive(Debug, Default, Clone)]
struct Callers {
    usages: BTreeMap<Ipv4Addr, Usage>,
    /// Sum of the callers' openings, decayed until `at`.
    total: f32,
    at: Millis,
    pruned: Millis,
}

#[derive(Debug, Default, Clone, Copy)]
struct Usage {
    /// Recent openings, decayed until `at`.
    openings: f32,
    at: Millis,
    attempted_at: Millis,
    /// Number of failed attempts that were not repeated yet, and the time of the last.
    failed: u16,
    failed_at: Millis,
}

impl Usage {
    fn current(&self, now: Millis) -> f32 {
        decay(self.openings, self.at, now)
    }

    fn is_current(&self, now: Millis) -> bool {
        self.current(now) >= MIN_USAGE
            || self.has_failed(now)
            || now.since(self.attempted_at) < USAGE_TIME
    }

    fn has_failed(&self, now: Millis) -> bool {
        self.failed > 0 && now.since(self.failed_at) < REPEAT_WINDOW
    }
}

impl Fairness {
    /// Records an attempt of a caller. Returns whether it repeats a failed one.
    ///
    /// Callers that get nothing count in the mean as well; otherwise a caller that gets
    /// everything would not exceed it.
    ///
    /// Each failed attempt accounts for one repeated one, so that other callers behind the
    /// same address keep their first attempts.
    pub fn record_attempt(&mut self, level: Level, caller: Ipv4Addr, now: Millis) -> bool {
        let Some(usage) = self.level_mut(level).usage_mut(caller, now) else { return false };
        usage.attempted_at = now;
        let is_repeated = usage.has_failed(now);
        usage.failed = if is_repeated { usage.failed - 1 } else { 0 };
        is_repeated
    }

    /// Records that an attempt of a caller was refused here.
    pub fn record_refusal(&mut self, level: Level, caller: Ipv4Addr, now: Millis) {
        if let Some(usage) = self.level_mut(level).usage_mut(caller, now) {
            usage.failed = if usage.has_failed(now) { usage.failed.saturating_add(1) } else { 1 };
            usage.failed_at = now;
        }
    }

    /// Records that an attempt of a caller failed at its target at a time in the past. Returns
    /// whether the caller has made another attempt since then, which is the repeated one.
    ///
    /// That an answer was a failure is known only some time after it, and callers repeat at
    /// once.
    pub fn record_failure(
        &mut self,
        level: Level,
        caller: Ipv4Addr,
        at: Millis,
        now: Millis,
    ) -> bool {
        let usages = &self.level_mut(level).usages;
        let is_repeated = usages.get(&caller).is_some_and(|usage| usage.attempted_at >= at);
        if !is_repeated {
            self.record_refusal(level, caller, now);
        }
        is_repeated
    }

    /// Records that an opening of a caller was let in.
    pub fn record_opening(&mut self, level: Level, caller: Ipv4Addr, now: Millis) {
        let callers = self.level_mut(level);
        let Some(usage) = callers.usage_mut(caller, now) else { return };
        usage.openings = usage.current(now) + 1.0;
        usage.at = now;
        callers.total = decay(callers.total, callers.at, now) + 1.0;
        callers.at = now;
    }

    /// Returns the turn of an opening whose caller has `held` other openings waiting.
    pub fn turn(
        &self,
        level: Level,
        caller: Ipv4Addr,
        held: usize,
        repeated: bool,
        now: Millis,
    ) -> Turn {
        let callers = &self.levels[level.rank()];
        let usage = callers.usages.get(&caller).map_or(0.0, |usage| usage.current(now));
        let mean = decay(callers.total, callers.at, now) / callers.usages.len().max(1) as f32;
        // One opening more than the mean is no excess.
        let rank = (usage + held as f32) / (mean + 1.0);
        Turn { rank: rank as u16, repeated }
    }

    fn level_mut(&mut self, level: Level) -> &mut Callers {
        &mut self.levels[level.rank()]
    }
}

impl Callers {
    /// Returns the usage of a caller, unless there are too many callers.
    fn usage_mut(&mut self, caller: Ipv4Addr, now: Millis) -> Option<&mut Usage> {
        if now.since(self.pruned) >= PRUNE_INTERVAL {
            self.prune(now);
        }
        let is_full = self.usages.len() >= MAX_CALLERS;
        if is_full && !self.usages.contains_key(&caller) {
            return None;
        }
        Some(self.usages.entry(caller).or_default())
    }

    fn prune(&mut self, now: Millis) {
        self.pruned = now;
        self.usages.retain(|_, usage| usage.is_current(now));
        self.total = self.usages.values().map(|usage| usage.current(now)).sum();
        self.at = now;
    }
}

fn decay(openings: f32, at: Millis, now: Millis) -> f32 {
    openings * (-(now.since(at).0 as f32) / USAGE_TIME.0 as f32).exp()
}
