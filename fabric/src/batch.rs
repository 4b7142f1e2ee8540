//! Received datagrams of one batch, in memory that is allocated once.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

/// Maximum number of datagrams received or sent by one system call. With a full batch the system
/// call costs less than a percent of the time spent on each packet.
pub const MAX_BATCH: usize = 64;

/// Maximum size of a received datagram, in bytes: a caller's packet on a network with an MTU of
/// 1,500 bytes, plus what the fabric adds.
pub const MAX_DATAGRAM: usize = 2048;

/// Received datagrams, at most [`MAX_BATCH`].
#[derive(Debug)]
pub struct Batch {
    pub(crate) buffer: Box<[u8]>,
    pub(crate) entries: Vec<Entry>,
}

/// Position of a datagram in the buffer, its sender, and its age.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Entry {
    pub(crate) slot: usize,
    pub(crate) len: usize,
    pub(crate) from: SocketAddrV4,
    pub(crate) age: Duration,
}

/// One received datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Received<'a> {
    /// Sender of the datagram: a node of the fabric, not the caller.
    pub from: SocketAddrV4,
    /// Payload, never empty.
    pub bytes: &'a [u8],
    /// Maximum time for which the datagram waited in the socket; zero unless the socket
    /// [records](crate::Socket::record_ages) it.
    pub age: Duration,
}

impl Batch {
    /// Allocates the memory of a full batch.
    pub fn new() -> Self {
        Self {
            buffer: vec![0; MAX_BATCH * MAX_DATAGRAM].into(),
            entries: Vec::with_capacity(MAX_BATCH),
        }
    }

    /// Removes all datagrams and keeps the memory.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Copies a datagram into the batch, for a [`Wire`](crate::Wire) without a socket. Returns
    /// false if the batch is full or the datagram exceeds [`MAX_DATAGRAM`].
    pub fn push(&mut self, from: SocketAddrV4, bytes: &[u8]) -> bool {
        let slot = self.entries.len();
        if slot == MAX_BATCH || bytes.len() > MAX_DATAGRAM {
            return false;
        }
        let start = slot * MAX_DATAGRAM;
        self.buffer[start..start + bytes.len()].copy_from_slice(bytes);
        self.entries.push(Entry { slot, len: bytes.len(), from, age: Duration::ZERO });
        true
    }

    /// Returns the datagrams in order of arrival.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = Received<'_>> {
        self.entries.iter().map(|entry| {
            let start = entry.slot * MAX_DATAGRAM;
            let bytes = &self.buffer[start..start + entry.len];
            Received { from: entry.from, bytes, age: entry.age }
        })
    }

    /// Number of datagrams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the batch holds no datagrams.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl Default for Batch {
    fn default() -> Self {
        Self::new()
    }
}

/// Placeholder for an unknown or unused address.
pub(crate) const NO_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
