//! Taking datagrams from a socket in batches.

use nix::sys::socket::{MsgFlags, recv};
use std::{io, net::UdpSocket, os::fd::AsRawFd, time::Duration};

/// The largest datagram.
const LARGEST: usize = 65_536;
/// How many datagrams are taken before other work has its turn.
const BATCH: usize = 256;

/// A socket with the buffer that it is read into.
pub struct Inbox {
    /// The socket.
    pub socket: UdpSocket,
    buffer: Vec<u8>,
    wait: Option<Duration>,
}

impl Inbox {
    /// Reads from `socket`.
    pub fn new(socket: UdpSocket) -> Self {
        Self { socket, buffer: vec![0; LARGEST], wait: None }
    }

    /// Waits for a datagram for `wait` at most, then takes what else is there.
    ///
    /// A socket holds only a few hundred datagrams: one that is read once per
    /// round of other work loses packets whenever many flows stir together.
    pub fn take(&mut self, wait: Duration, mut each: impl FnMut(&[u8])) -> io::Result<()> {
        if self.wait != Some(wait) {
            self.socket.set_read_timeout(Some(wait))?;
            self.wait = Some(wait);
        }
        let Ok(len) = self.socket.recv(&mut self.buffer) else {
            // The wait is over, or an earlier packet found its port closed.
            return Ok(());
        };
        each(&self.buffer[..len]);
        for _ in 1..BATCH {
            let flags = MsgFlags::MSG_DONTWAIT;
            let Ok(len) = recv(self.socket.as_raw_fd(), &mut self.buffer, flags) else {
                break;
            };
            each(&self.buffer[..len]);
        }
        Ok(())
    }
}
