//! What the control connections need from the settings.

use medlarspur_lib::ids::SiteName;
use std::net::SocketAddrV4;

/// Where and as whom to speak.
#[derive(Debug, Clone)]
pub struct PeerSettings {
    /// The site; batches of another one are refused.
    pub site: SiteName,
    /// Where to accept connections; port 0 lets the system choose.
    pub listen: SocketAddrV4,
    /// Keys for mutual TLS. Without them connections are plain.
    pub tls: Option<PeerTls>,
}

/// The keys for mutual TLS, as PEM.
#[derive(Clone)]
pub struct PeerTls {
    /// The authority that signs the certificates of the site's instances and
    /// nothing else: whoever has one of its certificates is a peer.
    pub authority: Vec<u8>,
    /// The certificate of this instance.
    pub certificate: Vec<u8>,
    /// Its private key.
    pub key: Vec<u8>,
    /// The DNS name that the certificates of all instances carry, since
    /// instances are reached by IP numbers that change.
    pub name: String,
}

/// Leaves out the key, so that it can't come into a log.
impl std::fmt::Debug for PeerTls {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerTls").field("name", &self.name).finish_non_exhaustive()
    }
}
