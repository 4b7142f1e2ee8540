//! The wire over a UDP socket, with one system call a batch.

use crate::{
    Batch, Counts, Datagram, MAX_BATCH, MAX_DATAGRAM, Wire,
    batch::{Entry, NO_ADDRESS},
};
use nix::{
    errno::Errno,
    sys::socket::{
        MsgFlags, MultiHeaders, SockaddrIn, getsockopt, recvmmsg, setsockopt,
        sockopt::{RcvBuf, SndBuf},
    },
};
use rustix::{
    io::Errno as SendErrno,
    net::{MMsgHdr, SendAncillaryBuffer, SendFlags, SocketAddrAny, addr::SocketAddrArg, sendmmsg},
};
use snafu::{ResultExt, Snafu};
use std::{
    array,
    io::{IoSlice, IoSliceMut},
    net::{SocketAddr, SocketAddrV4, UdpSocket},
    os::fd::{AsFd, AsRawFd, BorrowedFd},
    time::Duration,
};

/// How much the kernel is asked to buffer in each direction. It gives at most
/// `net.core.rmem_max` and `net.core.wmem_max`. A pause of the packet thread
/// of 10 ms at 300,000 packets a second fills 3,000 packets of up to 2 KiB.
const BUFFER_SIZE: usize = 8 << 20;

/// Why a socket can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SocketError {
    /// The address can't be bound.
    #[snafu(display("cannot bind UDP {address}"))]
    Bind {
        /// The address.
        address: SocketAddrV4,
        /// What the kernel said.
        source: std::io::Error,
    },
    /// An option can't be read or set.
    #[snafu(display("cannot configure a UDP socket"))]
    Configure {
        /// What the kernel said.
        source: std::io::Error,
    },
    /// The socket can't be read any more.
    #[snafu(display("cannot receive"))]
    Receive {
        /// What the kernel said.
        source: Errno,
    },
}

/// A bound socket that may still move to the thread that will use it; the
/// kernel's headers in a [`Socket`] can't.
#[derive(Debug)]
pub struct Listener {
    socket: UdpSocket,
    local: SocketAddrV4,
}

/// A UDP socket as a [`Wire`].
#[derive(Debug)]
pub struct Socket {
    socket: UdpSocket,
    local: SocketAddrV4,
    headers: MultiHeaders<SockaddrIn>,
    timeout: Option<Duration>,
    addresses: Vec<SocketAddrAny>,
    counts: Counts,
}

impl Listener {
    /// Binds the address; port 0 lets the kernel choose one.
    pub fn bind(address: SocketAddrV4) -> Result<Self, SocketError> {
        let socket = UdpSocket::bind(address).context(BindSnafu { address })?;
        let local = match socket.local_addr().context(ConfigureSnafu)? {
            SocketAddr::V4(local) => local,
            SocketAddr::V6(_) => address,
        };
        set_buffer_sizes(&socket)?;
        Ok(Self { socket, local })
    }

    /// The bound address.
    pub fn local(&self) -> SocketAddrV4 {
        self.local
    }

    /// The bytes that the kernel buffers for receiving, as it accounts them.
    pub fn receive_buffer_size(&self) -> Result<usize, SocketError> {
        getsockopt(&self.socket, RcvBuf).map_err(Into::into).context(ConfigureSnafu)
    }
}

/// Asks for large buffers. To get less than asked is not an error: it shows as
/// datagrams lost by the kernel under load, in `/proc/net/snmp`.
fn set_buffer_sizes(socket: &UdpSocket) -> Result<(), SocketError> {
    setsockopt(socket, RcvBuf, &BUFFER_SIZE).map_err(Into::into).context(ConfigureSnafu)?;
    setsockopt(socket, SndBuf, &BUFFER_SIZE).map_err(Into::into).context(ConfigureSnafu)
}

impl Socket {
    /// Binds the address for use by this thread.
    pub fn bind(address: SocketAddrV4) -> Result<Self, SocketError> {
        Listener::bind(address).map(Self::from)
    }

    /// The bound address.
    pub fn local(&self) -> SocketAddrV4 {
        self.local
    }

    fn set_timeout(&mut self, timeout: Duration) -> Result<(), SocketError> {
        if timeout.is_zero() || self.timeout == Some(timeout) {
            return Ok(());
        }
        self.socket.set_read_timeout(Some(timeout)).context(ConfigureSnafu)?;
        self.timeout = Some(timeout);
        Ok(())
    }

