//! Waiting for several sockets at once.

use crate::{SocketError, socket::ReceiveSnafu};
use nix::{
    errno::Errno,
    poll::{PollFd, PollFlags, PollTimeout, poll},
};
use snafu::ResultExt;
use std::{os::fd::BorrowedFd, time::Duration};

/// Waits until one of the descriptors is readable or the timeout is over, rounded to milliseconds;
/// without a timeout it waits indefinitely. The packet thread serves several sockets alone because
/// all of them need the flow table; waiting for one would delay the others.
pub fn wait_readable<const N: usize>(
    sources: [BorrowedFd<'_>; N],
    timeout: Option<Duration>,
) -> Result<(), SocketError> {
    let mut fds = sources.map(|source| PollFd::new(source, PollFlags::POLLIN));
    let limit = |timeout| PollTimeout::try_from(timeout).unwrap_or(PollTimeout::MAX);
    match poll(&mut fds, timeout.map_or(PollTimeout::NONE, limit)) {
        Ok(_) | Err(Errno::EINTR) => Ok(()),
        Err(errno) => Err(errno).context(ReceiveSnafu),
    }
}
