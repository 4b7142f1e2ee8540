//! Receives datagrams from a socket in batches.

use nix::sys::socket::{MsgFlags, recv};
use std::{io, net::UdpSocket, os::fd::AsRawFd, time::Duration};

/// Maximum size of a datagram in bytes.
const MAX_DATAGRAM: usize = 65_536;
/// Maximum number of datagrams received in one call, which bounds the delay of other work.
const MAX_BATCH: usize = 256;

/// A UDP socket with its receive buffer.
pub struct BatchReceiver {
    /// The socket.
    pub socket: UdpSocket,
    buffer: Vec<u8>,
    timeout: Option<Duration>,
}

impl BatchReceiver {
    /// Creates a receiver that reads from `socket`.
    pub fn new(socket: UdpSocket) -> Self {
        Self { socket, buffer: vec![0; MAX_DATAGRAM], timeout: None }
    }

    /// Waits up to `timeout` for a datagram, then receives those that are queued.
    ///
    /// A socket queues only a few hundred datagrams. If only one were received per
    /// round of other work, packets would be lost whenever many flows send at once.
    pub fn receive(&mut self, timeout: Duration, mut handle: impl FnMut(&[u8])) -> io::Result<()> {
        if self.timeout != Some(timeout) {
            self.socket.set_read_timeout(Some(timeout))?;
            self.timeout = Some(timeout);
        }
        let Ok(len) = self.socket.recv(&mut self.buffer) else {
            // The timeout expired, or an earlier packet was sent to a closed port.
            return Ok(());
        };
        handle(&self.buffer[..len]);
        for _ in 1..MAX_BATCH {
            let flags = MsgFlags::MSG_DONTWAIT;
            let Ok(len) = recv(self.socket.as_raw_fd(), &mut self.buffer, flags) else {
                break;
            };
            handle(&self.buffer[..len]);
        }
        Ok(())
    }
}
