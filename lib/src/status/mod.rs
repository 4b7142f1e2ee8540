//! The state that an instance shows to operators and to the command-line tool.
//!
//! These types define the JSON of the operators' HTTP interface. Fields are
//! only added, never removed or changed, so that the tool of one release can
//! read instances of another.

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
        CatalogStatus, EvacuatedDomain, ExcludedStatus, MarkedExplanation, MarkedReason,
        MarkedService, MarkedStatus, MarkedTarget, TargetUse,
    },
};
