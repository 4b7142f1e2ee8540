//! Noticing targets that do not answer.

use super::{Forwarder, Output, State};
use crate::{Entry, EntryState, FlowKey, Health, Incarnation, Note, Presence, ProbeResult, Target};
use medlarspur_lib::{ids::TargetName, time::Millis};

/// How long targets may be silent while none at all shows life before that
/// counts: three questions of 300 ms. Their number says nothing, since a link that
/// is full makes all silent in the same moment.
const ALONE_LIMIT: Millis = Millis(900);
/// How long instances wait at most before they ask a target that is listed again. After a
/// cut of a failure domain the news of its entry comes to hundreds of instances in the same
/// moment, and a target resets most of as many connections.
const RELISTED_PAUSE: Millis = Millis(500);
/// How many targets whose entries went an instance without a seat asks in a second, beside
/// those where it may have flows.
const MAX_LAPSES: u32 = 16;
/// How long after a request to a target went unanswered others are preferred.
pub(super) const DOUBT_TIME: Millis = Millis(300);

/// Questions to targets whose entries went, in this second.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Lapses {
    since: Millis,
    count: u32,
}

impl Lapses {
    /// Whether one more may be asked.
    fn take(&mut self, now: Millis) -> bool {
        if now.since(self.since) >= Millis::secs(1) {
            *self = Lapses { since: now, count: 0 };
        }
        self.count += 1;
        self.count <= MAX_LAPSES
    }
}

impl Forwarder {
    /// How many listed targets answer, and how many don't.
    pub fn reach(&self) -> (usize, usize) {
        let listed = self.catalog.entries().filter(|it| it.is_listed()).count();
        (listed.saturating_sub(self.lost.len()), self.lost.len())
    }

