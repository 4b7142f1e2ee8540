//! Targets that accept no openings.
//!
//! A target that has run out of connections answers neither openings nor probes, like a dead
//! one, but still serves its open flows. Unanswered openings therefore say nothing about open
//! flows. A target that leaves openings and probes unanswered is full: new flows avoid it at
//! once, and [`Vacancy`] decides when to try it again. It is lost only if its open flows are
//! unanswered too: a caller has retransmitted, and nothing on any flow there was answered for
//! longer than answers usually take. Resetting the flows of a target that serves them would
//! break them and bring their callers back as new flows that fill the next target. The design
//! alternatives are in `docs/design/full.md`.

use super::{Forwarder, Output, outcomes::MAX_CHECK_DELAY};
use crate::{Entry, Flow, Incarnation, Note, ProbeResult};
use medlarspur_lib::time::Millis;
use medlarspur_load::{priority::Level, vacancy::Vacancy};

/// Minimum time without answers on open flows after which a silent target is lost: callers
/// retransmit after 200 ms, and the answer takes some time.
const MIN_SILENCE: Millis = Millis(250);
/// Maximum of that time, whatever the usual answer time: callers give up after 1.5 s.
const MAX_SILENCE: Millis = Millis(1_200);
/// Value of that time while the usual answer time is unknown: an instance that starts during
/// overload finds full queues and sees a target's answers only a few times per second.
const DEFAULT_SILENCE: Millis = Millis(1_000);

/// Minimum number of openings that a live target must leave unanswered to count as full. One
/// opening may be lost, or its handshake may end at another instance.
const MIN_UNANSWERED: u32 = 2;
/// Maximum time that an opening waits at a target that was full, if nothing else shows that
/// this instance receives answers in time.
const MAX_FULL_WAIT: Millis = Millis(90);

impl Forwarder {
    /// Number of targets that accept no openings.
    pub fn count_full(&self) -> usize {
        self.full.len()
    }

    /// Whether new flows avoid a target because it accepts no openings.
    pub(super) fn is_full(&self, entry: &Entry) -> bool {
        let state = self.states.get(&entry.target.incarnation);
        state.is_some_and(|state| state.vacancy.is_full())
    }

    /// Records that a target accepted an opening.
    pub(super) fn record_accepted(
        &mut self,
        target: Incarnation,
        level: Level,
        now: Millis,
        out: &mut impl Output,
    ) {
        let Some(state) = self.states.get_mut(&target) else { return };
        state.health.record_accepted(now);
        state.unanswered = 0;
        state.late_unanswered = false;
        if state.vacancy.record_accepted(level) {
            self.mark_vacant(target, out);
        }
    }

    /// Records that a flow at a target ended.
    pub(super) fn record_flow_end(&mut self, target: Incarnation, level: Level) {
        if let Some(state) = self.states.get_mut(&target) {
            state.vacancy.record_flow_end(level);
        }
    }

    /// Handles a probe that the target answered.
    pub(super) fn handle_answered_probe(
        &mut self,
        target: Incarnation,
        now: Millis,
        out: &mut impl Output,
    ) {
        self.record_alive(target, now, out);
        let Some(state) = self.states.get_mut(&target) else { return };
        state.check_at = None;
        state.vacancy.record_probe_answer();
        if state.vacancy.is_full() && !state.declined {
            // The target was only silent and declined nothing: it was partitioned or late, and
            // is back.
            state.vacancy = Vacancy::default();
            self.mark_vacant(target, out);
        }
    }

    fn mark_vacant(&mut self, target: Incarnation, out: &mut impl Output) {
        if let Some(state) = self.states.get_mut(&target) {
            state.declined = false;
            state.unanswered = 0;
        }
        self.full.retain(|it| *it != target);
        out.note(Note::Vacant { target });
    }

    /// Decides whether a target is full after an opening that arrived at `since` was left
    /// unanswered, and returns the decision. A target that was full and only seemed to have a
    /// free slot is full again; a target that is alive is full if it leaves several openings
    /// unanswered. Another target must have answered a later opening, unless the opening has
    /// waited for [`MAX_FULL_WAIT`] at a target that was full: otherwise this instance may be
    /// late itself, or be leaving, so that handshakes end at other instances.
    pub(super) fn mark_full_if_declining(
        &mut self,
        target: Incarnation,
        since: Millis,
        now: Millis,
        out: &mut impl Output,
    ) -> bool {
        let Some(state) = self.states.get(&target) else { return false };
        let health = &state.health;
        let is_overtaken =
            self.estimates.has_answered_since(since) && health.last_accepted() < since;
        let is_full = match state.vacancy.is_full() {
            true => is_overtaken || now.since(since) >= MAX_FULL_WAIT,
            false => {
                is_overtaken && state.unanswered >= MIN_UNANSWERED && health.last_alive() > since
            }
        };
        if is_full {
            if let Some(state) = self.states.get_mut(&target) {
                state.declined = true;
            }
            self.mark_full(target, now, out);
        }
        is_full
    }

