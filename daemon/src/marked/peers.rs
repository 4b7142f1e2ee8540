//! Messages to and from other instances, as datagrams by the main thread.

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

/// How often a port is sought that is free for both UDP and TCP, where the
/// settings leave the port to the system.
const PORT_TRIES: usize = 20;

/// The other instances, with the ways to talk to them.
#[derive(Debug)]
pub struct Peers {
    /// What is believed of them.
    pub fleet: Fleet,
    /// For datagrams.
    pub socket: ControlSocket,
    /// For what is too large for one.
    pub exchange: UpdateExchange,
}

impl Peers {
    /// Binds the control address for datagrams and for pictures.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound or the system gives no thread.
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

/// The socket for datagrams.
#[derive(Debug)]
pub struct ControlSocket {
    socket: UdpSocket,
}

impl ControlSocket {
    /// Binds the address.
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

    /// Becomes readable when a message waits.
    pub fn as_fd(&self) -> BorrowedFd<'_> {
        self.socket.as_fd()
    }

    /// Takes the next message that can be understood.
    pub fn receive(&self) -> Option<(SocketAddrV4, Message)> {
        let mut bytes = [0; MAX_DATAGRAM];
        loop {
            let (count, from) = match self.socket.recv_from(&mut bytes) {
                Ok((count, SocketAddr::V4(from))) => (count, from),
                Ok(_) => continue,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return None,
                // What a peer that has gone causes passes by itself.
                Err(error) => {
                    log::debug!("peers: {error}");
                    return None;
                }
            };
            match message::decode(&bytes[..count]) {
                Ok(message) => return Some((from, message)),
                Err(error) => log::debug!("peers: a message of {from} is not taken: {error}"),
            }
        }
    }

    /// Sends what the fleet has to say. What can't be sent is lost like any
    /// datagram; the next heartbeat makes up for it.
    pub fn send(&self, fleet: &mut Fleet) {
        for Outgoing { to, bytes } in fleet.take_outgoing() {
            if let Err(error) = self.socket.send_to(&bytes, to) {
                log::debug!("peers: nothing is sent to {to}: {error}");
            }
        }
    }
}
