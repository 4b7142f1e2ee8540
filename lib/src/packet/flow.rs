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

/// Five-tuple that identifies a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowKey {
    /// Transport protocol.
    pub protocol: Protocol,
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port of the service.
    pub service: SocketAddrV4,
}

/// Error from parsing a flow. Its text is sent to operators in the body of an
/// HTTP response.
#[derive(Debug, Snafu)]
pub enum FlowKeyError {
    /// The text doesn't have the expected form.
    #[snafu(display("a flow is written tcp:CALLER-IP:PORT:SERVICE-IP:PORT, not {text:?}"))]
    Shape {
        /// The text.
        text: String,
    },
    /// An address is not valid.
    #[snafu(display("{text:?} is no IPv4 address with a port"))]
    Address {
        /// The text.
        text: String,
        /// Error of the parser.
        source: AddrParseError,
    },
}

impl FromStr for FlowKey {
    type Err = FlowKeyError;

    fn from_str(text: &str) -> Result<FlowKey, FlowKeyError> {
        let address = |text: &str| text.parse().context(AddressSnafu { text });
        // Log lines write flows in this form where TCP is the only protocol.
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

/// Hashes flows, with the same result on all instances.
///
/// Callers choose their ports. With a hash that has no key, a caller could
/// direct all its flows to one bucket, and so to one target; the key from the
/// bundle prevents that.
#[derive(Debug, Clone, Copy)]
pub struct FlowHasher {
    state: SipHasher13,
}

impl FlowHasher {
    /// Creates the hasher of a site.
    pub fn new(seed: Seed) -> FlowHasher {
        FlowHasher { state: SipHasher13::new_with_key(&seed.0) }
    }

    /// Returns the id of a flow.
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
