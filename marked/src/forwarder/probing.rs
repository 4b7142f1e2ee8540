//! Noticing targets that do not answer.

use super::{Forwarder, Output, TargetState};
use crate::{Entry, EntryState, Finding, FlowKey, Health, Incarnation, Note, Presence, Target};
use medlarspur_lib::{ids::TargetName, time::Millis};

/// How long targets may be silent while none at all shows life before that
/// counts: three questions of 300 ms. Their number says nothing, since a link that
/// is full makes all silent in the same moment.
const ISOLATION_LIMIT: Millis = Millis(900);
/// How long instances wait at most before they ask a target that is listed again. After a
/// cut of a failure domain the news of its entry comes to hundreds of instances in the same
/// moment, and a target resets most of as many connections.
const MAX_RELISTED_DELAY: Millis = Millis(500);
/// How many targets whose entries went an instance without a seat asks in a second, beside
/// those where it may have flows.
const MAX_LAPSE_PROBES: u32 = 16;
/// How long after a request to a target went unanswered others are preferred.
pub(super) const DOUBT_TIME: Millis = Millis(300);

/// Questions to targets whose entries went, in this second.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct LapseProbes {
    since: Millis,
    count: u32,
}

impl LapseProbes {
    /// Whether one more may be asked.
    fn take(&mut self, now: Millis) -> bool {
        if now.since(self.since) >= Millis::secs(1) {
            *self = LapseProbes { since: now, count: 0 };
        }
        self.count += 1;
        self.count <= MAX_LAPSE_PROBES
    }
}

impl Forwarder {
    /// How many listed targets answer, and how many don't.
    pub fn live_and_lost(&self) -> (usize, usize) {
        let listed = self.catalog.entries().filter(|it| it.is_listed()).count();
        (listed.saturating_sub(self.lost.len()), self.lost.len())
    }

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

    /// The entry of a target that did not leave has gone: it died, or the entry lapsed. Asking
    /// tells which, and matters where flows are there. The entries of a failure domain may
    /// all lapse in one moment; if every instance asked all of its targets, they would get
    /// targets times instances questions. One instance of the domain asks each all the same,
    /// for new flows; without a seat each asks a few.
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

    /// A flow that others opened goes to a target. Asks that if its entry went and nobody here
    /// has asked it since.
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

    /// A target that was lost is listed again: its entry had lapsed, and nothing asks it any
    /// more. Without a question it would stay out of use until it starts again. Each instance
    /// asks at a moment of its own, since all hear the news in the same one.
    fn schedule_relisted_probe(&mut self, target: Incarnation, now: Millis) {
        let pause = Millis(self.random.draw() % MAX_RELISTED_DELAY.0);
        let Some(state) = self.states.get_mut(&target) else { return };
        if state.health.is_lost() && !self.lost.contains(&target) {
            state.health.defer(now + pause);
            self.lost.push(target);
        }
    }

    /// A target has started again. Whoever did not know it yet may have opened flows
    /// with the earlier start's mark, and where the address is the same, they are at the
    /// later one. To reset them as flows of a dead process would break them; the process
    /// itself resets what it doesn't hold. Where the address is another one, the earlier
    /// process is asked, and its flows are reset once it is found gone.
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

    pub(super) fn record_life(&mut self, target: Incarnation, now: Millis, out: &mut impl Output) {
        let Some(state) = self.states.get_mut(&target) else { return };
        self.last_life = now;
        self.isolated_since = None;
        state.doubted_at = None;
        state.silent = false;
        if state.health.see_life(now) {
            self.lost.retain(|it| *it != target);
            out.note(Note::Regained { target });
        }
    }

    /// A packet of `flow` that was first sent at `sent` got no answer.
    pub(super) fn doubt(
        &mut self,
        target: Incarnation,
        flow: FlowKey,
        sent: Millis,
        now: Millis,
        out: &mut impl Output,
    ) {
        let Some(state) = self.states.get_mut(&target) else { return };
        if state.health.doubt(sent, now) {
            self.probe_doubted(target, flow, sent, now, out);
        }
    }

    /// The opening packet of `flow`, first sent at `sent`, got no answer.
    pub(super) fn doubt_opening(
        &mut self,
        target: Incarnation,
        flow: FlowKey,
        sent: Millis,
        now: Millis,
        out: &mut impl Output,
    ) {
        let Some(state) = self.states.get_mut(&target) else { return };
        state.count_unanswered(sent, now);
        if state.health.doubt_opening(sent, now) {
            self.probe_doubted(target, flow, sent, now, out);
        }
    }

