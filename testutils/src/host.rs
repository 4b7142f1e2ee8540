//! A TCP endpoint without sockets and without a clock.
//!
//! Packets are passed as bytes and time as an argument, so that the stand-in
//! programs and the property tests in virtual time use the same TCP stack. Each
//! connection is polled by itself, so that a packet costs no more on a host with
//! thousands of idle feeds than on a host with one.

use crate::{
    link::Link,
    packet::{Kind, PacketHeader},
};
use medlarspur_lib::{collections::Map, time::Millis};
use smoltcp::{
    iface::{Config, Interface, SocketHandle, SocketSet},
    socket::tcp,
    time::{Duration, Instant},
    wire::{HardwareAddress, IpAddress, IpCidr},
};
use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddrV4},
};

/// Buffer size in bytes for each direction of a connection; small, so that many
/// connections fit in memory.
const BUFFER_SIZE: usize = 4096;

/// A connection of a host: its own port, and address and port of its peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Conn {
    /// Port on the host's side.
    pub port: u16,
    /// Address and port of the peer.
    pub peer: SocketAddrV4,
}

/// Stage of a connection, as its host knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The handshake is not finished.
    Opening,
    /// Both ends can send.
    Open,
    /// The peer has closed its direction, and all that it sent has arrived.
    Finished,
    /// The connection was reset before it was established.
    Refused,
    /// The connection was reset or timed out after it was established.
    Broken,
}

/// An IPv4 host with TCP connections.
pub struct Host {
    /// The only address of the host.
    addr: Ipv4Addr,
    iface: Interface,
    link: Link,
    conns: Map<Conn, Entry>,
    ports: BTreeSet<u16>,
    due: BTreeSet<(Millis, Conn)>,
    ready: BTreeSet<Conn>,
    now: Millis,
    buffer: usize,
}

struct Entry {
    sockets: SocketSet<'static>,
    handle: SocketHandle,
    due: Option<Millis>,
    stage: Stage,
}

impl Host {
    /// Creates a host with one address and no connections.
    pub fn new(addr: Ipv4Addr) -> Self {
        let mut link = Link::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = u64::from(addr.to_bits());
        let mut iface = Interface::new(config, &mut link, Instant::ZERO);
        iface.update_ip_addrs(|addrs| {
            // The list is empty and has capacity for at least one address.
            let _ = addrs.push(IpCidr::new(IpAddress::Ipv4(addr), 0));
        });
        Self {
            addr,
            iface,
            link,
            conns: Map::default(),
            ports: BTreeSet::new(),
            due: BTreeSet::new(),
            ready: BTreeSet::new(),
            now: Millis(0),
            buffer: BUFFER_SIZE,
        }
    }

    /// Sets the buffer size in bytes for each direction of later connections.
    pub fn with_buffer(mut self, bytes: usize) -> Self {
        self.buffer = bytes;
        self
    }

    /// The address of the host.
    pub fn addr(&self) -> Ipv4Addr {
        self.addr
    }

    /// Starts to accept connections to `port`.
    pub fn listen(&mut self, port: u16) {
        self.ports.insert(port);
    }

    /// Stops accepting connections to `port`: later SYNs are reset, open connections stay.
    pub fn unlisten(&mut self, port: u16) {
        self.ports.remove(&port);
    }

    /// Opens a connection from `port` to `peer`. The next poll sends its SYN.
    pub fn connect(&mut self, port: u16, peer: SocketAddrV4) -> Conn {
        let conn = Conn { port, peer };
        let mut socket = self.socket();
        let remote = (IpAddress::Ipv4(*peer.ip()), peer.port());
        let refused = socket.connect(self.iface.context(), remote, port).is_err();
        let stage = if refused { Stage::Refused } else { Stage::Opening };
        self.insert(conn, socket, stage);
        conn
    }

    /// Handles a received packet. The next poll returns the answers.
    pub fn receive(&mut self, packet: &[u8]) {
        let Some(header) = PacketHeader::parse(packet) else {
            return;
        };
        let conn = Conn { port: header.dst.port(), peer: header.src };
        let opens = header.kind == Kind::Opening && self.ports.contains(&conn.port);
        if opens && self.conns.get(&conn).is_none_or(|entry| entry.is_over()) {
            self.remove(conn);
            let mut socket = self.socket();
            if socket.listen(conn.port).is_ok() {
                self.insert(conn, socket, Stage::Opening);
            }
        }
        self.link.incoming.push_back(packet.to_vec());
        match self.conns.contains_key(&conn) {
            true => self.poll_conn(conn),
            false => self.answer_stray(),
        }
    }

    /// Advances every connection that is due at `now` and returns the packets to send.
    pub fn poll(&mut self, now: Millis) -> Vec<Vec<u8>> {
        self.now = self.now.max(now);
        while let Some(&(due, conn)) = self.due.first()
            && due <= self.now
        {
            self.poll_conn(conn);
        }
        self.link.outgoing.drain(..).collect()
    }

    /// Returns the time of the next poll, if nothing is received before.
    pub fn next_poll(&self) -> Option<Millis> {
        // An acknowledgement may have freed buffer space that the host's user can
        // fill, although the stack itself has nothing to do.
        if !self.link.outgoing.is_empty() || !self.ready.is_empty() {
            return Some(self.now);
        }
        self.due.first().map(|&(due, _)| due)
    }

    /// Takes the connections that were polled since the last call, including new
    /// inbound ones. Their stage, received bytes or free buffer space may have changed.
    pub fn take_ready(&mut self) -> BTreeSet<Conn> {
        std::mem::take(&mut self.ready)
    }

