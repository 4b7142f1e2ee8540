//! Samples the time that packets spend in the packet thread.
//!
//! At most one packet is measured in a round and in a millisecond. Reading the clock for
//! each packet would cost more than the lookup that is measured.

use medlarspur_lib::{packet::Packet, time::Millis, view::View};
use medlarspur_operator::{ClassMeters, Meters};
use std::{sync::Arc, time::Instant};

/// Measures sampled packets.
pub struct Sampler {
    meters: Meters,
    last_sample: Millis,
    sample: Option<(Instant, Arc<ClassMeters>)>,
}

impl Sampler {
    /// Creates a sampler that records in `meters`.
    pub fn new(meters: Meters) -> Sampler {
        Sampler { meters, last_sample: Millis(0), sample: None }
    }

    /// Starts a measurement with the first packet of a round, which has just been received.
    pub fn begin(&mut self, now: Millis, bytes: &[u8], view: Option<&Arc<View>>) {
        let Some(view) = view.filter(|_| now != self.last_sample) else { return };
        let Ok(packet) = Packet::parse(bytes) else { return };
        let key = packet.key();
        let Some((service, class)) = view.service_at(key.service, key.protocol) else { return };
        self.last_sample = now;
        let meters = self.meters.class(&service.spec.name, class);
        self.sample = Some((Instant::now(), meters));
    }

    /// Ends the measurement, after the packets of the round have been sent.
    pub fn end(&mut self) {
        if let Some((began, meters)) = self.sample.take() {
            meters.record_forward(began.elapsed());
        }
    }
}
