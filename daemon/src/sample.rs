//! Measures how long packets stay in the packet thread.
//!
//! One packet is measured in a round, and rounds in one millisecond at most
//! once: reading the clock for each packet would cost more than the lookup
//! that is measured.

use medlarspur_lib::{packet::Packet, time::Millis, view::View};
use medlarspur_operator::{ClassMeters, Meters};
use std::{sync::Arc, time::Instant};

/// Chooses the packets that are measured.
pub struct Sampler {
    meters: Meters,
    last: Millis,
    sample: Option<(Instant, Arc<ClassMeters>)>,
}

impl Sampler {
    /// Records in `meters`.
    pub fn new(meters: Meters) -> Sampler {
        Sampler { meters, last: Millis(0), sample: None }
    }

    /// Looks at the first packet of a round, which has just been received.
    pub fn begin(&mut self, now: Millis, bytes: &[u8], view: Option<&Arc<View>>) {
        let Some(view) = view.filter(|_| now != self.last) else { return };
        let Ok(packet) = Packet::parse(bytes) else { return };
        let key = packet.key();
        let Some((service, class)) = view.service_at(key.service, key.protocol) else { return };
        self.last = now;
        let meters = self.meters.class(&service.spec.name, class);
        self.sample = Some((Instant::now(), meters));
    }

    /// Says that the packets of the round are on their way.
    pub fn end(&mut self) {
        if let Some((began, meters)) = self.sample.take() {
            meters.forward(began.elapsed());
        }
    }
}
