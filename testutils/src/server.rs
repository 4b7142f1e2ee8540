//! A target on a [`Host`], without I/O.
//!
//! It counts how often each request ran and how many packets were for another
//! service, so that tests can detect repeated requests and misdirected packets.

use crate::{
    content::{body, take_line},
    host::{Conn, Host, Stage},
    packet::{Kind, PacketHeader},
    profile::{Profile, TargetCounts},
    session::Session,
};
use medlarspur_lib::{
    bundle::Class,
    collections::{Map, Set},
    time::Millis,
};
use std::collections::{BTreeSet, VecDeque};

/// Factor by which work takes longer during a target's cold time.
const COLD_FACTOR: u64 = 10;

/// A target: a host that serves the ports of one service.
pub struct Server {
    /// Its configuration, which may be changed while it runs.
    pub profile: Profile,
    /// Its counters.
    pub counts: TargetCounts,
    /// Whether it refuses new connections.
    pub draining: bool,
    host: Host,
    sessions: Map<Conn, Session>,
    timers: BTreeSet<(Millis, Conn)>,
    queue: VecDeque<Conn>,
    busy: Set<Conn>,
    now: Millis,
    started: Option<Millis>,
}

impl Server {
    /// Creates a target.
    pub fn new(profile: Profile) -> Self {
        let host = Host::new(profile.address);
        Self {
            profile,
            host,
            counts: TargetCounts::default(),
            draining: false,
            sessions: Map::default(),
            timers: BTreeSet::new(),
            queue: VecDeque::new(),
            busy: Set::default(),
            now: Millis(0),
            started: None,
        }
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.sessions.len()
    }

    /// Number of requests and uploads that have a slot or wait for one.
    pub fn work(&self) -> usize {
        self.busy.len() + self.queue.len()
    }

    /// Utilization from 0 to 1: the larger of those of its slots and its connections.
    pub fn load(&self) -> f64 {
        let part = |used: usize, all: usize| used as f64 / all.max(1) as f64;
        let slots = part(self.busy.len(), self.profile.slots);
        slots.max(part(self.sessions.len(), self.profile.connections)).min(1.0)
    }

    /// Handles a packet from an instance.
    pub fn receive(&mut self, packet: &[u8]) {
        let Some(header) = PacketHeader::parse(packet) else {
            self.counts.strays += 1;
            return;
        };
        let own = self.profile.ports.iter().any(|&(port, _)| port == header.dst.port());
        if !own || *header.dst.ip() != self.profile.address {
            self.counts.strays += 1;
            return;
        }
        if self.draining && header.kind == Kind::Opening {
            self.counts.late += 1;
        }
        self.open_ports();
        self.host.receive(packet);
    }

    /// Does the work that is due at `now` and returns the packets for callers.
    pub fn poll(&mut self, now: Millis) -> Vec<Vec<u8>> {
        self.now = self.now.max(now);
        self.started.get_or_insert(now);
        let mut packets = self.host.poll(self.now);
        self.do_work();
        packets.extend(self.host.poll(self.now));
        packets
    }

    /// Returns the time of the next poll, if nothing is received before.
    pub fn next_poll(&self) -> Option<Millis> {
        let timer = self.timers.first().map(|&(due, _)| due);
        [timer, self.host.next_poll()].into_iter().flatten().min()
    }

    fn open_ports(&mut self) {
        let open = !self.draining && self.sessions.len() < self.profile.connections;
        for &(port, _) in &self.profile.ports {
            match open {
                true => self.host.listen(port),
                false => self.host.unlisten(port),
            }
        }
    }

    fn do_work(&mut self) {
        for conn in self.host.take_ready() {
            self.serve(conn);
        }
        while let Some(&(due, conn)) = self.timers.first()
            && due <= self.now
        {
            self.timers.remove(&(due, conn));
            self.handle_timer(conn);
        }
    }

    fn serve(&mut self, conn: Conn) {
        match self.host.stage(conn) {
            Stage::Opening => return,
            Stage::Refused | Stage::Broken => return self.drop_session(conn),
            Stage::Open | Stage::Finished => {}
        }
        if !self.sessions.contains_key(&conn) {
            let Some(class) = self.class(conn.port) else {
                return;
            };
            self.counts.opened += 1;
            self.sessions.insert(conn, Session::new(class));
        }
        let bytes = self.host.recv(conn);
        let Some(session) = self.sessions.get_mut(&conn) else {
            return;
        };
        session.input.extend(bytes);
        match session.class {
            Class::Feed => self.serve_feed(conn),
            Class::Request | Class::Upload => self.serve_work(conn),
        }
        self.flush(conn);
    }

