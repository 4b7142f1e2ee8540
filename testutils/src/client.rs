//! The work of a caller, on a [`Host`] and without I/O.
//!
//! It checks every byte that it gets: an answer to somebody else, a gap in a
//! feed and a cut answer are told apart from an orderly end.

use crate::{
    host::{Conn, Host, Stage},
    server::body,
};
use medlarspur_lib::{bundle::Class, collections::Map, time::Millis};
use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddrV4},
};

/// One piece of work that a caller does over one connection.
#[derive(Debug, Clone)]
pub struct Work {
    /// Tells it from every other work of all callers.
    pub id: String,
    /// The service that has to answer.
    pub service: String,
    /// What kind of work it is.
    pub class: Class,
    /// Where the service is reached.
    pub remote: SocketAddrV4,
    /// The bytes of an upload.
    pub size: usize,
    /// How long a feed is held before the caller ends it.
    pub hold: Millis,
}

/// How a piece of work ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum End {
    /// The whole answer came, or the feed ran until the caller ended it.
    Completed,
    /// It was established and then reset, silent or cut short.
    Broken,
    /// It was turned away.
    Refused,
    /// Nothing answered the opening in time.
    Unanswered,
    /// The answer belongs to other work or another service.
    Wrong,
}

/// What became of a piece of work.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The work.
    pub work: Work,
    /// How it ended.
    pub end: End,
    /// The target that answered, once one has.
    pub target: Option<String>,
    /// From the opening to the first line of a feed or the whole answer.
    pub latency: Option<Millis>,
}

/// How long a caller waits.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    /// For the handshake.
    pub opening: Millis,
    /// For the next byte once established.
    pub silence: Millis,
}

impl Default for Patience {
    fn default() -> Self {
        Self { opening: Millis::secs(8), silence: Millis::secs(8) }
    }
}

/// How a line starts that turns work away.
const REFUSAL: &[&str] = &["REFUSED", "HTTP/1.1 503"];
/// The first port of a caller's own.
const FIRST_PORT: u16 = 20_000;

/// A caller with any number of connections.
pub struct Client {
    host: Host,
    patience: Patience,
    tasks: Map<Conn, Task>,
    alarms: BTreeSet<(Millis, Conn)>,
    outcomes: Vec<Outcome>,
    port: u16,
    now: Millis,
}

struct Task {
    work: Work,
    opened: Millis,
    heard: Millis,
    established: bool,
    input: Vec<u8>,
    output: Vec<u8>,
    target: Option<String>,
    latency: Option<Millis>,
    lines: u64,
    echoes: u64,
    expected: usize,
    closing: bool,
}

impl Client {
    /// Makes a caller with the address `addr`.
    pub fn new(addr: Ipv4Addr, patience: Patience) -> Self {
        Self {
            host: Host::new(addr),
            patience,
            tasks: Map::default(),
            alarms: BTreeSet::new(),
            outcomes: Vec::new(),
            port: FIRST_PORT,
            now: Millis(0),
        }
    }

    /// Starts a piece of work.
    pub fn open(&mut self, now: Millis, work: Work) -> Conn {
        self.now = self.now.max(now);
        let port = self.port;
        self.port = self.port.checked_add(1).unwrap_or(FIRST_PORT);
        let conn = self.host.connect(port, work.remote);
        self.alarms.insert((self.now + self.patience.opening, conn));
        self.tasks.insert(conn, Task::new(work, self.now));
        conn
    }

    /// Takes in a packet for this caller.
    pub fn receive(&mut self, packet: &[u8]) {
        self.host.receive(packet);
    }

    /// Does what is due at `now` and takes the packets for the fabric.
    pub fn poll(&mut self, now: Millis) -> Vec<Vec<u8>> {
        self.now = self.now.max(now);
        let mut packets = self.host.poll(self.now);
        for conn in self.host.ready() {
            self.advance(conn);
        }
        while let Some(&(due, conn)) = self.alarms.first()
            && due <= self.now
        {
            self.alarms.remove(&(due, conn));
            self.ring(conn);
        }
        packets.extend(self.host.poll(self.now));
        packets
    }

    /// When the next poll has work, if nothing is received before.
    pub fn next(&self) -> Option<Millis> {
        let alarm = self.alarms.first().map(|&(due, _)| due);
        [alarm, self.host.next()].into_iter().flatten().min()
    }

    /// Takes what has ended since the last call.
    pub fn outcomes(&mut self) -> Vec<Outcome> {
        std::mem::take(&mut self.outcomes)
    }

    /// How many pieces of work are under way.
    pub fn pending(&self) -> usize {
        self.tasks.len()
    }

    /// Ends every feed in an orderly way, as a caller does that goes home.
    pub fn hang_up(&mut self) {
        let feeds = self.tasks.iter().filter(|(_, task)| task.work.class == Class::Feed);
        let conns = feeds.map(|(&conn, _)| conn).collect::<Vec<_>>();
        for conn in conns {
            // One without its first line yet ends as soon as it has it.
            self.tasks.entry(conn).and_modify(|task| task.work.hold = Millis(0));
            self.end_feed(conn);
        }
    }

