//! The state of an instance.

use crate::{
    bundle::TargetState,
    ids::{DomainName, Incarnation, InstanceName, ServiceName, SiteName, TargetName, Version},
    members::MemberState,
    time::Millis,
};
use serde::{Deserialize, Serialize};
use std::fmt;

value! {
    /// State of an instance and what it knows of the others.
    #[derive(Serialize, Deserialize)]
    pub struct Status {
        /// Site of the instance.
        pub site: SiteName,
        /// Name of the instance.
        pub name: InstanceName,
        /// Failure domain of the instance.
        pub domain: DomainName,
        /// Incarnation of the instance.
        pub incarnation: Incarnation,
        /// Stage of its lifecycle.
        pub life: Life,
        /// Milliseconds since its start.
        pub uptime: Millis,
        /// Bundle in force.
        pub bundle: Option<BundleStatus>,
        /// Reason why it is not ready, if it is not.
        pub unready: Option<Unready>,
        /// Number of flows that it knows.
        pub flows: u64,
        /// Instances that it knows, itself included.
        pub members: Vec<MemberStatus>,
        /// Services of the bundle in force.
        pub services: Vec<ServiceStatus>,
    }

    /// A bundle in force.
    #[derive(Serialize, Deserialize)]
    pub struct BundleStatus {
        /// Version of the bundle.
        pub version: Version,
        /// Digest of its text, in hexadecimal digits.
        pub digest: String,
        /// Id of the key that signed it.
        pub key: String,
        /// Milliseconds since it came into force at this instance.
        pub age: Millis,
        /// Whether other content was seen under the same version.
        pub conflict: bool,
    }

    /// An instance as seen by another one.
    #[derive(Serialize, Deserialize)]
    pub struct MemberStatus {
        /// Name of the instance.
        pub name: InstanceName,
        /// Its failure domain.
        pub domain: DomainName,
        /// Its state in the membership.
        pub state: MemberState,
        /// Bundle version in force there, as last received.
        pub version: Version,
    }

    /// A service of the bundle in force.
    #[derive(Serialize, Deserialize)]
    pub struct ServiceStatus {
        /// Name of the service.
        pub name: ServiceName,
        /// Number of its flows that this instance knows.
        pub flows: u64,
        /// Number of its buckets.
        pub buckets: u16,
        /// Number of buckets with earlier owners that may still hold flows.
        pub moving: u16,
        /// Plan in force, if the service has one.
        pub plan: Option<PlanStatus>,
        /// Targets of the service.
        pub targets: Vec<TargetStatus>,
    }

    /// A plan in force.
    #[derive(Serialize, Deserialize)]
    pub struct PlanStatus {
        /// Sequence number among the plans of the service.
        pub sequence: u64,
        /// Instance that made the plan.
        pub author: InstanceName,
        /// Number of buckets that the plan moves.
        pub moves: u32,
    }

    /// A target of a service.
    #[derive(Serialize, Deserialize)]
    pub struct TargetStatus {
        /// Name of the target.
        pub name: TargetName,
        /// Its failure domain.
        pub domain: DomainName,
        /// Its state according to the bundle.
        pub state: TargetState,
        /// Whether this instance sends it new flows.
        pub open: bool,
        /// Number of flows to it that this instance knows.
        pub flows: u64,
        /// Number of buckets that it owns.
        pub buckets: u16,
    }
}

value! {
    /// Stage of an instance's lifecycle.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Life {
        /// Looks for the bundle in force.
        Starting,
        /// Forwards packets.
        Serving,
        /// Hands its flows over and still forwards packets.
        Leaving,
        /// No longer forwards packets.
        Stopped,
    }

    /// Reason why an instance should get no packets.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum Unready {
        /// It has not yet got a bundle from the platform or a peer.
        NoBundle,
        /// It is leaving.
        Leaving,
    }
}

impl fmt::Display for Life {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Life::Starting => "starting",
            Life::Serving => "serving",
            Life::Leaving => "leaving",
            Life::Stopped => "stopped",
        })
    }
}

impl fmt::Display for Unready {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Unready::NoBundle => "no bundle in force: neither the platform nor a peer gave one yet",
            Unready::Leaving => "the instance is leaving",
        })
    }
}
