//! What forwarding needs to know of a caller's packet.

use crate::Mark;
use std::{fmt, net::SocketAddrV4};

/// The addresses and ports of a flow: all that tells it from other flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowKey {
    /// The caller's end.
    pub caller: SocketAddrV4,
    /// The address and port that the caller asked for; a route of the config.
    pub service: SocketAddrV4,
}

impl fmt::Display for FlowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.caller, self.service)
    }
}

/// What a packet means for its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Opens the flow.
    Open,
    /// Belongs to a flow that was opened.
    Middle,
    /// The caller has sent all that it will send.
    Close,
    /// The caller gives the flow up at once.
    Abort,
}

/// The header of a caller's packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// The flow that it belongs to.
    pub key: FlowKey,
    /// What it means.
    pub kind: Kind,
    /// The number of its first byte of data. Numbers wrap around.
    pub seq: u32,
    /// The number of the next byte that the caller expects from the target.
    pub ack: u32,
    /// How many bytes of data it carries.
    pub len: u16,
    /// The mark that the caller received last on this flow, if any.
    pub mark: Option<Mark>,
}

impl Segment {
    /// The number behind its last byte of data.
    pub fn end(&self) -> u32 {
        self.seq.wrapping_add(u32::from(self.len))
    }
}

/// Whether number `a` comes after `b`, where numbers wrap around.
pub(crate) fn is_after(a: u32, b: u32) -> bool {
    a.wrapping_sub(b).cast_signed() > 0
}
