//! Passive outlier detection: which targets of a service fail more requests than the others
//! and therefore get no new flows for a while.
//!
//! Handles targets that fail or leave unanswered a part of their requests while their health
//! probes succeed, in some cases only for the callers of one failure domain. Overload, where
//! all targets reject requests, excludes none.
//!
//! The method is the outlier ejection of service proxies. A target is excluded if its share
//! of bad outcomes exceeds a fixed share, a multiple of that of the service's others, and
//! what chance explains. The exclusion lasts for a pause that doubles; then single flows try
//! the target. One instance sees a target only every few seconds, so the counts of other
//! instances are added to its own. They are trusted less: each counts for a few outcomes, and
//! the result must hold without the worst of them. The alternatives are discussed in
//! `docs/design/outlier.md`.

use crate::{outcome::Outcome, random::Random};
use medlarspur_lib::{
    collections::{Map, Set},
    ids::DomainName,
    time::Millis,
};
use std::{cmp::Reverse, fmt};

/// Time constant with which counts decay. In a failure domain of 17 instances, a target gets
/// some three requests a second, so about twelve outcomes count. With 5 s, outcomes from before
/// a fault hid it for half a second longer in a trial, and with 3 s few outcomes count.
const DECAY_TIME: Millis = Millis::secs(4);
/// Decayed count above which at least three outcomes were recorded.
const THREE_OUTCOMES: f32 = 2.0;
/// Decayed count above which at least two outcomes were recorded.
const TWO_OUTCOMES: f32 = 1.0;
/// Decayed count above which at least one outcome was recorded within some 3 s.
const ONE_RECENT_OUTCOME: f32 = 0.5;
/// Decayed count below which no outcome is recent: a single one is 6 s old.
const NEGLIGIBLE: f32 = 0.2;
/// Share of bad outcomes up to which no target is excluded. A target that fails 45 % of its
/// requests exceeds it 2.4 s after the fault began, when most outcomes from before have decayed.
const MIN_BAD_SHARE: f32 = 0.2;
/// Multiple of the others' share that an outlier must exceed. With twice their share, none of
/// two failing targets among three would be excluded.
const PEER_FACTOR: f32 = 1.5;
/// Share of bad outcomes at the others above which no target is excluded. So many failures
/// have a cause that the targets share, such as overload, and fewer targets would worsen it.
const MAX_PEER_SHARE: f32 = 0.4;
/// Share of bad outcomes that is assumed at the others at least. A few outcomes without a
/// failure don't show that there are none.
const MIN_PEER_SHARE: f32 = 0.02;
/// Number of standard deviations of a binomial distribution by which the bad outcomes must
/// exceed those expected from the others' share. Among 120 targets, chance exceeds it at one.
const DEVIATIONS: f32 = 2.5;
/// Own outcomes at the others from which on these alone make up the others' share. Instances
/// report targets with bad outcomes only, which would make the others look bad.
const MIN_OWN_PEERS: f32 = 10.0;
/// Own outcomes at a target from which on reports on it are ignored. With so many, a single
/// failure by chance must not make reports of a fault that only others see count.
const MIN_OWN_OUTCOMES: f32 = 10.0;
/// Maximum number of outcomes for which the report of one instance counts.
const MAX_REPORT_WEIGHT: f32 = 4.0;
/// One in this many of a service's listed targets in a failure domain may be excluded.
const MAX_EXCLUDED_FRACTION: usize = 3;

/// Duration of the first exclusion. A fault may last only some ten seconds, and a target that
/// was excluded by mistake should not be missing for long.
const FIRST_PAUSE: Millis = Millis::secs(2);
/// Maximum number of times that the pause doubles, to 32 s.
const MAX_DOUBLINGS: u32 = 4;
/// Maximum part of a pause that is added at random. All instances of a domain exclude a
/// target at about the same time, and a hundred trials at once would overload it.
const PAUSE_SPREAD: f64 = 0.5;
/// Time after an exclusion within which the next one is longer. A target that fails half of
/// its requests passes every other trial.
const REPEAT_TIME: Millis = Millis::secs(30);
/// Time after an exclusion during which reports from others are ignored: the reports may
/// still contain what led to it.
const REPORT_GRACE: Millis = Millis::secs(3);
/// Time for which a trial waits for a preferred flow before it takes any other.
const ANY_TRIAL_DELAY: Millis = Millis::secs(2);
/// Maximum time for which trials are put off after a pause while instances still see the target
/// fail, on open flows or in their own trials. Without reports, the trials of 17 instances
/// would fail about as many requests as those that the target no longer gets. Without this
/// limit, one wrong reporter could exclude a target for ever.
const MAX_DEFERRAL: Millis = Millis::secs(30);
/// Time after which a trial without an outcome no longer blocks the next one. Its caller may
/// have closed the flow, or its packets pass through another instance.
const TRIAL_TIMEOUT: Millis = Millis::secs(5);
/// Number of trials in a row with answers of unknown kind that end an exclusion, if no answers
/// of the service are known to be good ones. Where its flows carry one request each, none are.
const UNKNOWN_TRIALS: u32 = 3;
/// Time from a trial of unknown outcome to the next. Short flows would otherwise follow each
/// other at a target that fails them.
const UNKNOWN_TRIAL_PAUSE: Millis = Millis::secs(1);