    fn advance(&mut self, conn: Conn) {
        let Some(task) = self.tasks.get_mut(&conn) else {
            return self.host.remove_over(conn);
        };
        let stage = self.host.stage(conn);
        match stage {
            Stage::Opening => return,
            Stage::Refused => return self.finish(conn, End::Refused),
            Stage::Open | Stage::Finished | Stage::Broken => {}
        }
        if !task.established {
            task.established = true;
            task.heard = self.now;
            self.alarms.insert((self.now + self.patience.silence, conn));
            if task.work.class == Class::Feed {
                self.alarms.insert((self.now + task.work.hold, conn));
            }
        }
        let bytes = self.host.recv(conn);
        let heard = bytes.len();
        task.input.extend(bytes);
        let verdict = task.read(self.now);
        let sent = self.host.send(conn, &task.output);
        task.output.drain(..sent);
        // Room for more bytes of an upload is a sign of life, as an answer is.
        if heard + sent > 0 {
            task.heard = self.now;
        }
        let end = verdict.or(match stage {
            Stage::Finished if task.closing => Some(End::Completed),
            Stage::Finished | Stage::Broken => Some(End::Broken),
            _ => None,
        });
        let over = task.over(self.now);
        match end {
            Some(end) => self.finish(conn, end),
            None if over => self.end_feed(conn),
            None => {}
        }
    }

    fn ring(&mut self, conn: Conn) {
        let Some(task) = self.tasks.get(&conn) else {
            return;
        };
        let silent = self.now.since(task.heard) >= self.patience.silence;
        if !task.established {
            if self.now.since(task.opened) >= self.patience.opening {
                self.finish(conn, End::Unanswered);
            }
        } else if silent {
            self.finish(conn, End::Broken);
        } else if task.over(self.now) {
            self.end_feed(conn);
        } else {
            self.alarms.insert((task.heard + self.patience.silence, conn));
        }
    }

    /// Closes a feed that has worked until now. One that never got its first
    /// line is left to its silence.
    fn end_feed(&mut self, conn: Conn) {
        let Some(task) = self.tasks.get_mut(&conn) else {
            return;
        };
        self.alarms.insert((task.heard + self.patience.silence, conn));
        if task.target.is_some() && !task.closing {
            task.closing = true;
            self.host.close(conn);
        }
    }

    fn finish(&mut self, conn: Conn, end: End) {
        let Some(task) = self.tasks.remove(&conn) else {
            return;
        };
        match end {
            End::Completed => self.host.close(conn),
            _ => self.host.abort(conn),
        }
        let Task { work, target, latency, .. } = task;
        self.outcomes.push(Outcome { work, end, target, latency });
    }
}

impl Task {
    fn new(work: Work, opened: Millis) -> Self {
        let mut output = match work.class {
            Class::Feed => format!("{}\n", work.id),
            Class::Request => format!("REQ {}\n", work.id),
            Class::Upload => format!("UP {} {}\n", work.id, work.size),
        }
        .into_bytes();
        if work.class == Class::Upload {
            output.extend(body(&work.id, work.size));
        }
        Self {
            work,
            opened,
            heard: opened,
            established: false,
            input: Vec::new(),
            output,
            target: None,
            latency: None,
            lines: 0,
            echoes: 0,
            expected: 0,
            closing: false,
        }
    }

    /// Whether it is a feed that its caller has held long enough.
    fn over(&self, now: Millis) -> bool {
        self.work.class == Class::Feed && now.since(self.opened) >= self.work.hold
    }

    /// Reads what has come; the end of the work, if that decides it.
    fn read(&mut self, now: Millis) -> Option<End> {
        loop {
            if self.expected > 0 {
                return self.read_body(now);
            }
            let line = self.line()?;
            if let Some(end) = self.check(&line, now) {
                return Some(end);
            }
        }
    }

    fn line(&mut self) -> Option<String> {
        let end = self.input.iter().position(|&byte| byte == b'\n')?;
        let line = self.input.drain(..=end).collect::<Vec<_>>();
        Some(String::from_utf8_lossy(&line[..end]).into_owned())
    }

    fn check(&mut self, line: &str, now: Millis) -> Option<End> {
        if self.target.is_none() && REFUSAL.iter().any(|start| line.starts_with(start)) {
            return Some(End::Refused);
        }
        let words = line.split(' ').collect::<Vec<_>>();
        match (self.work.class, words.as_slice()) {
            (Class::Feed, ["HELLO", id, target, service]) => self.greet(id, target, service, now),
            (Class::Feed, ["STRIKE", count]) => self.count(count),
            (Class::Feed, ["ECHO", "ACK", count]) => self.echo(count),
            (Class::Request, ["DONE", id, target, service, len]) => {
                self.expected = len.parse().unwrap_or(0);
                let wrong = self.greet(id, target, service, now);
                wrong.or((self.expected == 0).then_some(End::Completed))
            }
            (Class::Upload, ["STORED", id, target, service, len, hash]) => {
                let own = blake3::hash(&body(&self.work.id, self.work.size)).to_hex();
                let whole = *len == self.work.size.to_string() && *hash == own.as_str();
                let wrong = self.greet(id, target, service, now);
                wrong.or(Some(if whole { End::Completed } else { End::Wrong }))
            }
            _ => Some(End::Wrong),
        }
    }

    fn greet(&mut self, id: &str, target: &str, service: &str, now: Millis) -> Option<End> {
        self.target = Some(target.into());
        self.latency = Some(now.since(self.opened));
        let own = id == self.work.id && service == self.work.service;
        (!own).then_some(End::Wrong)
    }

    fn count(&mut self, count: &str) -> Option<End> {
        let next = count == self.lines.to_string();
        self.lines += 1;
        self.output.extend(format!("ACK {count}\n").bytes());
        (!next).then_some(End::Wrong)
    }

    /// Each line is acknowledged and comes back, which shows that the feed
    /// carries both directions.
    fn echo(&mut self, count: &str) -> Option<End> {
        let next = count == self.echoes.to_string();
        self.echoes += 1;
        (!next).then_some(End::Wrong)
    }

    fn read_body(&mut self, now: Millis) -> Option<End> {
        if self.input.len() < self.expected {
            return None;
        }
        self.latency = Some(now.since(self.opened));
        let same = self.input == body(&self.work.id, self.expected);
        Some(if same { End::Completed } else { End::Wrong })
    }
}
