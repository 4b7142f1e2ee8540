//! Settings of an instance: its identity and the addresses that it uses.
//!
//! All other configuration is in the bundle. `docs/settings.md` describes the
//! fields for operators.

mod marked;
mod parse;

pub use marked::{Capabilities, DomainRegion, MarkedSettings};

use crate::{
    bundle::TrustedKeys,
    ids::{DomainName, InstanceName, SiteName},
};
use std::{fmt, net::SocketAddrV4, path::PathBuf};

value! {
    /// Checked settings of an instance.
    pub struct Settings {
        /// Site of the instance. Bundles of other sites are refused.
        pub site: SiteName,
        /// Name of the instance, unique at the site.
        pub name: InstanceName,
        /// Failure domain of the instance.
        pub domain: DomainName,
        /// UDP address at which it receives packets from the fabric.
        pub packets: SocketAddrV4,
        /// UDP address at which it receives peers' questions about flows.
        pub questions: SocketAddrV4,
        /// TCP address at which it accepts control connections from peers.
        pub control: SocketAddrV4,
        /// HTTP address for operators' reads.
        pub operator: SocketAddrV4,
        /// UDP address of the fabric, which takes packets for callers.
        pub fabric: SocketAddrV4,
        /// HTTP address of the platform's service.
        pub platform: SocketAddrV4,
        /// Keys whose signatures on bundles are trusted.
        pub keys: TrustedKeys,
        /// Control addresses of peers to try while the platform is down.
        pub peers: Vec<SocketAddrV4>,
        /// Secret shared by the instances of the site, which authenticates
        /// peers.
        pub secret: Secret,
        /// Certificates for control connections, if these are encrypted.
        pub tls: Option<Tls>,
        /// Form of log lines.
        pub log: LogForm,
    }

    /// Certificate files in PEM format.
    pub struct Tls {
        /// Certificate authority that must have issued peers' certificates.
        pub ca: PathBuf,
        /// Certificate of this instance.
        pub certificate: PathBuf,
        /// Private key of the certificate.
        pub key: PathBuf,
    }
}

value! {
    /// Form of log lines.
    pub enum LogForm {
        /// Text for people.
        Text,
        /// One JSON object per line.
        Json,
    }
}

/// Secret shared by the instances of a site. It is never displayed.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(pub [u8; 32]);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
