//! Targets that fail more requests than the others of their service.
//!
//! [`medlarspur_load::outlier`] decides by the outcomes that this instance sees
//! ([`outcomes`](super::outcomes)) and by those that other instances of the failure domain
//! report ([`Fleet`](crate::Fleet)). An excluded target keeps its open flows: it lives, and a
//! reset could break a healthy flow. It gets a new flow if no other target can take it. The
//! design alternatives are in `docs/design/outlier.md`.

use super::{Forwarder, Output, outcomes::RequestEnd};
use crate::{Entry, FlowKey, Incarnation, Note, Presence};
use medlarspur_lib::{
    bundle::Class,
    collections::{Map, Set},
    ids::ServiceName,
    status::ExcludedStatus,
    time::Millis,
};
use medlarspur_load::{
    outcome::Outcome,
    outlier::{Change, Detector, Listed, OutcomeCounts, Pool},
};

/// Minimum time between two comparisons of a service's targets. A comparison examines all of
/// them, too much for each bad outcome while many requests fail.
const EVALUATION_INTERVAL: Millis = Millis(250);

/// Outlier detection in all services. Empty without the capability `health`.
#[derive(Debug, Default)]
pub(super) struct Outliers {
    detectors: Map<ServiceName, Detector>,
    /// Reports of other instances by target.
    pools: Map<u64, Pool>,
    /// Targets that are excluded.
    excluded: Set<Incarnation>,
    /// Flows that try an excluded target.
    trials: Map<FlowKey, Incarnation>,
    /// Services with new bad outcomes or reports.
    changed: Set<ServiceName>,
    evaluated_at: Millis,
}

impl Forwarder {
    /// Number of targets that are excluded because they fail more than their peers.
    pub fn count_excluded(&self) -> usize {
        self.outliers.excluded.len()
    }

    /// Whether a target is excluded because it fails more than its peers.
    pub(super) fn is_outlier(&self, entry: &Entry) -> bool {
        let excluded = &self.outliers.excluded;
        !excluded.is_empty() && excluded.contains(&entry.target.incarnation)
    }

    /// Whether a new flow may try an excluded target. Flows that may be repeated, and whose
    /// answers show how they ended, go first.
    pub(super) fn may_try_outlier(
        &self,
        entry: &Entry,
        flow: &FlowKey,
        class: Class,
        now: Millis,
    ) -> bool {
        let is_preferred = class != Class::Request && self.outcomes.is_learnt(flow.service);
        let target = entry.target.incarnation.0;
        let pool = self.outliers.pools.get(&target);
        let detector = self.outliers.detectors.get(&entry.target.service);
        detector.is_some_and(|it| it.may_try(target, is_preferred, pool, now))
    }

    /// Records that a new flow goes to a target, which is a trial if the target is excluded and
    /// no other flow tries it.
    pub(super) fn record_trial(&mut self, flow: &FlowKey, target: Incarnation, now: Millis) {
        let outliers = &mut self.outliers;
        if !outliers.excluded.contains(&target) {
            return;
        }
        let Some(entry) = self.catalog.entry(target) else { return };
        let Some(detector) = outliers.detectors.get_mut(&entry.target.service) else { return };
        // The choice of this flow may have waited for a preferred one, or found no other target.
        if detector.may_try(target.0, true, outliers.pools.get(&target.0), now) {
            detector.start_trial(target.0, now);
            outliers.trials.retain(|_, it| *it != target);
            outliers.trials.insert(*flow, target);
        }
    }

    /// Adds the outcome of a request to the counts of its target.
    pub(super) fn record_peer_outcome(
        &mut self,
        service: &ServiceName,
        end: RequestEnd,
        now: Millis,
        out: &mut impl Output,
    ) {
        if !self.options.capabilities.health {
            return;
        }
        let RequestEnd { key, target, outcome, .. } = end;
        let outliers = &mut self.outliers;
        let detector = match outliers.detectors.get_mut(service) {
            Some(detector) => detector,
            None => outliers
                .detectors
                .entry(service.clone())
                .or_insert(Detector::new(self.random.draw())),
        };
        detector.record(target.0, outcome, now);
        let change = if outliers.trials.get(&key) == Some(&target) {
            outliers.trials.remove(&key);
            detector.end_trial(target.0, outcome, outliers.pools.get(&target.0), now)
        } else {
            None
        };
        if matches!(outcome, Outcome::Failed | Outcome::Unanswered)
            && !outliers.changed.contains(service)
        {
            outliers.changed.insert(service.clone());
        }
        if let Some(change) = change {
            self.apply_change(change, out);
        }
    }

