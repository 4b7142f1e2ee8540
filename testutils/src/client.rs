//! A caller on a [`Host`], without I/O.
//!
//! It checks every byte that it receives, and distinguishes an answer to other
//! work, a gap in a feed and a truncated answer from an orderly end.

use crate::{
    host::{Conn, Host, Stage},
    task::{BreakCause, End, Task, Work},
};
use medlarspur_lib::{bundle::Class, collections::Map, time::Millis};
use std::{collections::BTreeSet, net::Ipv4Addr};

/// Result of a piece of work.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The work.
    pub work: Work,
    /// End of the work.
    pub end: End,
    /// Name of the target that answered, if any.
    pub target: Option<String>,
    /// Time of the end.
    pub at: Millis,
    /// Time from the opening to the first line of a feed, or to the complete answer.
    pub latency: Option<Millis>,
}

/// Timeouts of a caller.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Maximum time until the handshake is complete.
    pub handshake: Millis,
    /// Maximum time without progress on an established connection.
    pub idle: Millis,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self { handshake: Millis::secs(8), idle: Millis::secs(8) }
    }
}

/// First local port of a caller.
const FIRST_PORT: u16 = 20_000;

/// A caller with its connections.
pub struct Client {
    host: Host,
    timeouts: Timeouts,
    tasks: Map<Conn, Task>,
    timers: BTreeSet<(Millis, Conn)>,
    outcomes: Vec<Outcome>,
    port: u16,
    now: Millis,
}

impl Client {
    /// Creates a caller with the address `addr`.
    pub fn new(addr: Ipv4Addr, timeouts: Timeouts) -> Self {
        Self {
            host: Host::new(addr),
            timeouts,
            tasks: Map::default(),
            timers: BTreeSet::new(),
            outcomes: Vec::new(),
            port: FIRST_PORT,
            now: Millis(0),
        }
    }

    /// Starts a piece of work on a new connection.
    pub fn open(&mut self, now: Millis, work: Work) -> Conn {
        self.now = self.now.max(now);
        let port = self.port;
        self.port = self.port.checked_add(1).unwrap_or(FIRST_PORT);
        let conn = self.host.connect(port, work.remote);
        self.timers.insert((self.now + self.timeouts.handshake, conn));
        self.tasks.insert(conn, Task::new(work, self.now));
        conn
    }

    /// Handles a packet for this caller.
    pub fn receive(&mut self, packet: &[u8]) {
        self.host.receive(packet);
    }

    /// Does the work that is due at `now` and returns the packets for the fabric.
    pub fn poll(&mut self, now: Millis) -> Vec<Vec<u8>> {
        self.now = self.now.max(now);
        let mut packets = self.host.poll(self.now);
        for conn in self.host.take_ready() {
            self.advance(conn);
        }
        while let Some(&(due, conn)) = self.timers.first()
            && due <= self.now
        {
            self.timers.remove(&(due, conn));
            self.handle_timer(conn);
        }
        packets.extend(self.host.poll(self.now));
        packets
    }

    /// Returns the time of the next poll, if nothing is received before.
    pub fn next_poll(&self) -> Option<Millis> {
        let timer = self.timers.first().map(|&(due, _)| due);
        [timer, self.host.next_poll()].into_iter().flatten().min()
    }

    /// Takes the outcomes of the work that has ended since the last call.
    pub fn take_outcomes(&mut self) -> Vec<Outcome> {
        std::mem::take(&mut self.outcomes)
    }

    /// Number of pieces of work in progress.
    pub fn pending(&self) -> usize {
        self.tasks.len()
    }

    /// Closes up to `count` feeds in an orderly way.
    pub fn close_feeds(&mut self, count: usize) {
        let held = |task: &Task| task.work.class == Class::Feed && task.work.hold > Millis(0);
        let feeds = self.tasks.iter().filter(|(_, task)| held(task)).take(count);
        let conns = feeds.map(|(&conn, _)| conn).collect::<Vec<_>>();
        for conn in conns {
            // A feed that has not got its first line yet is closed when that arrives.
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
            task.last_activity = self.now;
            self.timers.insert((self.now + self.timeouts.idle, conn));
            if task.work.class == Class::Feed {
                self.timers.insert((self.now + task.work.hold, conn));
            }
        }
        let bytes = self.host.recv(conn);
        let received = bytes.len();
        task.input.extend(bytes);
        let verdict = task.read(self.now);
        let sent = self.host.send(conn, &task.output);
        task.output.drain(..sent);
        // Progress of an upload counts as activity of the target, like an answer.
        if received + sent > 0 {
            task.last_activity = self.now;
        }
        let end = verdict.or(match stage {
            Stage::Finished if task.closing => Some(End::Completed),
            Stage::Finished => Some(End::Broken(BreakCause::Short)),
            Stage::Broken => Some(End::Broken(BreakCause::Reset)),
            _ => None,
        });
        let hold_over = task.is_hold_over(self.now);
        match end {
            Some(end) => self.finish(conn, end),
            None if hold_over => self.end_feed(conn),
            None => {}
        }
    }

    fn handle_timer(&mut self, conn: Conn) {
        let Some(task) = self.tasks.get(&conn) else {
            return;
        };
        let silent = self.now.since(task.last_activity) >= self.timeouts.idle;
        if !task.established {
            if self.now.since(task.opened) >= self.timeouts.handshake {
                self.finish(conn, End::Unanswered);
            }
        } else if silent {
            self.finish(conn, End::Broken(BreakCause::Silent));
        } else if task.is_hold_over(self.now) {
            self.end_feed(conn);
        } else {
            self.timers.insert((task.last_activity + self.timeouts.idle, conn));
        }
    }

    /// Closes a feed. One that has not got its first line stays open until that
    /// arrives or the idle timeout ends it.
    fn end_feed(&mut self, conn: Conn) {
        let Some(task) = self.tasks.get_mut(&conn) else {
            return;
        };
        self.timers.insert((task.last_activity + self.timeouts.idle, conn));
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
        self.outcomes.push(Outcome { work, end, target, at: self.now, latency });
    }
}
