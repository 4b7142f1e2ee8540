//! Failover of flows whose target does not answer.

use super::{Forwarder, Output, Refusal, placing::OVERDUE_WAIT, waiting::NewFlow};
use crate::{Flow, FlowKey, Incarnation, Note, Phase, ProbeResult};
use medlarspur_lib::time::Millis;
use medlarspur_load::vacancy::Vacancy;

impl Forwarder {
    /// Marks a target as lost after an unanswered probe and removes its flows.
    pub(super) fn mark_lost(
        &mut self,
        target: Incarnation,
        result: ProbeResult,
        now: Millis,
        out: &mut impl Output,
    ) {
        let Some(state) = self.states.get_mut(&target) else { return };
        let silent = now.since(state.health.last_alive());
        if !state.health.record_probe_result(result, now) {
            return;
        }
        state.vacancy = Vacancy::default();
        state.check_at = None;
        let flows = self.flows.values().filter(|flow| flow.target == target).count();
        out.note(Note::Lost { target, result, silent, flows });
        self.lost.push(target);
        self.full.retain(|it| *it != target);
        self.remove_flows(target, now, out);
    }

    /// Moves all flows whose handshake has not ended from a target to others. No request runs
    /// before the handshake ends, so at worst the caller opens the flow again.
    pub(super) fn move_all_openings(
        &mut self,
        target: Incarnation,
        now: Millis,
        out: &mut impl Output,
    ) {
        let is_moved = |flow: &&Flow| flow.target == target && flow.is_opening();
        let flows = self.flows.iter().filter(|(_, flow)| is_moved(flow));
        let keys: Vec<FlowKey> = flows.map(|(key, _)| *key).collect();
        for key in keys {
            self.move_opening(key, target, now, out);
        }
    }

    /// Moves one flow whose handshake has not ended from a target to another one. If its opening
    /// is superseded, it is dropped, and the next copy opens the flow anew.
    pub(super) fn move_opening(
        &mut self,
        key: FlowKey,
        from: Incarnation,
        now: Millis,
        out: &mut impl Output,
    ) {
        let Some(flow) = self.flows.get(&key) else { return };
        if flow.abandoned {
            return self.drop_flow(&key);
        }
        let Phase::Opening { packet } = flow.phase.clone() else { return };
        let Some(last_copy) = flow.last_copy else { return };
        if last_copy.is_superseded(now) {
            self.counts.superseded += 1;
            out.note(Note::Superseded { flow: key, waited: last_copy.age(now) });
            return self.drop_flow(&key);
        }
        let waited = if flow.overdue { OVERDUE_WAIT } else { Millis(0) };
        let Some(route) = self.catalog.route(key.service) else {
            self.drop_flow(&key);
            return self.refuse(&key, Refusal::NoRoute, out);
        };
        let service = route.pick_service(self.random.draw()).clone();
        self.counts.moved += 1;
        out.note(Note::Moved { flow: key, from });
        let (seq, class) = (0, route.class);
        let it = NewFlow { key, seq, class, service, packet, last_copy, waited };
        self.place(it, now, out);
    }

    /// Removes all flows from a target that was found lost.
    fn remove_flows(&mut self, target: Incarnation, now: Millis, out: &mut impl Output) {
        let flows = self.flows.iter().filter(|(_, flow)| flow.target == target);
        let keys: Vec<FlowKey> = flows.map(|(key, _)| *key).collect();
        for key in keys {
            let Some(flow) = self.flows.get(&key) else { continue };
            let seq = flow.acked;
            match flow.is_opening() {
                true => self.move_opening(key, target, now, out),
                false => self.reset_lost_flow(&key, seq, target, now, out),
            }
        }
    }
}
