//! Queue of datagrams that are sent together.

use crate::{Datagram, MAX_BATCH, Wire, batch::NO_ADDRESS};
use std::{array, net::SocketAddrV4, ops::Range};

/// Collects copies of datagrams until they are sent as batches.
///
/// The target of a packet is chosen before the rest of its batch is handled, and the bytes of a
/// packet that was held are no longer in the batch when it is sent. Copying costs less than
/// tracking the lifetimes of the buffers; see `docs/MEASURES.md`.
#[derive(Debug)]
pub struct Outbox {
    buffer: Vec<u8>,
    entries: Vec<(SocketAddrV4, Range<usize>)>,
}

impl Outbox {
    /// Allocates memory for a batch of packets of ordinary size. Larger packets make it grow once.
    pub fn new() -> Self {
        Self { buffer: Vec::with_capacity(MAX_BATCH * 256), entries: Vec::with_capacity(MAX_BATCH) }
    }

    /// Appends a copy of a datagram.
    pub fn push(&mut self, to: SocketAddrV4, bytes: &[u8]) {
        let start = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        self.entries.push((to, start..self.buffer.len()));
    }

    /// Sends all datagrams in order and returns how many the wire accepted. The others are counted
    /// by the wire and dropped.
    pub fn flush(&mut self, wire: &mut impl Wire) -> usize {
        let mut sent = 0;
        for entries in self.entries.chunks(MAX_BATCH) {
            let datagrams: [Datagram<'_>; MAX_BATCH] = array::from_fn(|ix| match entries.get(ix) {
                Some((to, range)) => Datagram { to: *to, bytes: &self.buffer[range.clone()] },
                None => Datagram { to: NO_ADDRESS, bytes: &[] },
            });
            sent += wire.send(&datagrams[..entries.len()]);
        }
        self.clear();
        sent
    }

    /// Drops all datagrams.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.entries.clear();
    }

    /// Number of queued datagrams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no datagrams are queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl Default for Outbox {
    fn default() -> Self {
        Self::new()
    }
}
