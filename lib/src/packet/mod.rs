//! Parsing of callers' packets, as far as forwarding needs it.
//!
//! The input is untrusted. Each length is checked before a byte is read, and an
//! invalid packet results in a [`PacketError`] that is counted, never in a
//! panic. [`Packet`] borrows the received bytes and copies nothing.

mod craft;
mod flow;

pub use craft::{build_ack, build_refusal, build_reset, build_syn_ack};
pub use flow::{FlowHasher, FlowKey, FlowKeyError};

use crate::bundle::Protocol;
use snafu::Snafu;
use std::net::{Ipv4Addr, SocketAddrV4};

const IP_VERSION_4: u8 = 4;
const IP_HEADER_SIZE: usize = 20;
const TCP_HEADER_SIZE: usize = 20;
const UDP_HEADER_SIZE: usize = 8;
const PROTOCOL_TCP: u8 = 6;
const PROTOCOL_UDP: u8 = 17;
/// Bits of the fragment field that are set in fragments only: "more fragments"
/// and the offset.
const FRAGMENT_BITS: u16 = 0x3fff;

/// Reason why a datagram from the fabric can't be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Snafu)]
pub enum PacketError {
    /// The packet is shorter than its headers say.
    #[snafu(display("the packet is shorter than its headers"))]
    Truncated,
    /// The packet is not IP version 4.
    #[snafu(display("the packet is not IPv4"))]
    NotIpv4,
    /// The packet is a fragment. Only the first fragment has the ports, so the
    /// others can't be sent to the same target.
    #[snafu(display("the packet is a fragment"))]
    Fragment,
    /// The packet is neither TCP nor UDP.
    #[snafu(display("the packet is neither TCP nor UDP"))]
    Transport,
    /// The flags of the TCP segment contradict each other.
    #[snafu(display("the TCP flags contradict each other"))]
    Flags,
}

impl PacketError {
    /// All errors, in the order of their values.
    pub const ALL: [PacketError; 5] = [
        PacketError::Truncated,
        PacketError::NotIpv4,
        PacketError::Fragment,
        PacketError::Transport,
        PacketError::Flags,
    ];

    /// Returns the label under which the error is counted.
    pub fn label(self) -> &'static str {
        match self {
            PacketError::Truncated => "truncated",
            PacketError::NotIpv4 => "not-ipv4",
            PacketError::Fragment => "fragment",
            PacketError::Transport => "transport",
            PacketError::Flags => "flags",
        }
    }
}

value! {
    /// Effect of a packet on its flow.
    pub enum PacketKind {
        /// Opens a flow: a SYN without an ACK.
        Open,
        /// Belongs to an open flow or to a UDP flow.
        Continue,
        /// Closes the caller's half of the flow.
        Close,
        /// Aborts the flow (RST).
        Abort,
    }
}

/// A well-formed IPv4 packet from a caller.
#[derive(Debug, Clone, Copy)]
pub struct Packet<'a> {
    bytes: &'a [u8],
    key: FlowKey,
    kind: PacketKind,
    transport_offset: usize,
}

impl<'a> Packet<'a> {
    /// Parses the headers. Bytes after the packet's own length are dropped,
    /// since a link may have added padding.
    #[inline]
    pub fn parse(bytes: &'a [u8]) -> Result<Packet<'a>, PacketError> {
        let Some(ip) = bytes.first_chunk::<IP_HEADER_SIZE>() else {
            return TruncatedSnafu.fail();
        };
        if ip[0] >> 4 != IP_VERSION_4 {
            return NotIpv4Snafu.fail();
        }
        let header = usize::from(ip[0] & 0x0f) * 4;
        let total = usize::from(u16::from_be_bytes([ip[2], ip[3]]));
        if header < IP_HEADER_SIZE || total < header || bytes.len() < total {
            return TruncatedSnafu.fail();
        }
        if u16::from_be_bytes([ip[6], ip[7]]) & FRAGMENT_BITS != 0 {
            return FragmentSnafu.fail();
        }
        let bytes = &bytes[..total];
        let (protocol, kind) = parse_transport(ip[9], &bytes[header..])?;
        let port = |at| u16::from_be_bytes([bytes[header + at], bytes[header + at + 1]]);
        let source = Ipv4Addr::new(ip[12], ip[13], ip[14], ip[15]);
        let destination = Ipv4Addr::new(ip[16], ip[17], ip[18], ip[19]);
        let key = FlowKey {
            protocol,
            caller: SocketAddrV4::new(source, port(0)),
            service: SocketAddrV4::new(destination, port(2)),
        };
        Ok(Packet { bytes, key, kind, transport_offset: header })
    }

    /// Returns the whole packet.
    #[inline]
    pub fn bytes(&self) -> &'a [u8] {
        self.bytes
    }

