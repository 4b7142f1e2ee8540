//! TCP connections that are opened and awaited without blocking.

use nix::{
    errno::Errno,
    poll::{PollFd, PollFlags, PollTimeout, poll},
    sys::socket::{AddressFamily, SockFlag, SockType, SockaddrIn, socket},
};
use std::{
    io,
    net::{SocketAddrV4, TcpStream},
    os::fd::{AsFd, AsRawFd},
    time::Instant,
};

/// Starts to open a connection. [`is_connect_finished`] returns true once it is established or
/// refused.
///
/// # Errors
///
/// Fails if no socket can be created or the connection fails immediately.
pub fn connect(address: SocketAddrV4) -> io::Result<TcpStream> {
    let flags = SockFlag::SOCK_NONBLOCK | SockFlag::SOCK_CLOEXEC;
    let socket = socket(AddressFamily::Inet, SockType::Stream, flags, None)?;
    match nix::sys::socket::connect(socket.as_raw_fd(), &SockaddrIn::from(address)) {
        Ok(()) | Err(Errno::EINPROGRESS) => Ok(TcpStream::from(socket)),
        Err(error) => Err(error.into()),
    }
}

/// Whether a connection is established or has failed; [`TcpStream::take_error`] tells which.
pub fn is_connect_finished(stream: &TcpStream) -> bool {
    let mut fds = [PollFd::new(stream.as_fd(), PollFlags::POLLOUT)];
    poll(&mut fds, PollTimeout::ZERO).is_ok_and(|count| count > 0)
}

/// Waits until one of the descriptors is ready or the deadline has passed; without a deadline it
/// waits indefinitely. A signal ends the wait early.
///
/// # Errors
///
/// Fails if `poll` fails.
pub fn poll_until(fds: &mut [PollFd<'_>], deadline: Option<Instant>) -> io::Result<()> {
    let timeout = deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()));
    let timeout = timeout.map_or(PollTimeout::NONE, |timeout| {
        // Rounded up, so that the deadline has passed when the wait ends.
        PollTimeout::try_from(timeout.as_micros().div_ceil(1_000)).unwrap_or(PollTimeout::MAX)
    });
    match poll(fds, timeout) {
        Ok(_) | Err(Errno::EINTR) => Ok(()),
        Err(error) => Err(error.into()),
    }
}
