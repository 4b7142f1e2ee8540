//! Packets that an instance builds itself to refuse a caller.

use super::{ACK, FIN, IP_HEADER_SIZE, Packet, RST, SYN, TCP_HEADER_SIZE};
use std::net::SocketAddrV4;

const TIME_TO_LIVE: u8 = 64;
const DONT_FRAGMENT: u8 = 0x40;
const HEADERS_SIZE: usize = IP_HEADER_SIZE + TCP_HEADER_SIZE;
const WINDOW: u16 = 4096;
const PSH: u8 = 0x08;

/// A TCP segment from a service to a caller.
struct Segment<'a> {
    from: SocketAddrV4,
    to: SocketAddrV4,
    sequence: u32,
    acknowledged: u32,
    flags: u8,
    payload: &'a [u8],
}

/// Builds a reset, which tells the caller at once that no work was done.
/// Returns `None` if the packet is not TCP or is itself a reset, which must not
/// be answered.
pub fn build_reset(packet: &Packet<'_>) -> Option<Vec<u8>> {
    let (sequence, acknowledged) = packet.sequence_numbers()?;
    if packet.kind() == super::PacketKind::Abort {
        return None;
    }
    let key = packet.key();
    let (flags, sequence, acknowledged) = if packet.has_ack() {
        (RST, acknowledged, 0)
    } else {
        (RST | ACK, 0, sequence.wrapping_add(packet.sequence_length()))
    };
    let (from, to) = (key.service, key.caller);
    Some(build(&Segment { from, to, sequence, acknowledged, flags, payload: &[] }))
}

/// Builds the answer to a SYN with which the instance completes the handshake
/// itself, in order to send the caller the refusal text. `cookie` becomes the
/// sequence number.
pub fn build_syn_ack(packet: &Packet<'_>, cookie: u32) -> Option<Vec<u8>> {
    let (sequence, _) = packet.sequence_numbers()?;
    let key = packet.key();
    let acknowledged = sequence.wrapping_add(1);
    let (from, to, flags) = (key.service, key.caller, SYN | ACK);
    Some(build(&Segment { from, to, sequence: cookie, acknowledged, flags, payload: &[] }))
}

/// Builds the segment with the refusal text and the end of the connection. It
/// answers the first segment with data or the bare ACK of the handshake.
pub fn build_refusal(packet: &Packet<'_>, payload: &[u8]) -> Option<Vec<u8>> {
    let (sequence, acknowledged) = packet.sequence_numbers()?;
    let key = packet.key();
    let (from, to) = (key.service, key.caller);
    let flags = FIN | ACK | PSH;
    let next = sequence.wrapping_add(packet.sequence_length());
    Some(build(&Segment { from, to, sequence: acknowledged, acknowledged: next, flags, payload }))
}

/// Builds the bare ACK of a segment that follows a refusal text. A reset would be
/// shorter, but could make the caller drop the text before it has read it.
pub fn build_ack(packet: &Packet<'_>) -> Option<Vec<u8>> {
    let (sequence, acknowledged) = packet.sequence_numbers()?;
    let key = packet.key();
    let (from, to) = (key.service, key.caller);
    let next = sequence.wrapping_add(packet.sequence_length());
    let flags = ACK;
    Some(build(&Segment {
        from,
        to,
        sequence: acknowledged,
        acknowledged: next,
        flags,
        payload: &[],
    }))
}

fn build(segment: &Segment<'_>) -> Vec<u8> {
    let total = HEADERS_SIZE + segment.payload.len();
    let mut bytes = vec![0; total];
    bytes[0] = 0x45;
    bytes[2..4].copy_from_slice(&(total as u16).to_be_bytes());
    bytes[6] = DONT_FRAGMENT;
    bytes[8] = TIME_TO_LIVE;
    bytes[9] = super::PROTOCOL_TCP;
    bytes[12..16].copy_from_slice(&segment.from.ip().octets());
    bytes[16..20].copy_from_slice(&segment.to.ip().octets());
    let sum = checksum(0, &bytes[..IP_HEADER_SIZE]);
    bytes[10..12].copy_from_slice(&sum.to_be_bytes());
    let tcp = &mut bytes[IP_HEADER_SIZE..];
    tcp[0..2].copy_from_slice(&segment.from.port().to_be_bytes());
    tcp[2..4].copy_from_slice(&segment.to.port().to_be_bytes());
    tcp[4..8].copy_from_slice(&segment.sequence.to_be_bytes());
    tcp[8..12].copy_from_slice(&segment.acknowledged.to_be_bytes());
    tcp[12] = ((TCP_HEADER_SIZE / 4) as u8) << 4;
    tcp[13] = segment.flags;
    tcp[14..16].copy_from_slice(&WINDOW.to_be_bytes());
    tcp[TCP_HEADER_SIZE..].copy_from_slice(segment.payload);
    let sum = checksum(pseudo_header(segment, tcp.len()), tcp);
    tcp[16..18].copy_from_slice(&sum.to_be_bytes());
    bytes
}

/// Returns the part of the TCP checksum that covers the pseudo-header.
fn pseudo_header(segment: &Segment<'_>, length: usize) -> u32 {
    let halves = |address: u32| (address >> 16) + (address & 0xffff);
    let addresses = halves((*segment.from.ip()).into()) + halves((*segment.to.ip()).into());
    addresses + u32::from(super::PROTOCOL_TCP) + length as u32
}

fn checksum(start: u32, bytes: &[u8]) -> u16 {
    let mut sum = start;
    for pair in bytes.chunks(2) {
        let low = pair.get(1).copied().unwrap_or(0);
        sum += u32::from(u16::from_be_bytes([pair[0], low]));
    }
    while sum > 0xffff {
        sum = (sum >> 16) + (sum & 0xffff);
    }
    !(sum as u16)
}
