//! Pauses in which the process did not run.
//!
//! Routers pass callers' packets to other instances meanwhile, and answers of targets are not
//! seen here. What was known of targets before the pause is therefore no reason to reset flows
//! after it, silence is counted anew, and no times are measured across it.

use super::{Forwarder, Output};
use crate::Incarnation;
use medlarspur_lib::time::Millis;

impl Forwarder {
    /// Records that the process did not run for some time before `now`. Targets that left a probe
    /// unanswered are probed again.
    pub fn resume(&mut self, now: Millis, out: &mut impl Output) {
        self.resumed_at = now;
        self.isolated_since = None;
        self.counts.pauses += 1;
        let silent = self.states.iter_mut().filter(|(_, state)| state.silent);
        let silent = silent.map(|(target, state)| {
            state.silent = false;
            state.check_at = None;
            *target
        });
        for target in silent.collect::<Vec<Incarnation>>() {
            self.probe(target, now, out);
        }
    }

    /// Whether the process was paused after `since`, so that the time since then says nothing about
    /// targets.
    pub(super) fn was_paused_since(&self, since: Millis) -> bool {
        since < self.resumed_at
    }

    /// Whether a target is known to be lost since the process runs.
    pub(super) fn is_confirmed_lost(&self, target: Incarnation) -> bool {
        let confirmed = self.states.get(&target).and_then(|it| it.health.lost_confirmed());
        confirmed.is_some_and(|at| !self.was_paused_since(at))
    }

    /// Whether a target was last probed before the process was resumed.
    pub(super) fn was_probed_before_pause(&self, target: Incarnation) -> bool {
        let probed = self.states.get(&target).and_then(|it| it.health.last_probe());
        probed.is_some_and(|at| self.was_paused_since(at))
    }
}
