//! A small test site: stand-ins in this process, and instances as child processes.

use crate::{
    fabric::{self, Fabric},
    layout::{Layout, ServiceLayout, TargetLayout},
    list::ListedState,
    platform::Platform,
    process::{CommonSettings, Instance, ProcessError},
    profile::Profile,
    spread::Mode,
    target::{Behaviour, RunningTarget, TargetError, Targets},
    web::WebError,
};
use medlarspur_lib::bundle::{Class, SecretKey, TargetState};
use nix::sys::signal::Signal;
use snafu::prelude::*;
use std::{
    io,
    net::{Ipv4Addr, SocketAddrV4},
    path::Path,
};
use tempfile::TempDir;

/// Failure domains of the site.
pub const DOMAINS: [&str; 2] = ["lozenets", "druzhba"];
/// Name of the site.
const NAME: &str = "small";
/// Maximum silence of a healthy feed in seconds.
const KEEPALIVE: u64 = 8;

/// A service of the site.
#[derive(Debug, Clone)]
pub struct SiteService {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: Ipv4Addr,
    /// Its ports.
    pub ports: Vec<(u16, Class)>,
    /// Number of its targets.
    pub targets: usize,
}

/// Returns the site's two services, one for alerts and one for uploads, with these
/// numbers of targets.
pub fn site_services(alertdesk: usize, ingest: usize) -> Vec<SiteService> {
    let service = |name: &str, last, ports: &[_], targets| SiteService {
        name: name.into(),
        address: Ipv4Addr::new(10, 70, 0, last),
        ports: ports.to_vec(),
        targets,
    };
    vec![
        service("alertdesk", 1, &[(7001, Class::Feed), (7002, Class::Request)], alertdesk),
        service("ingest", 2, &[(7003, Class::Upload)], ingest),
    ]
}