/// Numbers of recent outcomes, in tenths since they decay.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Requests that were served.
    pub served: u16,
    /// Requests that failed or were left unanswered.
    pub bad: u16,
}

/// What is known about a target.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// Outcomes seen by this instance.
    pub own: OutcomeCounts,
    /// Outcomes reported by other instances, as far as they count.
    pub others: OutcomeCounts,
    /// Number of instances that reported them.
    pub reporters: u32,
}

/// A listed target of a service.
#[derive(Debug, Clone, Copy)]
pub struct Listed<'a> {
    /// Number that identifies the target.
    pub target: u64,
    /// Failure domain of the target.
    pub domain: &'a DomainName,
}

/// A change of the targets that are excluded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A target gets no new flows for some time.
    Excluded {
        /// The target.
        target: u64,
        /// Time until the first trial.
        pause: Millis,
        /// What led to the exclusion.
        evidence: Evidence,
    },
    /// A target gets new flows again.
    Readmitted {
        /// The target.
        target: u64,
        /// Duration of the exclusion.
        after: Millis,
        /// Why the exclusion ended.
        cause: Readmission,
        /// What is known about the target.
        evidence: Evidence,
    },
}

/// Reason why an exclusion ended. The log prints the variant names in lower case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readmission {
    /// A trial was served.
    Served,
    /// Several trials were answered, by answers that may have been good or bad.
    Answered,
    /// Too few targets are left.
    Scarcity,
}

/// Outcomes that other instances report for one target.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Pool {
    total: Tally,
    /// The report with the most bad outcomes, which is part of the total.
    worst: Tally,
    reporters: u32,
}

#[derive(Debug, Default, Clone, Copy, PartialEq)]
struct Tally {
    served: f32,
    bad: f32,
}

/// Outcomes of requests at one target, which decay.
#[derive(Debug, Default, Clone, Copy)]
struct Recent {
    tally: Tally,
    at: Millis,
}

#[derive(Debug, Default)]
struct Record {
    own: Recent,
    exclusion: Option<Exclusion>,
    /// End and number of doublings of the last exclusion.
    last_exclusion: Option<(Millis, u32)>,
}

#[derive(Debug, Clone, Copy)]
struct Exclusion {
    since: Millis,
    paused_until: Millis,
    /// Time of the next trial, which may be some time after the pause.
    next_trial: Millis,
    /// Time until which evidence of others against the target puts off its trials.
    deferred_until: Millis,
    doublings: u32,
    /// Start of the trial in progress.
    trial_since: Option<Millis>,
    unknown_trials: u32,
}

/// Outlier detection among the targets of one service.
#[derive(Debug)]
pub struct Detector {
    records: Map<u64, Record>,
    random: Random,
}

impl fmt::Display for OutcomeCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let OutcomeCounts { served, bad } = *self;
        write!(f, "{}.{}/{}.{}", served / 10, served % 10, bad / 10, bad % 10)
    }
}

impl Tally {
    fn total(self) -> f32 {
        self.served + self.bad
    }

    fn bad_share(self) -> f32 {
        if self.total() > 0.0 { self.bad / self.total() } else { 0.0 }
    }

    fn scaled(self, factor: f32) -> Tally {
        Tally { served: self.served * factor, bad: self.bad * factor }
    }

    fn plus(self, other: Tally) -> Tally {
        Tally { served: self.served + other.served, bad: self.bad + other.bad }
    }

    fn minus(self, other: Tally) -> Tally {
        Tally { served: self.served - other.served, bad: self.bad - other.bad }
    }

    fn counts(self) -> OutcomeCounts {
        let tenths = |count: f32| (count * 10.0).round() as u16;
        OutcomeCounts { served: tenths(self.served), bad: tenths(self.bad) }
    }

