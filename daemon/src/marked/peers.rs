//! Communication with other instances: datagrams sent and received by the main thread.

use super::{inbox::Sender, pictures::UpdateExchange};
use medlarspur_lib::{settings::MarkedSettings, time::Millis};
use medlarspur_marked::{
    Fleet, Outgoing,
    message::{self, MAX_DATAGRAM, Message},
};
use std::{
    io::{self, ErrorKind},
    net::{SocketAddr, SocketAddrV4, UdpSocket},
    os::fd::{AsFd, BorrowedFd},
};

/// Maximum number of retries to find a port that is free for both UDP and TCP, if the
/// settings leave the port to the system.
const PORT_TRIES: usize = 20;

/// Membership of the other instances, and the channels to them.
#[derive(Debug)]
pub struct Peers {
    /// The membership state.
    pub fleet: Fleet,
    /// Socket for gossip datagrams.
    pub socket: ControlSocket,
    /// Pulls over TCP, for updates too large for a datagram.
    pub exchange: UpdateExchange,
}

impl Peers {
    /// Binds the control address for datagrams and for pulls.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound or the thread can't be started.
    pub fn join(
        control: SocketAddrV4,
        settings: &MarkedSettings,
        sender: &Sender,
        now: Millis,
    ) -> io::Result<Peers> {
        let mut tries = 0;
        loop {
            let socket = ControlSocket::bind(control)?;
            let local = socket.local()?;
            match UpdateExchange::start(local, sender.clone()) {
                Ok(exchange) => {
                    let seed = rand::random();
                    let fleet = Fleet::new(local, &settings.domain, &settings.peers, seed, now);
                    return Ok(Peers { fleet, socket, exchange });
                }
                Err(error) if control.port() != 0 || tries == PORT_TRIES => return Err(error),
                Err(_) => tries += 1,
            }
        }
    }
}

/// Socket for gossip datagrams.
#[derive(Debug)]
pub struct ControlSocket {
    socket: UdpSocket,
}

impl ControlSocket {
    /// Binds a non-blocking socket to the address.
    pub fn bind(address: SocketAddrV4) -> io::Result<ControlSocket> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(ControlSocket { socket })
    }

    /// The bound address.
    pub fn local(&self) -> io::Result<SocketAddrV4> {
        match self.socket.local_addr()? {
            SocketAddr::V4(local) => Ok(local),
            SocketAddr::V6(_) => Err(ErrorKind::Unsupported.into()),
        }
    }

    /// Descriptor that becomes readable when a message is pending.
    pub fn as_fd(&self) -> BorrowedFd<'_> {
        self.socket.as_fd()
    }

    /// Returns the next valid message, or none if no datagram is pending.
    pub fn receive(&self) -> Option<(SocketAddrV4, Message)> {
        let mut bytes = [0; MAX_DATAGRAM];
        loop {
            let (count, from) = match self.socket.recv_from(&mut bytes) {
                Ok((count, SocketAddr::V4(from))) => (count, from),
                Ok(_) => continue,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return None,
                // Errors caused by a peer that has ended are transient.
                Err(error) => {
                    log::debug!("peers: receiving failed: {error}");
                    return None;
                }
            };
            match message::decode(&bytes[..count]) {
                Ok(message) => return Some((from, message)),
                Err(error) => log::debug!("peers: invalid message from {from} dropped: {error}"),
            }
        }
    }

    /// Sends the pending messages of the membership. A message that can't be sent is lost
    /// like any datagram; the next heartbeat makes up for it.
    pub fn send(&self, fleet: &mut Fleet) {
        for Outgoing { to, bytes } in fleet.take_outgoing() {
            if let Err(error) = self.socket.send_to(&bytes, to) {
                log::debug!("peers: sending to {to} failed: {error}");
            }
        }
    }
}
