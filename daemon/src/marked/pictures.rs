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

/// How many are told at once. A picture of 6,000 targets has some 300 KB, so that four take
/// half a second of a link of 20 Mbit/s.
pub const MAX_TOLD: usize = 4;
/// How many pictures are asked for at once.
const MAX_PULLS: usize = 4;
/// How long a connection to another instance may take to open; the longest round trip between
/// failure domains of a region is some 3 ms.
const CONNECT: Duration = Duration::from_millis(150);
/// How long a connection may stand still after that: half a megabyte over the narrowest link
/// known, 10 Mbit/s, beside others.
const STALL: Duration = Duration::from_millis(800);
/// How long a connection may take to say what it knows before it makes room for another one.
const GREETING: Duration = Duration::from_millis(20);
/// The largest picture that is taken, in bytes: some 60 bytes for each of
/// 5,600 targets and 3,400 routes, with much room.
const MAX_PICTURE: u32 = 8 << 20;
/// Pictures are not on the stack.
const STACK: usize = 64 << 10;

/// How many bytes say what is known.
const KNOWN: usize = 12;

/// Why a picture was not passed on.
#[derive(Debug, Snafu)]
enum PictureError {
    #[snafu(display("the connection failed"))]
    Connection { source: io::Error },
    #[snafu(display("the other end stands still"))]
    Stalled,
    #[snafu(display("it has {size} bytes, more than {MAX_PICTURE}"))]
    Oversize { size: u32 },
    #[snafu(display("it can't be understood"))]
    Message { source: MessageError },
}

/// What the thread is to do.
#[derive(Debug)]
pub enum Order {
    /// Ask that instance for what has changed since a revision.
    Pull(SocketAddrV4, Revision),
    /// Tell those who wait for it what has changed since a revision.
    Tell(Revision, Update),
}

/// Hands orders to the thread.
#[derive(Debug, Clone)]
pub struct Pictures {
    orders: Sender<Order>,
}

impl Pictures {
    /// Serves pictures at an address and asks others for theirs.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound or the system gives no thread.
    pub fn start(address: SocketAddrV4, sender: Sender) -> io::Result<Pictures> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let (orders, inbox) = inbox::channel()?;
        let exchange = Exchange {
            listener,
            inbox,
            sender,
            orders: orders.clone(),
            asked: None,
            tellings: Vec::new(),
            pulls: Vec::new(),
        };
        let thread = thread::Builder::new().name("pictures".to_owned()).stack_size(STACK);
        thread.spawn(move || exchange.run())?;
        Ok(Pictures { orders })
    }

    /// Asks another instance for what has changed since `known`, without waiting. The main
    /// thread gets [`Event::Told`] or [`Event::NotTold`].
    pub fn pull(&self, from: SocketAddrV4, known: Revision) {
        if self.orders.send(Order::Pull(from, known)) != Delivery::Taken {
            log::warn!("pictures: {from} is not asked, too much waits");
        }
    }
}

/// The thread.
struct Exchange {
    listener: TcpListener,
    inbox: Inbox<Order>,
    sender: Sender,
    orders: Sender<Order>,
    /// Since which revision the main thread is asked for news, and until when that holds.
    asked: Option<(Revision, Instant)>,
    tellings: Vec<Telling>,
    pulls: Vec<Pull>,
}

impl Exchange {
    fn run(mut self) {
        loop {
            if let Err(error) = self.wait() {
                return log::error!("pictures: none is told any more: {error}");
            }
            let now = Instant::now();
            for order in self.inbox.drain().collect::<Vec<_>>() {
                match order {
                    Order::Pull(from, known) => self.pull(from, known, now),
                    Order::Tell(known, news) => self.tell(known, &news, now),
                }
            }
            self.accept(now);
            self.advance_tellings(now);
            self.advance_pulls(now);
            self.ask(now);
        }
    }