    /// Whether the bad outcomes are more than a target fails whose others have this share.
    fn exceeds(self, peer_share: f32) -> bool {
        let expected = peer_share.max(MIN_PEER_SHARE);
        let deviation = (self.total() * expected * (1.0 - expected)).sqrt();
        self.bad > THREE_OUTCOMES
            && self.bad_share() > MIN_BAD_SHARE
            && self.bad_share() > PEER_FACTOR * peer_share
            && self.bad > self.total() * expected + DEVIATIONS * deviation
    }
}

impl Recent {
    fn at(self, now: Millis) -> Tally {
        let age = now.since(self.at).0 as f32 / DECAY_TIME.0 as f32;
        self.tally.scaled((-age).exp())
    }

    fn record(&mut self, outcome: Outcome, now: Millis) {
        let mut tally = self.at(now);
        match outcome {
            Outcome::Served => tally.served += 1.0,
            Outcome::Failed | Outcome::Unanswered => tally.bad += 1.0,
            Outcome::Unknown => {}
        }
        *self = Recent { tally, at: now };
    }
}

impl Pool {
    /// Combines the reports of other instances, one of each.
    pub fn new(reports: impl IntoIterator<Item = OutcomeCounts>) -> Pool {
        let mut pool = Pool::default();
        for counts in reports {
            let tally = Tally { served: f32::from(counts.served), bad: f32::from(counts.bad) };
            let tally = tally.scaled(0.1);
            let tally = tally.scaled((MAX_REPORT_WEIGHT / tally.total().max(0.1)).min(1.0));
            pool.total = pool.total.plus(tally);
            pool.reporters += 1;
            if tally.bad > pool.worst.bad {
                pool.worst = tally;
            }
        }
        pool
    }
}

impl Exclusion {
    /// Starts a pause, the longer the more exclusions or failed trials there were before.
    fn pause(&mut self, doublings: u32, now: Millis, random: &mut Random) -> Millis {
        self.doublings = doublings.min(MAX_DOUBLINGS);
        let pause = (FIRST_PAUSE.0 << self.doublings) as f64;
        let pause = Millis((pause * (1.0 + PAUSE_SPREAD * random.fraction())) as u64);
        self.paused_until = now + pause;
        self.next_trial = self.paused_until;
        self.deferred_until = self.paused_until + MAX_DEFERRAL;
        self.trial_since = None;
        pause
    }
}

impl Record {
    /// Reports about the target, unless they may precede the end of its last exclusion.
    fn usable_pool(&self, pool: Option<&Pool>, now: Millis) -> Pool {
        let is_stale = self.last_exclusion.is_some_and(|(end, _)| now.since(end) < REPORT_GRACE);
        pool.copied().filter(|_| !is_stale).unwrap_or_default()
    }

    /// Whether the target is an outlier, by the own outcomes and by those of others.
    fn is_outlier(&self, pool: Pool, peer_share: f32, now: Millis) -> bool {
        let own = self.own.at(now);
        if peer_share > MAX_PEER_SHARE {
            return false;
        }
        if own.exceeds(peer_share) {
            return true;
        }
        let is_good = own.served > THREE_OUTCOMES && own.bad_share() <= peer_share;
        if is_good || own.total() >= MIN_OWN_OUTCOMES {
            return false;
        }
        let all = own.plus(pool.total);
        // One instance that reports wrongly must not decide together with a few outcomes that
        // are bad by chance.
        let rest = all.minus(pool.worst);
        all.exceeds(peer_share) && rest.bad > TWO_OUTCOMES && rest.bad_share() > MIN_BAD_SHARE
    }

    /// Whether recent outcomes show that the target still fails.
    fn is_failing(&self, pool: Option<&Pool>, now: Millis) -> bool {
        let all = self.own.at(now).plus(pool.copied().unwrap_or_default().total);
        all.bad > ONE_RECENT_OUTCOME && all.bad_share() > MIN_BAD_SHARE
    }

    fn exclude(&mut self, now: Millis, random: &mut Random) -> Millis {
        let repeated = self.last_exclusion.filter(|(end, _)| now.since(*end) < REPEAT_TIME);
        let mut exclusion = Exclusion {
            since: now,
            paused_until: now,
            next_trial: now,
            deferred_until: now,
            doublings: 0,
            trial_since: None,
            unknown_trials: 0,
        };
        let pause =
            exclusion.pause(repeated.map_or(0, |(_, doublings)| doublings + 1), now, random);
        self.exclusion = Some(exclusion);
        pause
    }

    /// Ends the exclusion and forgets what led to it. Returns its duration.
    fn readmit(&mut self, now: Millis) -> Millis {
        let Some(exclusion) = self.exclusion.take() else { return Millis(0) };
        self.last_exclusion = Some((now, exclusion.doublings));
        self.own = Recent::default();
        now.since(exclusion.since)
    }

