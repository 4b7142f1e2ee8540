//! What goes into the decisions and what comes out.

use medlarspur_lib::{
    bundle::{Class, TargetState},
    ids::{FlowId, ServiceIx, ServiceName, TargetIx, TargetName},
    time::Millis,
};
use std::net::Ipv4Addr;

/// The first packet of a flow that this instance does not know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opening {
    /// The flow, alike for every repetition of its first packet.
    pub flow: FlowId,
    /// Who opens it.
    pub caller: Ipv4Addr,
    /// The service that it is for.
    pub service: ServiceIx,
    /// The class of the port that it is for.
    pub class: Class,
    /// The target that the table names for it.
    pub target: TargetIx,
}

/// The end of a flow, told by the caller's FIN or RST or by its idleness.
///
/// The flow need not have been opened here: a fabric that sprays packets shows
/// the end to any instance, and each counts what it sees.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closing {
    /// The flow that ended.
    pub flow: FlowId,
    /// The service that it was for.
    pub service: ServiceIx,
    /// The class of its port.
    pub class: Class,
    /// The target that held it.
    pub target: TargetIx,
}

/// What to do with an opening.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to its target now.
    Admit,
    /// Hold it; [`Gate::collect_verdicts`](crate::Gate::collect_verdicts) gives the final verdict, at
    /// `until` at the latest.
    Wait {
        /// When the final verdict is there at the latest.
        until: Millis,
    },
    /// Answer the caller now that the work was not run. No packet of the flow
    /// may go to a target.
    Refuse {
        /// How long the caller should wait before it comes back.
        after: Millis,
    },
}

/// Something seen or heard of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// The caller's first packet after its opening, which proves that the
    /// target answered; `after` is the time since the opening, if the opening
    /// was seen here.
    Established {
        /// Time since the opening.
        after: Option<Millis>,
    },
    /// The caller reset a flow of this target.
    Reset,
    /// The target's health and load endpoint answered.
    Report(Report),
    /// The target's health and load endpoint did not answer.
    NoReport,
}

/// What a target says of itself; it lags and may be wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Whether it calls itself healthy.
    pub healthy: bool,
    /// Whether it says that it drains.
    pub draining: bool,
    /// How many of its slots are taken, work that waits for one included.
    pub work: u32,
    /// How many connections it holds.
    pub connections: u32,
}

/// What the decisions need to know of a service in the bundle in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Its name, by which what was learnt survives a new bundle.
    pub name: ServiceName,
    /// Whether it has a port of class request, for which room is kept.
    pub has_requests: bool,
    /// How much imbalance weighs against broken flows, in percent.
    pub balance: u8,
    /// Its targets, in the order of the bundle.
    pub targets: Vec<TargetSpec>,
}

/// What the decisions need to know of a target in the bundle in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSpec {
    /// Its name, by which what was learnt survives a new bundle.
    pub name: TargetName,
    /// How many requests or uploads it works on at once.
    pub slots: u16,
    /// How many connections it holds at once.
    pub connections: u32,
    /// Its share of new flows beside the others, in percent of a full one.
    pub weight: u16,
    /// Whether it takes new work.
    pub state: TargetState,
}
