//! The boundary between the packet thread and whatever moves datagrams.

use crate::{Batch, Counts};
use std::{error::Error, net::SocketAddrV4, time::Duration};

/// One datagram to send; borrows its bytes, usually from a [`Batch`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Datagram<'a> {
    /// Who receives it.
    pub to: SocketAddrV4,
    /// Its payload.
    pub bytes: &'a [u8],
}

/// Moves batches of datagrams.
pub trait Wire {
    /// What ends the use of the wire. Errors that pass by themselves are
    /// counted instead, since the packet thread has to go on after them.
    type Error: Error + Send + Sync + 'static;

    /// Replaces the content of `batch` by what has arrived and answers how many
    /// datagrams that is. Waits up to `timeout` for the first one; none is not
    /// an error.
    fn receive(&mut self, batch: &mut Batch, timeout: Duration) -> Result<usize, Self::Error>;

    /// Sends the datagrams in order without ever waiting, and answers how many
    /// were taken. One that can't be sent is counted by reason and passed over,
    /// so that it can't hold up those behind it.
    fn send(&mut self, datagrams: &[Datagram<'_>]) -> usize;

    /// What was counted so far.
    fn counts(&self) -> Counts;
}
