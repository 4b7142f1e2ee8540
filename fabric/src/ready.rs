//! Waiting for several sockets at once.

use crate::{Socket, SocketError, socket::ReceiveSnafu};
use nix::{
    errno::Errno,
    poll::{PollFd, PollFlags, PollTimeout, poll},
};
use snafu::ResultExt;
use std::{os::fd::AsFd, time::Duration};

/// Waits until a datagram can be received from one of the sockets, at most for
/// `timeout` to the millisecond. The packet thread serves callers and peers'
/// questions by itself, because both need the flow table; a wait for only one
/// of them would delay the other.
pub fn wait(sockets: [&Socket; 2], timeout: Duration) -> Result<(), SocketError> {
    let mut fds = sockets.map(|socket| PollFd::new(socket.as_fd(), PollFlags::POLLIN));
    let timeout = PollTimeout::try_from(timeout).unwrap_or(PollTimeout::MAX);
    match poll(&mut fds, timeout) {
        Ok(_) | Err(Errno::EINTR) => Ok(()),
        Err(errno) => Err(errno).context(ReceiveSnafu),
    }
}