    /// Returns the flow that the packet belongs to.
    #[inline]
    pub fn key(&self) -> FlowKey {
        self.key
    }

    /// Returns what the packet does to its flow.
    #[inline]
    pub fn kind(&self) -> PacketKind {
        self.kind
    }

    /// Returns the TCP header and its payload; empty for UDP.
    fn segment(&self) -> &'a [u8] {
        match self.key.protocol {
            Protocol::Tcp => &self.bytes[self.transport_offset..],
            Protocol::Udp => &[],
        }
    }

    /// Returns the sequence and acknowledgement numbers of a TCP segment.
    pub fn sequence_numbers(&self) -> Option<(u32, u32)> {
        let segment = self.segment();
        let word = |at: usize| segment.get(at..at + 4)?.try_into().ok().map(u32::from_be_bytes);
        Some((word(4)?, word(8)?))
    }

    /// Returns the length of a TCP segment in sequence space: its payload, SYN
    /// and FIN.
    pub fn sequence_length(&self) -> u32 {
        let segment = self.segment();
        let Some(head) = segment.first_chunk::<TCP_HEADER_SIZE>() else {
            return 0;
        };
        let offset = usize::from(head[12] >> 4) * 4;
        let syn_and_fin = u32::from(head[13] & FIN != 0) + u32::from(head[13] & SYN != 0);
        segment.len().saturating_sub(offset) as u32 + syn_and_fin
    }

    /// Returns whether a TCP segment has the ACK flag.
    pub fn has_ack(&self) -> bool {
        self.segment().get(13).is_some_and(|flags| flags & ACK != 0)
    }
}

const FIN: u8 = 0x01;
const SYN: u8 = 0x02;
const RST: u8 = 0x04;
const ACK: u8 = 0x10;

fn parse_transport(protocol: u8, bytes: &[u8]) -> Result<(Protocol, PacketKind), PacketError> {
    match protocol {
        PROTOCOL_TCP => Ok((Protocol::Tcp, parse_tcp_kind(bytes)?)),
        PROTOCOL_UDP if bytes.len() >= UDP_HEADER_SIZE => Ok((Protocol::Udp, PacketKind::Continue)),
        PROTOCOL_UDP => TruncatedSnafu.fail(),
        _ => TransportSnafu.fail(),
    }
}

fn parse_tcp_kind(bytes: &[u8]) -> Result<PacketKind, PacketError> {
    let Some(head) = bytes.first_chunk::<TCP_HEADER_SIZE>() else {
        return TruncatedSnafu.fail();
    };
    let offset = usize::from(head[12] >> 4) * 4;
    if offset < TCP_HEADER_SIZE || bytes.len() < offset {
        return TruncatedSnafu.fail();
    }
    match head[13] & (FIN | SYN | RST | ACK) {
        SYN => Ok(PacketKind::Open),
        flags if flags & SYN != 0 => FlagsSnafu.fail(),
        flags if flags & RST != 0 => Ok(PacketKind::Abort),
        flags if flags & FIN != 0 => Ok(PacketKind::Close),
        ACK => Ok(PacketKind::Continue),
        _ => FlagsSnafu.fail(),
    }
}