    /// Returns the stage of a connection; an unknown one is [`Stage::Broken`].
    pub fn stage(&self, conn: Conn) -> Stage {
        self.conns.get(&conn).map_or(Stage::Broken, |entry| entry.stage)
    }

    /// Whether both directions are closed and all data has been sent.
    pub fn is_over(&self, conn: Conn) -> bool {
        self.conns.get(&conn).is_none_or(Entry::is_over)
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Whether the host has no connection.
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    /// Queues bytes for sending and returns how many fitted into the buffer.
    pub fn send(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let Some(entry) = self.conns.get_mut(&conn) else {
            return 0;
        };
        let sent = entry.socket().send_slice(bytes).unwrap_or(0);
        if sent > 0 {
            self.schedule(conn, Some(self.now));
        }
        sent
    }

    /// Takes the bytes that have been received in order.
    pub fn recv(&mut self, conn: Conn) -> Vec<u8> {
        let Some(entry) = self.conns.get_mut(&conn) else {
            return Vec::new();
        };
        let mut bytes = Vec::new();
        let socket = entry.socket();
        while let Ok(count) = socket.recv(|part| {
            bytes.extend_from_slice(part);
            (part.len(), part.len())
        }) && count > 0
        {}
        if !bytes.is_empty() {
            // This may reopen a closed window, of which the peer has to be informed.
            self.schedule(conn, Some(self.now));
        }
        bytes
    }

    /// Closes the sending direction after the queued bytes.
    pub fn close(&mut self, conn: Conn) {
        if let Some(entry) = self.conns.get_mut(&conn) {
            entry.socket().close();
            self.schedule(conn, Some(self.now));
        }
    }

    /// Resets a connection.
    pub fn abort(&mut self, conn: Conn) {
        if let Some(entry) = self.conns.get_mut(&conn) {
            entry.socket().abort();
            self.schedule(conn, Some(self.now));
        }
    }

    /// Removes a connection without sending a packet.
    pub fn remove(&mut self, conn: Conn) {
        self.schedule(conn, None);
        self.conns.remove(&conn);
    }

    /// Removes a connection if it [`is_over`](Self::is_over).
    pub fn remove_over(&mut self, conn: Conn) {
        if self.is_over(conn) {
            self.remove(conn);
        }
    }

    fn socket(&self) -> tcp::Socket<'static> {
        let buffer = || tcp::SocketBuffer::new(vec![0; self.buffer]);
        let mut socket = tcp::Socket::new(buffer(), buffer());
        socket.set_nagle_enabled(false);
        socket
    }

    fn insert(&mut self, conn: Conn, socket: tcp::Socket<'static>, stage: Stage) {
        self.remove(conn);
        let mut sockets = SocketSet::new(Vec::with_capacity(1));
        let handle = sockets.add(socket);
        self.conns.insert(conn, Entry { sockets, handle, due: None, stage });
        self.schedule(conn, Some(self.now));
    }

    fn poll_conn(&mut self, conn: Conn) {
        let Some(entry) = self.conns.get_mut(&conn) else {
            return;
        };
        let now = instant(self.now);
        self.iface.poll(now, &mut self.link, &mut entry.sockets);
        entry.stage = entry.next_stage();
        self.ready.insert(conn);
        let next = self.iface.poll_at(now, &entry.sockets).map(millis);
        // A connection due at the present time would be polled again without end.
        let next = next.map(|at| at.max(self.now + Millis(1)));
        self.schedule(conn, next);
    }

    /// Lets the stack answer a packet that belongs to no connection.
    fn answer_stray(&mut self) {
        let mut none = SocketSet::new(Vec::new());
        self.iface.poll(instant(self.now), &mut self.link, &mut none);
    }

    fn schedule(&mut self, conn: Conn, due: Option<Millis>) {
        let Some(entry) = self.conns.get_mut(&conn) else {
            return;
        };
        if let Some(old) = entry.due {
            self.due.remove(&(old, conn));
        }
        entry.due = due;
        if let Some(due) = due {
            self.due.insert((due, conn));
        }
    }
}

impl Entry {
    fn socket(&mut self) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(self.handle)
    }

    fn state(&self) -> tcp::State {
        self.sockets.get::<tcp::Socket<'_>>(self.handle).state()
    }

    fn is_over(&self) -> bool {
        matches!(self.state(), tcp::State::Closed | tcp::State::TimeWait | tcp::State::Listen)
    }

    /// Returns the stage after a poll. The stack's state is `Closed` both after a
    /// reset and after an orderly end; only the previous stage distinguishes them.
    fn next_stage(&self) -> Stage {
        use tcp::State;
        match (self.stage, self.state()) {
            (Stage::Opening, State::Closed) => Stage::Refused,
            (Stage::Opening, State::Listen | State::SynSent | State::SynReceived) => Stage::Opening,
            (Stage::Open, State::Closed) => Stage::Broken,
            (
                Stage::Opening | Stage::Open,
                State::CloseWait | State::LastAck | State::Closing | State::TimeWait,
            ) => Stage::Finished,
            (Stage::Opening | Stage::Open, _) => Stage::Open,
            (stage, _) => stage,
        }
    }
}

fn instant(at: Millis) -> Instant {
    Instant::ZERO + Duration::from_millis(at.0)
}

fn millis(at: Instant) -> Millis {
    Millis(u64::try_from(at.total_millis()).unwrap_or(0))
}
