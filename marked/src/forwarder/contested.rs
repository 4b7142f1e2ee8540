//! Flows whose opening more than one target has answered.
//!
//! An opening moves to another target when the first one leaves it unanswered, and a copy of
//! it may reach another instance, which chooses for itself. Either way two targets may answer.
//! The caller goes on with the numbers of the answer that came first, but puts the mark that
//! came last into its packets. Sent by that mark, its data would reach a target that doesn't
//! have the flow, and the caller would wait until it gives up. So where this instance has seen
//! which answer the caller acknowledged, that decides, and not the mark.

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

    /// Takes the record of a flow that has a packet for a target. None if it is that of
    /// another flow, which had the same ports before.
    pub(super) fn take_record(&mut self, target: Incarnation, key: &FlowKey) -> Option<Flow> {
        let mut flow = self.flows.remove(key)?;
        self.account(&flow, -1);
        if flow.target != target {
            if !flow.is_opening() || !self.is_possible_target(key, target) {
                return None;
            }
            flow.target = target;
            // The answer may be to either opening, so the time that it took says nothing.
            flow.resent = true;
        }
        Some(flow)
    }

    /// Whether an opening of this flow may have gone to a target. A mark may lead elsewhere.
    fn is_possible_target(&self, key: &FlowKey, target: Incarnation) -> bool {
        let (route, entry) = (self.catalog.route(key.service), self.catalog.entry(target));
        route.zip(entry).is_some_and(|(route, entry)| {
            route.shares.iter().any(|share| share.service == entry.target.service)
        })
    }
}
