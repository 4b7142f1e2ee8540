//! Whole pictures between instances: all that one knows, told to another over TCP.
//!
//! One thread tells whoever asks and asks where something is lacking here. When hundreds
//! start together, each needs a picture, which takes a part of a second on a narrow link. So
//! few are told at once, by connections that hold nobody else up, and whoever is one too many
//! is turned away at once and asks another instance
//! ([`Fleet::pull_failed`](medlarspur_marked::Fleet::pull_failed)). All who wait for the same
//! picture share one copy of it.
//!
//! Whoever asks sends the revision that it knows, 4 bytes of its era and 8 of its count; the
//! answer is its size, 4 bytes, and the news. Numbers are big-endian.

use super::inbox::{self, Delivery, Event, Inbox, Sender};
use medlarspur_fabric::stream::{connect, is_decided, poll_until};
use medlarspur_marked::{
    News, Revision,
    message::{self, MessageError},
};
use nix::poll::{PollFd, PollFlags};
use snafu::{ResultExt, Snafu, ensure};
use std::{
    io::{self, ErrorKind, Read, Write},
    net::{SocketAddrV4, TcpListener, TcpStream},
    os::fd::AsFd,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// How many are told at once. A picture of 6,000 targets has some 300 KB, so that four take
/// half a second of a link of 20 Mbit/s.
pub const MAX_TRANSFERS: usize = 4;
/// How many pictures are asked for at once.
const MAX_PULLS: usize = 4;
/// How long a connection to another instance may take to open; the longest round trip between
/// failure domains of a region is some 3 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a connection may stand still after that: half a megabyte over the narrowest link
/// known, 10 Mbit/s, beside others.
const STALL_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a connection may take to say what it knows before it makes room for another one.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(20);
/// The largest picture that is taken, in bytes: some 60 bytes for each of
/// 5,600 targets and 3,400 routes, with much room.
const MAX_UPDATE_SIZE: u32 = 8 << 20;
/// Pictures are not on the stack.
const STACK_SIZE: usize = 64 << 10;

/// How many bytes say what is known.
const REQUEST_SIZE: usize = 12;

/// Why a picture was not passed on.
#[derive(Debug, Snafu)]
enum TransferError {
    #[snafu(display("the connection failed"))]
    Connection { source: io::Error },
    #[snafu(display("the other end stands still"))]
    Stalled,
    #[snafu(display("it has {size} bytes, more than {MAX_UPDATE_SIZE}"))]
    Oversize { size: u32 },
    #[snafu(display("it can't be understood"))]
    Message { source: MessageError },
}

/// What the thread is to do.
#[derive(Debug)]
pub enum Command {
    /// Ask that instance for what has changed since a revision.
    Pull(SocketAddrV4, Revision),
    /// Tell those who wait for it what has changed since a revision.
    Send(Revision, News),
}

/// Hands orders to the thread.
#[derive(Debug, Clone)]
pub struct UpdateExchange {
    commands: Sender<Command>,
}

impl UpdateExchange {
    /// Serves pictures at an address and asks others for theirs.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound or the system gives no thread.
    pub fn start(address: SocketAddrV4, sender: Sender) -> io::Result<UpdateExchange> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let (commands, inbox) = inbox::channel()?;
        let exchange = ExchangeThread {
            listener,
            inbox,
            sender,
            commands: commands.clone(),
            requested: None,
            transfers: Vec::new(),
            pulls: Vec::new(),
        };
        let thread = thread::Builder::new().name("pictures".to_owned()).stack_size(STACK_SIZE);
        thread.spawn(move || exchange.run())?;
        Ok(UpdateExchange { commands })
    }

    /// Asks another instance for what has changed since `known`, without waiting. The main
    /// thread gets [`Event::Pulled`] or [`Event::PullFailed`].
    pub fn pull(&self, from: SocketAddrV4, known: Revision) {
        if self.commands.send(Command::Pull(from, known)) != Delivery::Queued {
            log::warn!("pictures: {from} is not asked, too much waits");
        }
    }
}

/// The thread.
struct ExchangeThread {
    listener: TcpListener,
    inbox: Inbox<Command>,
    sender: Sender,
    commands: Sender<Command>,
    /// Since which revision the main thread is asked for news, and until when that holds.
    requested: Option<(Revision, Instant)>,
    transfers: Vec<Transfer>,
    pulls: Vec<Pull>,
}

impl ExchangeThread {
    fn run(mut self) {
        loop {
            if let Err(error) = self.wait() {
                return log::error!("pictures: none is told any more: {error}");
            }
            let now = Instant::now();
            for command in self.inbox.drain().collect::<Vec<_>>() {
                match command {
                    Command::Pull(from, known) => self.start_pull(from, known, now),
                    Command::Send(known, update) => self.send_update(known, &update, now),
                }
            }
            self.accept(now);
            self.advance_transfers(now);
            self.advance_pulls(now);
            self.request_update(now);
        }
    }

