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
    /// What an instance is, has and believes.
    #[derive(Serialize, Deserialize)]
    pub struct Status {
        /// The site that it belongs to.
        pub site: SiteName,
        /// Its name.
        pub name: InstanceName,
        /// Its failure domain.
        pub domain: DomainName,
        /// Which of its lives this is.
        pub incarnation: Incarnation,
        /// Where it is in its life.
        pub life: Life,
        /// Milliseconds since it started.
        pub uptime: Millis,
        /// The bundle in force.
        pub bundle: Option<BundleStatus>,
        /// Why it is not ready, if it is not.
        pub unready: Option<Unready>,
        /// The flows that it knows.
        pub flows: u64,
        /// The instances that it knows, itself included.
        pub members: Vec<MemberStatus>,
        /// The services of the bundle in force.
        pub services: Vec<ServiceStatus>,
    }

    /// A bundle in force.
    #[derive(Serialize, Deserialize)]
    pub struct BundleStatus {
        /// Its version.
        pub version: Version,
        /// The digest of its text, in hexadecimal digits.
        pub digest: String,
        /// The key that signed it.
        pub key: String,
        /// Milliseconds since it came into force here.
        pub age: Millis,
        /// Whether other contents were seen under the same version.
        pub conflict: bool,
    }

    /// An instance as another one believes it to be.
    #[derive(Serialize, Deserialize)]
    pub struct MemberStatus {
        /// Its name.
        pub name: InstanceName,
        /// Its failure domain.
        pub domain: DomainName,
        /// What is believed of it.
        pub state: MemberState,
        /// The bundle version that it last said to have in force.
        pub version: Version,
    }

    /// A service of the bundle in force.
    #[derive(Serialize, Deserialize)]
    pub struct ServiceStatus {
        /// Its name.
        pub name: ServiceName,
        /// The flows of it that this instance knows.
        pub flows: u64,
        /// The number of its buckets.
        pub buckets: u16,
        /// How many buckets have earlier owners that may hold flows.
        pub moving: u16,
        /// The plan in force, if it has one.
        pub plan: Option<PlanStatus>,
        /// Its targets.
        pub targets: Vec<TargetStatus>,
    }

    /// A plan in force.
    #[derive(Serialize, Deserialize)]
    pub struct PlanStatus {
        /// Counts the plans of the service.
        pub sequence: u64,
        /// The instance that made it.
        pub author: InstanceName,
        /// How many buckets it moves.
        pub moves: u32,
    }

    /// A target of a service.
    #[derive(Serialize, Deserialize)]
    pub struct TargetStatus {
        /// Its name.
        pub name: TargetName,
        /// Its failure domain.
        pub domain: DomainName,
        /// What the bundle says of it.
        pub state: TargetState,
        /// Whether this instance gives it new flows.
        pub open: bool,
        /// The flows to it that this instance knows.
        pub flows: u64,
        /// The buckets that it owns.
        pub buckets: u16,
    }
}

value! {
    /// Where an instance is in its life.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Life {
        /// Looks for the bundle in force.
        Starting,
        /// Forwards.
        Serving,
        /// Hands over and still forwards.
        Leaving,
        /// Forwards no more.
        Stopped,
    }

    /// Why an instance should get no packets.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum Unready {
        /// Neither the platform nor a peer gave it a bundle yet.
        NoBundle,
        /// It leaves.
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
