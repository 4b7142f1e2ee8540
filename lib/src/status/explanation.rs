//! Explanation of where a flow goes.

use super::{BundleStatus, PlanStatus};
use crate::{
    bundle::Class,
    ids::{Bucket, InstanceName, ServiceName, TargetName},
    packet::FlowKey,
    time::Millis,
};
use serde::{Deserialize, Serialize};
use std::fmt;

value! {
    /// The target that an instance would choose for a flow's next packet, and
    /// why.
    #[derive(Serialize, Deserialize)]
    pub struct Explanation {
        /// Flow of the request.
        #[serde(with = "super::text")]
        pub flow: FlowKey,
        /// Id of the flow in lists of flows, if a bundle is in force.
        pub id: Option<String>,
        /// Service at the flow's address and port, if the bundle in force has
        /// one.
        pub service: Option<ServiceName>,
        /// Class of the port.
        pub class: Option<Class>,
        /// Bucket that the flow hashes to.
        pub bucket: Option<Bucket>,
        /// Target of the flow, unless the flow is refused.
        pub target: Option<TargetName>,
        /// Reason for that target.
        pub reason: Reason,
        /// Bundle in force.
        pub bundle: Option<BundleStatus>,
        /// Plan of the service, if it has one.
        pub plan: Option<PlanStatus>,
        /// Earlier owners of the bucket that may still hold flows.
        pub history: Vec<Owner>,
        /// Instances that keep the exceptions of the bucket.
        pub keepers: Vec<InstanceName>,
    }

    /// An earlier owner of a bucket.
    #[derive(Serialize, Deserialize)]
    pub struct Owner {
        /// The target.
        pub target: TargetName,
        /// Milliseconds since the bucket moved to another owner.
        pub since: Millis,
    }
}

value! {
    /// Reason why a flow goes to its target.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum Reason {
        /// No bundle is in force, so nothing is forwarded.
        NoBundle,
        /// The bundle has no service at that address and port.
        NoService,
        /// This instance knows the flow.
        Known,
        /// A keeper answered that the flow is an exception.
        Exception,
        /// The plan assigns the bucket to the target.
        Plan,
        /// The table assigns the bucket to the target.
        Table,
        /// The bucket's earlier owners may still hold flows, so an unknown flow
        /// goes to an earlier owner.
        History,
        /// No target takes new flows.
        NoTarget,
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::NoBundle => "no bundle is in force here",
            Reason::NoService => "no service has this address, port and protocol",
            Reason::Known => "this instance knows the flow",
            Reason::Exception => "a keeper of the bucket knows the flow",
            Reason::Plan => "the plan in force moved the bucket there",
            Reason::Table => "the table of the bundle gives the bucket to it",
            Reason::History => "in doubt, a flow stays with the earlier owner of its bucket",
            Reason::NoTarget => "no target of the service takes new flows",
        })
    }
}
