//! A TCP endpoint that knows no socket and no clock.
//!
//! Packets go in and come out as bytes and time is an argument, so that the
//! stand-in programs and the property tests in virtual time run one and the
//! same TCP stack. Each connection is polled on its own: a host with thousands
//! of silent feeds then costs no more a packet than one with a single feed.

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

/// Room for each direction of a connection, small so that many fit in memory.
const BUFFER_SIZE: usize = 4096;

/// One connection of a host: its own port and the other end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Conn {
    /// The port on the host's own side.
    pub port: u16,
    /// The address and port of the other side.
    pub peer: SocketAddrV4,
}

/// How far a connection has come, as its own end sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The handshake is not finished.
    Opening,
    /// Both ends may send.
    Open,
    /// The other end has closed its direction; everything it sent has arrived.
    Finished,
    /// The connection was turned away before it was established.
    Refused,
    /// The connection was reset, or timed out, after it was established.
    Broken,
}

/// An IPv4 host with TCP connections.
pub struct Host {
    /// The one address of the host.
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
    /// Makes a host with one address and no connection.
    pub fn new(addr: Ipv4Addr) -> Self {
        let mut link = Link::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = u64::from(addr.to_bits());
        let mut iface = Interface::new(config, &mut link, Instant::ZERO);
        iface.update_ip_addrs(|addrs| {
            // The list is empty and holds at least one address.
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

    /// Gives later connections `bytes` of room in each direction.
    pub fn with_buffer(mut self, bytes: usize) -> Self {
        self.buffer = bytes;
        self
    }

    /// The address of the host.
    pub fn addr(&self) -> Ipv4Addr {
        self.addr
    }

    /// Accepts connections to `port` from now on.
    pub fn listen(&mut self, port: u16) {
        self.ports.insert(port);
    }

    /// Answers later openings to `port` with a reset; open connections stay.
    pub fn unlisten(&mut self, port: u16) {
        self.ports.remove(&port);
    }

    /// Starts a connection from `port` to `peer`; the next poll sends its SYN.
    pub fn connect(&mut self, port: u16, peer: SocketAddrV4) -> Conn {
        let conn = Conn { port, peer };
        let mut socket = self.socket();
        let remote = (IpAddress::Ipv4(*peer.ip()), peer.port());
        let refused = socket.connect(self.iface.context(), remote, port).is_err();
        let stage = if refused { Stage::Refused } else { Stage::Opening };
        self.insert(conn, socket, stage);
        conn
    }

    /// Takes a packet in; answers come from the next poll.
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

    /// Runs every connection that is due at `now` and takes the packets to send.
    pub fn poll(&mut self, now: Millis) -> Vec<Vec<u8>> {
        self.now = self.now.max(now);
        while let Some(&(due, conn)) = self.due.first()
            && due <= self.now
        {
            self.poll_conn(conn);
        }
        self.link.outgoing.drain(..).collect()
    }

    /// When the next poll has work, if nothing is received before.
    pub fn next_poll(&self) -> Option<Millis> {
        // Whoever drives the host may have bytes for the room that an
        // acknowledgement made, though the stack itself has nothing to do.
        if !self.link.outgoing.is_empty() || !self.ready.is_empty() {
            return Some(self.now);
        }
        self.due.first().map(|&(due, _)| due)
    }

    /// Takes the connections that were polled since the last call: those whose
    /// stage, bytes or room may have changed. New inbound ones are among them.
    pub fn take_ready(&mut self) -> BTreeSet<Conn> {
        std::mem::take(&mut self.ready)
    }

    /// How far a connection has come; one that is unknown counts as broken.
    pub fn stage(&self, conn: Conn) -> Stage {
        self.conns.get(&conn).map_or(Stage::Broken, |entry| entry.stage)
    }

    /// Whether both directions are closed and nothing is left to send.
    pub fn is_over(&self, conn: Conn) -> bool {
        self.conns.get(&conn).is_none_or(Entry::is_over)
    }

    /// How many connections the host holds.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Whether the host holds no connection.
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    /// Queues bytes and says how many had room.
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

    /// Takes the bytes that have arrived in order.
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
            // Taking bytes may reopen a closed window, which the peer has to hear.
            self.schedule(conn, Some(self.now));
        }
        bytes
    }

    /// Closes the sending direction after what is queued.
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

    /// Forgets a connection without another packet.
    pub fn remove(&mut self, conn: Conn) {
        self.schedule(conn, None);
        self.conns.remove(&conn);
    }

    /// Forgets a connection if it [`is_over`](Self::is_over).
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
        // A poll that leaves work for this very moment would never end.
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

    /// The stage after a poll. A reset and an orderly end both leave the stack
    /// closed; only what came before tells them apart.
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
