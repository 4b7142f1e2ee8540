//! Targets that fail a part of their requests while their health probes succeed.

use medlarspur_lib::{collections::Map, ids::DomainName, time::Millis};
use medlarspur_load::{
    outcome::Outcome::{self, Failed, Served, Unanswered, Unknown},
    outlier::{Change, Detector, Listed, OutcomeCounts, Pool, Readmission},
};

/// Targets 1 to `count` of one failure domain, at which one instance sees the outcomes.
struct Service {
    detector: Detector,
    domain: DomainName,
    pools: Map<u64, Pool>,
    count: u64,
}

impl Service {
    fn new(count: u64) -> Service {
        let (detector, domain) = (Detector::new(3), DomainName::new("north"));
        Service { detector, domain, pools: Map::default(), count }
    }

    fn record(&mut self, target: u64, outcomes: &[Outcome], now: u64) {
        for outcome in outcomes {
            self.detector.record(target, *outcome, Millis(now));
        }
    }

    /// Records served requests at all targets.
    fn serve_all(&mut self, each: usize, now: u64) {
        (1..=self.count).for_each(|it| self.record(it, &vec![Served; each], now));
    }

    /// Sets the reports of other instances on a target, as served and bad outcomes.
    fn report(&mut self, target: u64, reports: &[(u16, u16)]) {
        let counts =
            |(served, bad): &(u16, u16)| OutcomeCounts { served: served * 10, bad: bad * 10 };
        self.pools.insert(target, Pool::new(reports.iter().map(counts)));
    }

    fn evaluate(&mut self, now: u64) -> Vec<Change> {
        let domain = &self.domain;
        let listed: Vec<_> = (1..=self.count).map(|target| Listed { target, domain }).collect();
        self.detector.evaluate(&listed, &self.pools, Millis(now))
    }

    fn excluded(&mut self, now: u64) -> Vec<u64> {
        self.evaluate(now);
        (1..=self.count).filter(|it| self.detector.is_excluded(*it)).collect()
    }

    /// Tries a target with a new flow, and returns whether that ended its exclusion.
    fn try_with(&mut self, target: u64, outcome: Outcome, now: u64) -> Option<Readmission> {
        self.detector.start_trial(target, Millis(now));
        match self.detector.end_trial(target, outcome, None, Millis(now)) {
            Some(Change::Readmitted { cause, .. }) => Some(cause),
            _ => None,
        }
    }

    /// The time of the next possible trial by a flow.
    fn trial_time(&self, target: u64, is_preferred: bool, from: u64) -> u64 {
        let may_try = |at: &u64| {
            let pool = self.pools.get(&target);
            self.detector.may_try(target, is_preferred, pool, Millis(*at))
        };
        (from..from + 100_000).find(may_try).expect("a trial")
    }
}

/// Six targets of which the first fails its requests and is excluded at 0 ms. Its open flows are
/// served from then on.
fn with_excluded_target() -> Service {
    let mut service = Service::new(6);
    service.serve_all(4, 0);
    service.record(1, &[Failed, Unanswered, Failed, Failed], 0);
    assert_eq!(service.excluded(0), [1]);
    service.record(1, &[Served; 20], 0);
    service
}

/// Guards against new flows at a target that fails half of its requests.
#[test]
fn a_target_that_fails_more_than_its_peers_is_excluded() {
    let mut service = Service::new(6);
    service.serve_all(4, 0);
    service.record(1, &[Failed, Failed], 0);
    assert_eq!(service.excluded(0), [0; 0]);

    service.record(1, &[Unanswered], 0);

    let changes = service.evaluate(0);
    let [Change::Excluded { target: 1, evidence, .. }] = changes[..] else { panic!("{changes:?}") };
    assert_eq!(evidence.own, OutcomeCounts { served: 40, bad: 30 });
}

