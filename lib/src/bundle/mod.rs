//! The bundle: the configuration of a site, which operators write, sign and
//! publish.
//!
//! A [`Bundle`] is only created from text that passed all checks, so the code
//! that uses it needs no checks of its own. `docs/bundle.md` describes the
//! fields, units and defaults for operators.

mod check;
mod diff;
mod key;
mod parse;
mod show;
mod sign;
mod warning;

pub use self::{
    diff::{Change, Obstacle, diff, obstacles},
    key::{KeyError, KeyId, PublicKey, SecretKey, TrustedKeys},
    parse::MAX_BUNDLE_SIZE,
    sign::{BundleError, SignedBundle, sign, strip_signature},
    warning::Warning,
};

use crate::{
    ids::{DomainName, ServiceName, SiteName, TargetName, Version},
    time::Millis,
};
use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

value! {
    /// A checked version of a site's configuration.
    #[derive(serde::Serialize)]
    pub struct Bundle {
        /// Version of the bundle. The highest version wins on all instances.
        pub version: Version,
        /// Site that the bundle is for.
        pub site: SiteName,
        /// Key of the flow hash. It must be the same on all instances and in
        /// all versions.
        pub seed: Seed,
        /// Services, in the order of the text.
        pub services: Vec<Arc<Service>>,
        /// Limits of the decisions under load.
        pub limits: Limits,
        /// Failure domains whose targets take no new flows.
        pub evacuated: Vec<DomainName>,
    }

    /// Limits of the decisions under load, common to all services. Without a
    /// value, the default of the decision applies.
    #[derive(Default, serde::Serialize)]
    pub struct Limits {
        /// Capacity reserved for requests, in percent of slots and connections.
        pub reserve: Option<u8>,
        /// Maximum share of a busy service for one caller, in percent.
        pub caller: Option<u8>,
        /// Maximum share of a busy service for one caller network (a /24), in
        /// percent.
        pub network: Option<u8>,
        /// Maximum work assigned to a target on average, in percent of its
        /// slots.
        pub booking: Option<u16>,
        /// Maximum time that an opening is held.
        pub patience: Option<Millis>,
        /// Repeated openings admitted while the service is busy, in percent of
        /// the new ones.
        pub retries: Option<u8>,
    }

    /// A service: an address, its ports and the targets that serve them.
    #[derive(serde::Serialize)]
    pub struct Service {
        /// Name of the service, unique in the bundle.
        pub name: ServiceName,
        /// Address that callers use. Each target has it on its loopback
        /// interface.
        pub address: Ipv4Addr,
        /// Ports that callers use, each with its class of work.
        pub ports: Vec<Port>,
        /// Number of buckets that the flows are hashed into; a power of two.
        pub buckets: u16,
        /// Maximum time between two packets of a healthy flow. After
        /// an instance has died, flows that only it knew show up within this time.
        pub keepalive: Millis,
        /// Text sent to refused callers, if the service has one. `{seconds}` in
        /// it is replaced by the time after which to try again.
        pub refusal: Option<Arc<str>>,
        /// Weight of imbalance against broken flows, in percent.
        pub balance: u8,
        /// Targets, in the order of the text.
        pub targets: Vec<Target>,
    }

    /// A port of a service.
    #[derive(serde::Serialize)]
    pub struct Port {
        /// Port number that callers use.
        pub number: u16,
        /// Transport protocol.
        pub protocol: Protocol,
        /// Class of the work on this port.
        pub class: Class,
    }

    /// A target: a host that serves a service.
    #[derive(serde::Serialize)]
    pub struct Target {
        /// Name of the target, unique in the bundle.
        pub name: TargetName,
        /// Address at which it receives encapsulated packets.
        pub address: SocketAddrV4,
        /// Failure domain of the target.
        pub domain: DomainName,
        /// Share of new flows relative to other targets, in percent of a full
        /// share.
        pub weight: u16,
        /// Maximum number of concurrent requests and uploads.
        pub slots: u16,
        /// Maximum number of concurrent connections.
        pub connections: u32,
        /// Whether it takes new flows.
        pub state: TargetState,
        /// Address at which its health and load are read over HTTP, if any.
        pub probe: Option<SocketAddrV4>,
    }
}

/// 128-bit key of the flow hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Seed(pub [u8; 16]);

value! {
    /// Transport protocol of a service.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Protocol {
        /// TCP: the SYN flag shows the first packet of a flow.
        Tcp,
        /// UDP: nothing distinguishes the first packet of a flow.
        Udp,
    }

    /// Class of the work on a port. It determines priority and limits. Bundles and the log contain
    /// the variant names in lower case.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Class {
        /// Long-lived; holds a connection.
        Feed,
        /// Short and not idempotent, such as an acknowledgement or a booking
        /// commit.
        Request,
        /// Long-lived; holds a slot.
        Upload,
    }

    /// State of a target according to the bundle.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum TargetState {
        /// Takes new flows.
        Active,
        /// Takes no new flows and keeps its existing ones.
        Leaving,
        /// Takes no new flows and keeps its existing ones, because its failure
        /// domain is evacuated.
        Evacuated,
    }
}