    fn class(&self, port: u16) -> Option<Class> {
        self.profile.ports.iter().find(|&&(number, _)| number == port).map(|&(_, class)| class)
    }

    fn serve_feed(&mut self, conn: Conn) {
        let Some(session) = self.sessions.get_mut(&conn) else {
            return;
        };
        while let Some(line) = take_line(&mut session.input) {
            match &session.id {
                Some(_) => session.queue_line(&format!("ECHO {line}\n")),
                None => {
                    let Profile { name, service, .. } = &self.profile;
                    session.queue_line(&format!("HELLO {line} {name} {service}\n"));
                    session.id = Some(line);
                    self.timers.insert((self.now + self.profile.interval, conn));
                }
            }
        }
        if self.host.stage(conn) == Stage::Finished {
            self.host.close(conn);
        }
    }

    fn serve_work(&mut self, conn: Conn) {
        let Some(session) = self.sessions.get_mut(&conn) else {
            return;
        };
        if session.id.is_none() && !session.read_header() {
            return;
        }
        let whole = session.expected.is_some_and(|expected| session.input.len() >= expected);
        let known = session.answered || self.busy.contains(&conn) || self.queue.contains(&conn);
        if !whole || known {
            return;
        }
        if self.queue.len() >= self.profile.queue_limit {
            self.counts.shed += 1;
            self.host.abort(conn);
            return self.drop_session(conn);
        }
        self.queue.push_back(conn);
        self.fill_slots();
    }

    fn fill_slots(&mut self) {
        while self.busy.len() < self.profile.slots
            && let Some(conn) = self.queue.pop_front()
        {
            let cold = self.now.since(self.started.unwrap_or_default()) < self.profile.cold_time;
            let factor = if cold { COLD_FACTOR } else { 1 };
            self.busy.insert(conn);
            self.count_run(conn);
            self.timers.insert((self.now + Millis(self.profile.work_time.0 * factor), conn));
        }
    }

    /// Counts a run of a request at its start, as an interrupted request has run too.
    fn count_run(&mut self, conn: Conn) {
        let session = self.sessions.get(&conn).filter(|session| session.class == Class::Request);
        if let Some(id) = session.and_then(|session| session.id.clone()) {
            *self.counts.runs.entry(id).or_default() += 1;
        }
    }

    fn handle_timer(&mut self, conn: Conn) {
        let Some(session) = self.sessions.get_mut(&conn) else {
            return self.free_slot(conn);
        };
        match session.class {
            Class::Feed => {
                let line = format!("STRIKE {}\n", session.lines);
                session.lines += 1;
                session.queue_line(&line);
                self.timers.insert((self.now + self.profile.interval, conn));
            }
            Class::Request | Class::Upload => self.answer(conn),
        }
        self.flush(conn);
    }

    fn answer(&mut self, conn: Conn) {
        let Some(session) = self.sessions.get_mut(&conn) else {
            return;
        };
        let id = session.id.clone().unwrap_or_default();
        let Profile { name, service, answer_size, .. } = &self.profile;
        if session.class == Class::Request {
            session.queue_line(&format!("DONE {id} {name} {service} {answer_size}\n"));
            session.output.extend(body(&id, *answer_size));
        } else {
            let hash = blake3::hash(&session.input).to_hex();
            let count = session.input.len();
            session.queue_line(&format!("STORED {id} {name} {service} {count} {hash}\n"));
            self.counts.stored += 1;
        }
        session.answered = true;
        self.free_slot(conn);
    }

    fn free_slot(&mut self, conn: Conn) {
        if self.busy.remove(&conn) {
            self.fill_slots();
        }
    }

    fn flush(&mut self, conn: Conn) {
        let Some(session) = self.sessions.get_mut(&conn) else {
            return;
        };
        let sent = self.host.send(conn, session.output.make_contiguous());
        session.output.drain(..sent);
        if session.answered && session.output.is_empty() {
            self.host.close(conn);
        }
        if self.host.is_over(conn) {
            self.drop_session(conn);
        }
    }

    /// Drops a connection that has ended. Its work keeps its slot until the work is
    /// done, as a real target does not notice that the caller is gone.
    fn drop_session(&mut self, conn: Conn) {
        self.sessions.remove(&conn);
        self.queue.retain(|&other| other != conn);
        self.host.remove_over(conn);
    }
}
