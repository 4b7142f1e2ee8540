//! The parts of a caller's packet that forwarding looks at.

use crate::Mark;
use medlarspur_lib::time::Millis;
use std::{fmt, net::SocketAddrV4};

/// The addresses and ports that identify a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowKey {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port that the caller connects to, which a route of the config describes.
    pub service: SocketAddrV4,
}

impl fmt::Display for FlowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.caller, self.service)
    }
}

/// Role of a packet in its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Opens the flow, like a SYN.
    Open,
    /// Belongs to a flow that was opened earlier.
    Continue,
    /// Ends the caller's data, like a FIN.
    Close,
    /// Aborts the flow, like an RST.
    Abort,
}

/// The header of a caller's packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// The flow that the packet belongs to.
    pub key: FlowKey,
    /// Role of the packet in the flow.
    pub kind: Kind,
    /// Sequence number of the first byte of data. Sequence numbers wrap around.
    pub seq: u32,
    /// Sequence number of the next byte that the caller expects from the target.
    pub ack: u32,
    /// Number of data bytes.
    pub len: u16,
    /// The mark that the caller last received on this flow, if any.
    pub mark: Option<Mark>,
    /// Time after which the caller of an opening sends its next copy or gives up, counted from
    /// this packet; zero for other packets.
    pub repeated_after: Millis,
}

impl Segment {
    /// Sequence number that follows the last byte of data.
    pub fn end(&self) -> u32 {
        self.seq.wrapping_add(u32::from(self.len))
    }
}

/// Whether sequence number `a` comes after `b`. Sequence numbers wrap around.
pub(crate) fn is_after(a: u32, b: u32) -> bool {
    a.wrapping_sub(b).cast_signed() > 0
}
