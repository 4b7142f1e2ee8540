//! What the forwarder wants sent, gathered until the end of a round, so that
//! one system call sends many packets.

use crate::shared::{Outgoing, Shared};
use medlarspur_fabric::{Outbox as Gathered, Socket};
use medlarspur_lib::{
    forwarder::Sink, ids::InstanceName, message::Advert, question::Datagram, settings::Secret,
};
use rtrb::Producer;
use std::{net::SocketAddrV4, sync::Arc};

/// The sink of the packet thread.
pub struct Outbox {
    packets: Gathered,
    questions: Gathered,
    returns: SocketAddrV4,
    secret: Secret,
    adverts: Producer<Outgoing>,
    shared: Arc<Shared>,
}

impl Outbox {
    /// Sends packets for callers to `returns` and signs questions by `secret`.
    pub fn new(
        returns: SocketAddrV4,
        secret: Secret,
        adverts: Producer<Outgoing>,
        shared: Arc<Shared>,
    ) -> Outbox {
        let (packets, questions) = (Gathered::new(), Gathered::new());
        Outbox { packets, questions, returns, secret, adverts, shared }
    }

    /// Sends what was gathered.
    pub fn flush(&mut self, fabric: &mut Socket, questions: &mut Socket) {
        self.packets.flush(fabric);
        self.questions.flush(questions);
    }
}

impl Sink for Outbox {
    fn forward(&mut self, target: SocketAddrV4, packet: &[u8]) {
        self.packets.push(target, packet);
    }

    fn send_to_caller(&mut self, packet: Vec<u8>) {
        self.packets.push(self.returns, &packet);
    }

    fn send_to_peer(&mut self, peer: SocketAddrV4, datagram: Datagram) {
        self.questions.push(peer, &datagram.encode(&self.secret));
    }

    fn send_advert(&mut self, keeper: &InstanceName, advert: Advert) {
        if self.adverts.push(Outgoing { keeper: keeper.clone(), advert }).is_err() {
            self.shared.overrun();
        }
    }
}
