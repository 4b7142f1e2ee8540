//! Messages to and from other instances: datagrams by the main thread, whole
//! pictures by threads of their own.

use super::inbox::{Delivery, Event, Sender};
use medlarspur_marked::{
    Fleet, News, Outgoing, Revision,
    message::{self, MAX_DATAGRAM, Message, MessageError},
};
use snafu::{ResultExt, Snafu};
use std::{
    io::{self, ErrorKind, Read, Write},
    net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    os::fd::{AsFd, BorrowedFd},
    sync::mpsc::sync_channel,
    thread,
    time::Duration,
};

/// How long each step of passing on a picture may take: half a megabyte over
/// the narrowest link known, 10 Mbit/s.
const STEP: Duration = Duration::from_millis(800);
/// The largest picture that is taken, in bytes: some 60 bytes for each of
/// 5,600 targets and 3,400 routes, with much room.
const MAX_PICTURE: u32 = 8 << 20;
/// The threads hold no more than a picture's buffer, which is not on the stack.
const STACK: usize = 64 << 10;

/// Why a picture was not passed on.
#[derive(Debug, Snafu)]
enum PictureError {
    #[snafu(display("the connection failed"))]
    Connection { source: io::Error },
    #[snafu(display("it has {size} bytes, more than {MAX_PICTURE}"))]
    Oversize { size: u32 },
    #[snafu(display("it can't be understood"))]
    Message { source: MessageError },
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

/// Serves pictures to other instances on a thread of its own.
pub fn serve(address: SocketAddrV4, sender: Sender) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let run = move || {
        for stream in listener.incoming() {
            let told = stream.context(ConnectionSnafu).and_then(|stream| tell(stream, &sender));
            if let Err(error) = told {
                log::debug!("peers: a picture was not told: {error}");
            }
        }
    };
    thread::Builder::new().name("pictures".to_owned()).stack_size(STACK).spawn(run)?;
    Ok(())
}

fn tell(mut stream: TcpStream, sender: &Sender) -> Result<(), PictureError> {
    limit(&stream).context(ConnectionSnafu)?;
    let mut known = [0; 8];
    stream.read_exact(&mut known).context(ConnectionSnafu)?;
    let (reply, picture) = sync_channel(1);
    sender.send(Event::Asked { known: Revision(u64::from_be_bytes(known)), reply });
    let news: News = match picture.recv_timeout(STEP) {
        Ok(news) => news,
        Err(_) => return Err(io::Error::from(ErrorKind::TimedOut)).context(ConnectionSnafu),
    };
    let bytes = message::encode_news(&news).context(MessageSnafu)?;
    stream.write_all(&(bytes.len() as u32).to_be_bytes()).context(ConnectionSnafu)?;
    stream.write_all(&bytes).context(ConnectionSnafu)
}

/// Asks another instance for what has changed since `known`, without waiting.
pub fn pull(from: SocketAddrV4, known: Revision, sender: &Sender) {
    let sender = sender.clone();
    let run = move || match ask(from, known) {
        Ok(news) => {
            if sender.send(Event::Told { from, news }) == Delivery::Full {
                log::warn!("peers: the picture of {from} is lost, the inbox is full");
            }
        }
        Err(error) => log::debug!("peers: no picture from {from}: {error}"),
    };
    let thread = thread::Builder::new().name("pull".to_owned()).stack_size(STACK);
    if let Err(error) = thread.spawn(run) {
        log::warn!("peers: {from} is not asked: {error}");
    }
}

fn ask(from: SocketAddrV4, known: Revision) -> Result<News, PictureError> {
    let stream = TcpStream::connect_timeout(&from.into(), STEP);
    let mut stream = stream.context(ConnectionSnafu)?;
    limit(&stream).context(ConnectionSnafu)?;
    stream.write_all(&known.0.to_be_bytes()).context(ConnectionSnafu)?;
    let mut size = [0; 4];
    stream.read_exact(&mut size).context(ConnectionSnafu)?;
    let size = u32::from_be_bytes(size);
    snafu::ensure!(size <= MAX_PICTURE, OversizeSnafu { size });
    let mut bytes = vec![0; size as usize];
    stream.read_exact(&mut bytes).context(ConnectionSnafu)?;
    message::decode_news(&bytes).context(MessageSnafu)
}

fn limit(stream: &TcpStream) -> io::Result<()> {
    stream.set_read_timeout(Some(STEP))?;
    stream.set_write_timeout(Some(STEP))
}
