//! Packets between callers and hosts, as PROTOCOL.md ("Packets") lays them out.

use std::net::Ipv4Addr;

pub const SYN: u8 = 8;
pub const ACK: u8 = 128;
pub const FIN: u8 = 32;
pub const RST: u8 = 16;
const BOUNCED: u8 = 1;
const HEAD: usize = 34;
/// Key of the checksum. Only callers and hosts know it.
const KEY: u32 = 0x5bd1_e995;

/// The two ends of a flow, as the caller writes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key {
    pub src: Ipv4Addr,
    pub sport: u16,
    pub dst: Ipv4Addr,
    pub dport: u16,
}

impl Key {
    pub fn reversed(self) -> Key {
        Key { src: self.dst, sport: self.dport, dst: self.src, dport: self.sport }
    }
}

#[derive(Clone, Debug)]
pub struct Packet {
    pub key: Key,
    pub seq: u32,
    pub ack: u32,
    pub echo: u32,
    pub flags: u8,
    pub data: Vec<u8>,
}

/// Who wrote a received packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller or host: the checksum is right.
    End,
    /// The system: a reset with a checksum of 0.
    System,
    /// Neither.
    Forged,
}

impl Packet {
    fn sum(&self) -> u32 {
        let mut hash = 0x811c_9dc5 ^ KEY;
        let mut add = |bytes: &[u8]| {
            for byte in bytes {
                hash = (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
            }
        };
        add(&self.seq.to_be_bytes());
        add(&self.ack.to_be_bytes());
        add(&self.key.sport.to_be_bytes());
        add(&self.key.src.octets());
        add(&self.key.dport.to_be_bytes());
        add(&self.key.dst.octets());
        add(&[self.flags & !BOUNCED]);
        add(&(self.data.len() as u16).to_be_bytes());
        add(&self.data);
        hash | 1
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEAD + self.data.len());
        out.extend(self.seq.to_be_bytes());
        out.extend(self.ack.to_be_bytes());
        out.extend(self.key.sport.to_be_bytes());
        out.extend(self.key.src.octets());
        out.extend(self.key.dport.to_be_bytes());
        out.extend(self.key.dst.octets());
        out.extend(self.echo.to_be_bytes());
        out.push(self.flags);
        out.extend([0; 3]);
        out.extend(self.sum().to_be_bytes());
        out.extend((self.data.len() as u16).to_be_bytes());
        out.extend(&self.data);
        out
    }

    pub fn decode(bytes: &[u8]) -> Option<(Packet, Origin)> {
        if bytes.len() < HEAD {
            return None;
        }
        let word = |at: usize| u32::from_be_bytes(bytes[at..at + 4].try_into().unwrap());
        let half = |at: usize| u16::from_be_bytes(bytes[at..at + 2].try_into().unwrap());
        let key = Key {
            src: Ipv4Addr::from(word(10)),
            sport: half(8),
            dst: Ipv4Addr::from(word(16)),
            dport: half(14),
        };
        if bytes.len() != HEAD + usize::from(half(32)) {
            return None;
        }
        let packet = Packet {
            key,
            seq: word(0),
            ack: word(4),
            echo: word(20),
            flags: bytes[24],
            data: bytes[HEAD..].to_vec(),
        };
        let origin = match word(28) {
            0 if packet.flags == RST && packet.data.is_empty() => Origin::System,
            sum if sum == packet.sum() => Origin::End,
            _ => Origin::Forged,
        };
        Some((packet, origin))
    }
}
