//! Interface between the packet thread and the transport of datagrams.

use crate::{Batch, Counts};
use std::{error::Error, net::SocketAddrV4, time::Duration};

/// A datagram to send. Its bytes are borrowed, usually from a [`Batch`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Datagram<'a> {
    /// Receiver of the datagram.
    pub to: SocketAddrV4,
    /// Payload.
    pub bytes: &'a [u8],
}

/// Receives and sends batches of datagrams.
pub trait Wire {
    /// Error after which the wire can't be used. Transient errors are counted instead, because the
    /// packet thread must continue after them.
    type Error: Error + Send + Sync + 'static;

    /// Replaces the content of `batch` by the datagrams that have arrived and returns their number.
    /// Waits up to `timeout` for the first one. Receiving none is not an error.
    fn receive(&mut self, batch: &mut Batch, timeout: Duration) -> Result<usize, Self::Error>;

    /// Sends the datagrams in order without blocking and returns how many were accepted. A datagram
    /// that can't be sent is counted by reason and skipped, so that it doesn't delay those after
    /// it.
    fn send(&mut self, datagrams: &[Datagram<'_>]) -> usize;

    /// Counts since the wire was created.
    fn counts(&self) -> Counts;
}
