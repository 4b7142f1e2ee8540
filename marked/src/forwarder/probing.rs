//! Detection of targets that do not answer.

use super::{Forwarder, Output, TargetState};
use crate::{Entry, EntryState, FlowKey, Health, Incarnation, Note, Presence, ProbeResult, Target};
use medlarspur_lib::{ids::TargetName, time::Millis};

/// Maximum time for which silence of targets is ignored while no target at all is known to be
/// alive: three probes of 300 ms. The number of silent targets says nothing, since a saturated
/// link silences all of them at once.
const ISOLATION_LIMIT: Millis = Millis(900);
/// Maximum delay before an instance probes a target that is listed again. After a partition of
/// a failure domain, hundreds of instances receive the update of its entry at the same moment,
/// and a target resets most of as many connections.
const MAX_RELISTED_DELAY: Millis = Millis(500);
/// Maximum number of targets with removed entries that an instance without a seat probes per
/// second, apart from those where it may have flows.
const MAX_LAPSE_PROBES: u32 = 16;
/// Time for which other targets are preferred after a request to a target went unanswered.
pub(super) const SUSPECT_TIME: Millis = Millis(300);

/// Budget of probes of targets with removed entries in the current second.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct LapseProbes {
    since: Millis,
    count: u32,
}

impl LapseProbes {
    /// Whether the budget allows one more probe; counts it.
    fn take(&mut self, now: Millis) -> bool {
        if now.since(self.since) >= Millis::secs(1) {
            *self = LapseProbes { since: now, count: 0 };
        }
        self.count += 1;
        self.count <= MAX_LAPSE_PROBES
    }
}

impl Forwarder {
    /// Numbers of listed targets that answer and that do not.
    pub fn live_and_lost(&self) -> (usize, usize) {
        let listed = self.catalog.entries().filter(|it| it.is_listed()).count();
        (listed.saturating_sub(self.lost.len()), self.lost.len())
    }

    /// Acts on a changed entry.
    pub(super) fn apply_entry(&mut self, target: Incarnation, now: Millis, out: &mut impl Output) {
        let Some(entry) = self.catalog.entry(target) else { return };
        let state = match entry.presence {
            Presence::Removed(_) => EntryState::Removed,
            Presence::Unusable(_) => EntryState::Unusable,
            Presence::Replaced(_) => EntryState::Replaced,
            Presence::Listed if entry.target.leaving => EntryState::Leaving,
            Presence::Listed => EntryState::Listed,
        };
        let Target { name, start, leaving, .. } = entry.target.clone();
        let revision = entry.revision;
        out.note(Note::Entry { target, name: name.clone(), start, state, revision });
        match state {
            EntryState::Listed => self.schedule_relisted_probe(target, now),
            EntryState::Removed if !leaving => self.handle_removed(target, now, out),
            EntryState::Replaced => self.handle_replaced(target, &name, now, out),
            _ => {}
        }
    }

    /// Handles the removal of the entry of a target that was not leaving: either the target
    /// died or its entry lapsed. A probe shows which, and matters if flows are there. All
    /// entries of a failure domain may lapse at once; if every instance probed all of its
    /// targets, the probes would be targets times instances. One instance of the domain probes
    /// each target nevertheless, for the sake of new flows; without a seat each instance probes
    /// a few.
    fn handle_removed(&mut self, target: Incarnation, now: Millis, out: &mut impl Output) {
        let is_prober = match self.seat {
            Some(_) => self.catalog.entry(target).is_some_and(|entry| self.owns(entry)),
            None => self.lapse_probes.take(now),
        };
        let Some(state) = self.states.get_mut(&target) else { return };
        state.unprobed = state.flows == 0 && !is_prober;
        if !state.unprobed {
            self.probe(target, now, out);
        }
    }

    /// Probes the target of a flow that another instance opened, if its entry was removed and
    /// this instance has not probed it since.
    pub(super) fn probe_unprobed(
        &mut self,
        target: Incarnation,
        now: Millis,
        out: &mut impl Output,
    ) {
        let state = self.states.get_mut(&target).filter(|state| state.unprobed);
        if let Some(state) = state {
            state.unprobed = false;
            self.probe(target, now, out);
        }
    }

