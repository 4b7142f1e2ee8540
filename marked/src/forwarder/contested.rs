//! Flows whose opening was answered by more than one target.
//!
//! An opening moves to another target when the first one leaves it unanswered, and a copy of it
//! may reach another instance, which makes its own choice. In both cases two targets may
//! answer. The caller continues with the sequence numbers of the first answer but puts the mark
//! that it received last into its packets. Forwarded by that mark, its data would reach a
//! target without the flow, and the caller would wait until its timeout. Therefore, if this
//! instance has seen which answer the caller acknowledged, that takes precedence over the mark.

use super::Forwarder;
use crate::{Flow, FlowKey, Incarnation, Segment};

impl Forwarder {
    /// The target whose answer the caller of this packet's flow has acknowledged, if that was
    /// seen here.
    pub(super) fn acknowledged_target(&self, segment: &Segment) -> Option<Incarnation> {
        let flow = self.flows.get(&segment.key)?;
        let is_known = || self.catalog.entry(flow.target).is_some();
        (flow.matches(segment) && is_known()).then_some(flow.target)
    }

    /// Removes and returns the record of a flow that has a packet for `target`. Returns none if
    /// the record belongs to an earlier flow of the same ports.
    pub(super) fn take_record(&mut self, target: Incarnation, key: &FlowKey) -> Option<Flow> {
        let mut flow = self.flows.remove(key)?;
        self.account(&flow, -1);
        if flow.target != target {
            if !flow.is_opening() || !self.is_possible_target(key, target) {
                return None;
            }
            flow.target = target;
            flow.level = self.level_at(target, flow.class, key);
            // The answer may be to either opening, so the handshake's duration is ambiguous.
            flow.resent = true;
        }
        Some(flow)
    }

    /// Whether an opening of this flow may have been sent to the target. A mark alone may name
    /// a target of another service.
    fn is_possible_target(&self, key: &FlowKey, target: Incarnation) -> bool {
        let (route, entry) = (self.catalog.route(key.service), self.catalog.entry(target));
        route.zip(entry).is_some_and(|(route, entry)| {
            route.shares.iter().any(|share| share.service == entry.target.service)
        })
    }
}
