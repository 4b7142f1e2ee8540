//! A wire over a UDP socket, with one system call per batch.

use crate::{
    Batch, Clocks, Counts, Datagram, MAX_BATCH, MAX_DATAGRAM, QueueAges, Wire,
    batch::{Entry, NO_ADDRESS},
};
use nix::{
    cmsg_space,
    errno::Errno,
    sys::{
        socket::{
            ControlMessageOwned, MsgFlags, MultiHeaders, RecvMsg, SockaddrIn, getsockopt, recvmmsg,
            setsockopt,
            sockopt::{RcvBuf, ReceiveTimestampns, SndBuf},
        },
        time::TimeSpec,
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

/// Requested size of the kernel's buffer in each direction, in bytes. The kernel grants at most
/// `net.core.rmem_max` and `net.core.wmem_max`. While the packet thread pauses for 10 ms at 300,000
/// packets per second, 3,000 packets of up to 2 KiB accumulate.
const BUFFER_SIZE: usize = 8 << 20;

/// Error of a socket.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SocketError {
    /// Binding the address failed.
    #[snafu(display("cannot bind UDP {address}"))]
    Bind {
        /// The address.
        address: SocketAddrV4,
        /// Error of the system call.
        source: std::io::Error,
    },
    /// Reading or setting a socket option failed.
    #[snafu(display("cannot configure a UDP socket"))]
    Configure {
        /// Error of the system call.
        source: std::io::Error,
    },
    /// Receiving failed with an error that is not transient.
    #[snafu(display("cannot receive from a UDP socket"))]
    Receive {
        /// Error of the system call.
        source: Errno,
    },
}

/// A bound socket that can move to the thread that will use it. A [`Socket`] can't, because it
/// holds the kernel's message headers.
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
    ages: Option<QueueAges>,
    counts: Counts,
}

impl Listener {
    /// Binds the address. With port 0 the kernel chooses a port.
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

    /// Size of the kernel's receive buffer in bytes, as the kernel accounts for it.
    pub fn receive_buffer_size(&self) -> Result<usize, SocketError> {
        getsockopt(&self.socket, RcvBuf).map_err(Into::into).context(ConfigureSnafu)
    }
}

/// Requests large buffers. Receiving smaller ones is not an error; it shows in `/proc/net/snmp` as
/// datagrams that the kernel drops under load.
fn set_buffer_sizes(socket: &UdpSocket) -> Result<(), SocketError> {
    setsockopt(socket, RcvBuf, &BUFFER_SIZE).map_err(Into::into).context(ConfigureSnafu)?;
    setsockopt(socket, SndBuf, &BUFFER_SIZE).map_err(Into::into).context(ConfigureSnafu)
}

impl Socket {
    /// Binds the address for use by the current thread.
    pub fn bind(address: SocketAddrV4) -> Result<Self, SocketError> {
        Listener::bind(address).map(Self::from)
    }

    /// The bound address.
    pub fn local(&self) -> SocketAddrV4 {
        self.local
    }

    /// Records from now on how long datagrams wait in the socket. The kernel begins to stamp them
    /// a moment later, or never.
    pub fn record_ages(&mut self) {
        if let Err(error) = setsockopt(&self.socket, ReceiveTimestampns, &true) {
            log::warn!("datagrams are not stamped on arrival: {error}");
        }
        self.headers = MultiHeaders::preallocate(MAX_BATCH, Some(cmsg_space!(TimeSpec)));
        self.ages = Some(QueueAges::new(Clocks::read()));
    }

    /// Records that the thread waited for this socket and others from `began` to `now`, and was to
    /// wait for `limit` at most.
    pub fn record_wait(&mut self, began: Clocks, now: Clocks, limit: Duration) {
        if let Some(ages) = &mut self.ages {
            ages.record_wait(began, now, limit);
        }
    }

    fn set_timeout(&mut self, timeout: Duration) -> Result<(), SocketError> {
        if timeout.is_zero() || self.timeout == Some(timeout) {
            return Ok(());
        }
        self.socket.set_read_timeout(Some(timeout)).context(ConfigureSnafu)?;
        self.timeout = Some(timeout);
        Ok(())
    }

    /// Fills the batch by one system call. `MSG_TRUNC` makes the kernel report the full length of a
    /// datagram that it truncated. Returns the number of datagrams that were read, including
    /// truncated and empty ones.
    fn receive_batch(&mut self, batch: &mut Batch, flags: MsgFlags) -> Result<usize, Errno> {
        let mut slots = batch.buffer.chunks_exact_mut(MAX_DATAGRAM);
        let mut slices: [[IoSliceMut<'_>; 1]; MAX_BATCH] =
            array::from_fn(|_| [IoSliceMut::new(slots.next().unwrap_or_default())]);
        let flags = flags | MsgFlags::MSG_TRUNC;
        let fd = self.socket.as_raw_fd();
        let results = recvmmsg(fd, &mut self.headers, slices.iter_mut(), flags, None)?;
        // Read after the call: a process suspended before it receives datagrams that arrived later.
        let now = self.ages.map(|_| Clocks::read());
        let mut count = 0;
        for (slot, it) in results.enumerate() {
            count += 1;
            if it.bytes > MAX_DATAGRAM {
                self.counts.oversize += 1;
            } else if it.bytes == 0 {
                self.counts.empty += 1;
            } else {
                let from = it.address.map_or(NO_ADDRESS, SocketAddrV4::from);
                let stamp = self.ages.and_then(|_| read_stamp(&it));
                let age = self.ages.zip(now).map(|(ages, now)| ages.max_age(stamp, now));
                let age = age.unwrap_or_default();
                batch.entries.push(Entry { slot, len: it.bytes, from, age });
            }
        }
        Ok(count)
    }

    /// Sends the datagrams after the first `skip` by one system call and returns how many the
    /// kernel accepted.
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

    /// Sends at most [`MAX_BATCH`] datagrams. The kernel stops at the first datagram that it can't
    /// send and reports the reason only in the next call. That datagram is counted and skipped, so
    /// each call makes progress. A full send buffer ends the batch because the remaining datagrams
    /// would fail too.
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
            ages: None,
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
        let before = self.ages.map(|_| Clocks::read());
        let is_drained = match self.receive_batch(batch, flags) {
            Ok(count) => count < MAX_BATCH,
            Err(Errno::EAGAIN) => true,
            Err(error) if is_transient(error) => {
                self.counts.transient_errors += 1;
                false
            }
            Err(source) => return Err(SocketError::Receive { source }),
        };
        if let Some((ages, before)) = self.ages.as_mut().zip(before) {
            ages.record_receipt(before, is_drained);
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

/// Time of a datagram's arrival by the wall clock, if the kernel stamped it.
fn read_stamp(message: &RecvMsg<'_, '_, SockaddrIn>) -> Option<Duration> {
    let stamps = message.cmsgs().ok()?;
    stamps.into_iter().find_map(|it| match it {
        ControlMessageOwned::ScmTimestampns(stamp) => Some(stamp.into()),
        _ => None,
    })
}

/// Whether the socket is still usable after a receive error. An ICMP message about a datagram that
/// was sent earlier is reported by a later receive call. If the packet thread ended because of it,
/// one dead target would stop all flows.
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
