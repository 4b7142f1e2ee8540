//! The state of an instance whose fabric returns marks, and the explanation of where a
//! flow goes there.

use crate::{
    bundle::Class,
    ids::{DomainName, InstanceName, ServiceName, TargetName, Version},
    packet::FlowKey,
    time::Millis,
};
use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddrV4};

value! {
    /// State of an instance and what it knows.
    #[derive(Serialize, Deserialize)]
    pub struct MarkedStatus {
        /// Name of the instance.
        pub name: InstanceName,
        /// Failure domain of the instance.
        pub domain: DomainName,
        /// Milliseconds since its start.
        pub uptime: Millis,
        /// Whether routers should send packets to it.
        pub ready: bool,
        /// Whether it reads the store for its failure domain.
        pub reading: bool,
        /// Number of instances that it knows, itself included.
        pub members: u64,
        /// Number of flows that it has a record of.
        pub flows: u64,
        /// State of the catalog by which it currently decides.
        pub picture: CatalogStatus,
        /// Services that have targets.
        pub services: Vec<MarkedService>,
    }

    /// State of the catalog: the revision up to which an instance knows the config and
    /// the targets.
    #[derive(Serialize, Deserialize)]
    pub struct CatalogStatus {
        /// Version of the config in force, if there is one.
        pub version: Option<Version>,
        /// Number of times that the platform had been restored from a copy when it
        /// returned this revision.
        #[serde(default)]
        pub era: u32,
        /// Revision up to which all changes are known.
        pub revision: u64,
        /// Milliseconds since the store or a reader confirmed the revision, if either
        /// has.
        pub age: Option<Millis>,
        /// Failure domains that operators have evacuated.
        #[serde(default)]
        pub evacuated: Vec<EvacuatedDomain>,
        /// Number of published routes that can't be served.
        #[serde(default)]
        pub omitted: u32,
    }

    /// A failure domain whose targets get no new flows.
    #[derive(Serialize, Deserialize)]
    pub struct EvacuatedDomain {
        /// Name of the failure domain.
        pub domain: DomainName,
        /// Revision at which it was evacuated.
        pub revision: u64,
    }

    /// A service as seen by this instance.
    #[derive(Serialize, Deserialize)]
    pub struct MarkedService {
        /// Name of the service.
        pub name: ServiceName,
        /// Answer time relative to the latency objective, in percent; 0 before the
        /// first answer.
        pub pressure: u32,
        /// Number of new flows that wait for capacity.
        pub waiting: u64,
        /// The same by level, the highest level first, down to the lowest that has any.
        #[serde(default)]
        pub waiting_by_level: Vec<u64>,
        /// Targets of the service, including removed ones that may still have flows.
        pub targets: Vec<MarkedTarget>,
    }

    /// A target as seen by this instance.
    #[derive(Serialize, Deserialize)]
    pub struct MarkedTarget {
        /// Name under which the target is listed and logged. It stays the same when the
        /// target restarts.
        pub name: TargetName,
        /// Start time of the target by its own clock, in milliseconds since 1970; 0 if
        /// the platform doesn't report it.
        pub start: u64,
        /// Address at which it receives packets.
        pub address: SocketAddrV4,
        /// Its failure domain.
        pub domain: DomainName,
        /// Whether it takes new flows, and if not, why.
        #[serde(rename = "use")]
        pub usage: TargetUse,
        /// Number of this instance's requests and openings in progress there.
        pub work: u32,
        /// Number of this instance's open feeds there without a request in progress.
        pub feeds: u32,
        /// Evidence against it, if it is excluded because it fails more requests than the
        /// other targets of its service.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub excluded: Option<ExcludedStatus>,
    }

    /// Exclusion of a target that fails more requests than the others of its service.
    #[derive(Serialize, Deserialize)]
    pub struct ExcludedStatus {
        /// Milliseconds since it was excluded.
        pub age: Millis,
        /// Milliseconds until a new flow may try it; 0 if one may now.
        pub pause: Millis,
        /// Share of bad outcomes in the recent ones that this instance saw, in percent;
        /// none without any.
        pub own_bad_percent: Option<u32>,
        /// The same of those that other instances reported.
        pub others_bad_percent: Option<u32>,
        /// Number of other instances that reported outcomes.
        pub reporters: u32,
    }

    /// Explanation of where a flow goes.
    #[derive(Serialize, Deserialize)]
    pub struct MarkedExplanation {
        /// Flow of the request.
        #[serde(with = "super::text")]
        pub flow: FlowKey,
        /// Reason for the decision.
        pub reason: MarkedReason,
        /// Class of its route, if there is one.
        pub class: Option<Class>,
        /// Target of the flow, if this instance has a record of it.
        pub target: Option<MarkedTarget>,
        /// Targets of the route's services, for a flow that is opened now.
        pub candidates: Vec<MarkedTarget>,
        /// State of the catalog by which the instance currently decides.
        pub picture: CatalogStatus,
    }
}

value! {
    /// Whether a target takes new flows.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum TargetUse {
        /// It takes new flows.
        Good,
        /// It is no longer listed but answers. Used only if no good target exists.
        Unlisted,
        /// Something sent to it was not answered lately. Used only if no better target
        /// exists.
        Doubtful,
        /// It takes no openings, or one at a time as a probe, and serves its existing
        /// flows.
        Full,
        /// It fails more requests than the other targets of its service. It takes one flow
        /// at a time as a trial, and flows that no other target can take.
        Excluded,
        /// Its failure domain is evacuated, so it takes no new flows.
        Evacuated,
        /// It is in slow start and its service limits the flows that it gets, so it
        /// currently takes none from this instance.
        Warming,
        /// It is outside the regions in which the route's requests must stay.
        Away,
        /// Its entry was changed and no longer describes a usable target.
        Unusable,
        /// It has restarted. The later start takes new flows instead.
        Replaced,
        /// It is leaving and takes no new flows.
        Leaving,
        /// It doesn't answer and takes no new flows.
        Lost,
        /// It is no longer listed and takes no new flows.
        Removed,
    }

    /// Reason why a flow goes where it goes.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum MarkedReason {
        /// No route of the config has that address and port.
        NoRoute,
        /// This instance has a record of the flow.
        Known,
        /// The flow's opening waits until its service has capacity.
        Waiting,
        /// There is no record. The mark in the flow's packets decides, and an opening
        /// goes to one of the candidates.
        Unknown,
        /// There is no record, and no target takes new flows.
        NoTarget,
    }
}

impl fmt::Display for MarkedReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MarkedReason::NoRoute => "no route of the config has this address and port",
            MarkedReason::Known => "this instance has a record of the flow",
            MarkedReason::Waiting => "it waits until its service has capacity",
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
            TargetUse::Excluded => "excluded",
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
