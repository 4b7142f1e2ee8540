//! The five-tuple of a flow and its hash.

use crate::{
    bundle::{Protocol, Seed},
    ids::FlowId,
};
use siphasher::sip::SipHasher13;
use snafu::{OptionExt, ResultExt, Snafu};
use std::{
    fmt,
    net::{AddrParseError, SocketAddrV4},
    str::FromStr,
};

/// The five-tuple that tells a flow from every other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowKey {
    /// The transport protocol.
    pub protocol: Protocol,
    /// The caller's address and port.
    pub caller: SocketAddrV4,
    /// The service's address and port.
    pub service: SocketAddrV4,
}

/// Why a text names no flow.
#[derive(Debug, Snafu)]
pub enum FlowKeyError {
    /// Another shape than the expected one.
    #[snafu(display("a flow is written tcp:CALLER-IP:PORT:SERVICE-IP:PORT, not {text:?}"))]
    Shape {
        /// What was given.
        text: String,
    },
    /// An address does not parse.
    #[snafu(display("{text:?} is no IPv4 address with a port"))]
    Address {
        /// What was given.
        text: String,
        /// What the parser says.
        source: AddrParseError,
    },
}

impl FromStr for FlowKey {
    type Err = FlowKeyError;

    fn from_str(text: &str) -> Result<FlowKey, FlowKeyError> {
        let address = |text: &str| text.parse().context(AddressSnafu { text });
        // As log lines write flows, where there is one protocol only.
        if let Some((caller, service)) = text.split_once('>') {
            let (caller, service) = (address(caller)?, address(service)?);
            return Ok(FlowKey { protocol: Protocol::Tcp, caller, service });
        }
        let (protocol, rest) = text.split_once(':').context(ShapeSnafu { text })?;
        let protocol = match protocol {
            "tcp" => Protocol::Tcp,
            "udp" => Protocol::Udp,
            _ => return ShapeSnafu { text }.fail(),
        };
        let middle = rest.match_indices(':').nth(1).context(ShapeSnafu { text })?.0;
        let caller = address(&rest[..middle])?;
        let service = address(&rest[middle + 1..])?;
        Ok(FlowKey { protocol, caller, service })
    }
}

impl fmt::Display for FlowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let protocol = match self.protocol {
            Protocol::Tcp => "tcp",
            Protocol::Udp => "udp",
        };
        write!(f, "{protocol}:{}:{}", self.caller, self.service)
    }
}

/// Hashes flows alike on every instance.
///
/// Callers choose their ports, so a plain hash would let one aim all its flows
/// at one bucket, and so at one target; the key from the bundle prevents that.
#[derive(Debug, Clone, Copy)]
pub struct FlowHasher {
    state: SipHasher13,
}

impl FlowHasher {
    /// Makes the hasher of a site.
    pub fn new(seed: Seed) -> FlowHasher {
        FlowHasher { state: SipHasher13::new_with_key(&seed.0) }
    }

    /// The id of a flow.
    #[inline]
    pub fn id(&self, key: &FlowKey) -> FlowId {
        let caller = u64::from(u32::from(*key.caller.ip())) << 16 | u64::from(key.caller.port());
        let service = u64::from(u32::from(*key.service.ip())) << 16 | u64::from(key.service.port());
        let service = service << 1 | u64::from(key.protocol == Protocol::Udp);
        let mut tuple = [0; 16];
        tuple[..8].copy_from_slice(&caller.to_le_bytes());
        tuple[8..].copy_from_slice(&service.to_le_bytes());
        FlowId(self.state.hash(&tuple))
    }
}