    fn is_needed(&self, now: Millis) -> bool {
        self.exclusion.is_some()
            || self.own.at(now).total() > NEGLIGIBLE
            || self.last_exclusion.is_some_and(|(end, _)| now.since(end) < REPEAT_TIME)
    }

    fn evidence(&self, pool: Option<&Pool>, now: Millis) -> Evidence {
        let pool = pool.copied().unwrap_or_default();
        Evidence {
            own: self.own.at(now).counts(),
            others: pool.total.counts(),
            reporters: pool.reporters,
        }
    }
}

impl Detector {
    /// Creates a detector without outcomes. The seed spreads the pauses of several instances.
    pub fn new(seed: u64) -> Detector {
        Detector { records: Map::default(), random: Random::new(seed) }
    }

    /// Records the outcome of a request at a target.
    pub fn record(&mut self, target: u64, outcome: Outcome, now: Millis) {
        if outcome != Outcome::Unknown {
            self.records.entry(target).or_default().own.record(outcome, now);
        }
    }

    /// Excludes the outliers among the listed targets, as many as may be missing in each
    /// failure domain, and readmits targets if too many are missing. `pools` has the reports
    /// of other instances by target.
    pub fn evaluate(
        &mut self,
        listed: &[Listed<'_>],
        pools: &Map<u64, Pool>,
        now: Millis,
    ) -> Vec<Change> {
        self.records.retain(|_, record| record.is_needed(now));
        let mut changes = Vec::new();
        let mut domains: Map<&DomainName, Vec<u64>> = Map::default();
        for it in listed {
            domains.entry(it.domain).or_default().push(it.target);
        }
        let outliers: Set<u64> = self.outliers(listed, pools, now).into_iter().collect();
        for targets in domains.values() {
            let (mut excluded, included): (Vec<u64>, Vec<u64>) =
                targets.iter().partition(|it| self.is_excluded(**it));
            let max = targets.len() / MAX_EXCLUDED_FRACTION;
            excluded.sort_by_key(|it| (self.exclusion(*it).map(|it| it.since), *it));
            for target in excluded.drain(max.min(excluded.len())..) {
                let evidence = self.evidence(target, pools.get(&target), now);
                let Some(record) = self.records.get_mut(&target) else { continue };
                let after = record.readmit(now);
                let cause = Readmission::Scarcity;
                changes.push(Change::Readmitted { target, after, cause, evidence });
            }
            let mut found: Vec<u64> =
                included.into_iter().filter(|it| outliers.contains(it)).collect();
            let bad = |it: u64| self.combined(it, pools, now).counts().bad;
            found.sort_by_key(|it| (Reverse(bad(*it)), *it));
            for target in found.into_iter().take(max - excluded.len()) {
                let evidence = self.evidence(target, pools.get(&target), now);
                let record = self.records.entry(target).or_default();
                let pause = record.exclude(now, &mut self.random);
                changes.push(Change::Excluded { target, pause, evidence });
            }
        }
        changes
    }

    /// The listed targets that are not excluded and fail more than the others.
    fn outliers(&self, listed: &[Listed<'_>], pools: &Map<u64, Pool>, now: Millis) -> Vec<u64> {
        let included = || listed.iter().map(|it| it.target).filter(|it| !self.is_excluded(*it));
        let own = |target| self.records.get(&target).map_or(Tally::default(), |it| it.own.at(now));
        let own_total = included().map(own).fold(Tally::default(), Tally::plus);
        let all = |target| self.combined(target, pools, now);
        let all_total = included().map(all).fold(Tally::default(), Tally::plus);
        // If most targets fail, most are reported, and reports show how much they fail.
        let failing = included().filter(|it| all(*it).bad > NEGLIGIBLE).count();
        let is_common = failing * 2 > listed.len();
        let unseen = Record::default();
        let is_outlier = |target: &u64| {
            let own_peers = own_total.minus(own(*target));
            let peers = match own_peers.total() >= MIN_OWN_PEERS && !is_common {
                true => own_peers,
                false => all_total.minus(all(*target)),
            };
            let record = self.records.get(target).unwrap_or(&unseen);
            let pool = record.usable_pool(pools.get(target), now);
            // Differences of sums may be slightly negative.
            let peer_share = if peers.total() < NEGLIGIBLE { 0.0 } else { peers.bad_share() };
            record.is_outlier(pool, peer_share.clamp(0.0, 1.0), now)
        };
        included().filter(is_outlier).collect()
    }

    /// All outcomes at a target that are known.
    fn combined(&self, target: u64, pools: &Map<u64, Pool>, now: Millis) -> Tally {
        let own = self.records.get(&target).map_or(Tally::default(), |it| it.own.at(now));
        own.plus(pools.get(&target).copied().unwrap_or_default().total)
    }

    fn exclusion(&self, target: u64) -> Option<&Exclusion> {
        self.records.get(&target)?.exclusion.as_ref()
    }

    /// Whether a target is excluded.
    pub fn is_excluded(&self, target: u64) -> bool {
        self.exclusion(target).is_some()
    }

    /// Duration of a target's exclusion so far, and time until the next trial.
    pub fn exclusion_times(&self, target: u64, now: Millis) -> Option<(Millis, Millis)> {
        let exclusion = self.exclusion(target)?;
        Some((now.since(exclusion.since), exclusion.paused_until.since(now)))
    }

    /// Whether any target is excluded.
    pub fn has_excluded(&self) -> bool {
        self.records.values().any(|it| it.exclusion.is_some())
    }

    /// Whether a new flow may try an excluded target. Preferred flows go first: those that may
    /// be repeated, and whose outcome will be known.
    pub fn may_try(
        &self,
        target: u64,
        is_preferred: bool,
        pool: Option<&Pool>,
        now: Millis,
    ) -> bool {
        let delay = if is_preferred { Millis(0) } else { ANY_TRIAL_DELAY };
        let Some(record) = self.records.get(&target) else { return false };
        record.exclusion.is_some_and(|it| {
            let is_trying = it.trial_since.is_some_and(|at| now.since(at) < TRIAL_TIMEOUT);
            let is_due = now >= it.next_trial && now >= it.paused_until + delay;
            is_due && !is_trying && (now >= it.deferred_until || !record.is_failing(pool, now))
        })
    }

    /// Records that a new flow tries an excluded target.
    pub fn start_trial(&mut self, target: u64, now: Millis) {
        let exclusion = self.records.get_mut(&target).and_then(|it| it.exclusion.as_mut());
        if let Some(exclusion) = exclusion {
            exclusion.trial_since = Some(now);
        }
    }

    /// Records the outcome of a trial. Returns the change if the target is readmitted.
    pub fn end_trial(
        &mut self,
        target: u64,
        outcome: Outcome,
        pool: Option<&Pool>,
        now: Millis,
    ) -> Option<Change> {
        let served = self.records.values().map(|it| it.own.at(now).served).sum::<f32>();
        let record = self.records.get_mut(&target)?;
        let exclusion = record.exclusion.as_mut()?;
        exclusion.trial_since = None;
        let cause = match outcome {
            Outcome::Served => Readmission::Served,
            Outcome::Failed | Outcome::Unanswered => {
                exclusion.unknown_trials = 0;
                exclusion.pause(exclusion.doublings + 1, now, &mut self.random);
                return None;
            }
            Outcome::Unknown => {
                exclusion.unknown_trials += u32::from(served <= THREE_OUTCOMES);
                exclusion.next_trial = now + UNKNOWN_TRIAL_PAUSE;
                if exclusion.unknown_trials < UNKNOWN_TRIALS {
                    return None;
                }
                Readmission::Answered
            }
        };
        let evidence = record.evidence(pool, now);
        let after = record.readmit(now);
        record.own.record(outcome, now);
        Some(Change::Readmitted { target, after, cause, evidence })
    }

    /// What is known about a target.
    pub fn evidence(&self, target: u64, pool: Option<&Pool>, now: Millis) -> Evidence {
        let unseen = Record::default();
        self.records.get(&target).unwrap_or(&unseen).evidence(pool, now)
    }

    /// Own outcomes to report to other instances: those at targets with bad outcomes, seen here
    /// or reported by others. Without the good outcomes of instances that saw no bad one, a
    /// few bad ones would look like a high share.
    pub fn reports<'a>(
        &'a self,
        pools: &'a Map<u64, Pool>,
        now: Millis,
    ) -> impl Iterator<Item = (u64, OutcomeCounts)> + 'a {
        self.records.iter().filter_map(move |(target, record)| {
            let own = record.own.at(now);
            let is_reported = || pools.get(target).is_some_and(|pool| pool.total.bad > NEGLIGIBLE);
            let is_wanted = own.bad > NEGLIGIBLE || own.total() > NEGLIGIBLE && is_reported();
            is_wanted.then(|| (*target, own.counts()))
        })
    }

    /// Removes targets that no longer exist.
    pub fn retain(&mut self, is_known: impl Fn(u64) -> bool) {
        self.records.retain(|target, _| is_known(*target));
    }

    /// Whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
