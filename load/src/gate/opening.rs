//! Inputs and results of the decisions.

use medlarspur_lib::{
    bundle::{Class, TargetState},
    ids::{FlowId, ServiceIx, ServiceName, TargetIx, TargetName},
    time::Millis,
};
use std::net::Ipv4Addr;

/// The first packet of a flow that this instance does not know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opening {
    /// The flow; the same for every repetition of its first packet.
    pub flow: FlowId,
    /// The address of the caller.
    pub caller: Ipv4Addr,
    /// The service of the flow.
    pub service: ServiceIx,
    /// The class of the destination port.
    pub class: Class,
    /// The target that the table assigns to the flow.
    pub target: TargetIx,
}

/// The end of a flow, by the caller's FIN or RST or by an idle timeout.
///
/// The flow may have been opened at another instance: a fabric that sprays packets delivers
/// the end to any instance, and each counts the ends that it sees.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closing {
    /// The flow that ended.
    pub flow: FlowId,
    /// The service of the flow.
    pub service: ServiceIx,
    /// The class of its port.
    pub class: Class,
    /// The target of the flow.
    pub target: TargetIx,
}

/// The decision on an opening.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to its target now.
    Admit,
    /// Hold it. [`Gate::collect_verdicts`](crate::Gate::collect_verdicts) returns the final
    /// verdict, at `until` at the latest.
    Wait {
        /// Latest time of the final verdict.
        until: Millis,
    },
    /// Tell the caller now that the work was not run. No packet of the flow may go to a
    /// target.
    Refuse {
        /// Time after which the caller should retry.
        after: Millis,
    },
}

/// An observation about a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// The caller sent its first packet after the opening, which proves that the target
    /// answered.
    Established {
        /// Time since the opening, if this instance saw the opening.
        after: Option<Millis>,
    },
    /// The caller reset a flow of the target.
    Reset,
    /// The target's health and load endpoint answered.
    Report(LoadReport),
    /// The target's health and load endpoint did not answer.
    NoReport,
}

/// A target's report of its own health and load. It lags and may be wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Whether the target reports itself as healthy.
    pub healthy: bool,
    /// Whether the target reports that it is draining.
    pub draining: bool,
    /// Number of occupied slots plus the work that waits for a slot.
    pub work: u32,
    /// Number of open connections.
    pub connections: u32,
}

/// The settings of a service in the bundle in force that the decisions need.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Its name. State learnt about the service is kept by name across bundles.
    pub name: ServiceName,
    /// Whether the service has a port of class request, for which capacity is reserved.
    pub has_requests: bool,
    /// Importance of balance over unbroken flows, in percent.
    pub balance: u8,
    /// The targets, in the order of the bundle.
    pub targets: Vec<TargetSpec>,
}

/// The settings of a target in the bundle in force that the decisions need.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSpec {
    /// Its name. State learnt about the target is kept by name across bundles.
    pub name: TargetName,
    /// Number of requests or uploads that the target works on at once.
    pub slots: u16,
    /// Maximum number of connections of the target.
    pub connections: u32,
    /// Relative share of new flows, in percent of a full share.
    pub weight: u16,
    /// Whether the target takes new work.
    pub state: TargetState,
}