    pub(super) fn learn_entry(&mut self, target: Incarnation, now: Millis, out: &mut impl Output) {
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
            EntryState::Listed => self.await_relisted(target, now),
            EntryState::Removed if !leaving => self.learn_removed(target, now, out),
            EntryState::Replaced => self.learn_replaced(target, &name, now, out),
            _ => {}
        }
    }

    /// The entry of a target that did not leave has gone: it died, or the entry lapsed. Asking
    /// tells which, and matters where flows are there. The entries of a failure domain may
    /// all lapse in one moment; if every instance asked all of its targets, they would get
    /// targets times instances questions. One instance of the domain asks each all the same,
    /// for new flows; without a seat each asks a few.
    fn learn_removed(&mut self, target: Incarnation, now: Millis, out: &mut impl Output) {
        let is_asker = match self.seat {
            Some(_) => self.catalog.entry(target).is_some_and(|entry| self.owns(entry)),
            None => self.lapses.take(now),
        };
        let Some(state) = self.states.get_mut(&target) else { return };
        state.unasked = state.flows == 0 && !is_asker;
        if !state.unasked {
            self.ask(target, now, out);
        }
    }

    /// A flow that others opened goes to a target. Asks that if its entry went and nobody here
    /// has asked it since.
    pub(super) fn ask_unasked(&mut self, target: Incarnation, now: Millis, out: &mut impl Output) {
        let state = self.states.get_mut(&target).filter(|state| state.unasked);
        if let Some(state) = state {
            state.unasked = false;
            self.ask(target, now, out);
        }
    }

    /// A target that was lost is listed again: its entry had lapsed, and nothing asks it any
    /// more. Without a question it would stay out of use until it starts again. Each instance
    /// asks at a moment of its own, since all hear the news in the same one.
    fn await_relisted(&mut self, target: Incarnation, now: Millis) {
        let pause = Millis(self.random.draw() % RELISTED_PAUSE.0);
        let Some(state) = self.states.get_mut(&target) else { return };
        if state.health.is_lost() && !self.lost.contains(&target) {
            state.health.defer_probe(now + pause);
            self.lost.push(target);
        }
    }

    /// A target has started again. Whoever did not know it yet may have opened flows
    /// with the earlier start's mark, and where the address is the same, they are at the
    /// later one. To reset them as flows of a dead process would break them; the process
    /// itself resets what it doesn't hold. Where the address is another one, the earlier
    /// process is asked, and its flows are reset once it is found gone.
    fn learn_replaced(
        &mut self,
        target: Incarnation,
        name: &TargetName,
        now: Millis,
        out: &mut impl Output,
    ) {
        let address = |entry: Option<&Entry>| entry.map(|it| it.target.address);
        if address(self.catalog.entry(target)) != address(self.catalog.latest(name)) {
            return self.ask(target, now, out);
        }
        if let Some(state) = self.states.get_mut(&target) {
            state.health = Health::new(now);
        }
    }

    pub(super) fn see_life(&mut self, target: Incarnation, now: Millis, out: &mut impl Output) {
        let Some(state) = self.states.get_mut(&target) else { return };
        self.life = now;
        self.alone = None;
        state.doubted = None;
        state.silent = false;
        if state.health.record_alive(now) {
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
        if state.health.suspect(sent, now) {
            self.ask_doubted(target, flow, sent, now, out);
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
        state.refuse(sent, now);
        if state.health.suspect_opening(sent, now) {
            self.ask_doubted(target, flow, sent, now, out);
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
        state.unsure = true;
        if state.health.suspect_opening(sent, now) {
            out.note(Note::Doubted { target, flow, silent: now.since(sent) });
            self.ask(target, now, out);
        }
    }

    fn ask_doubted(
        &mut self,
        target: Incarnation,
        flow: FlowKey,
        sent: Millis,
        now: Millis,
        out: &mut impl Output,
    ) {
        if let Some(state) = self.states.get_mut(&target) {
            state.doubted = Some(now);
        }
        out.note(Note::Doubted { target, flow, silent: now.since(sent) });
        self.ask(target, now, out);
    }

    pub(super) fn ask(&mut self, incarnation: Incarnation, now: Millis, out: &mut impl Output) {
        let Some(entry) = self.catalog.entry(incarnation) else { return };
        let Some(service) = self.catalog.service(&entry.target.service) else { return };
        out.ask(&entry.target, &service.health);
        self.counts.asked += 1;
        let instances = self.instances();
        if let Some(state) = self.states.get_mut(&incarnation) {
            state.health.record_probe(now);
            state.vacancy.record_probe(now, instances);
        }
    }

    /// Takes in what asking a target brought.
    pub fn answer(
        &mut self,
        target: Incarnation,
        finding: ProbeResult,
        now: Millis,
        out: &mut impl Output,
    ) {
        self.counts.found[finding as usize] += 1;
        match finding {
            ProbeResult::Answers => self.find_room(target, now, out),
            ProbeResult::Declines => self.find_declined(target, now, out),
            ProbeResult::Silent if self.is_alone(target, now) => self.ask_beside(target, now, out),
            ProbeResult::Silent => self.find_silent(target, now, out),
            // A target that leaves stops listening before it ends its last flows.
            ProbeResult::Gone if self.is_leaving(target) => self.find_silent(target, now, out),
            ProbeResult::Gone => self.find_lost(target, finding, now, out),
        }
    }

    fn is_leaving(&self, target: Incarnation) -> bool {
        self.catalog.entry(target).is_some_and(|it| it.is_listed() && it.target.leaving)
    }

    /// Whether no target at all has shown life since this one was asked. Then it
    /// may be this machine that hears nobody: its link is full or cut, and to reset
    /// the flows of targets that are well would break them. Not for long: a link
    /// that stays full for a second is no longer one that flows pass.
    fn is_alone(&mut self, target: Incarnation, now: Millis) -> bool {
        let state = self.states.get(&target);
        let asked = state.filter(|it| !it.health.is_lost()).and_then(|it| it.health.last_probe());
        let hears_nobody = asked.is_some_and(|asked| self.life <= asked);
        hears_nobody && now.since(*self.alone.get_or_insert(now)) < ALONE_LIMIT
    }

    /// Asks a silent target again, and beside it one that should answer: a near
    /// one, which no cut between domains takes away.
    fn ask_beside(&mut self, target: Incarnation, now: Millis, out: &mut impl Output) {
        let domain = &self.tuning.domain;
        let is_near = |entry: &&Entry| {
            let it = &entry.target;
            let state = self.states.get(&it.incarnation);
            let is_asked = |state: &State| {
                state.health.last_probe().is_some_and(|at| now.since(at) < DOUBT_TIME)
            };
            let is_out = state.is_none_or(|state| state.health.is_lost() || is_asked(state));
            it.incarnation != target && entry.is_listed() && !is_out
        };
        let others = self.catalog.entries().filter(is_near);
        let beside = others.min_by_key(|entry| (entry.target.domain != *domain, entry.cold_until));
        let beside = beside.map(|entry| entry.target.incarnation);
        for asked in beside.into_iter().chain([target]) {
            self.ask(asked, now, out);
        }
    }

    pub(super) fn ask_lost(&mut self, now: Millis, out: &mut impl Output) {
        let states = &self.states;
        let catalog = &self.catalog;
        let is_listed =
            |it: &Incarnation| catalog.entry(*it).is_some_and(|entry| entry.is_listed());
        self.lost.retain(|it| is_listed(it) && states.contains_key(it));
        let is_due =
            |it: &&Incarnation| self.states[*it].health.next_probe().is_some_and(|at| at <= now);
        let due: Vec<Incarnation> = self.lost.iter().filter(is_due).copied().collect();
        for target in due {
            self.ask(target, now, out);
        }
    }
}
