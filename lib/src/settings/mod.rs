//! The settings of one instance: who it is and whom it talks to.
//!
//! Everything else comes from the bundle. The fields are described for
//! operators in `docs/settings.md`.

mod marked;
mod parse;

pub use marked::{DomainRegion, MarkedSettings};

use crate::{
    bundle::TrustedKeys,
    ids::{DomainName, InstanceName, SiteName},
};
use std::{fmt, net::SocketAddrV4, path::PathBuf};

value! {
    /// The checked settings of an instance.
    pub struct Settings {
        /// The site that it belongs to; bundles of others are refused.
        pub site: SiteName,
        /// Its name, unique at the site.
        pub name: InstanceName,
        /// Its failure domain.
        pub domain: DomainName,
        /// Where it takes packets from the fabric, by UDP.
        pub packets: SocketAddrV4,
        /// Where it takes peers' questions about flows, by UDP.
        pub questions: SocketAddrV4,
        /// Where it takes control connections of peers, by TCP.
        pub control: SocketAddrV4,
        /// Where operators read from it, by HTTP.
        pub operator: SocketAddrV4,
        /// Where it returns packets to callers through the fabric, by UDP.
        pub fabric: SocketAddrV4,
        /// Where the platform's service is, by HTTP.
        pub platform: SocketAddrV4,
        /// The keys that may sign bundles.
        pub keys: TrustedKeys,
        /// Control addresses of peers to ask when the platform is down.
        pub peers: Vec<SocketAddrV4>,
        /// What the instances of the site share, to tell peers from others.
        pub secret: Secret,
        /// Certificates for control connections, if they are encrypted.
        pub tls: Option<Tls>,
        /// The form of log lines.
        pub log: LogForm,
    }

    /// The files of the certificates, in PEM.
    pub struct Tls {
        /// The authority that peers' certificates must come from.
        pub ca: PathBuf,
        /// The certificate of this instance.
        pub certificate: PathBuf,
        /// Its private key.
        pub key: PathBuf,
    }
}

value! {
    /// The form of log lines.
    pub enum LogForm {
        /// For people.
        Text,
        /// One JSON object a line.
        Json,
    }
}

/// A secret that the instances of a site share. Shown nowhere.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(pub [u8; 32]);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