    /// Schedules a probe of a lost target that is listed again. Its entry had lapsed, so
    /// nothing probes it any more, and without a probe it would stay out of use until it
    /// restarts. Instances choose random times, since all receive the update at the same
    /// moment.
    fn schedule_relisted_probe(&mut self, target: Incarnation, now: Millis) {
        let pause = Millis(self.random.draw() % MAX_RELISTED_DELAY.0);
        let Some(state) = self.states.get_mut(&target) else { return };
        if state.health.is_lost() && !self.lost.contains(&target) {
            state.health.defer_probe(now + pause);
            self.lost.push(target);
        }
    }

    /// Handles the restart of a target. Instances that did not know of it yet may have opened
    /// flows with the mark of the earlier start. If the address is the same, these flows are at
    /// the later process; reset as flows of a dead process, they would break, and the process
    /// itself resets flows that it doesn't hold. If the address differs, the earlier process is
    /// probed, and its flows are reset once it is found gone.
    fn handle_replaced(
        &mut self,
        target: Incarnation,
        name: &TargetName,
        now: Millis,
        out: &mut impl Output,
    ) {
        let address = |entry: Option<&Entry>| entry.map(|it| it.target.address);
        if address(self.catalog.entry(target)) != address(self.catalog.latest(name)) {
            return self.probe(target, now, out);
        }
        if let Some(state) = self.states.get_mut(&target) {
            state.health = Health::new(now);
        }
    }

    /// Records that a target is alive.
    pub(super) fn record_alive(&mut self, target: Incarnation, now: Millis, out: &mut impl Output) {
        let Some(state) = self.states.get_mut(&target) else { return };
        self.last_alive = now;
        self.isolated_since = None;
        state.suspected_at = None;
        state.silent = false;
        if state.health.record_alive(now) {
            self.lost.retain(|it| *it != target);
            out.note(Note::Regained { target });
        }
    }

    /// Suspects a target because a packet of `flow`, first sent at `sent`, was not answered.
    pub(super) fn suspect(
        &mut self,
        target: Incarnation,
        flow: FlowKey,
        sent: Millis,
        now: Millis,
        out: &mut impl Output,
    ) {
        let Some(state) = self.states.get_mut(&target) else { return };
        if state.health.suspect(sent, now) {
            self.probe_suspect(target, flow, sent, now, out);
        }
    }

    /// Suspects a target because the opening packet of `flow`, first sent at `sent`, was not
    /// answered.
    pub(super) fn suspect_opening(
        &mut self,
        target: Incarnation,
        flow: FlowKey,
        sent: Millis,
        now: Millis,
        out: &mut impl Output,
    ) {
        let Some(state) = self.states.get_mut(&target) else { return };
        state.count_unanswered(sent, now);
        if state.health.suspect_opening(sent, now) {
            self.probe_suspect(target, flow, sent, now, out);
        }
    }

    /// Suspects a target because the opening packet of `flow`, which was sent late, was not
    /// answered. The target is probed, but other targets are not preferred in the meantime.
    pub(super) fn suspect_late_opening(
        &mut self,
        target: Incarnation,
        flow: FlowKey,
        sent: Millis,
        now: Millis,
        out: &mut impl Output,
    ) {
        let Some(state) = self.states.get_mut(&target) else { return };
        state.late_unanswered = true;
        if state.health.suspect_opening(sent, now) {
            out.note(Note::Suspected { target, flow, silent: now.since(sent) });
            self.probe(target, now, out);
        }
    }

    fn probe_suspect(
        &mut self,
        target: Incarnation,
        flow: FlowKey,
        sent: Millis,
        now: Millis,
        out: &mut impl Output,
    ) {
        if let Some(state) = self.states.get_mut(&target) {
            state.suspected_at = Some(now);
        }
        out.note(Note::Suspected { target, flow, silent: now.since(sent) });
        self.probe(target, now, out);
    }