    /// Replaces the outcomes that other instances report, by target.
    pub fn set_reports<R: Iterator<Item = OutcomeCounts>>(
        &mut self,
        reports: impl Iterator<Item = (Incarnation, R)>,
    ) {
        if !self.options.capabilities.health {
            return;
        }
        let (catalog, outliers) = (&self.catalog, &mut self.outliers);
        outliers.pools.clear();
        for (target, reports) in reports {
            let Some(entry) = catalog.entry(target) else { continue };
            outliers.pools.insert(target.0, Pool::new(reports));
            outliers.changed.insert(entry.target.service.clone());
        }
    }

    /// Outcomes at targets to report to other instances.
    pub fn reports(&self, now: Millis) -> Vec<(Incarnation, OutcomeCounts)> {
        let Outliers { detectors, pools, .. } = &self.outliers;
        let reports = detectors.values().flat_map(|it| it.reports(pools, now));
        reports.map(|(target, counts)| (Incarnation(target), counts)).collect()
    }

    /// Time of the next comparison of targets.
    pub(super) fn evaluation_deadline(&self) -> Option<Millis> {
        let outliers = &self.outliers;
        (!outliers.changed.is_empty()).then(|| outliers.evaluated_at + EVALUATION_INTERVAL)
    }

    /// Compares the targets of services with new evidence.
    pub(super) fn evaluate_outliers(&mut self, now: Millis, out: &mut impl Output) {
        if self.evaluation_deadline().is_none_or(|due| now < due) {
            return;
        }
        self.outliers.evaluated_at = now;
        for service in std::mem::take(&mut self.outliers.changed) {
            let catalog = &self.catalog;
            let entries = catalog.targets(&service).filter(|it| it.is_listed());
            let entries = entries.filter(|it| !it.target.leaving);
            let listed = entries
                .map(|it| Listed { target: it.target.incarnation.0, domain: &it.target.domain });
            let listed: Vec<Listed<'_>> = listed.collect();
            let seed = self.random.draw();
            let detector = self.outliers.detectors.entry(service);
            let detector = detector.or_insert_with(|| Detector::new(seed));
            let changes = detector.evaluate(&listed, &self.outliers.pools, now);
            for change in changes {
                self.apply_change(change, out);
            }
        }
    }

    fn apply_change(&mut self, change: Change, out: &mut impl Output) {
        match change {
            Change::Excluded { target, pause, evidence } => {
                let target = Incarnation(target);
                self.outliers.excluded.insert(target);
                self.counts.excluded += 1;
                let flows = self.states.get(&target).map_or(0, |state| state.flows);
                out.note(Note::Excluded { target, pause, evidence, flows });
            }
            Change::Readmitted { target, after, cause, evidence } => {
                let target = Incarnation(target);
                self.outliers.excluded.remove(&target);
                self.outliers.trials.retain(|_, it| *it != target);
                self.counts.readmitted += 1;
                out.note(Note::Readmitted { target, after, cause, evidence });
            }
        }
    }

    /// Forgets targets that no longer exist or have restarted. The remaining ones may be too few
    /// for those that are excluded.
    pub(super) fn update_outliers(&mut self) {
        let (catalog, outliers) = (&self.catalog, &mut self.outliers);
        let is_known = |target: u64| {
            let entry = catalog.entry(Incarnation(target));
            entry.is_some_and(|it| !matches!(it.presence, Presence::Replaced(_)))
        };
        outliers.excluded.retain(|it| is_known(it.0));
        outliers.trials.retain(|_, it| is_known(it.0));
        outliers.pools.retain(|it, _| is_known(*it));
        outliers.detectors.retain(|service, detector| {
            detector.retain(is_known);
            if detector.has_excluded() {
                outliers.changed.insert(service.clone());
            }
            !detector.is_empty()
        });
    }

    /// Status of the exclusion of a target, if it is excluded.
    pub(super) fn excluded_status(&self, entry: &Entry, now: Millis) -> Option<ExcludedStatus> {
        let target = entry.target.incarnation.0;
        let outliers = &self.outliers;
        let detector = outliers.detectors.get(&entry.target.service)?;
        let (age, pause) = detector.exclusion_times(target, now)?;
        let evidence = detector.evidence(target, outliers.pools.get(&target), now);
        let percent = |it: OutcomeCounts| {
            let total = u32::from(it.served) + u32::from(it.bad);
            (total > 0).then(|| u32::from(it.bad) * 100 / total)
        };
        Some(ExcludedStatus {
            age,
            pause,
            own_bad_percent: percent(evidence.own),
            others_bad_percent: percent(evidence.others),
            reporters: evidence.reporters,
        })
    }
}
