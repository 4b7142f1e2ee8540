//! The boundary to the decisions under load: who is let in.

use crate::{
    bundle::Class,
    flows::Flow,
    ids::FlowId,
    time::Millis,
    view::{TargetId, View},
};
use std::net::Ipv4Addr;

/// A flow that wants to open.
#[derive(Debug)]
pub struct Opening {
    /// The flow.
    pub flow: FlowId,
    /// Who opens it.
    pub caller: Ipv4Addr,
    /// The class of its work.
    pub class: Class,
    /// The target that would get it; it tells the service too.
    pub target: TargetId,
}

/// What becomes of an opening.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It goes to its target now.
    Admit,
    /// It is held; [`Gate::due`] decides later.
    Wait,
    /// It is turned away at once.
    Refuse {
        /// When the caller may come back.
        after: Millis,
    },
}

/// Decides on openings. `medlarspur-load` has the decisions; this trait keeps
/// the packet path free of them, and them free of packets.
pub trait Gate {
    /// Decides on an opening.
    fn open(&mut self, now: Millis, opening: &Opening) -> Verdict;

    /// Decides on those that waited, as far as their time has come.
    fn due(&mut self, now: Millis, decided: &mut Vec<(FlowId, Verdict)>);

    /// When a caller that is turned away now may come back. It is asked again
    /// for each packet of a refusal in words, at any instance.
    fn retry_after(&self, flow: FlowId, target: Option<TargetId>) -> Millis;

    /// Hears that a packet followed the first one of an admitted flow, and how
    /// long after it.
    fn on_second_packet(&mut self, now: Millis, target: TargetId, class: Class, after: Millis);

    /// Hears that the caller gave up a flow that was admitted here.
    fn on_abort(&mut self, now: Millis, target: TargetId);

    /// Hears that a flow is over, whoever let it in.
    fn on_close(&mut self, now: Millis, id: FlowId, flow: &Flow);

    /// Hears of a new view.
    fn set_view(&mut self, view: &View, now: Millis);
}

/// Lets everything in: the baseline without admission.
#[derive(Debug, Default, Clone, Copy)]
pub struct AdmitAll;

impl Gate for AdmitAll {
    fn open(&mut self, _: Millis, _: &Opening) -> Verdict {
        Verdict::Admit
    }

    fn due(&mut self, _: Millis, _: &mut Vec<(FlowId, Verdict)>) {}

    fn retry_after(&self, _: FlowId, _: Option<TargetId>) -> Millis {
        Millis::secs(1)
    }

    fn on_second_packet(&mut self, _: Millis, _: TargetId, _: Class, _: Millis) {}

    fn on_abort(&mut self, _: Millis, _: TargetId) {}

    fn on_close(&mut self, _: Millis, _: FlowId, _: &Flow) {}

    fn set_view(&mut self, _: &View, _: Millis) {}
}