/// Guards against fewer targets during overload, when all targets reject requests.
#[test]
fn no_target_is_excluded_if_all_fail() {
    for bad in [2, 4, 12] {
        let mut service = Service::new(6);
        service.serve_all(4, 0);
        (1..=6).for_each(|it| service.record(it, &vec![Failed; bad], 0));
        service.record(3, &[Failed, Failed], 0);

        assert_eq!(service.excluded(0), [0; 0], "{bad} bad outcomes each");
    }

    let mut service = Service::new(6);
    (1..=6).for_each(|it| service.record(it, &[Served, Failed], 0));
    service.record(3, &[Failed; 14], 0);
    assert_eq!(service.excluded(0), [0; 0], "one fails even more");
}

/// Guards against exclusions during overload by an instance that saw few failures itself and is
/// told of many.
#[test]
fn reports_of_failures_at_most_targets_exclude_none() {
    let mut service = Service::new(12);
    (2..=12).for_each(|it| service.record(it, &[Served; 2], 0));
    (2..=12).for_each(|it| service.report(it, &[(2, 2); 4]));

    service.report(1, &[(1, 3); 4]);

    assert_eq!(service.excluded(0), [0; 0]);
}

/// Guards against a service that loses most of its targets to exclusions.
#[test]
fn at_most_a_third_of_the_targets_is_excluded() {
    for (count, max) in [(1, 0), (2, 0), (3, 1), (5, 1), (6, 2), (12, 4)] {
        let mut service = Service::new(count);
        service.serve_all(60, 0);
        let failing = count.div_ceil(2);
        (1..=failing).for_each(|it| service.record(it, &[Failed; 35], 0));

        assert_eq!(service.excluded(0).len(), max, "of {count} targets");
    }
}

/// Guards against exclusions that outlast the targets that replaced the excluded ones.
#[test]
fn a_target_is_readmitted_if_too_few_are_left() {
    let mut service = with_excluded_target();
    service.count = 2;

    let changes = service.evaluate(500);

    let is_readmission =
        |it: &Change| matches!(it, Change::Readmitted { cause: Readmission::Scarcity, .. });
    assert!(changes.len() == 1 && changes.iter().all(is_readmission), "{changes:?}");
}

/// Guards against exclusions for failures that are long past, and by an instance that was
/// frozen and resumes with old counts.
#[test]
fn old_outcomes_do_not_count() {
    let mut service = Service::new(6);
    service.serve_all(4, 0);
    service.record(1, &[Failed, Failed], 0);
    service.serve_all(4, 8_000);
    service.record(1, &[Failed], 8_000);

    assert_eq!(service.excluded(8_000), [0; 0]);
}

/// Guards against faults that no single instance sees often enough.
#[test]
fn reports_of_several_instances_exclude_a_target() {
    let mut service = Service::new(6);
    service.serve_all(3, 0);
    service.detector = Detector::new(3);
    (2..=6).for_each(|it| service.record(it, &[Served; 2], 0));

    service.report(1, &[(1, 1), (0, 1), (1, 1), (1, 0)]);

    assert_eq!(service.excluded(0), [1]);
}

/// Guards against one instance that falsely reports a failing target, alone and beside a failure
/// by chance that this or another instance saw.
#[test]
fn one_reporter_excludes_no_target() {
    for (own, others) in [
        (&[][..], &[(0, 200)][..]),
        (&[Failed], &[(0, 200)]),
        (&[Served, Failed], &[(0, 200), (1, 0)]),
        (&[Served], &[(0, 200), (0, 1), (1, 0), (1, 0), (2, 0)]),
    ] {
        let mut service = Service::new(6);
        (2..=6).for_each(|it| service.record(it, &[Served; 4], 0));
        service.record(1, own, 0);
        service.report(1, others);

        assert_eq!(service.excluded(0), [0; 0], "{own:?}, {others:?}");
    }
}

/// Guards against exclusions by reports of a target that serves the instance that gets them, as
/// with faults that affect other callers only.
#[test]
fn a_target_that_serves_this_instance_is_not_excluded_by_reports() {
    let mut service = Service::new(6);
    service.serve_all(3, 0);

    service.report(1, &[(0, 4), (0, 4), (0, 4), (0, 4)]);

    assert_eq!(service.excluded(0), [0; 0]);
}

