//! Instances with a fixed state, which the tool can query.

use medlarspur_lib::{
    bundle::{Class, TargetState},
    ids::{
        Bucket, DomainName, Incarnation, InstanceName, ServiceName, SiteName, TargetName, Version,
    },
    members::MemberState,
    packet::FlowKey,
    status::{
        BundleStatus, CatalogStatus, EvacuatedDomain, Explanation, FlowStatus, Life,
        MarkedExplanation, MarkedReason, MarkedService, MarkedStatus, MarkedTarget, MemberStatus,
        Owner, PlanStatus, Reason, ServiceStatus, Status, TargetStatus, TargetUse, Unready,
    },
    time::Millis,
};
use medlarspur_operator::{Family, MarkedSource, Meters, OperatorServer, Source};
use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

struct Instance {
    name: &'static str,
    version: Option<u64>,
    era: u32,
    /// Numbers of waiting flows by level.
    waiting: Vec<u64>,
}

/// Starts an instance with a bundle of this version in force, or without one.
pub fn start_instance(name: &'static str, version: Option<u64>) -> OperatorServer {
    let meters = Meters::new().expect("metrics");
    meters.counter(Family::Packets, "received").add(10);
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    OperatorServer::start(
        address,
        Arc::new(Instance { name, version, era: 0, waiting: Vec::new() }),
        meters,
    )
    .expect("starts")
}

/// Starts an instance at a site whose fabric returns marks, with a config of this version in
/// force, or without one.
pub fn start_marked(name: &'static str, version: Option<u64>) -> OperatorServer {
    start_marked_instance(Instance { name, version, era: 0, waiting: Vec::new() })
}

/// Like [`start_marked`], at a platform that has been restored from a copy `era` times.
pub fn start_marked_in_era(name: &'static str, version: Option<u64>, era: u32) -> OperatorServer {
    start_marked_instance(Instance { name, version, era, waiting: Vec::new() })
}

/// Like [`start_marked`], with waiting flows of several levels.
pub fn start_marked_with_waiting(name: &'static str, waiting: Vec<u64>) -> OperatorServer {
    start_marked_instance(Instance { name, version: Some(9), era: 0, waiting })
}

fn start_marked_instance(instance: Instance) -> OperatorServer {
    let meters = Meters::new().expect("metrics");
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    OperatorServer::start_marked(address, Arc::new(instance), meters).expect("starts")
}

impl MarkedSource for Instance {
    fn status(&self) -> Option<MarkedStatus> {
        Some(MarkedStatus {
            name: InstanceName::new(self.name),
            domain: DomainName::new("lozenets"),
            uptime: Millis(61_000),
            ready: self.version.is_some(),
            reading: true,
            members: 3,
            flows: 12,
            picture: catalog_status(self.version, self.era),
            services: vec![MarkedService {
                name: ServiceName::new("alertdesk"),
                pressure: 31,
                waiting: self.waiting.iter().sum(),
                waiting_by_level: self.waiting.clone(),
                targets: marked_targets(),
            }],
        })
    }

    fn explain(&self, flow: &FlowKey) -> Option<MarkedExplanation> {
        Some(MarkedExplanation {
            flow: *flow,
            reason: MarkedReason::Known,
            class: Some(Class::Feed),
            target: marked_targets().pop(),
            candidates: marked_targets(),
            picture: catalog_status(self.version, self.era),
        })
    }
}

fn catalog_status(version: Option<u64>, era: u32) -> CatalogStatus {
    let evacuated = EvacuatedDomain { domain: DomainName::new("mladost"), revision: 40 };
    CatalogStatus {
        version: version.map(Version),
        era,
        revision: 41,
        age: Some(Millis(350)),
        evacuated: vec![evacuated],
        omitted: 2,
    }
}

fn marked_targets() -> Vec<MarkedTarget> {
    let target = |number: u8, usage| MarkedTarget {
        name: TargetName::new(&format!("7f3a91c{number}")),
        start: 0,
        address: SocketAddrV4::new(Ipv4Addr::new(10, 1, 64, number), 8080),
        domain: DomainName::new("druzhba"),
        usage,
        work: 2,
        feeds: 5,
        excluded: None,
    };
    vec![target(1, TargetUse::Good), target(2, TargetUse::Leaving)]
}

impl Source for Instance {
    fn status(&self) -> Status {
        let bundle = self.version.map(bundle);
        let life = if bundle.is_some() { Life::Serving } else { Life::Starting };
        Status {
            site: SiteName::new("sofia"),
            name: InstanceName::new(self.name),
            domain: DomainName::new("lozenets"),
            incarnation: Incarnation(1),
            life,
            uptime: Millis(3_723_000),
            unready: bundle.is_none().then_some(Unready::NoBundle),
            services: bundle.iter().map(|_| service()).collect(),
            bundle,
            flows: 1200,
            members: vec![
                member("entry-1", MemberState::Live),
                member("entry-2", MemberState::Dead),
            ],
        }
    }

    fn explain(&self, flow: &FlowKey) -> Explanation {
        Explanation {
            flow: *flow,
            id: Some(format!("{:016x}", 7)),
            service: Some(ServiceName::new("alertdesk")),
            class: Some(Class::Feed),
            bucket: Some(Bucket(17)),
            target: Some(TargetName::new("alert-2")),
            reason: Reason::History,
            bundle: self.version.map(bundle),
            plan: Some(plan()),
            history: vec![Owner { target: TargetName::new("alert-2"), since: Millis(90_000) }],
            keepers: vec![InstanceName::new("entry-1"), InstanceName::new("entry-2")],
        }
    }

    fn flows(&self, limit: usize) -> Vec<FlowStatus> {
        (0..5).take(limit).map(flow).collect()
    }
}

fn bundle(version: u64) -> BundleStatus {
    BundleStatus {
        version: Version(version),
        digest: format!("{version:02x}").repeat(32),
        key: "cd".repeat(8),
        age: Millis::secs(60),
        conflict: false,
    }
}

fn member(name: &str, state: MemberState) -> MemberStatus {
    let domain = DomainName::new("lozenets");
    MemberStatus { name: InstanceName::new(name), domain, state, version: Version(7) }
}

fn plan() -> PlanStatus {
    PlanStatus { sequence: 3, author: InstanceName::new("entry-1"), moves: 12 }
}

fn service() -> ServiceStatus {
    let target = |name, state, open| TargetStatus {
        name: TargetName::new(name),
        domain: DomainName::new("lozenets"),
        state,
        open,
        flows: 600,
        buckets: 512,
    };
    ServiceStatus {
        name: ServiceName::new("alertdesk"),
        flows: 1200,
        buckets: 1024,
        moving: 12,
        plan: Some(plan()),
        targets: vec![
            target("alert-1", TargetState::Active, true),
            target("alert-2", TargetState::Leaving, false),
        ],
    }
}

fn flow(ix: u16) -> FlowStatus {
    FlowStatus {
        id: format!("{ix:016x}"),
        service: ServiceName::new("alertdesk"),
        class: Class::Feed,
        target: TargetName::new("alert-1"),
        age: Millis(125_000),
        idle: Millis(40),
        exception: ix == 1,
    }
}
