//! Pulls of updates between instances over TCP, up to snapshots of the whole catalog.
//!
//! One thread serves pulls of other instances and makes those of this one. When hundreds of
//! instances start together, each needs a snapshot, whose transfer takes a part of a second on a
//! narrow link. So only a few transfers run at once, on connections that don't block each other.
//! Requesters beyond that are rejected immediately and pull from another instance
//! ([`Fleet::pull_failed`](medlarspur_marked::Fleet::pull_failed)). Requesters of the same update
//! share one encoded copy.
//!
//! A request is the revision that the requester knows, 4 bytes of era and 8 bytes of count. The
//! response is the size, 4 bytes, and the update. Numbers are big-endian.

use super::inbox::{self, Delivery, Event, Inbox, Sender};
use medlarspur_fabric::stream::{connect, is_connect_finished, poll_until};
use medlarspur_marked::{
    Revision, Update,
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

/// Maximum number of concurrent transfers to other instances. A snapshot of 6,000 targets has
/// some 300 KB, so that four transfers occupy a link of 20 Mbit/s for half a second.
pub const MAX_TRANSFERS: usize = 4;
/// Maximum number of concurrent pulls from other instances.
const MAX_PULLS: usize = 4;
/// Timeout for opening a connection to another instance. The longest round trip between failure
/// domains of a region is some 3 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout for a connection without progress. Half a megabyte over the narrowest known link, of
/// 10 Mbit/s and shared with others, takes about as long.
const STALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time in which a connection must send its request; after that it may be replaced by a new one.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(20);
/// Maximum size of an accepted update, in bytes. A snapshot has some 60 bytes for each target and
/// route, so that 5,600 targets and 3,400 routes stay far below the limit.
const MAX_UPDATE_SIZE: u32 = 8 << 20;
/// Stack size of the thread, in bytes. Updates are on the heap.
const STACK_SIZE: usize = 64 << 10;

/// Size of a request, in bytes.
const REQUEST_SIZE: usize = 12;

/// Reasons why an update was not transferred.
#[derive(Debug, Snafu)]
enum TransferError {
    #[snafu(display("the connection failed"))]
    Connection { source: io::Error },
    #[snafu(display("the other end makes no progress"))]
    Stalled,
    #[snafu(display("the update has {size} bytes, at most {MAX_UPDATE_SIZE} are allowed"))]
    Oversize { size: u32 },
    #[snafu(display("the update can't be encoded or decoded"))]
    Message { source: MessageError },
}

/// Command for the thread.
#[derive(Debug)]
pub enum Command {
    /// Pull the changes since a revision from this instance.
    Pull(SocketAddrV4, Revision),
    /// Send this update to all requesters that wait for the changes since a revision.
    Send(Revision, Update),
}

/// Handle of the thread.
#[derive(Debug, Clone)]
pub struct UpdateExchange {
    commands: Sender<Command>,
}

impl UpdateExchange {
    /// Starts a thread that serves pulls at an address and makes pulls from others.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound or the thread can't be started.
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

    /// Requests a pull of the changes since `known`, without waiting. The main thread receives
    /// [`Event::Pulled`] or [`Event::PullFailed`].
    pub fn pull(&self, from: SocketAddrV4, known: Revision) {
        if self.commands.send(Command::Pull(from, known)) != Delivery::Queued {
            log::warn!("pictures: pull from {from} dropped, the queue is full");
        }
    }
}

/// The thread that serves and makes pulls.
struct ExchangeThread {
    listener: TcpListener,
    inbox: Inbox<Command>,
    sender: Sender,
    commands: Sender<Command>,
    /// The revision since which an update was requested from the main thread, and the deadline
    /// after which it may be requested again.
    requested: Option<(Revision, Instant)>,
    transfers: Vec<Transfer>,
    pulls: Vec<Pull>,
}

impl ExchangeThread {
    fn run(mut self) {
        loop {
            if let Err(error) = self.wait() {
                return log::error!("pictures: pulls are no longer served or made: {error}");
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

    /// Accepts new connections. At the limit, a connection whose request is overdue is replaced by
    /// the new one, so that silent connections don't lock others out. If there is none, the new
    /// connection is closed.
    fn accept(&mut self, now: Instant) {
        loop {
            let stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) => {
                    return log::debug!("pictures: accepting a connection failed: {error}");
                }
            };
            if self.transfers.len() >= MAX_TRANSFERS {
                let is_silent = |it: &Transfer| {
                    matches!(it.stage, TransferStage::Request { .. })
                        && it.deadline <= now + (STALL_TIMEOUT - REQUEST_TIMEOUT)
                };
                match self.transfers.iter().position(is_silent) {
                    Some(position) => drop(self.transfers.remove(position)),
                    None => continue,
                }
            }
            if let Err(error) = stream.set_nonblocking(true) {
                log::debug!("pictures: accepting a connection failed: {error}");
                continue;
            }
            let stage = TransferStage::Request { known: [0; REQUEST_SIZE], filled: 0 };
            self.transfers.push(Transfer { stream, stage, deadline: now + STALL_TIMEOUT });
        }
    }

    /// Requests the next update that a requester waits for from the main thread.
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

    /// Begins to send the update to all requesters that wait for it. An instance that knows nothing
    /// yet closes their connections instead.
    fn send_update(&mut self, since: Revision, update: &Update, now: Instant) {
        self.requested = None;
        let encoded = match update.revision > Revision::default() {
            true => message::encode_update(update).context(MessageSnafu),
            false => Ok(Vec::new()),
        };
        let bytes: Arc<[u8]> = match encoded {
            Ok(bytes) => bytes.into(),
            Err(error) => return log::warn!("pictures: encoding an update failed: {error}"),
        };
        let is_waiting =
            |it: &Transfer| matches!(it.stage, TransferStage::Waiting { known } if known == since);
        if bytes.is_empty() {
            return self.transfers.retain(|it| !is_waiting(it));
        }
        for it in self.transfers.iter_mut().filter(|it| is_waiting(it)) {
            it.stage = TransferStage::Sending { bytes: bytes.clone(), sent: 0 };
            it.deadline = now + STALL_TIMEOUT;
        }
    }

    fn advance_transfers(&mut self, now: Instant) {
        self.transfers.retain_mut(|it| match it.advance(now) {
            Ok(is_done) => !is_done,
            Err(error) => {
                log::debug!("pictures: sending an update failed: {error}");
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
                log::debug!("pictures: pull from {from} failed to start: {error}");
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
                    log::debug!("pictures: pull from {from} failed: {error}");
                    Event::PullFailed(from)
                }
            };
            if sender.send(event) == Delivery::Full {
                log::warn!("pictures: result of the pull from {from} lost, the inbox is full");
            }
            false
        });
    }
}

/// A connection on which another instance pulls an update.
struct Transfer {
    stream: TcpStream,
    stage: TransferStage,
    deadline: Instant,
}

/// Stage of a transfer.
enum TransferStage {
    /// The request is being received.
    Request { known: [u8; REQUEST_SIZE], filled: usize },
    /// The update has yet to come from the main thread.
    Waiting { known: Revision },
    /// The update is being sent.
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

    /// Makes progress without blocking. Returns whether the transfer is complete.
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
                // Detects a closed connection, whose socket would otherwise stay ready and
                // keep the thread busy.
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

/// A connection on which this instance pulls an update from another one.
struct Pull {
    from: SocketAddrV4,
    stream: TcpStream,
    /// The request, until it is sent.
    request: Option<[u8; REQUEST_SIZE]>,
    response: Response,
    deadline: Instant,
}

/// The part of a response that is being received.
enum Response {
    Size { bytes: [u8; 4], filled: usize },
    Body { bytes: Vec<u8>, filled: usize },
}

impl Pull {
    fn begin(from: SocketAddrV4, known: Revision, now: Instant) -> io::Result<Pull> {
        let request = Some(encode_known(known));
        let stream = connect(from)?;
        let response = Response::Size { bytes: [0; 4], filled: 0 };
        Ok(Pull { from, stream, request, response, deadline: now + CONNECT_TIMEOUT })
    }

    fn poll_flags(&self) -> PollFlags {
        if self.request.is_some() { PollFlags::POLLOUT } else { PollFlags::POLLIN }
    }

    /// Makes progress without blocking. Returns the update when it is complete.
    fn advance(&mut self, now: Instant) -> Result<Option<Update>, TransferError> {
        if let Some(request) = self.request {
            if is_connect_finished(&self.stream) {
                if let Some(error) = self.stream.take_error().context(ConnectionSnafu)? {
                    return Err(error).context(ConnectionSnafu);
                }
                self.stream.write_all(&request).context(ConnectionSnafu)?;
                self.request = None;
                self.deadline = now + STALL_TIMEOUT;
            }
        } else if self.receive()? > 0 {
            self.deadline = now + STALL_TIMEOUT;
        }
        if let Response::Body { bytes, filled } = &self.response
            && *filled == bytes.len()
        {
            return message::decode_update(bytes).context(MessageSnafu).map(Some);
        }
        ensure!(now < self.deadline, StalledSnafu);
        Ok(None)
    }

    /// Receives a part of the response. Returns the number of bytes received.
    fn receive(&mut self) -> Result<usize, TransferError> {
        match &mut self.response {
            Response::Size { bytes, filled } => {
                let count = moved_bytes(self.stream.read(&mut bytes[*filled..]))?;
                *filled += count;
                if *filled == bytes.len() {
                    let size = u32::from_be_bytes(*bytes);
                    ensure!(size <= MAX_UPDATE_SIZE, OversizeSnafu { size });
                    self.response = Response::Body { bytes: vec![0; size as usize], filled: 0 };
                }
                Ok(count)
            }
            Response::Body { bytes, filled } => {
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

/// Returns the number of bytes read or written, 0 if the operation would have blocked.
fn moved_bytes(result: io::Result<usize>) -> Result<usize, TransferError> {
    match result {
        Ok(0) => Err(io::Error::from(ErrorKind::UnexpectedEof)).context(ConnectionSnafu),
        Ok(count) => Ok(count),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(0),
        Err(error) => Err(error).context(ConnectionSnafu),
    }
}