    /// Handles a probe whose connection the target closed: the target is alive, and has no
    /// capacity if an opening there is unanswered as well. A network device may also have reset
    /// the connection.
    pub(super) fn handle_declined_probe(
        &mut self,
        target: Incarnation,
        now: Millis,
        out: &mut impl Output,
    ) {
        self.record_alive(target, now, out);
        let Some(state) = self.states.get_mut(&target) else { return };
        if state.has_unanswered() || state.vacancy.is_full() {
            state.declined = true;
            self.mark_full(target, now, out);
        }
    }

    /// Handles a probe that was left unanswered.
    pub(super) fn handle_silent_probe(
        &mut self,
        target: Incarnation,
        now: Millis,
        out: &mut impl Output,
    ) {
        let Some(entry) = self.catalog.entry(target) else { return };
        let Some(state) = self.states.get(&target) else { return };
        let health = state.health;
        let has_been_alive = health.last_probe().is_some_and(|probe| health.last_alive() > probe);
        let has_taken_opening =
            health.last_probe().is_some_and(|probe| health.last_accepted() > probe);
        if health.is_lost() || !has_been_alive && !entry.is_listed() {
            // The entry is gone as well, which does not happen to full targets.
            return self.mark_lost(target, ProbeResult::Silent, now, out);
        }
        if has_taken_opening || has_been_alive && !state.has_unanswered() {
            return;
        }
        if let Some(state) = self.states.get_mut(&target) {
            state.silent = !has_been_alive;
        }
        self.mark_full(target, now, out);
        self.check_silent(target, now, out);
    }

    /// Excludes a target from new flows.
    fn mark_full(&mut self, target: Incarnation, now: Millis, out: &mut impl Output) {
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

    /// Schedules a check of a silent target after a caller retransmitted what it first sent at
    /// `sent`.
    pub(super) fn schedule_silence_check(
        &mut self,
        target: Incarnation,
        sent: Millis,
        now: Millis,
    ) {
        let Some(limit) = self.silence_limit(target) else { return };
        let Some(state) = self.states.get_mut(&target).filter(|state| state.silent) else { return };
        let due = now.max(sent.max(state.health.last_alive()) + limit);
        state.check_at = Some(state.check_at.map_or(due, |check| check.min(due)));
    }

    /// Checks silent targets whose flows may have been unanswered for too long.
    pub(super) fn check_silent_targets(&mut self, now: Millis, out: &mut impl Output) {
        let check = |target: &Incarnation| self.states.get(target)?.check_at;
        let due = self.full.iter().filter_map(|it| Some((*it, check(it)?)));
        for (target, at) in due.filter(|(_, at)| *at <= now).collect::<Vec<_>>() {
            if now.since(at) <= MAX_CHECK_DELAY {
                self.check_silent(target, now, out);
            } else if let Some(state) = self.states.get_mut(&target) {
                state.check_at = Some(now + MAX_CHECK_DELAY);
            }
        }
    }

    /// Marks a silent target as lost if its open flows have been unanswered for longer than
    /// answers usually take.
    fn check_silent(&mut self, target: Incarnation, now: Millis, out: &mut impl Output) {
        let Some(limit) = self.silence_limit(target) else { return };
        let Some(state) = self.states.get_mut(&target) else { return };
        state.check_at = None;
        if !state.silent {
            return;
        }
        // Callers of flows that were last seen before a pause may continue elsewhere.
        let is_current = |flow: &&Flow| flow.target == target && flow.last_seen >= self.resumed_at;
        let flows = self.flows.values().filter(is_current);
        let last_alive = state.health.last_alive().max(self.resumed_at);
        let Some(since) =
            flows.filter_map(|flow| Some(flow.unanswered_since()?.max(last_alive))).min()
        else {
            return;
        };
        if now.since(since) >= limit {
            return self.mark_lost(target, ProbeResult::Silent, now, out);
        }
        state.check_at = Some(since + limit);
    }

    /// Maximum time for which open flows of a target may be unanswered; none for an unknown
    /// target.
    fn silence_limit(&self, target: Incarnation) -> Option<Millis> {
        let entry = self.catalog.entry(target)?;
        let service = &entry.target.service;
        let usual = self.estimates.longest_answer(service).unwrap_or(DEFAULT_SILENCE);
        Some(usual.clamp(MIN_SILENCE, MAX_SILENCE))
    }

    /// Probes full targets whose backoff is over. A target that leaves or whose domain is
    /// evacuated takes no flows and is not probed; one that is not listed is probed only once
    /// it is listed again.
    pub(super) fn probe_full(&mut self, now: Millis, out: &mut impl Output) {
        let instances = self.instance_count();
        let states = &self.states;
        self.full.retain(|it| states.contains_key(it));
        let is_due =
            |it: &&Incarnation| states[*it].vacancy.next_probe().is_some_and(|at| at <= now);
        let due: Vec<Incarnation> = self.full.iter().filter(is_due).copied().collect();
        for target in due {
            if self.should_probe_full(target) {
                self.probe(target, now, out);
            } else if let Some(state) = self.states.get_mut(&target) {
                state.vacancy.record_probe(now, instances);
            }
        }
    }

    fn should_probe_full(&self, target: Incarnation) -> bool {
        let Some(entry) = self.catalog.entry(target) else { return false };
        let is_open = entry.is_listed() && !entry.target.leaving;
        is_open && !self.is_evacuation_active(&entry.target.domain)
    }
}
