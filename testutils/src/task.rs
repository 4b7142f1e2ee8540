//! A piece of work of a caller, and how it ends.

use crate::content::{body, take_line};
use medlarspur_lib::{bundle::Class, time::Millis};
use std::net::SocketAddrV4;

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
    /// It was established and came to no good end.
    Broken(BreakCause),
    /// It was turned away.
    Refused,
    /// Nothing answered the opening in time.
    Unanswered,
    /// The answer belongs to other work or another service.
    Wrong,
}

/// How established work broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum BreakCause {
    /// A reset came.
    Reset,
    /// Nothing came for as long as the caller waits.
    Silent,
    /// The connection was closed before the whole answer.
    Short,
}

/// How a line starts that turns work away.
const REFUSAL_PREFIXES: &[&str] = &["REFUSED", "HTTP/1.1 503"];

/// A piece of work under way.
pub(crate) struct Task {
    /// What is to be done.
    pub work: Work,
    /// When the connection was opened.
    pub opened: Millis,
    /// When the target last showed a sign of life.
    pub last_activity: Millis,
    /// Whether the handshake is over.
    pub established: bool,
    /// What has arrived and is not read yet.
    pub input: Vec<u8>,
    /// What is still to be sent.
    pub output: Vec<u8>,
    /// The target that answered, once one has.
    pub target: Option<String>,
    /// The time to the first line of a feed or the whole answer.
    pub latency: Option<Millis>,
    /// How many lines of a feed have come.
    pub lines: u64,
    /// How many echoes of a feed have come.
    pub echoes: u64,
    /// The bytes of the body of an answer.
    pub expected: usize,
    /// Whether the caller has ended its feed.
    pub closing: bool,
}

impl Task {
    /// Starts a piece of work.
    pub fn new(work: Work, opened: Millis) -> Self {
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
            last_activity: opened,
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
    pub fn is_hold_over(&self, now: Millis) -> bool {
        self.work.class == Class::Feed && now.since(self.opened) >= self.work.hold
    }

    /// Reads what has come; the end of the work, if that decides it.
    pub fn read(&mut self, now: Millis) -> Option<End> {
        loop {
            if self.expected > 0 {
                return self.read_body(now);
            }
            let line = take_line(&mut self.input)?;
            if let Some(end) = self.check_line(&line, now) {
                return Some(end);
            }
        }
    }

    fn check_line(&mut self, line: &str, now: Millis) -> Option<End> {
        if self.target.is_none() && REFUSAL_PREFIXES.iter().any(|start| line.starts_with(start)) {
            return Some(End::Refused);
        }
        let words = line.split(' ').collect::<Vec<_>>();
        match (self.work.class, words.as_slice()) {
            (Class::Feed, ["HELLO", id, target, service]) => {
                self.check_header(id, target, service, now)
            }
            (Class::Feed, ["STRIKE", count]) => self.check_feed_line(count),
            (Class::Feed, ["ECHO", "ACK", count]) => self.check_echo(count),
            (Class::Request, ["DONE", id, target, service, len]) => {
                self.expected = len.parse().unwrap_or(0);
                let wrong = self.check_header(id, target, service, now);
                wrong.or((self.expected == 0).then_some(End::Completed))
            }
            (Class::Upload, ["STORED", id, target, service, len, hash]) => {
                let own = blake3::hash(&body(&self.work.id, self.work.size)).to_hex();
                let whole = *len == self.work.size.to_string() && *hash == own.as_str();
                let wrong = self.check_header(id, target, service, now);
                wrong.or(Some(if whole { End::Completed } else { End::Wrong }))
            }
            _ => Some(End::Wrong),
        }
    }

    fn check_header(&mut self, id: &str, target: &str, service: &str, now: Millis) -> Option<End> {
        self.target = Some(target.into());
        self.latency = Some(now.since(self.opened));
        let own = id == self.work.id && service == self.work.service;
        (!own).then_some(End::Wrong)
    }

    fn check_feed_line(&mut self, count: &str) -> Option<End> {
        let next = count == self.lines.to_string();
        self.lines += 1;
        self.output.extend(format!("ACK {count}\n").bytes());
        (!next).then_some(End::Wrong)
    }

    /// Each line is acknowledged and comes back, which shows that the feed
    /// carries both directions.
    fn check_echo(&mut self, count: &str) -> Option<End> {
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
