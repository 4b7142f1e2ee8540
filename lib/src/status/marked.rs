//! The state of an instance where the fabric returns marks, and why a flow goes where
//! it goes there.

use crate::{
    bundle::Class,
    ids::{DomainName, InstanceName, ServiceName, TargetName, Version},
    packet::FlowKey,
    time::Millis,
};
use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddrV4};

value! {
    /// What an instance is, knows and believes.
    #[derive(Serialize, Deserialize)]
    pub struct MarkedStatus {
        /// Its name.
        pub name: InstanceName,
        /// Its failure domain.
        pub domain: DomainName,
        /// Milliseconds since it started.
        pub uptime: Millis,
        /// Whether routers should send to it.
        pub ready: bool,
        /// Whether it reads the store for its failure domain.
        pub reading: bool,
        /// How many instances it knows, itself included.
        pub members: u64,
        /// How many flows it has a record of.
        pub flows: u64,
        /// What decides at this moment.
        pub picture: CatalogStatus,
        /// The services that have targets.
        pub services: Vec<MarkedService>,
    }

    /// Up to where an instance knows the config and the targets.
    #[derive(Serialize, Deserialize)]
    pub struct CatalogStatus {
        /// The version of the config in force, if there is one.
        pub version: Option<Version>,
        /// How often the platform had come back from a copy when it gave that revision.
        #[serde(default)]
        pub era: u32,
        /// The revision up to which all changes are known.
        pub revision: u64,
        /// Milliseconds since the store or a reader confirmed that, if either has.
        pub age: Option<Millis>,
        /// The failure domains that operators have emptied.
        #[serde(default)]
        pub evacuated: Vec<EvacuatedDomain>,
        /// How many published routes can't be served.
        #[serde(default)]
        pub omitted: u32,
    }

    /// A failure domain whose targets get no new flows.
    #[derive(Serialize, Deserialize)]
    pub struct EvacuatedDomain {
        /// Its name.
        pub domain: DomainName,
        /// The revision that says so.
        pub revision: u64,
    }

    /// A service as this instance sees it.
    #[derive(Serialize, Deserialize)]
    pub struct MarkedService {
        /// Its name.
        pub name: ServiceName,
        /// How long answers take, in hundredths of their goals; 0 before the first.
        pub pressure: u32,
        /// How many new flows wait for room.
        pub waiting: u64,
        /// Its targets, removed ones that may still have flows included.
        pub targets: Vec<MarkedTarget>,
    }

    /// A target as this instance sees it.
    #[derive(Serialize, Deserialize)]
    pub struct MarkedTarget {
        /// The name under which it is listed, as in log lines; the same for all of its
        /// starts.
        pub name: TargetName,
        /// When it started by its own clock, in milliseconds since 1970; 0 if the
        /// platform doesn't say.
        pub start: u64,
        /// Where it takes packets.
        pub address: SocketAddrV4,
        /// Its failure domain.
        pub domain: DomainName,
        /// Whether it takes new flows, and if not, why.
        #[serde(rename = "use")]
        pub usage: TargetUse,
        /// Requests and openings of this instance under way there.
        pub work: u32,
        /// Open feeds of this instance without a request under way.
        pub feeds: u32,
    }

    /// Where a flow goes and why.
    #[derive(Serialize, Deserialize)]
    pub struct MarkedExplanation {
        /// The flow that was asked about.
        #[serde(with = "super::text")]
        pub flow: FlowKey,
        /// What decides.
        pub reason: MarkedReason,
        /// The class of its route, if there is one.
        pub class: Option<Class>,
        /// The target that it has, if it has one here.
        pub target: Option<MarkedTarget>,
        /// The targets of its route's services, for a flow that is opened now.
        pub candidates: Vec<MarkedTarget>,
        /// What decides at this moment.
        pub picture: CatalogStatus,
    }
}

value! {
    /// Whether a target takes new flows.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum TargetUse {
        /// It does.
        Good,
        /// It is not listed any more but answers: only if no good one is there.
        Unlisted,
        /// Something got no answer lately: only if no better one is there.
        Doubtful,
        /// It takes no openings, or one at a time to try, and serves the flows that it has.
        Full,
        /// Operators have emptied its failure domain: it takes none.
        Evacuated,
        /// It is slow after its start and its service bounds what it gets meanwhile: none from
        /// this instance now.
        Warming,
        /// It is outside of the regions in which the route's requests must stay.
        Away,
        /// Its entry was changed so that it names no target that could be used.
        Unusable,
        /// It has started again since: the later start takes new flows.
        Replaced,
        /// It leaves and takes none.
        Leaving,
        /// It does not answer and takes none.
        Lost,
        /// It is not listed any more and takes none.
        Removed,
    }

    /// What decides where a flow goes.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum MarkedReason {
        /// No route of the config has that address and port.
        NoRoute,
        /// This instance has a record of the flow.
        Known,
        /// It waits to be opened until its service has room.
        Waiting,
        /// No record: the mark in its packets decides, and an opening packet is given
        /// one of the candidates.
        Unknown,
        /// No record, and no target takes new flows.
        NoTarget,
    }
}

impl fmt::Display for MarkedReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MarkedReason::NoRoute => "no route of the config has this address and port",
            MarkedReason::Known => "this instance has a record of the flow",
            MarkedReason::Waiting => "it waits until its service has room",
            MarkedReason::Unknown => {
                "no record here: the mark in its packets decides, an opening gets a candidate"
            }
            MarkedReason::NoTarget => "no record here, and no target takes new flows",
        })
    }
}

impl fmt::Display for TargetUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            TargetUse::Good => "good",
            TargetUse::Unlisted => "unlisted",
            TargetUse::Doubtful => "doubtful",
            TargetUse::Full => "full",
            TargetUse::Evacuated => "evacuated",
            TargetUse::Warming => "warming",
            TargetUse::Away => "away",
            TargetUse::Unusable => "unusable",
            TargetUse::Replaced => "replaced",
            TargetUse::Leaving => "leaving",
            TargetUse::Lost => "lost",
            TargetUse::Removed => "removed",
        })
    }
}
