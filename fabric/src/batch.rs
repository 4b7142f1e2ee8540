//! The datagrams of one receive call, in memory that is allocated once.

use std::net::{Ipv4Addr, SocketAddrV4};

/// How many datagrams are received or sent by one system call at most. Beyond
/// this the call's own cost is already below a percent of a packet's.
pub const MAX_BATCH: usize = 64;

/// The largest datagram that is taken, in bytes: a caller's packet of an
/// ordinary 1,500-byte network with room for what the fabric adds.
pub const MAX_DATAGRAM: usize = 2048;

/// Up to [`MAX_BATCH`] received datagrams.
#[derive(Debug)]
pub struct Batch {
    pub(crate) buffer: Box<[u8]>,
    pub(crate) entries: Vec<Entry>,
}

/// Where one datagram lies in the buffer and who sent it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Entry {
    pub(crate) slot: usize,
    pub(crate) len: usize,
    pub(crate) from: SocketAddrV4,
}

/// One received datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Received<'a> {
    /// Who sent it; a node of the fabric, not the caller.
    pub from: SocketAddrV4,
    /// Its payload, never empty.
    pub bytes: &'a [u8],
}

impl Batch {
    /// Allocates room for a full batch.
    pub fn new() -> Self {
        Self {
            buffer: vec![0; MAX_BATCH * MAX_DATAGRAM].into(),
            entries: Vec::with_capacity(MAX_BATCH),
        }
    }

    /// Forgets the datagrams and keeps the memory.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Copies a datagram in, for a [`Wire`](crate::Wire) without a socket.
    /// Answers whether there was room for it.
    pub fn push(&mut self, from: SocketAddrV4, bytes: &[u8]) -> bool {
        let slot = self.entries.len();
        if slot == MAX_BATCH || bytes.len() > MAX_DATAGRAM {
            return false;
        }
        let start = slot * MAX_DATAGRAM;
        self.buffer[start..start + bytes.len()].copy_from_slice(bytes);
        self.entries.push(Entry { slot, len: bytes.len(), from });
        true
    }

    /// The datagrams in the order of their arrival.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = Received<'_>> {
        self.entries.iter().map(|entry| {
            let start = entry.slot * MAX_DATAGRAM;
            Received { from: entry.from, bytes: &self.buffer[start..start + entry.len] }
        })
    }

    /// How many datagrams there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl Default for Batch {
    fn default() -> Self {
        Self::new()
    }
}

/// Stands for a sender whose address the kernel did not give.
pub(crate) const NO_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