/// Guards against reports that outweigh many good outcomes seen by this instance because one
/// of its own requests failed by chance.
#[test]
fn one_failure_does_not_make_reports_outweigh_many_served_requests() {
    let mut service = Service::new(6);
    service.serve_all(30, 0);
    service.record(1, &[Failed], 0);

    service.report(1, &[(0, 4), (0, 4), (0, 4), (0, 4)]);

    assert_eq!(service.excluded(0), [0; 0]);
}

/// Guards against new flows at a target that still fails, and against several trials at once.
#[test]
fn pauses_double_after_bad_trials() {
    let mut service = with_excluded_target();
    let (mut now, mut pauses) = (0, Vec::new());
    for _ in 0..6 {
        let trial = service.trial_time(1, true, now);
        pauses.push((trial - now) / 1000);
        now = trial;
        service.detector.start_trial(1, Millis(now));
        assert!(!service.detector.may_try(1, true, None, Millis(now + 100)));
        assert_eq!(service.try_with(1, Unanswered, now), None);
    }

    // Up to half of each pause is added at random.
    let limits = [2, 4, 8, 16, 32, 32];
    let are_doubled = pauses.iter().zip(limits).all(|(it, min)| (min..=min + min / 2).contains(it));
    assert!(are_doubled, "{pauses:?}");
}

/// Guards against a target that recovers and stays excluded, also where no answer can be told
/// to be a good one, or the trial's caller goes away.
#[test]
fn served_trials_end_an_exclusion() {
    let mut service = with_excluded_target();
    let trial = service.trial_time(1, true, 0);
    assert_eq!(service.trial_time(1, false, 0), trial + 2_000);
    assert_eq!(service.try_with(1, Served, trial), Some(Readmission::Served));
    assert_eq!(service.excluded(trial), [0; 0]);

    let mut service = with_excluded_target();
    service.detector.start_trial(1, Millis(trial));
    assert_eq!(service.trial_time(1, true, trial), trial + 5_000);
}

/// Guards against exclusions without end in services whose flows carry one request each, and
/// against an answer of unknown kind that ends one where others are known to be good.
#[test]
fn unknown_trials_end_an_exclusion_only_if_no_outcome_is_known() {
    for (is_known, ending) in [(false, Some(Readmission::Answered)), (true, None)] {
        let mut service = with_excluded_target();
        let mut now = 20_000;
        for _ in 0..2 {
            assert_eq!(service.try_with(1, Unknown, now), None);
            assert_eq!(service.trial_time(1, true, now), now + 1_000);
            now += 1_000;
        }
        if is_known {
            service.serve_all(1, now);
        }
        assert_eq!(service.try_with(1, Unknown, now), ending);
    }
}

/// Guards against a target that fails half of its requests and is back after each served trial
/// for as long as if it had never been excluded.
#[test]
fn an_exclusion_soon_after_another_is_longer() {
    let mut service = with_excluded_target();
    let trial = service.trial_time(1, true, 0);
    service.try_with(1, Served, trial);

    service.serve_all(4, trial);
    service.record(1, &[Failed; 4], trial);
    assert_eq!(service.excluded(trial), [1]);

    assert!(service.trial_time(1, true, trial) >= trial + 4_000);
}

/// Guards against reports from before a served trial that exclude the target again.
#[test]
fn earlier_reports_do_not_exclude_a_readmitted_target() {
    let mut service = with_excluded_target();
    let trial = service.trial_time(1, true, 0);
    service.try_with(1, Served, trial);
    (2..=6).for_each(|it| service.record(it, &[Served; 4], trial));

    service.report(1, &[(0, 4), (0, 4), (0, 4)]);

    assert_eq!(service.excluded(trial + 1_000), [0; 0]);
}

/// Guards against trials of all instances at a target that still fails, and against one wrong
/// reporter that keeps a target excluded for ever.
#[test]
fn reports_put_off_trials_for_a_limited_time() {
    let mut service = with_excluded_target();
    let first = service.trial_time(1, true, 0);

    service.report(1, &[(0, 4)]);

    assert_eq!(service.trial_time(1, true, 0), first + 30_000);
}
