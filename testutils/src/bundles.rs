//! Builds bundles for tests, without writing and parsing text.

use medlarspur_lib::{
    bundle::{Bundle, Class, Limits, Port, Protocol, Seed, Service, Target, TargetState},
    ids::{DomainName, ServiceName, SiteName, TargetName, Version},
    time::Millis,
};
use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

/// Address and port of the first service's feeds.
pub const FEEDS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 70, 0, 1), 7001);
/// Address and port of the first service's requests.
pub const REQUESTS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 70, 0, 1), 7002);
/// Address and port of the second service's uploads.
pub const UPLOADS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 70, 0, 2), 7003);

/// Builds the bundles of a site with two services, like the first two sites.
#[derive(Debug, Clone)]
pub struct SiteBuilder {
    version: u64,
    targets: [usize; 2],
    leaving: Vec<String>,
    removed: Vec<String>,
    refusal: Option<Arc<str>>,
    keepalive: Millis,
}

impl SiteBuilder {
    /// Creates a site with `first` targets of the first service and `second` of the second.
    pub fn new(first: usize, second: usize) -> SiteBuilder {
        SiteBuilder {
            version: 1,
            targets: [first, second],
            leaving: Vec::new(),
            removed: Vec::new(),
            refusal: None,
            keepalive: Millis::secs(30),
        }
    }

    /// Returns the next version, in which a target is leaving.
    pub fn leaving(mut self, name: &str) -> SiteBuilder {
        self.version += 1;
        self.leaving.push(name.to_owned());
        self
    }

    /// Returns the next version, in which a target is no longer listed.
    pub fn removed(mut self, name: &str) -> SiteBuilder {
        self.version += 1;
        self.removed.push(name.to_owned());
        self
    }

    /// Returns the next version, in which a leaving target is active again.
    pub fn returning(mut self, name: &str) -> SiteBuilder {
        self.version += 1;
        self.leaving.retain(|other| other != name);
        self
    }

    /// Returns the next version, in which each service has one more target.
    pub fn grown(mut self) -> SiteBuilder {
        self.version += 1;
        self.targets = self.targets.map(|count| count + 1);
        self
    }

    /// Sets the text for refused callers.
    pub fn refusal(mut self, text: &str) -> SiteBuilder {
        self.refusal = Some(text.into());
        self
    }

    /// Builds the bundle.
    pub fn bundle(&self) -> Arc<Bundle> {
        let ports = |numbers: &[(u16, Class)]| {
            let port = |&(number, class)| Port { number, protocol: Protocol::Tcp, class };
            numbers.iter().map(port).collect()
        };
        let first = ports(&[(7001, Class::Feed), (7002, Class::Request)]);
        let second = ports(&[(7003, Class::Upload)]);
        Arc::new(Bundle {
            evacuated: Vec::new(),
            version: Version(self.version),
            site: SiteName::new("test"),
            seed: Seed([7; 16]),
            services: vec![
                self.service(0, "alertdesk", *FEEDS.ip(), first),
                self.service(1, "ingest", *UPLOADS.ip(), second),
            ],
            limits: Limits::default(),
        })
    }

    fn service(
        &self,
        service_ix: usize,
        name: &str,
        address: Ipv4Addr,
        ports: Vec<Port>,
    ) -> Arc<Service> {
        let names = (0..self.targets[service_ix]).map(|ix| format!("{name}-{ix}"));
        let targets = names
            .enumerate()
            .filter(|(_, name)| !self.removed.contains(name))
            .map(|(ix, name)| self.target(service_ix, ix, &name))
            .collect();
        Arc::new(Service {
            name: ServiceName::new(name),
            address,
            ports,
            buckets: 1024,
            keepalive: self.keepalive,
            refusal: self.refusal.clone(),
            balance: 50,
            targets,
        })
    }

    fn target(&self, service_ix: usize, ix: usize, name: &str) -> Target {
        let leaves = self.leaving.iter().any(|other| other == name);
        Target {
            name: TargetName::new(name),
            address: SocketAddrV4::new(Ipv4Addr::new(127, 8, service_ix as u8, ix as u8), 5555),
            domain: DomainName::new(&format!("d{}", ix % 4)),
            weight: 100,
            slots: 2,
            connections: 2000,
            state: if leaves { TargetState::Leaving } else { TargetState::Active },
            probe: None,
        }
    }
}
