//! Network device of a host's TCP stack, which consists of two packet queues.

use smoltcp::{
    phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken},
    time::Instant,
};
use std::collections::VecDeque;

/// Maximum packet size in bytes; an encapsulated packet still fits an Ethernet frame.
const MTU: usize = 1400;

/// Packet queues between a host and the network.
#[derive(Default)]
pub(crate) struct Link {
    /// Packets to the host.
    pub incoming: VecDeque<Vec<u8>>,
    /// Packets from the host.
    pub outgoing: VecDeque<Vec<u8>>,
}

pub(crate) struct Incoming(Vec<u8>);

pub(crate) struct Outgoing<'a>(&'a mut VecDeque<Vec<u8>>);

impl Device for Link {
    type RxToken<'a> = Incoming;
    type TxToken<'a> = Outgoing<'a>;

    fn receive(&mut self, _now: Instant) -> Option<(Incoming, Outgoing<'_>)> {
        let packet = self.incoming.pop_front()?;
        Some((Incoming(packet), Outgoing(&mut self.outgoing)))
    }

    fn transmit(&mut self, _now: Instant) -> Option<Outgoing<'_>> {
        Some(Outgoing(&mut self.outgoing))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MTU;
        capabilities
    }
}

impl RxToken for Incoming {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, f: F) -> R {
        f(&self.0)
    }
}

impl TxToken for Outgoing<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, len: usize, f: F) -> R {
        let mut packet = vec![0; len];
        let result = f(&mut packet);
        self.0.push_back(packet);
        result
    }
}
