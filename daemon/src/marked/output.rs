//! Turns decisions into datagrams.

use super::asker::Asker;
use medlarspur_fabric::Outbox;
use medlarspur_marked::{FlowKey, Mark, Output, Refusal, Target};
use medlarspur_platform::site::packet;
use std::net::SocketAddrV4;

/// Gathers the datagrams of a round.
#[derive(Debug)]
pub struct Datagrams {
    outbox: Outbox,
    scratch: Vec<u8>,
    asker: Asker,
    callers: u16,
}

impl Datagrams {
    /// Callers take packets at the port `callers`.
    pub fn new(asker: Asker, callers: u16) -> Datagrams {
        Datagrams { outbox: Outbox::new(), scratch: Vec::new(), asker, callers }
    }

    /// What was gathered.
    pub fn outbox(&mut self) -> &mut Outbox {
        &mut self.outbox
    }
}

impl Output for Datagrams {
    fn forward(&mut self, target: &Target, mark: Mark, bytes: &[u8]) {
        self.scratch.clear();
        packet::wrap(target.incarnation, mark, bytes, &mut self.scratch);
        self.outbox.push(target.address, &self.scratch);
    }

    fn reset(&mut self, flow: &FlowKey, seq: u32, refusal: Refusal) {
        log::debug!("reset {} to {}: {refusal:?}", flow.caller, flow.service);
        let to = SocketAddrV4::new(*flow.caller.ip(), self.callers);
        self.outbox.push(to, &packet::reset(flow, seq));
    }

    fn ask(&mut self, target: &Target, path: &str) {
        self.asker.ask(target, path);
    }
}
