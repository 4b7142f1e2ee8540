//! Output of the forwarder, collected until the end of a round, so that one system call
//! sends many packets.

use crate::shared::{KeeperAdvert, Shared};
use medlarspur_fabric::{Outbox as SendQueue, Socket};
use medlarspur_lib::{
    forwarder::Sink, ids::InstanceName, message::Advert, question::Datagram, settings::Secret,
};
use rtrb::Producer;
use std::{net::SocketAddrV4, sync::Arc};

/// The forwarder's [`Sink`] on the packet thread.
pub struct Outbox {
    packets: SendQueue,
    questions: SendQueue,
    return_address: SocketAddrV4,
    secret: Secret,
    adverts: Producer<KeeperAdvert>,
    shared: Arc<Shared>,
}

impl Outbox {
    /// Creates an outbox that sends packets for callers to `return_address` and
    /// authenticates questions with `secret`.
    pub fn new(
        return_address: SocketAddrV4,
        secret: Secret,
        adverts: Producer<KeeperAdvert>,
        shared: Arc<Shared>,
    ) -> Outbox {
        let (packets, questions) = (SendQueue::new(), SendQueue::new());
        Outbox { packets, questions, return_address, secret, adverts, shared }
    }

    /// Sends the collected packets and questions.
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
        self.packets.push(self.return_address, &packet);
    }

    fn send_to_peer(&mut self, peer: SocketAddrV4, datagram: Datagram) {
        self.questions.push(peer, &datagram.encode(&self.secret));
    }

    fn send_advert(&mut self, keeper: &InstanceName, advert: Advert) {
        if self.adverts.push(KeeperAdvert { keeper: keeper.clone(), advert }).is_err() {
            self.shared.count_overrun();
        }
    }
}