    /// Fills the batch by one call. `MSG_TRUNC` makes the kernel tell the
    /// whole length of a datagram that it had to cut.
    fn receive_batch(&mut self, batch: &mut Batch, flags: MsgFlags) -> Result<(), Errno> {
        let mut slots = batch.buffer.chunks_exact_mut(MAX_DATAGRAM);
        let mut slices: [[IoSliceMut<'_>; 1]; MAX_BATCH] =
            array::from_fn(|_| [IoSliceMut::new(slots.next().unwrap_or_default())]);
        let flags = flags | MsgFlags::MSG_TRUNC;
        let fd = self.socket.as_raw_fd();
        let results = recvmmsg(fd, &mut self.headers, slices.iter_mut(), flags, None)?;
        for (slot, it) in results.enumerate() {
            if it.bytes > MAX_DATAGRAM {
                self.counts.oversize += 1;
            } else if it.bytes == 0 {
                self.counts.empty += 1;
            } else {
                let from = it.address.map_or(NO_ADDRESS, SocketAddrV4::from);
                batch.entries.push(Entry { slot, len: it.bytes, from });
            }
        }
        Ok(())
    }

    /// Sends a part of a batch and answers how many datagrams were taken.
    fn send_from(&self, datagrams: &[Datagram<'_>], skip: usize) -> Result<usize, SendErrno> {
        let slices: [[IoSlice<'_>; 1]; MAX_BATCH] =
            array::from_fn(|ix| [IoSlice::new(datagrams.get(ix).map_or(&[], |it| it.bytes))]);
        let mut controls: [SendAncillaryBuffer<'_, '_, '_>; MAX_BATCH] =
            array::from_fn(|_| SendAncillaryBuffer::default());
        let mut headers: Vec<MMsgHdr<'_>> = (self.addresses.iter().zip(&slices))
            .zip(&mut controls)
            .map(|((to, slice), control)| MMsgHdr::new_with_addr(to, slice, control))
            .collect();
        sendmmsg(&self.socket, &mut headers[skip..], SendFlags::DONTWAIT)
    }

    /// Sends at most [`MAX_BATCH`] datagrams. The kernel stops at the first one
    /// that it can't send and names the reason in the next call only; that one
    /// is counted and passed over, so each round moves on by one at least. A
    /// full send buffer ends the batch: it fails for the others as well.
    fn send_batch(&mut self, datagrams: &[Datagram<'_>]) -> usize {
        self.addresses.clear();
        self.addresses.extend(datagrams.iter().map(|it| it.to.as_any()));
        let mut done = 0;
        let mut sent = 0;
        while done < datagrams.len() {
            match self.send_from(datagrams, done) {
                Ok(0) => break,
                Ok(count) => {
                    done += count;
                    sent += count;
                }
                Err(SendErrno::INTR) => {}
                Err(SendErrno::AGAIN) => {
                    self.counts.full += (datagrams.len() - done) as u64;
                    break;
                }
                Err(error) => {
                    self.count_failure(error);
                    done += 1;
                }
            }
        }
        self.counts.sent += sent as u64;
        sent
    }

    fn count_failure(&mut self, error: SendErrno) {
        let counter = match error {
            SendErrno::NOBUFS => &mut self.counts.full,
            SendErrno::MSGSIZE => &mut self.counts.mtu,
            SendErrno::CONNREFUSED
            | SendErrno::HOSTUNREACH
            | SendErrno::NETUNREACH
            | SendErrno::NETDOWN
            | SendErrno::ACCESS
            | SendErrno::PERM => &mut self.counts.unreachable,
            _ => &mut self.counts.failed,
        };
        *counter += 1;
    }
}

impl AsFd for Socket {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.socket.as_fd()
    }
}

impl From<Listener> for Socket {
    fn from(listener: Listener) -> Self {
        Self {
            socket: listener.socket,
            local: listener.local,
            headers: MultiHeaders::preallocate(MAX_BATCH, None),
            timeout: None,
            addresses: Vec::with_capacity(MAX_BATCH),
            counts: Counts::default(),
        }
    }
}

impl Wire for Socket {
    type Error = SocketError;

    fn receive(&mut self, batch: &mut Batch, timeout: Duration) -> Result<usize, SocketError> {
        batch.clear();
        self.set_timeout(timeout)?;
        let flags =
            if timeout.is_zero() { MsgFlags::MSG_DONTWAIT } else { MsgFlags::MSG_WAITFORONE };
        match self.receive_batch(batch, flags) {
            Ok(()) | Err(Errno::EAGAIN) => {}
            Err(error) if is_transient(error) => self.counts.transient_errors += 1,
            Err(source) => return Err(SocketError::Receive { source }),
        }
        self.counts.received += batch.len() as u64;
        Ok(batch.len())
    }

    fn send(&mut self, datagrams: &[Datagram<'_>]) -> usize {
        datagrams.chunks(MAX_BATCH).map(|chunk| self.send_batch(chunk)).sum()
    }

    fn counts(&self) -> Counts {
        self.counts
    }
}

/// Whether a receive error says nothing about the socket itself. An ICMP
/// answer to something sent earlier is reported by a later receive; ending the
/// packet thread for it would let one dead target stop all flows.
fn is_transient(error: Errno) -> bool {
    matches!(
        error,
        Errno::EINTR
            | Errno::ECONNREFUSED
            | Errno::EHOSTUNREACH
            | Errno::ENETUNREACH
            | Errno::ENETDOWN
            | Errno::EHOSTDOWN
            | Errno::EPROTO
            | Errno::EMSGSIZE
            | Errno::ENOBUFS
            | Errno::ENOMEM
    )
}