/// Failures of the site.
#[derive(Debug, Snafu)]
pub enum SiteError {
    /// The folder for settings and logs can't be created.
    #[snafu(display("the folder of the site can't be created"))]
    Folder {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The platform can't be started.
    #[snafu(display("the platform can't be started"))]
    Platform {
        /// Error of the HTTP server.
        source: WebError,
    },
    /// The fabric can't be started.
    #[snafu(display("the fabric can't be started"))]
    Fabric {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The targets can't be started.
    #[snafu(display("the targets can't be started"))]
    Target {
        /// Error of the targets.
        source: TargetError,
    },
    /// An instance failed.
    #[snafu(display("an instance failed"))]
    Instance {
        /// Error of the instance.
        source: ProcessError,
    },
}

/// A running site. Its instances are killed on drop.
pub struct Site {
    /// The fabric.
    pub fabric: Fabric,
    /// The platform.
    pub platform: Platform,
    /// Targets of all services.
    pub targets: Targets,
    /// The instances, including leaving ones.
    pub instances: Vec<Instance>,
    /// Content of the latest bundle.
    pub layout: Layout,
    common: CommonSettings,
    key: SecretKey,
    started: usize,
    _folder: TempDir,
}

impl Site {
    /// Starts a site without instances. `program` is the daemon's executable.
    pub fn start(program: &Path, mode: Mode, services: &[SiteService]) -> Result<Self, SiteError> {
        let folder = TempDir::new().context(FolderSnafu)?;
        let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        let platform = Platform::start(any).context(PlatformSnafu)?;
        let mut settings = fabric::Settings::new(mode);
        settings.platform = Some(platform.addr);
        let fabric = Fabric::start(&settings).context(FabricSnafu)?;
        let profiles = services.iter().flat_map(profiles).collect();
        let targets = Targets::start(profiles, fabric.returns).context(TargetSnafu)?;
        let layout = layout(services, &targets);
        let key = SecretKey::generate();
        platform.publish(&layout.signed(&key));
        let common = CommonSettings {
            program: program.to_owned(),
            folder: folder.path().to_owned(),
            site: NAME.into(),
            fabric: fabric.returns,
            platform: platform.addr,
            key: key.public(),
        };
        let (instances, started) = (Vec::new(), 0);
        Ok(Self {
            fabric,
            platform,
            targets,
            instances,
            layout,
            common,
            key,
            started,
            _folder: folder,
        })
    }

    /// Starts an instance, waits until it is ready and publishes it in the list.
    pub fn join(&mut self) -> Result<(), SiteError> {
        let domain = DOMAINS[self.started % DOMAINS.len()];
        let name = format!("{domain}-{}", self.started / DOMAINS.len() + 1);
        self.started += 1;
        let peers = self.instances.iter().map(|other| other.listed.control).collect::<Vec<_>>();
        let instance =
            Instance::start(&self.common, &name, domain, &peers).context(InstanceSnafu)?;
        instance.await_ready().context(InstanceSnafu)?;
        self.instances.push(instance);
        self.publish_list();
        Ok(())
    }

    /// Makes the first live instance leave by SIGTERM, and publishes that in the list.
    pub fn leave(&mut self) -> Result<(), SiteError> {
        if let Some(instance) = self.first_live() {
            instance.signal(Signal::SIGTERM).context(InstanceSnafu)?;
            instance.listed.state = ListedState::Leaving;
        }
        self.publish_list();
        Ok(())
    }

    /// Kills the first live instance. It stays in the list until [`Self::remove_ended`].
    pub fn kill(&mut self) -> Result<(), SiteError> {
        match self.first_live() {
            Some(instance) => instance.signal(Signal::SIGKILL).context(InstanceSnafu),
            None => Ok(()),
        }
    }

    /// Removes instances that have ended from the list.
    pub fn remove_ended(&mut self) {
        let before = self.instances.len();
        self.instances.retain_mut(|instance| !instance.has_ended());
        if self.instances.len() != before {
            self.publish_list();
        }
    }

    /// Publishes a bundle in which the target is leaving.
    pub fn publish_leaving(&mut self, target: &str) {
        self.layout.set_state(target, TargetState::Leaving);
        self.platform.publish(&self.signed());
    }

    /// Returns the text of the present layout, signed with the site's key.
    pub fn signed(&self) -> String {
        self.layout.signed(&self.key)
    }

    /// Makes the target refuse new connections.
    pub fn drain(&self, target: &str) {
        let running = self.targets.list.iter().find(|running| running.name == target);
        if let Some(running) = running {
            running.set_behaviour(Behaviour { draining: true, ..Behaviour::default() });
        }
    }

    fn first_live(&mut self) -> Option<&mut Instance> {
        let live = |instance: &&mut Instance| instance.listed.state == ListedState::Live;
        self.instances.iter_mut().find(live)
    }

    fn publish_list(&self) {
        let entries = self.instances.iter().map(|instance| instance.listed.clone());
        self.platform.set_list(&entries.collect::<Vec<_>>());
    }
}

fn profiles(service: &SiteService) -> impl Iterator<Item = Profile> + '_ {
    (1..=service.targets).map(|number| {
        Profile::new(
            &format!("{}-{number}", service.name),
            &service.name,
            service.address,
            &service.ports,
        )
    })
}

fn layout(services: &[SiteService], targets: &Targets) -> Layout {
    let mut running = targets.list.iter();
    let services = services.iter().map(|service| ServiceLayout {
        name: service.name.clone(),
        address: service.address,
        ports: service.ports.clone(),
        keepalive: KEEPALIVE,
        refusal: None,
        targets: running.by_ref().take(service.targets).enumerate().map(target).collect(),
    });
    Layout { site: NAME.into(), version: 1, services: services.collect() }
}

fn target((ix, running): (usize, &RunningTarget)) -> TargetLayout {
    TargetLayout {
        name: running.name.clone(),
        domain: DOMAINS[ix % DOMAINS.len()].into(),
        address: running.addr,
        probe: Some(running.probe),
        state: TargetState::Active,
    }
}
