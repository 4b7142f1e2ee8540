//! Datagrams that wait to be sent together.

use crate::{Datagram, MAX_BATCH, Wire, batch::NO_ADDRESS};
use std::{array, net::SocketAddrV4, ops::Range};

/// Gathers copies of datagrams until they are sent by one call.
///
/// A packet is decided on while others of its batch are still to come, and the
/// bytes of one that was held are gone by then. To copy costs less than to keep
/// track of whose bytes live how long; `docs/MEASURES.md` has the figure.
#[derive(Debug)]
pub struct Outbox {
    buffer: Vec<u8>,
    entries: Vec<(SocketAddrV4, Range<usize>)>,
}

impl Outbox {
    /// Makes room for a batch of ordinary packets; larger ones grow it once.
    pub fn new() -> Self {
        Self { buffer: Vec::with_capacity(MAX_BATCH * 256), entries: Vec::with_capacity(MAX_BATCH) }
    }

    /// Adds a datagram.
    pub fn push(&mut self, to: SocketAddrV4, bytes: &[u8]) {
        let start = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        self.entries.push((to, start..self.buffer.len()));
    }

    /// Sends all in order and answers how many were taken; what was not is
    /// counted by the wire and forgotten here.
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

    /// Forgets what waits.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.entries.clear();
    }

    /// How many datagrams wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl Default for Outbox {
    fn default() -> Self {
        Self::new()
    }
}
