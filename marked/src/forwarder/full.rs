//! Targets that take no openings.
//!
//! A target that is out of connections answers neither openings nor questions, like a
//! dead one, and serves the flows that it has. What opens badly therefore says nothing
//! about what is open. A target that leaves openings and questions unanswered is full:
//! new flows leave it at once, and [`Vacancy`](medlarspur_load::vacancy::Vacancy) says
//! when they try it again. It is lost only if its open flows are unanswered too: a caller
//! has repeated what it sent, and nothing of any flow there was answered for longer than
//! answers usually take. To reset the flows of a target that serves them would break
//! them, and bring their callers back as new flows that fill the next target. The ways that
//! were weighed are in `docs/design/full.md`.

use super::{Forwarder, Output, State};
use crate::{Entry, Incarnation, Note, ProbeResult};
use medlarspur_lib::{bundle::Class, time::Millis};
use medlarspur_load::vacancy::Vacancy;

/// How long open flows must be unanswered at least before a silent target is lost: what
/// a caller repeats after 200 ms, and the time in which that is answered.
const LEAST_SILENCE: Millis = Millis(250);
/// The most that is waited for, whatever was usual: callers give up after 1.5 s.
const MOST_SILENCE: Millis = Millis(1_200);
/// How long they must be unanswered while it isn't known how long answers take: an
/// instance that starts into a crowd finds queues that are full, and hears from a target
/// a few times a second.
const UNKNOWN_SILENCE: Millis = Millis(1_000);

/// How many openings a target that lives must leave unanswered to count as full. One may
/// be lost on the way, or its handshake may end by another instance.
const UNANSWERED: u32 = 2;
/// How long an opening waits at a target that was full, at most, where nothing else shows
/// that this instance hears answers in time.
const FULL_PATIENCE: Millis = Millis(90);

impl Forwarder {
    /// How many targets take no openings.
    pub fn count_full(&self) -> usize {
        self.full.len()
    }

    /// Whether new flows leave a target out because it takes no openings.
    pub(super) fn is_full(&self, entry: &Entry) -> bool {
        let state = self.states.get(&entry.target.incarnation);
        state.is_some_and(|state| state.vacancy.is_full())
    }

    /// It took an opening.
    pub(super) fn see_taken(
        &mut self,
        target: Incarnation,
        class: Class,
        now: Millis,
        out: &mut impl Output,
    ) {
        let Some(state) = self.states.get_mut(&target) else { return };
        state.health.record_accepted(now);
        state.refused = 0;
        state.unsure = false;
        if state.vacancy.record_accepted(class) {
            self.free(target, out);
        }
    }

    /// A flow has ended there.
    pub(super) fn see_end(&mut self, target: Incarnation, class: Class) {
        if let Some(state) = self.states.get_mut(&target) {
            state.vacancy.record_flow_end(class);
        }
    }

    /// It answers questions.
    pub(super) fn find_room(&mut self, target: Incarnation, now: Millis, out: &mut impl Output) {
        self.see_life(target, now, out);
        let Some(state) = self.states.get_mut(&target) else { return };
        state.check = None;
        state.vacancy.record_probe_answer();
        if state.vacancy.is_full() && !state.declined {
            // Nothing but silence spoke of it: it was cut off or late, and is there again.
            state.vacancy = Vacancy::default();
            self.free(target, out);
        }
    }

    fn free(&mut self, target: Incarnation, out: &mut impl Output) {
        if let Some(state) = self.states.get_mut(&target) {
            state.declined = false;
            state.refused = 0;
        }
        self.full.retain(|it| *it != target);
        out.note(Note::Vacant { target });
    }

    /// An opening that came at `since` is unanswered at a target. That is full if it was,
    /// and only seemed to have a place, or if it lives and leaves several unanswered. An
    /// opening that came later must have been answered elsewhere: this instance may be
    /// late itself, or be leaving, and the ends of handshakes go by others then. Answers
    /// whether the target is full.
    pub(super) fn refuse_place(
        &mut self,
        target: Incarnation,
        since: Millis,
        now: Millis,
        out: &mut impl Output,
    ) -> bool {
        let Some(state) = self.states.get(&target) else { return false };
        let health = &state.health;
        let is_passed = self.heard.answered_since(since) && health.last_accepted() < since;
        let is_full = match state.vacancy.is_full() {
            true => is_passed || now.since(since) >= FULL_PATIENCE,
            false => is_passed && state.refused >= UNANSWERED && health.last_alive() > since,
        };
        if is_full {
            if let Some(state) = self.states.get_mut(&target) {
                state.declined = true;
            }
            self.fill(target, now, out);
        }
        is_full
    }

    /// It ended the connection by which it was asked: it lives, and has no room if an
    /// opening there is unanswered as well. A connection may also be reset on the way.
    pub(super) fn find_declined(
        &mut self,
        target: Incarnation,
        now: Millis,
        out: &mut impl Output,
    ) {
        self.see_life(target, now, out);
        let Some(state) = self.states.get_mut(&target) else { return };
        if state.is_declining() || state.vacancy.is_full() {
            state.declined = true;
            self.fill(target, now, out);
        }
    }