    fn wait(&self) -> io::Result<()> {
        let dues = self.tellings.iter().map(|it| it.due).chain(self.pulls.iter().map(|it| it.due));
        let own = [self.inbox.waker(), self.listener.as_fd()];
        let own = own.map(|fd| PollFd::new(fd, PollFlags::POLLIN));
        let tellings = self.tellings.iter().map(|it| PollFd::new(it.stream.as_fd(), it.awaits()));
        let pulls = self.pulls.iter().map(|it| PollFd::new(it.stream.as_fd(), it.awaits()));
        let mut fds: Vec<PollFd<'_>> = own.into_iter().chain(tellings).chain(pulls).collect();
        poll_until(&mut fds, dues.min())
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
            if self.tellings.len() >= MAX_TOLD {
                let silent = |it: &Telling| {
                    matches!(it.stage, Stage::Asked { .. }) && it.due <= now + (STALL - GREETING)
                };
                match self.tellings.iter().position(silent) {
                    Some(position) => drop(self.tellings.remove(position)),
                    None => continue,
                }
            }
            if let Err(error) = stream.set_nonblocking(true) {
                log::debug!("pictures: a connection is not taken: {error}");
                continue;
            }
            let stage = Stage::Asked { known: [0; KNOWN], filled: 0 };
            self.tellings.push(Telling { stream, stage, due: now + STALL });
        }
    }

    /// Asks the main thread for the next picture that somebody waits for.
    fn ask(&mut self, now: Instant) {
        if self.asked.is_some_and(|(_, until)| now < until) {
            return;
        }
        let known = self.tellings.iter().find_map(|it| match it.stage {
            Stage::Waits { known } => Some(known),
            _ => None,
        });
        let Some(known) = known else { return };
        let reply = self.orders.clone();
        if self.sender.send(Event::Asked { known, reply }) == Delivery::Taken {
            self.asked = Some((known, now + STALL));
        }
    }

    /// Begins to tell all who wait for that news. Whoever knows nothing has none to tell.
    fn tell(&mut self, since: Revision, news: &Update, now: Instant) {
        self.asked = None;
        let encoded = match news.revision > Revision::default() {
            true => message::encode_update(news).context(MessageSnafu),
            false => Ok(Vec::new()),
        };
        let bytes: Arc<[u8]> = match encoded {
            Ok(bytes) => bytes.into(),
            Err(error) => return log::warn!("pictures: none can be told: {error}"),
        };
        let is_for = |it: &Telling| matches!(it.stage, Stage::Waits { known } if known == since);
        if bytes.is_empty() {
            return self.tellings.retain(|it| !is_for(it));
        }
        for it in self.tellings.iter_mut().filter(|it| is_for(it)) {
            it.stage = Stage::Tells { bytes: bytes.clone(), sent: 0 };
            it.due = now + STALL;
        }
    }

    fn advance_tellings(&mut self, now: Instant) {
        self.tellings.retain_mut(|it| match it.advance(now) {
            Ok(is_done) => !is_done,
            Err(error) => {
                log::debug!("pictures: one was not told: {error}");
                false
            }
        });
    }

    fn pull(&mut self, from: SocketAddrV4, known: Revision, now: Instant) {
        let pull = match self.pulls.len() < MAX_PULLS {
            true => Pull::begin(from, known, now),
            false => Err(io::Error::from(ErrorKind::QuotaExceeded)),
        };
        match pull {
            Ok(pull) => self.pulls.push(pull),
            Err(error) => {
                log::debug!("pictures: {from} is not asked: {error}");
                self.sender.send(Event::NotTold(from));
            }
        }
    }

    fn advance_pulls(&mut self, now: Instant) {
        let sender = &self.sender;
        self.pulls.retain_mut(|it| {
            let from = it.from;
            let event = match it.advance(now) {
                Ok(None) => return true,
                Ok(Some(news)) => Event::Told { from, news },
                Err(error) => {
                    log::debug!("pictures: none from {from}: {error}");
                    Event::NotTold(from)
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
struct Telling {
    stream: TcpStream,
    stage: Stage,
    due: Instant,
}

/// How far it has come.
enum Stage {
    /// The other one says what it knows.
    Asked { known: [u8; KNOWN], filled: usize },
    /// The main thread is asked for the picture.
    Waits { known: Revision },
    /// It is told.
    Tells { bytes: Arc<[u8]>, sent: usize },
}

impl Telling {
    fn awaits(&self) -> PollFlags {
        match self.stage {
            Stage::Asked { .. } => PollFlags::POLLIN,
            Stage::Waits { .. } => PollFlags::empty(),
            Stage::Tells { .. } => PollFlags::POLLOUT,
        }
    }

    /// Does what can be done by now; tells whether all is done.
    fn advance(&mut self, now: Instant) -> Result<bool, PictureError> {
        let moved = match &mut self.stage {
            Stage::Asked { known, filled } => {
                let count = step(self.stream.read(&mut known[*filled..]))?;
                *filled += count;
                if *filled == known.len() {
                    let known = decode_known(*known);
                    self.stage = Stage::Waits { known };
                }
                count
            }
            Stage::Waits { .. } => {
                // Whoever has gone is noticed, or its socket would stay ready for nothing.
                step(self.stream.peek(&mut [0]))?;
                0
            }
            Stage::Tells { bytes, sent } => {
                let size = (bytes.len() as u32).to_be_bytes();
                let rest = match sent.checked_sub(size.len()) {
                    None => &size[*sent..],
                    Some(at) => &bytes[at..],
                };
                let count = step(self.stream.write(rest))?;
                *sent += count;
                if *sent == size.len() + bytes.len() {
                    return Ok(true);
                }
                count
            }
        };
        if moved > 0 {
            self.due = now + STALL;
        }
        ensure!(now < self.due, StalledSnafu);
        Ok(false)
    }
}

/// A connection by which another instance is asked for a picture.
struct Pull {
    from: SocketAddrV4,
    stream: TcpStream,
    /// What is still to be said of what is known here.
    known: Option<[u8; KNOWN]>,
    answer: Answer,
    due: Instant,
}

/// How much has come of an answer.
enum Answer {
    Size { bytes: [u8; 4], filled: usize },
    Picture { bytes: Vec<u8>, filled: usize },
}

impl Pull {
    fn begin(from: SocketAddrV4, known: Revision, now: Instant) -> io::Result<Pull> {
        let known = Some(encode_known(known));
        let stream = connect(from)?;
        let answer = Answer::Size { bytes: [0; 4], filled: 0 };
        Ok(Pull { from, stream, known, answer, due: now + CONNECT })
    }

    fn awaits(&self) -> PollFlags {
        if self.known.is_some() { PollFlags::POLLOUT } else { PollFlags::POLLIN }
    }

    /// Does what can be done by now; tells the news once all of it is there.
    fn advance(&mut self, now: Instant) -> Result<Option<Update>, PictureError> {
        if let Some(known) = self.known {
            if is_decided(&self.stream) {
                if let Some(error) = self.stream.take_error().context(ConnectionSnafu)? {
                    return Err(error).context(ConnectionSnafu);
                }
                self.stream.write_all(&known).context(ConnectionSnafu)?;
                self.known = None;
                self.due = now + STALL;
            }
        } else if self.take()? > 0 {
            self.due = now + STALL;
        }
        if let Answer::Picture { bytes, filled } = &self.answer
            && *filled == bytes.len()
        {
            return message::decode_update(bytes).context(MessageSnafu).map(Some);
        }
        ensure!(now < self.due, StalledSnafu);
        Ok(None)
    }

    /// Takes what has come of the answer.
    fn take(&mut self) -> Result<usize, PictureError> {
        match &mut self.answer {
            Answer::Size { bytes, filled } => {
                let count = step(self.stream.read(&mut bytes[*filled..]))?;
                *filled += count;
                if *filled == bytes.len() {
                    let size = u32::from_be_bytes(*bytes);
                    ensure!(size <= MAX_PICTURE, OversizeSnafu { size });
                    self.answer = Answer::Picture { bytes: vec![0; size as usize], filled: 0 };
                }
                Ok(count)
            }
            Answer::Picture { bytes, filled } => {
                let count = step(self.stream.read(&mut bytes[*filled..]))?;
                *filled += count;
                Ok(count)
            }
        }
    }
}

fn encode_known(known: Revision) -> [u8; KNOWN] {
    let mut bytes = [0; KNOWN];
    bytes[..4].copy_from_slice(&known.era.to_be_bytes());
    bytes[4..].copy_from_slice(&known.count.to_be_bytes());
    bytes
}

fn decode_known(bytes: [u8; KNOWN]) -> Revision {
    let [a, b, c, d, count @ ..] = bytes;
    Revision::new(u32::from_be_bytes([a, b, c, d]), u64::from_be_bytes(count))
}

/// How many bytes were moved; none if that would have blocked.
fn step(result: io::Result<usize>) -> Result<usize, PictureError> {
    match result {
        Ok(0) => Err(io::Error::from(ErrorKind::UnexpectedEof)).context(ConnectionSnafu),
        Ok(count) => Ok(count),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(0),
        Err(error) => Err(error).context(ConnectionSnafu),
    }
}
