//! An instance with a fixed state, and an HTTP client.

use medlarspur_lib::{
    bundle::Class,
    ids::{DomainName, Incarnation, InstanceName, ServiceName, SiteName, TargetName, Version},
    packet::FlowKey,
    status::{BundleStatus, Explanation, FlowStatus, Life, Reason, Status, Unready},
    time::Millis,
};
use medlarspur_operator::{Meters, OperatorServer, Source};
use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// An instance with a thousand flows, which is ready or not.
pub struct Instance {
    pub ready: AtomicBool,
}

impl Source for Instance {
    fn status(&self) -> Status {
        let ready = self.ready.load(Ordering::Relaxed);
        Status {
            site: SiteName::new("sofia"),
            name: InstanceName::new("entry-1"),
            domain: DomainName::new("lozenets"),
            incarnation: Incarnation(1),
            life: if ready { Life::Serving } else { Life::Starting },
            uptime: Millis::secs(5),
            bundle: ready.then(bundle),
            unready: (!ready).then_some(Unready::NoBundle),
            flows: 1000,
            members: Vec::new(),
            services: Vec::new(),
        }
    }

    fn explain(&self, flow: &FlowKey) -> Explanation {
        Explanation {
            flow: *flow,
            id: None,
            service: None,
            class: None,
            bucket: None,
            target: None,
            reason: Reason::NoService,
            bundle: Some(bundle()),
            plan: None,
            history: Vec::new(),
            keepers: Vec::new(),
        }
    }

    fn flows(&self, limit: usize) -> Vec<FlowStatus> {
        (0..1000).take(limit).map(flow).collect()
    }
}

fn bundle() -> BundleStatus {
    BundleStatus {
        version: Version(7),
        digest: "ab".repeat(32),
        key: "cd".repeat(8),
        age: Millis::secs(1),
        conflict: false,
    }
}

fn flow(port: u16) -> FlowStatus {
    FlowStatus {
        id: format!("{port:016x}"),
        service: ServiceName::new("alertdesk"),
        class: Class::Feed,
        target: TargetName::new("alert-1"),
        age: Millis(10),
        idle: Millis(1),
        exception: false,
    }
}

/// The loopback address with port 0, for which the system chooses a free port.
pub const ANY_PORT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);

/// Starts a server on a free port. Returns it with its instance and metrics.
pub fn start_server(ready: bool) -> (OperatorServer, Arc<Instance>, Meters) {
    let instance = Arc::new(Instance { ready: ready.into() });
    let meters = Meters::new().expect("metrics");
    let operator =
        OperatorServer::start(ANY_PORT, instance.clone(), meters.clone()).expect("starts");
    (operator, instance, meters)
}

/// Sends a `GET`. Returns the status code and the body.
pub fn get(operator: &OperatorServer, path: &str) -> (u16, String) {
    let config = ureq::Agent::config_builder().http_status_as_error(false).build();
    let url = format!("http://{}{path}", operator.address());
    let mut answer = ureq::Agent::from(config).get(url).call().expect("a response");
    let body = answer.body_mut().read_to_string().expect("text");
    (answer.status().as_u16(), body)
}