    /// Sends a probe to a target.
    pub(super) fn probe(&mut self, incarnation: Incarnation, now: Millis, out: &mut impl Output) {
        let Some(entry) = self.catalog.entry(incarnation) else { return };
        let Some(service) = self.catalog.service(&entry.target.service) else { return };
        out.probe(&entry.target, &service.health);
        self.counts.asked += 1;
        let instances = self.instance_count();
        if let Some(state) = self.states.get_mut(&incarnation) {
            state.health.record_probe(now);
            state.vacancy.record_probe(now, instances);
        }
    }

    /// Handles the result of a probe.
    pub fn handle_probe_result(
        &mut self,
        target: Incarnation,
        result: ProbeResult,
        now: Millis,
        out: &mut impl Output,
    ) {
        self.counts.found[result as usize] += 1;
        match result {
            ProbeResult::Answers => self.handle_answered_probe(target, now, out),
            ProbeResult::Declines => self.handle_declined_probe(target, now, out),
            // Its answer may have been lost during the pause.
            ProbeResult::Silent if self.was_probed_before_pause(target) => {
                self.probe(target, now, out);
            }
            ProbeResult::Silent if self.is_isolated(target, now) => {
                self.probe_with_another(target, now, out)
            }
            ProbeResult::Silent => self.handle_silent_probe(target, now, out),
            // A leaving target stops listening before its last flows end.
            ProbeResult::Gone if self.is_leaving(target) => {
                self.handle_silent_probe(target, now, out)
            }
            ProbeResult::Gone => self.mark_lost(target, result, now, out),
        }
    }

    fn is_leaving(&self, target: Incarnation) -> bool {
        self.catalog.entry(target).is_some_and(|it| it.is_listed() && it.target.leaving)
    }

    /// Whether no target at all is known to have been alive since this one was probed. Then
    /// this machine may be the isolated one: its link is saturated or cut, and resetting the
    /// flows of healthy targets would break them. This holds for a limited time: a link that
    /// stays saturated for a second doesn't carry flows any more.
    fn is_isolated(&mut self, target: Incarnation, now: Millis) -> bool {
        let state = self.states.get(&target);
        let last_probe =
            state.filter(|it| !it.health.is_lost()).and_then(|it| it.health.last_probe());
        let is_silent_everywhere = last_probe.is_some_and(|probe| self.last_alive <= probe);
        is_silent_everywhere && now.since(*self.isolated_since.get_or_insert(now)) < ISOLATION_LIMIT
    }

    /// Probes a silent target again, together with another one that should answer, preferably
    /// in the own failure domain, which a partition between domains doesn't affect.
    fn probe_with_another(&mut self, target: Incarnation, now: Millis, out: &mut impl Output) {
        let domain = &self.options.domain;
        let is_suitable = |entry: &&Entry| {
            let it = &entry.target;
            let state = self.states.get(&it.incarnation);
            let is_probed = |state: &TargetState| {
                state.health.last_probe().is_some_and(|at| now.since(at) < SUSPECT_TIME)
            };
            let is_unsuitable =
                state.is_none_or(|state| state.health.is_lost() || is_probed(state));
            it.incarnation != target && entry.is_listed() && !is_unsuitable
        };
        let others = self.catalog.entries().filter(is_suitable);
        let another = others.min_by_key(|entry| (entry.target.domain != *domain, entry.cold_until));
        let another = another.map(|entry| entry.target.incarnation);
        for probed in another.into_iter().chain([target]) {
            self.probe(probed, now, out);
        }
    }

    /// Probes lost targets whose backoff is over.
    pub(super) fn probe_lost(&mut self, now: Millis, out: &mut impl Output) {
        let states = &self.states;
        let catalog = &self.catalog;
        let is_listed =
            |it: &Incarnation| catalog.entry(*it).is_some_and(|entry| entry.is_listed());
        self.lost.retain(|it| is_listed(it) && states.contains_key(it));
        let is_due =
            |it: &&Incarnation| self.states[*it].health.next_probe().is_some_and(|at| at <= now);
        let due: Vec<Incarnation> = self.lost.iter().filter(is_due).copied().collect();
        for target in due {
            self.probe(target, now, out);
        }
    }
}
