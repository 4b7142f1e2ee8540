//! What an instance shows its operators, and what the command-line tool reads.
//!
//! These types are the JSON of the operator's HTTP interface. Fields are only
//! ever added, so that a tool of one release reads instances of another.

mod explanation;
mod flow;
mod instance;
mod marked;
mod text;

pub use self::{
    explanation::{Explanation, Owner, Reason},
    flow::FlowStatus,
    instance::{
        BundleStatus, Life, MemberStatus, PlanStatus, ServiceStatus, Status, TargetStatus, Unready,
    },
    marked::{
        CatalogStatus, EvacuatedDomain, MarkedExplanation, MarkedReason, MarkedService,
        MarkedStatus, MarkedTarget, TargetUse,
    },
};