    /// The opening packet of `flow`, which came late, got no answer by its target. That is
    /// asked; until it has answered, others are not preferred.
    pub(super) fn doubt_late_opening(
        &mut self,
        target: Incarnation,
        flow: FlowKey,
        sent: Millis,
        now: Millis,
        out: &mut impl Output,
    ) {
        let Some(state) = self.states.get_mut(&target) else { return };
        state.late_unanswered = true;
        if state.health.doubt_opening(sent, now) {
            out.note(Note::Doubted { target, flow, silent: now.since(sent) });
            self.probe(target, now, out);
        }
    }

    fn probe_doubted(
        &mut self,
        target: Incarnation,
        flow: FlowKey,
        sent: Millis,
        now: Millis,
        out: &mut impl Output,
    ) {
        if let Some(state) = self.states.get_mut(&target) {
            state.doubted_at = Some(now);
        }
        out.note(Note::Doubted { target, flow, silent: now.since(sent) });
        self.probe(target, now, out);
    }

    pub(super) fn probe(&mut self, incarnation: Incarnation, now: Millis, out: &mut impl Output) {
        let Some(entry) = self.catalog.entry(incarnation) else { return };
        let Some(service) = self.catalog.service(&entry.target.service) else { return };
        out.probe(&entry.target, &service.health);
        self.counts.probes += 1;
        let instances = self.instance_count();
        if let Some(state) = self.states.get_mut(&incarnation) {
            state.health.ask_again(now);
            state.vacancy.ask(now, instances);
        }
    }

    /// Takes in what asking a target brought.
    pub fn handle_probe_result(
        &mut self,
        target: Incarnation,
        finding: Finding,
        now: Millis,
        out: &mut impl Output,
    ) {
        self.counts.probe_results[finding as usize] += 1;
        match finding {
            Finding::Answers => self.handle_answered_probe(target, now, out),
            Finding::Declines => self.handle_declined_probe(target, now, out),
            Finding::Silent if self.is_isolated(target, now) => {
                self.probe_with_another(target, now, out)
            }
            Finding::Silent => self.handle_silent_probe(target, now, out),
            // A target that leaves stops listening before it ends its last flows.
            Finding::Gone if self.is_leaving(target) => self.handle_silent_probe(target, now, out),
            Finding::Gone => self.mark_lost(target, finding, now, out),
        }
    }

    fn is_leaving(&self, target: Incarnation) -> bool {
        self.catalog.entry(target).is_some_and(|it| it.is_listed() && it.target.leaving)
    }

    /// Whether no target at all has shown life since this one was asked. Then it
    /// may be this machine that hears nobody: its link is full or cut, and to reset
    /// the flows of targets that are well would break them. Not for long: a link
    /// that stays full for a second is no longer one that flows pass.
    fn is_isolated(&mut self, target: Incarnation, now: Millis) -> bool {
        let state = self.states.get(&target);
        let asked = state.filter(|it| !it.health.is_lost()).and_then(|it| it.health.asked());
        let is_silent_everywhere = asked.is_some_and(|asked| self.last_life <= asked);
        is_silent_everywhere && now.since(*self.isolated_since.get_or_insert(now)) < ISOLATION_LIMIT
    }

    /// Asks a silent target again, and beside it one that should answer: a near
    /// one, which no cut between domains takes away.
    fn probe_with_another(&mut self, target: Incarnation, now: Millis, out: &mut impl Output) {
        let domain = &self.options.domain;
        let is_near = |entry: &&Entry| {
            let it = &entry.target;
            let state = self.states.get(&it.incarnation);
            let is_probed = |state: &TargetState| {
                state.health.asked().is_some_and(|at| now.since(at) < DOUBT_TIME)
            };
            let is_out = state.is_none_or(|state| state.health.is_lost() || is_probed(state));
            it.incarnation != target && entry.is_listed() && !is_out
        };
        let others = self.catalog.entries().filter(is_near);
        let beside = others.min_by_key(|entry| (entry.target.domain != *domain, entry.cold));
        let beside = beside.map(|entry| entry.target.incarnation);
        for asked in beside.into_iter().chain([target]) {
            self.probe(asked, now, out);
        }
    }

    pub(super) fn probe_lost(&mut self, now: Millis, out: &mut impl Output) {
        let states = &self.states;
        let catalog = &self.catalog;
        let is_listed =
            |it: &Incarnation| catalog.entry(*it).is_some_and(|entry| entry.is_listed());
        self.lost.retain(|it| is_listed(it) && states.contains_key(it));
        let is_due =
            |it: &&Incarnation| self.states[*it].health.retry().is_some_and(|at| at <= now);
        let due: Vec<Incarnation> = self.lost.iter().filter(is_due).copied().collect();
        for target in due {
            self.probe(target, now, out);
        }
    }
}
