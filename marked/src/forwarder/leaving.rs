//! Taking flows away from targets that don't answer.

use super::{Forwarder, Output, Refusal, placing::OVERDUE, waiting::NewFlow};
use crate::{Flow, FlowKey, Incarnation, Note, Phase, ProbeResult};
use medlarspur_lib::time::Millis;
use medlarspur_load::vacancy::Vacancy;

impl Forwarder {
    pub(super) fn find_lost(
        &mut self,
        target: Incarnation,
        finding: ProbeResult,
        now: Millis,
        out: &mut impl Output,
    ) {
        let Some(state) = self.states.get_mut(&target) else { return };
        let silent = now.since(state.health.last_alive());
        if !state.health.record_probe_result(finding, now) {
            return;
        }
        state.vacancy = Vacancy::default();
        state.check = None;
        let flows = self.flows.values().filter(|flow| flow.target == target).count();
        out.note(Note::Lost { target, finding, silent, flows });
        self.lost.push(target);
        self.full.retain(|it| *it != target);
        self.leave(target, now, out);
    }

    /// Has what is being opened at a target go elsewhere. Nothing runs before a flow is
    /// open, so at worst the caller opens it anew.
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
        let waited = if flow.overdue { OVERDUE } else { Millis(0) };
        let Some(route) = self.catalog.route(key.service) else {
            self.drop_flow(&key);
            return self.refuse(&key, Refusal::NoRoute, out);
        };
        let service = route.pick_service(self.random.draw()).clone();
        self.counts.moved += 1;
        out.note(Note::Moved { flow: key, from });
        self.place(NewFlow { key, seq: 0, class: route.class, service, packet, waited }, now, out);
    }

    /// Takes all flows away from a target that was found lost.
    fn leave(&mut self, target: Incarnation, now: Millis, out: &mut impl Output) {
        let flows = self.flows.iter().filter(|(_, flow)| flow.target == target);
        let keys: Vec<FlowKey> = flows.map(|(key, _)| *key).collect();
        for key in keys {
            let Some(flow) = self.flows.get(&key) else { continue };
            let seq = flow.acked;
            match flow.is_opening() {
                true => self.move_opening(key, target, now, out),
                false => self.reset(&key, seq, target, now, out),
            }
        }
    }
}
