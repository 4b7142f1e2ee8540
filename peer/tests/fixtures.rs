//! Messages, keys and addresses for the tests.

use medlarspur_lib::{
    ids::{DomainName, Incarnation, InstanceName, SiteName, Version},
    members::{Addresses, Member, MemberState},
    message::{Heartbeat, Message},
};
use medlarspur_peer::{PeerHandle, PeerSettings, PeerTls, Peers};
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    time::{Duration, Instant},
};

/// DNS name in all certificates.
pub const NAME: &str = "peer.test";

pub fn addr(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

pub fn member(ix: u64) -> Member {
    Member {
        name: InstanceName::new(&format!("lozenets-{ix}")),
        domain: DomainName::new("lozenets"),
        incarnation: Incarnation(1_790_000_000_000 + ix),
        state: MemberState::Live,
        addresses: Addresses { packets: addr(6080), questions: addr(6081), control: addr(6082) },
        version: Version(700 + ix),
        advertised: ix,
    }
}

/// Returns a heartbeat with this number of rumours.
pub fn heartbeat(rumours: u64) -> Message {
    Message::Heartbeat(Box::new(Heartbeat {
        sender: member(1),
        probe: true,
        digest: [7; 32],
        members: 1 << 60,
        plans: 3,
        history: 0,
        rumours: (0..rumours).map(member).collect(),
    }))
}

/// Authority that signs a site's certificates.
pub struct Authority(CertifiedIssuer<'static, KeyPair>);

impl Authority {
    pub fn new() -> Authority {
        let mut params = CertificateParams::new(Vec::new()).expect("valid parameters");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().expect("a key");
        Authority(CertifiedIssuer::self_signed(params, key).expect("a certificate"))
    }

    /// Issues a certificate for an instance.
    pub fn issue(&self) -> PeerTls {
        let params = CertificateParams::new(vec![NAME.to_string()]).expect("valid parameters");
        let key = KeyPair::generate().expect("a key");
        let certificate = params.signed_by(&key, &self.0).expect("a certificate");
        PeerTls {
            authority: self.0.pem().into_bytes(),
            certificate: certificate.pem().into_bytes(),
            key: key.serialize_pem().into_bytes(),
            name: NAME.to_string(),
        }
    }
}

/// Starts the control connections of an instance.
pub fn start_peer(site: &str, tls: Option<PeerTls>) -> PeerHandle {
    let settings = PeerSettings { site: SiteName::new(site), listen: addr(0), tls };
    Peers::start(settings).expect("it starts")
}

/// Returns an address that refuses connections, and the stream that keeps it in use: it is
/// the stream's local address.
pub fn refusing_address() -> (TcpStream, SocketAddrV4) {
    let listener = TcpListener::bind(addr(0)).expect("a port");
    let stream = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
    match stream.local_addr().expect("connected") {
        SocketAddr::V4(address) => (stream, address),
        SocketAddr::V6(_) => unreachable!("the listener has an IPv4 address"),
    }
}

/// Polls `done` until it returns true, for up to 30 seconds. Returns whether it did.
pub fn eventually(mut done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + Duration::from_secs(30);
    while Instant::now() < end {
        if done() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    false
}
