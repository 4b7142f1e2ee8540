//! Taking datagrams from a socket in batches.

use nix::sys::socket::{MsgFlags, recv};
use std::{io, net::UdpSocket, os::fd::AsRawFd, time::Duration};

/// The largest datagram.
const MAX_DATAGRAM: usize = 65_536;
/// How many datagrams are taken before other work has its turn.
const MAX_BATCH: usize = 256;

/// A socket with the buffer that it is read into.
pub struct BatchReceiver {
    /// The socket.
    pub socket: UdpSocket,
    buffer: Vec<u8>,
    timeout: Option<Duration>,
}

impl BatchReceiver {
    /// Reads from `socket`.
    pub fn new(socket: UdpSocket) -> Self {
        Self { socket, buffer: vec![0; MAX_DATAGRAM], timeout: None }
    }

    /// Waits for a datagram for `timeout` at most, then takes what else is there.
    ///
    /// A socket holds only a few hundred datagrams: one that is read once per
    /// round of other work loses packets whenever many flows stir together.
    pub fn receive(&mut self, timeout: Duration, mut handle: impl FnMut(&[u8])) -> io::Result<()> {
        if self.timeout != Some(timeout) {
            self.socket.set_read_timeout(Some(timeout))?;
            self.timeout = Some(timeout);
        }
        let Ok(len) = self.socket.recv(&mut self.buffer) else {
            // The wait is over, or an earlier packet found its port closed.
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