    fn wait(&self) -> io::Result<()> {
        let deadlines = self
            .transfers
            .iter()
            .map(|it| it.deadline)
            .chain(self.pulls.iter().map(|it| it.deadline));
        let own = [self.inbox.wake_fd(), self.listener.as_fd()];
        let own = own.map(|fd| PollFd::new(fd, PollFlags::POLLIN));
        let transfers =
            self.transfers.iter().map(|it| PollFd::new(it.stream.as_fd(), it.poll_flags()));
        let pulls = self.pulls.iter().map(|it| PollFd::new(it.stream.as_fd(), it.poll_flags()));
        let mut fds: Vec<PollFd<'_>> = own.into_iter().chain(transfers).chain(pulls).collect();
        poll_until(&mut fds, deadlines.min())
    }

    /// Takes new connections. One that has not said for a while what it knows makes room, so
    /// that nobody who says nothing keeps others out; else one too many is ended.
    fn accept(&mut self, now: Instant) {
        loop {
            let stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) => return log::debug!("pictures: a connection is not taken: {error}"),
            };
            if self.transfers.len() >= MAX_TRANSFERS {
                let silent = |it: &Transfer| {
                    matches!(it.stage, TransferStage::Request { .. })
                        && it.deadline <= now + (STALL_TIMEOUT - REQUEST_TIMEOUT)
                };
                match self.transfers.iter().position(silent) {
                    Some(position) => drop(self.transfers.remove(position)),
                    None => continue,
                }
            }
            if let Err(error) = stream.set_nonblocking(true) {
                log::debug!("pictures: a connection is not taken: {error}");
                continue;
            }
            let stage = TransferStage::Request { known: [0; REQUEST_SIZE], filled: 0 };
            self.transfers.push(Transfer { stream, stage, deadline: now + STALL_TIMEOUT });
        }
    }

    /// Asks the main thread for the next picture that somebody waits for.
    fn request_update(&mut self, now: Instant) {
        if self.requested.is_some_and(|(_, until)| now < until) {
            return;
        }
        let known = self.transfers.iter().find_map(|it| match it.stage {
            TransferStage::Waiting { known } => Some(known),
            _ => None,
        });
        let Some(known) = known else { return };
        let reply = self.commands.clone();
        if self.sender.send(Event::PullRequested { known, reply }) == Delivery::Queued {
            self.requested = Some((known, now + STALL_TIMEOUT));
        }
    }

    /// Begins to tell all who wait for that news. Whoever knows nothing has none to tell.
    fn send_update(&mut self, since: Revision, update: &News, now: Instant) {
        self.requested = None;
        let encoded = match update.revision > Revision::default() {
            true => message::encode_news(update).context(MessageSnafu),
            false => Ok(Vec::new()),
        };
        let bytes: Arc<[u8]> = match encoded {
            Ok(bytes) => bytes.into(),
            Err(error) => return log::warn!("pictures: none can be told: {error}"),
        };
        let is_for =
            |it: &Transfer| matches!(it.stage, TransferStage::Waiting { known } if known == since);
        if bytes.is_empty() {
            return self.transfers.retain(|it| !is_for(it));
        }
        for it in self.transfers.iter_mut().filter(|it| is_for(it)) {
            it.stage = TransferStage::Sending { bytes: bytes.clone(), sent: 0 };
            it.deadline = now + STALL_TIMEOUT;
        }
    }

    fn advance_transfers(&mut self, now: Instant) {
        self.transfers.retain_mut(|it| match it.advance(now) {
            Ok(is_done) => !is_done,
            Err(error) => {
                log::debug!("pictures: one was not told: {error}");
                false
            }
        });
    }

    fn start_pull(&mut self, from: SocketAddrV4, known: Revision, now: Instant) {
        let pull = match self.pulls.len() < MAX_PULLS {
            true => Pull::begin(from, known, now),
            false => Err(io::Error::from(ErrorKind::QuotaExceeded)),
        };
        match pull {
            Ok(pull) => self.pulls.push(pull),
            Err(error) => {
                log::debug!("pictures: {from} is not asked: {error}");
                self.sender.send(Event::PullFailed(from));
            }
        }
    }

    fn advance_pulls(&mut self, now: Instant) {
        let sender = &self.sender;
        self.pulls.retain_mut(|it| {
            let from = it.from;
            let event = match it.advance(now) {
                Ok(None) => return true,
                Ok(Some(update)) => Event::Pulled { from, update },
                Err(error) => {
                    log::debug!("pictures: none from {from}: {error}");
                    Event::PullFailed(from)
                }
            };
            if sender.send(event) == Delivery::Full {
                log::warn!("pictures: what {from} said is lost, the inbox is full");
            }
            false
        });
    }
}

/// A connection by which another instance asks for a picture.
struct Transfer {
    stream: TcpStream,
    stage: TransferStage,
    deadline: Instant,
}

/// How far it has come.
enum TransferStage {
    /// The other one says what it knows.
    Request { known: [u8; REQUEST_SIZE], filled: usize },
    /// The main thread is asked for the picture.
    Waiting { known: Revision },
    /// It is told.
    Sending { bytes: Arc<[u8]>, sent: usize },
}

