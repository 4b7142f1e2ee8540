//! Settings of the control connections.

use medlarspur_lib::ids::SiteName;
use std::net::SocketAddrV4;

/// Site, address and keys of this instance.
#[derive(Debug, Clone)]
pub struct PeerSettings {
    /// Name of the site. Batches from other sites are refused.
    pub site: SiteName,
    /// Address at which connections are accepted. The system chooses a port if it is 0.
    pub listen: SocketAddrV4,
    /// Keys for mutual TLS. Without them, connections are unencrypted.
    pub tls: Option<PeerTls>,
}

/// Keys for mutual TLS, in PEM format.
#[derive(Clone)]
pub struct PeerTls {
    /// Certificate of the authority that signs the certificates of the site's instances.
    /// It must sign no others: each holder of a certificate is accepted as a peer.
    pub authority: Vec<u8>,
    /// Certificate of this instance.
    pub certificate: Vec<u8>,
    /// Private key of this instance.
    pub key: Vec<u8>,
    /// DNS name in the certificates of all instances. They share one, since instances are
    /// reached at IP addresses, which change.
    pub name: String,
}

/// Omits the key, so that it can't get into a log.
impl std::fmt::Debug for PeerTls {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerTls").field("name", &self.name).finish_non_exhaustive()
    }
}
