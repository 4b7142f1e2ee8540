//! Turns decisions into datagrams.

use super::{
    asker::Asker,
    lines::{Lines, Picture},
    meters::Times,
};
use medlarspur_fabric::Outbox;
use medlarspur_lib::{bundle::Class, ids::ServiceName, time::Millis};
use medlarspur_marked::{FlowKey, Mark, Note, Output, Revision, Span, Target};
use medlarspur_platform::site::packet;
use std::net::SocketAddrV4;

/// Gathers the datagrams of a round.
pub struct Datagrams {
    outbox: Outbox,
    scratch: Vec<u8>,
    asker: Asker,
    callers: u16,
    lines: Lines,
    picture: Picture,
    now: Millis,
    times: Option<Times>,
}

impl Datagrams {
    /// Callers take packets at the port `callers`.
    pub fn new(asker: Asker, callers: u16, now: Millis) -> Datagrams {
        Datagrams {
            outbox: Outbox::new(),
            scratch: Vec::new(),
            asker,
            callers,
            lines: Lines::new(now),
            picture: Picture { revision: Revision::default(), age: None },
            now,
            times: None,
        }
    }

    /// Records measured times from now on.
    pub fn measure_into(&mut self, times: Times) {
        self.times = Some(times);
    }

    /// Begins a round, in which decisions are made by this picture.
    pub fn begin(&mut self, picture: Picture, now: Millis) {
        self.picture = picture;
        self.now = now;
    }

    /// What was gathered.
    pub fn outbox(&mut self) -> &mut Outbox {
        &mut self.outbox
    }
}

impl Output for Datagrams {
    fn forward(&mut self, target: &Target, mark: Mark, bytes: &[u8]) {
        self.scratch.clear();
        packet::wrap(&target.name, mark, bytes, &mut self.scratch);
        self.outbox.push(target.address, &self.scratch);
    }

    fn reset(&mut self, flow: &FlowKey, seq: u32) {
        let to = SocketAddrV4::new(*flow.caller.ip(), self.callers);
        self.outbox.push(to, &packet::reset(flow, seq));
    }

    fn probe(&mut self, target: &Target, path: &str) {
        self.asker.ask(target, path);
    }

    fn measure(&mut self, service: &ServiceName, class: Class, span: Span) {
        if let Some(times) = &mut self.times {
            times.record(service, class, span);
        }
    }

    fn note(&mut self, note: Note) {
        self.lines.write(&note, self.picture, self.now);
    }
}
