//! A wire without a socket, for tests and benchmarks of the packet thread.

use crate::{Batch, Counts, Datagram, MAX_DATAGRAM, Wire, batch::NO_ADDRESS};
use std::{collections::VecDeque, net::SocketAddrV4, time::Duration};

/// A wire that returns the datagrams that were pushed and keeps those that were sent.
#[derive(Debug, Default)]
pub struct MemoryWire {
    incoming: VecDeque<Vec<u8>>,
    sent: Vec<(SocketAddrV4, Vec<u8>)>,
    counts: Counts,
}

/// Error of a [`MemoryWire`]; there is none.
#[derive(Debug, snafu::Snafu)]
pub enum MemoryError {}

impl MemoryWire {
    /// Queues a datagram to be received.
    pub fn push_incoming(&mut self, bytes: &[u8]) {
        self.incoming.push_back(bytes.to_vec());
    }

    /// Takes the datagrams that were sent since the last call.
    pub fn take_sent(&mut self) -> Vec<(SocketAddrV4, Vec<u8>)> {
        std::mem::take(&mut self.sent)
    }
}

impl Wire for MemoryWire {
    type Error = MemoryError;

    fn receive(&mut self, batch: &mut Batch, _timeout: Duration) -> Result<usize, MemoryError> {
        batch.clear();
        while let Some(bytes) = self.incoming.front() {
            if bytes.is_empty() {
                self.counts.empty += 1;
            } else if bytes.len() > MAX_DATAGRAM {
                self.counts.oversize += 1;
            } else if !batch.push(NO_ADDRESS, bytes) {
                break;
            }
            self.incoming.pop_front();
        }
        self.counts.received += batch.len() as u64;
        Ok(batch.len())
    }

    fn send(&mut self, datagrams: &[Datagram<'_>]) -> usize {
        self.sent.extend(datagrams.iter().map(|it| (it.to, it.bytes.to_vec())));
        self.counts.sent += datagrams.len() as u64;
        datagrams.len()
    }

    fn counts(&self) -> Counts {
        self.counts
    }
}
