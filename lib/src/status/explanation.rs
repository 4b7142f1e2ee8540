//! Why a flow goes where it goes.

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
    /// What an instance would do with the next packet of a flow, and why.
    #[derive(Serialize, Deserialize)]
    pub struct Explanation {
        /// The flow that was asked about.
        #[serde(with = "super::text")]
        pub flow: FlowKey,
        /// Its id in lists of flows, if a bundle is in force.
        pub id: Option<String>,
        /// Its service, if the bundle in force has one at that address and port.
        pub service: Option<ServiceName>,
        /// The class of the port.
        pub class: Option<Class>,
        /// The bucket that the flow hashes to.
        pub bucket: Option<Bucket>,
        /// Where it goes, unless it is turned away.
        pub target: Option<TargetName>,
        /// What decided that.
        pub reason: Reason,
        /// The bundle that decided.
        pub bundle: Option<BundleStatus>,
        /// The plan that decided, if the service has one.
        pub plan: Option<PlanStatus>,
        /// The owners that the bucket had before and that may hold flows.
        pub history: Vec<Owner>,
        /// The instances that keep the exceptions of the bucket.
        pub keepers: Vec<InstanceName>,
    }

    /// An earlier owner of a bucket.
    #[derive(Serialize, Deserialize)]
    pub struct Owner {
        /// The target.
        pub target: TargetName,
        /// Milliseconds since the bucket went elsewhere.
        pub since: Millis,
    }
}

value! {
    /// What decides where a flow goes.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum Reason {
        /// No bundle is in force, so nothing is forwarded.
        NoBundle,
        /// The bundle has no service at that address and port.
        NoService,
        /// This instance knows the flow.
        Known,
        /// A keeper said that the flow is an exception.
        Exception,
        /// The bucket goes there by the plan.
        Plan,
        /// The bucket goes there by the table.
        Table,
        /// In doubt, the earlier owner of the bucket.
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
