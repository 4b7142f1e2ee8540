//! Refusal of flows that can't be opened in time, and the order among callers, where the
//! capability `pressure` is on.
//!
//! `medlarspur_load::{shedding, fairness}` decide; they describe the load patterns that this
//! is for.

use super::{Forwarder, Output, Refusal, outcomes::RequestEnd, waiting::NewFlow};
use crate::{FlowKey, Incarnation};
use medlarspur_lib::{bundle::Class, ids::ServiceName, time::Millis};
use medlarspur_load::{
    choice::Demand,
    fairness::{Fairness, Turn},
    outcome::Outcome,
    priority::Level,
    shedding::{OpeningRates, Rejections},
};

/// What is known of the excess of a service.
#[derive(Debug, Default)]
pub(super) struct Excess {
    rejections: Rejections<Incarnation>,
    rates: OpeningRates,
    fairness: Fairness,
}

impl Forwarder {
    /// Records an attempt to open a flow. Returns whether it repeats one that failed a moment
    /// ago.
    pub(super) fn record_attempt(&mut self, it: &NewFlow, now: Millis) -> bool {
        if !self.options.capabilities.pressure {
            return false;
        }
        let level = self.level(&it.service, it.class, &it.key);
        let excess = &mut self.admissions.entry(it.service.clone()).or_default().excess;
        let is_repeated = excess.fairness.record_attempt(level, *it.key.caller.ip(), now);
        self.counts.retried += u64::from(is_repeated);
        is_repeated
    }

    /// Returns the turn of a flow that is about to be held.
    pub(super) fn turn(&self, it: &NewFlow, level: Level, is_repeated: bool, now: Millis) -> Turn {
        let admission = self.admissions.get(&it.service);
        let Some(admission) = admission.filter(|_| self.options.capabilities.pressure) else {
            return Turn::default();
        };
        let caller = it.key.caller.ip();
        let held = admission.backlog.count_matching(|other| {
            other.level.rank() == level.rank() && other.key.caller.ip() == caller
        });
        admission.excess.fairness.turn(level, *caller, held, is_repeated, now)
    }

    /// Records that a new flow was sent to a target.
    pub(super) fn record_opening(
        &mut self,
        service: &ServiceName,
        demand: Demand,
        key: &FlowKey,
        now: Millis,
    ) {
        let Demand { class, level } = demand;
        // Uploads are never held, so they don't show how fast held flows are opened.
        if !self.options.capabilities.pressure || class == Class::Upload {
            return;
        }
        let excess = &mut self.admissions.entry(service.clone()).or_default().excess;
        excess.rates.record_opening(level, now);
        excess.fairness.record_opening(level, *key.caller.ip(), now);
    }

    /// Records that a flow was refused for lack of capacity.
    pub(super) fn record_refusal(
        &mut self,
        service: &ServiceName,
        level: Level,
        key: &FlowKey,
        now: Millis,
    ) {
        let is_on = self.options.capabilities.pressure;
        if let Some(admission) = self.admissions.get_mut(service).filter(|_| is_on) {
            admission.excess.fairness.record_refusal(level, *key.caller.ip(), now);
        }
    }

    /// Lowers the limit of a service if a request was rejected in an overload, and places the
    /// caller's next attempt, or the one that is already held, behind first attempts.
    pub(super) fn record_rejection(
        &mut self,
        service: &ServiceName,
        end: &RequestEnd,
        now: Millis,
    ) {
        if !self.options.capabilities.pressure {
            return;
        }
        let level = self.level(service, end.class, &end.key);
        let failed_at = self.flows.get(&end.key).map_or(now, |flow| flow.last_seen);
        let caller = *end.key.caller.ip();
        let admission = self.admissions.entry(service.clone()).or_default();
        let is_rejected = admission.excess.rejections.record(end.target, end.outcome, now);
        if end.outcome == Outcome::Failed
            && admission.excess.fairness.record_failure(level, caller, failed_at, now)
        {
            admission.backlog.mark_repeated(|it| {
                it.key.caller.ip() == &caller && it.level == level && it.since >= failed_at
            });
        }
        if end.outcome == Outcome::Failed {
            self.record_left_idle(&end.key);
        }
        if is_rejected {
            self.counts.rejected += 1;
            self.lower_limit(service, now);
        }
    }

    /// Counts a flow that its caller has left idle after a failed request.
    fn record_left_idle(&mut self, key: &FlowKey) {
        let Some(mut flow) = self.flows.remove(key) else { return };
        self.account(&flow, -1);
        flow.left_idle = !flow.has_pending_request();
        self.counts.left_idle += u64::from(flow.left_idle);
        self.insert_flow(*key, flow);
    }

    /// Records of which levels flows are held.
    pub(super) fn record_held(&mut self, service: &ServiceName, now: Millis) {
        let is_on = self.options.capabilities.pressure;
        let Some(admission) = self.admissions.get_mut(service).filter(|_| is_on) else { return };
        admission.excess.rates.record_held(&admission.backlog.count_by_level(), now);
    }

    /// Refuses held flows of a service that can't be opened in their time at the rate at which
    /// flows are being opened.
    pub(super) fn shed_held(&mut self, service: &ServiceName, now: Millis, out: &mut impl Output) {
        self.record_held(service, now);
        let is_on = self.options.capabilities.pressure;
        let Some(admission) = self.admissions.get_mut(service).filter(|_| is_on) else { return };
        let rates = &admission.excess.rates;
        let shed = admission.backlog.take_unservable(|it, ahead, ahead_in_level| {
            rates.can_open(it.level, ahead, ahead_in_level, it.deadline.since(now), now)
        });
        for it in shed {
            self.refuse_held(service, &it, Refusal::Shed, now, out);
        }
    }
}
