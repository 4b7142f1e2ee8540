//! The interface to admission control, which decides on openings under load.

use crate::{
    bundle::Class,
    flows::Flow,
    ids::FlowId,
    time::Millis,
    view::{TargetId, View},
};
use std::net::Ipv4Addr;

/// A flow that is about to be opened.
#[derive(Debug)]
pub struct Opening {
    /// The flow.
    pub flow: FlowId,
    /// Address of the caller.
    pub caller: Ipv4Addr,
    /// Class of the port that the caller opened.
    pub class: Class,
    /// The target that would get the flow; it also determines the service.
    pub target: TargetId,
}

/// The decision on an opening.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The packet is sent to its target now.
    Admit,
    /// The packet is held until [`Gate::due`] decides.
    Wait,
    /// The flow is refused at once.
    Refuse {
        /// Time after which the caller may try again.
        after: Millis,
    },
}

/// Admission control. `medlarspur-load` implements the decisions; this trait
/// keeps the packet path free of them, and them free of packets.
pub trait Gate {
    /// Decides on an opening.
    fn open(&mut self, now: Millis, opening: &Opening) -> Verdict;

    /// Appends to `decided` the decisions on the waiting openings that are due.
    fn due(&mut self, now: Millis, decided: &mut Vec<(FlowId, Verdict)>);

    /// Returns the time after which a caller that is refused now may try again.
    /// Called for each packet of a refusal with a text, and at any instance.
    fn retry_after(&self, flow: FlowId, target: Option<TargetId>) -> Millis;

    /// Reports the second packet of an admitted flow, `after` the first.
    fn on_second_packet(&mut self, now: Millis, target: TargetId, class: Class, after: Millis);

    /// Reports that the caller aborted a flow that was admitted here.
    fn on_abort(&mut self, now: Millis, target: TargetId);

    /// Reports that a flow has ended, whichever instance admitted it.
    fn on_close(&mut self, now: Millis, id: FlowId, flow: &Flow);

    /// Takes the next view.
    fn set_view(&mut self, view: &View, now: Millis);
}

/// Admits everything: the baseline without admission control.
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