impl Transfer {
    fn poll_flags(&self) -> PollFlags {
        match self.stage {
            TransferStage::Request { .. } => PollFlags::POLLIN,
            TransferStage::Waiting { .. } => PollFlags::empty(),
            TransferStage::Sending { .. } => PollFlags::POLLOUT,
        }
    }

    /// Does what can be done by now; tells whether all is done.
    fn advance(&mut self, now: Instant) -> Result<bool, TransferError> {
        let moved = match &mut self.stage {
            TransferStage::Request { known, filled } => {
                let count = moved_bytes(self.stream.read(&mut known[*filled..]))?;
                *filled += count;
                if *filled == known.len() {
                    let known = decode_known(*known);
                    self.stage = TransferStage::Waiting { known };
                }
                count
            }
            TransferStage::Waiting { .. } => {
                // Whoever has gone is noticed, or its socket would stay ready for nothing.
                moved_bytes(self.stream.peek(&mut [0]))?;
                0
            }
            TransferStage::Sending { bytes, sent } => {
                let size = (bytes.len() as u32).to_be_bytes();
                let rest = match sent.checked_sub(size.len()) {
                    None => &size[*sent..],
                    Some(at) => &bytes[at..],
                };
                let count = moved_bytes(self.stream.write(rest))?;
                *sent += count;
                if *sent == size.len() + bytes.len() {
                    return Ok(true);
                }
                count
            }
        };
        if moved > 0 {
            self.deadline = now + STALL_TIMEOUT;
        }
        ensure!(now < self.deadline, StalledSnafu);
        Ok(false)
    }
}

/// A connection by which another instance is asked for a picture.
struct Pull {
    from: SocketAddrV4,
    stream: TcpStream,
    /// What is still to be said of what is known here.
    known: Option<[u8; REQUEST_SIZE]>,
    response: Response,
    deadline: Instant,
}

/// How much has come of an answer.
enum Response {
    Size { bytes: [u8; 4], filled: usize },
    Snapshot { bytes: Vec<u8>, filled: usize },
}

impl Pull {
    fn begin(from: SocketAddrV4, known: Revision, now: Instant) -> io::Result<Pull> {
        let known = Some(encode_known(known));
        let stream = connect(from)?;
        let response = Response::Size { bytes: [0; 4], filled: 0 };
        Ok(Pull { from, stream, known, response, deadline: now + CONNECT_TIMEOUT })
    }

    fn poll_flags(&self) -> PollFlags {
        if self.known.is_some() { PollFlags::POLLOUT } else { PollFlags::POLLIN }
    }

    /// Does what can be done by now; tells the news once all of it is there.
    fn advance(&mut self, now: Instant) -> Result<Option<News>, TransferError> {
        if let Some(known) = self.known {
            if is_decided(&self.stream) {
                if let Some(error) = self.stream.take_error().context(ConnectionSnafu)? {
                    return Err(error).context(ConnectionSnafu);
                }
                self.stream.write_all(&known).context(ConnectionSnafu)?;
                self.known = None;
                self.deadline = now + STALL_TIMEOUT;
            }
        } else if self.receive()? > 0 {
            self.deadline = now + STALL_TIMEOUT;
        }
        if let Response::Snapshot { bytes, filled } = &self.response
            && *filled == bytes.len()
        {
            return message::decode_news(bytes).context(MessageSnafu).map(Some);
        }
        ensure!(now < self.deadline, StalledSnafu);
        Ok(None)
    }

    /// Takes what has come of the answer.
    fn receive(&mut self) -> Result<usize, TransferError> {
        match &mut self.response {
            Response::Size { bytes, filled } => {
                let count = moved_bytes(self.stream.read(&mut bytes[*filled..]))?;
                *filled += count;
                if *filled == bytes.len() {
                    let size = u32::from_be_bytes(*bytes);
                    ensure!(size <= MAX_UPDATE_SIZE, OversizeSnafu { size });
                    self.response = Response::Snapshot { bytes: vec![0; size as usize], filled: 0 };
                }
                Ok(count)
            }
            Response::Snapshot { bytes, filled } => {
                let count = moved_bytes(self.stream.read(&mut bytes[*filled..]))?;
                *filled += count;
                Ok(count)
            }
        }
    }
}

fn encode_known(known: Revision) -> [u8; REQUEST_SIZE] {
    let mut bytes = [0; REQUEST_SIZE];
    bytes[..4].copy_from_slice(&known.era.to_be_bytes());
    bytes[4..].copy_from_slice(&known.count.to_be_bytes());
    bytes
}

fn decode_known(bytes: [u8; REQUEST_SIZE]) -> Revision {
    let [a, b, c, d, count @ ..] = bytes;
    Revision::new(u32::from_be_bytes([a, b, c, d]), u64::from_be_bytes(count))
}

/// How many bytes were moved; none if that would have blocked.
fn moved_bytes(result: io::Result<usize>) -> Result<usize, TransferError> {
    match result {
        Ok(0) => Err(io::Error::from(ErrorKind::UnexpectedEof)).context(ConnectionSnafu),
        Ok(count) => Ok(count),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(0),
        Err(error) => Err(error).context(ConnectionSnafu),
    }
}
