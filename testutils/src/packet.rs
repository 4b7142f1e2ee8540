//! Addresses, ports and kind of an IPv4 packet, as needed by the stand-ins.
//!
//! The stand-ins use smoltcp's parser and not the product's, so that a bug in
//! the product's parser can't hide in both.

use smoltcp::wire::{IpProtocol, Ipv4Packet, TcpPacket, UdpPacket};
use std::net::SocketAddrV4;

/// Effect of a packet on its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A TCP SYN without an acknowledgement.
    Opening,
    /// A TCP reset.
    Reset,
    /// Any other TCP segment.
    Segment,
    /// A UDP datagram.
    Datagram,
}

/// Addresses, ports and kind of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacketHeader {
    /// Its source.
    pub src: SocketAddrV4,
    /// Its destination.
    pub dst: SocketAddrV4,
    /// Its effect on its flow.
    pub kind: Kind,
}

impl PacketHeader {
    /// Parses the headers of a complete TCP or UDP packet. Returns `None` for any other packet.
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let packet = Ipv4Packet::new_checked(bytes).ok()?;
        let (ports, kind) = match packet.next_header() {
            IpProtocol::Tcp => segment(packet.payload())?,
            IpProtocol::Udp => datagram(packet.payload())?,
            _ => return None,
        };
        let src = SocketAddrV4::new(packet.src_addr(), ports.0);
        let dst = SocketAddrV4::new(packet.dst_addr(), ports.1);
        Some(Self { src, dst, kind })
    }
}

fn segment(payload: &[u8]) -> Option<((u16, u16), Kind)> {
    let tcp = TcpPacket::new_checked(payload).ok()?;
    let kind = match (tcp.syn(), tcp.ack(), tcp.rst()) {
        (true, false, false) => Kind::Opening,
        (_, _, true) => Kind::Reset,
        _ => Kind::Segment,
    };
    Some(((tcp.src_port(), tcp.dst_port()), kind))
}

fn datagram(payload: &[u8]) -> Option<((u16, u16), Kind)> {
    let udp = UdpPacket::new_checked(payload).ok()?;
    Some(((udp.src_port(), udp.dst_port()), Kind::Datagram))
}