    /// A question stayed without an answer.
    pub(super) fn find_silent(&mut self, target: Incarnation, now: Millis, out: &mut impl Output) {
        let Some(entry) = self.catalog.entry(target) else { return };
        let Some(state) = self.states.get(&target) else { return };
        let health = state.health;
        let is_heard = health.last_probe().is_some_and(|asked| health.last_alive() > asked);
        let is_taken = health.last_probe().is_some_and(|asked| health.last_accepted() > asked);
        if health.is_lost() || !is_heard && !entry.is_listed() {
            // Its entry went too, which no full target's does.
            return self.find_lost(target, ProbeResult::Silent, now, out);
        }
        if is_taken || is_heard && !state.is_declining() {
            return;
        }
        if let Some(state) = self.states.get_mut(&target) {
            state.silent = !is_heard;
        }
        self.fill(target, now, out);
        self.check(target, now, out);
    }

    /// Has new flows leave a target.
    fn fill(&mut self, target: Incarnation, now: Millis, out: &mut impl Output) {
        let Some(state) = self.states.get_mut(&target) else { return };
        let is_new = state.vacancy.record_unanswered(now);
        let health = state.health;
        if is_new && !self.full.contains(&target) {
            self.full.push(target);
            self.counts.filled += 1;
            let flows = self.flows.values().filter(|flow| flow.target == target).count();
            let (taken, silent) =
                (now.since(health.last_accepted()), now.since(health.last_alive()));
            out.note(Note::Full { target, taken, silent, flows });
        }
        self.move_all_openings(target, now, out);
    }

    /// A caller has repeated what it first sent at `sent` to a target. If that is silent,
    /// what is open there must be looked at.
    pub(super) fn watch(&mut self, target: Incarnation, sent: Millis, now: Millis) {
        let Some(limit) = self.silence(target) else { return };
        let Some(state) = self.states.get_mut(&target).filter(|state| state.silent) else { return };
        let due = now.max(sent.max(state.health.last_alive()) + limit);
        state.check = Some(state.check.map_or(due, |check| check.min(due)));
    }

    /// Looks at silent targets whose flows may be unanswered for too long.
    pub(super) fn check_full(&mut self, now: Millis, out: &mut impl Output) {
        let is_due = |state: &State| state.check.is_some_and(|at| at <= now);
        let due = self.full.iter().filter(|it| self.states.get(*it).is_some_and(is_due));
        for target in due.copied().collect::<Vec<_>>() {
            self.check(target, now, out);
        }
    }

    /// Whether the open flows of a silent target are unanswered for longer than answers
    /// usually take: then it is lost.
    fn check(&mut self, target: Incarnation, now: Millis, out: &mut impl Output) {
        let Some(limit) = self.silence(target) else { return };
        let Some(state) = self.states.get_mut(&target) else { return };
        state.check = None;
        if !state.silent {
            return;
        }
        let flows = self.flows.values().filter(|flow| flow.target == target);
        let life = state.health.last_alive();
        let Some(since) = flows.filter_map(|flow| Some(flow.unanswered()?.max(life))).min() else {
            return;
        };
        if now.since(since) >= limit {
            return self.find_lost(target, ProbeResult::Silent, now, out);
        }
        state.check = Some(since + limit);
    }

    /// How long the open flows of a target may be unanswered. None if it isn't known.
    fn silence(&self, target: Incarnation) -> Option<Millis> {
        let entry = self.catalog.entry(target)?;
        let service = &entry.target.service;
        let usual = self.heard.longest_answer(service).unwrap_or(UNKNOWN_SILENCE);
        Some(usual.clamp(LEAST_SILENCE, MOST_SILENCE))
    }

    /// Asks full targets whose pause is over whether they have room. One that leaves or whose
    /// domain is evacuated takes none, and one that is not listed may be again, and is only
    /// asked then.
    pub(super) fn ask_full(&mut self, now: Millis, out: &mut impl Output) {
        let instances = self.instances();
        let states = &self.states;
        self.full.retain(|it| states.contains_key(it));
        let is_due =
            |it: &&Incarnation| states[*it].vacancy.next_probe().is_some_and(|at| at <= now);
        let due: Vec<Incarnation> = self.full.iter().filter(is_due).copied().collect();
        for target in due {
            if self.may_have_room(target) {
                self.ask(target, now, out);
            } else if let Some(state) = self.states.get_mut(&target) {
                state.vacancy.record_probe(now, instances);
            }
        }
    }

    fn may_have_room(&self, target: Incarnation) -> bool {
        let Some(entry) = self.catalog.entry(target) else { return false };
        let is_open = entry.is_listed() && !entry.target.leaving;
        is_open && !self.is_emptied(&entry.target.domain)
    }
}
