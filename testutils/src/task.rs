//! A caller's piece of work: its messages, their check, and its end.

use crate::content::{body, take_line};
use medlarspur_lib::{bundle::Class, time::Millis};
use std::net::SocketAddrV4;

/// Description of a piece of work, which uses one connection.
#[derive(Debug, Clone)]
pub struct Work {
    /// Id that is unique among all work of all callers.
    pub id: String,
    /// The service that has to answer.
    pub service: String,
    /// Class of the work.
    pub class: Class,
    /// Address and port of the service.
    pub remote: SocketAddrV4,
    /// Size of an upload in bytes.
    pub size: usize,
    /// Time after which the caller closes a feed.
    pub hold: Millis,
}

/// The end of a piece of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum End {
    /// The complete answer was received, or the feed ran until the caller closed it.
    Completed,
    /// It failed after it was established.
    Broken(BreakCause),
    /// It was refused.
    Refused,
    /// The handshake was not completed in time.
    Unanswered,
    /// The answer belongs to other work or another service, or its content is wrong.
    Wrong,
}

/// Reasons why established work broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum BreakCause {
    /// The connection was reset.
    Reset,
    /// There was no progress within the idle timeout.
    Silent,
    /// The connection was closed before the answer was complete.
    Short,
}

/// Prefixes of a line that refuses work.
const REFUSAL_PREFIXES: &[&str] = &["REFUSED", "HTTP/1.1 503"];

/// A piece of work in progress.
pub(crate) struct Task {
    /// Description of the work.
    pub work: Work,
    /// Time at which the connection was opened.
    pub opened: Millis,
    /// Time of the last progress that shows that the target is alive.
    pub last_activity: Millis,
    /// Whether the handshake is complete.
    pub established: bool,
    /// Received bytes that are not processed yet.
    pub input: Vec<u8>,
    /// Bytes that are not sent yet.
    pub output: Vec<u8>,
    /// Name of the target that answered, if any.
    pub target: Option<String>,
    /// Time from the opening to the first line of a feed, or to the complete answer.
    pub latency: Option<Millis>,
    /// Number of lines received on a feed.
    pub lines: u64,
    /// Number of echoes received on a feed.
    pub echoes: u64,
    /// Size in bytes of the answer's body.
    pub expected: usize,
    /// Whether the caller has closed its feed.
    pub closing: bool,
}

impl Task {
    /// Creates the state of new work, with its first message queued.
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

    /// Whether this is a feed whose hold time has passed.
    pub fn is_hold_over(&self, now: Millis) -> bool {
        self.work.class == Class::Feed && now.since(self.opened) >= self.work.hold
    }

    /// Processes received bytes. Returns the end of the work, if they decide it.
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

    /// Checks the number of an echo. The target echoes the acknowledgement of each
    /// line, which shows that the feed works in both directions.
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
