//! The bundle: what operators author, sign off and publish.
//!
//! Values here have passed every check; text becomes a [`Bundle`] only through
//! the checks, so that code behind them never meets a broken one. The fields,
//! units and defaults are described for operators in `docs/bundle.md`.

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
    /// One checked version of a site's configuration.
    #[derive(serde::Serialize)]
    pub struct Bundle {
        /// Orders bundles: a larger version wins everywhere.
        pub version: Version,
        /// The site that the bundle is meant for.
        pub site: SiteName,
        /// Keys the hash of flows, alike on all instances and in all versions.
        pub seed: Seed,
        /// The services, in the order of the text.
        pub services: Vec<Arc<Service>>,
        /// The limits of the decisions under load.
        pub limits: Limits,
        /// The failure domains whose targets take no new flows.
        pub evacuated: Vec<DomainName>,
    }

    /// The limits of the decisions under load, alike for all services. What
    /// is not set is as those decisions have it by themselves.
    #[derive(Default, serde::Serialize)]
    pub struct Limits {
        /// Room kept for requests, in percent of slots and connections.
        pub reserve: Option<u8>,
        /// What one caller may take of a busy service, in percent.
        pub caller: Option<u8>,
        /// What one caller network (a /24) may take of it, in percent.
        pub network: Option<u8>,
        /// The mean work given to a target, in percent of its slots.
        pub booking: Option<u16>,
        /// The longest that an opening is held.
        pub patience: Option<Millis>,
        /// Repeated tries let in beside new ones while busy, in percent.
        pub retries: Option<u8>,
    }

    /// One service: an address, its ports and the targets that serve them.
    #[derive(serde::Serialize)]
    pub struct Service {
        /// Its name, unique in the bundle.
        pub name: ServiceName,
        /// The address that callers use; each target has it on its loopback.
        pub address: Ipv4Addr,
        /// The ports that callers use, each with the class of its work.
        pub ports: Vec<Port>,
        /// How many buckets its flows are hashed into; a power of two.
        pub buckets: u16,
        /// The longest silence of a healthy flow; bounds how long an unknown
        /// flow may stay unseen after an instance dies.
        pub keepalive: Millis,
        /// The bytes sent to a caller that is turned away, if signed off.
        /// `{seconds}` in it is replaced by when to come back.
        pub refusal: Option<Arc<str>>,
        /// How much imbalance weighs against broken flows, in percent.
        pub balance: u8,
        /// The targets, in the order of the text.
        pub targets: Vec<Target>,
    }

    /// A port of a service.
    #[derive(serde::Serialize)]
    pub struct Port {
        /// The port number that callers use.
        pub number: u16,
        /// Its transport protocol.
        pub protocol: Protocol,
        /// The class of the work that it carries.
        pub class: Class,
    }

    /// A target: one host that serves one service.
    #[derive(serde::Serialize)]
    pub struct Target {
        /// Its name, unique in the bundle.
        pub name: TargetName,
        /// Where it receives encapsulated packets.
        pub address: SocketAddrV4,
        /// Its failure domain.
        pub domain: DomainName,
        /// Its share of new flows beside the others, in percent of a full one.
        pub weight: u16,
        /// How many requests or uploads it works on at once.
        pub slots: u16,
        /// How many connections it holds at once.
        pub connections: u32,
        /// Whether it takes new work.
        pub state: TargetState,
        /// Where its health and load are read by HTTP, if anywhere.
        pub probe: Option<SocketAddrV4>,
    }
}

/// The 128-bit key of the flow hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Seed(pub [u8; 16]);

value! {
    /// A transport protocol that a service may use.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Protocol {
        /// Has a mark of its first packet.
        Tcp,
        /// Has no mark of a first packet.
        Udp,
    }

    /// The class of the work on a port; decides priority and limits.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Class {
        /// Long, holds a connection.
        Feed,
        /// Short and not idempotent: an acknowledgement, a booking commit.
        Request,
        /// Long, holds a slot.
        Upload,
    }

    /// What operators said of a target.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum TargetState {
        /// Takes new flows.
        Active,
        /// Takes no new flows and keeps those that it has.
        Leaving,
        /// The same, because its failure domain is evacuated.
        Evacuated,
    }
}
