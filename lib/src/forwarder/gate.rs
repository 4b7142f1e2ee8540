//! The boundary to the decisions under load: who is let in.

use crate::{
    bundle::Class,
    ids::{FlowId, ServiceName},
    time::Millis,
    view::{TargetId, View},
};
use std::net::Ipv4Addr;

/// A flow that wants to open.
#[derive(Debug)]
pub struct Opening<'a> {
    /// The flow.
    pub flow: FlowId,
    /// Who opens it.
    pub caller: Ipv4Addr,
    /// The service that it is for.
    pub service: &'a ServiceName,
    /// The class of its work.
    pub class: Class,
    /// The target that would get it.
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
    fn open(&mut self, now: Millis, opening: &Opening<'_>) -> Verdict;

    /// Decides on those that waited, as far as their time has come.
    fn due(&mut self, now: Millis, decided: &mut Vec<(FlowId, Verdict)>);

    /// When a caller that is turned away now may come back.
    fn after(&self, service: &ServiceName, class: Class, flow: FlowId) -> Millis;

    /// Hears that a packet followed the first one of an admitted flow.
    fn followed(&mut self, now: Millis, flow: FlowId);

    /// Hears that an admitted flow is over.
    fn closed(&mut self, now: Millis, flow: FlowId);

    /// Hears of a new view.
    fn follow(&mut self, view: &View, now: Millis);
}

/// Lets everything in: the baseline without admission.
#[derive(Debug, Default, Clone, Copy)]
pub struct OpenGate;

impl Gate for OpenGate {
    fn open(&mut self, _: Millis, _: &Opening<'_>) -> Verdict {
        Verdict::Admit
    }

    fn due(&mut self, _: Millis, _: &mut Vec<(FlowId, Verdict)>) {}

    fn after(&self, _: &ServiceName, _: Class, _: FlowId) -> Millis {
        Millis::secs(1)
    }

    fn followed(&mut self, _: Millis, _: FlowId) {}

    fn closed(&mut self, _: Millis, _: FlowId) {}

    fn follow(&mut self, _: &View, _: Millis) {}
}
