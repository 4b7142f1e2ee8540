//! What operators are shown of an instance: metrics, its state, why a flow goes where it goes.

use super::{Instance, MetricsSnafu, RunError};
use crate::{
    marked::{
        inbox::Question,
        meters::{self, Numbers, Times},
        shown::Shown,
    },
    sink::Sink,
};
use medlarspur_fabric::Wire;
use medlarspur_lib::{status::MarkedStatus, time::Millis};
use medlarspur_marked::Fleet;
use medlarspur_operator::{Meters, Operator};
use snafu::{Report, ResultExt};
use std::{
    net::SocketAddrV4,
    sync::{Arc, atomic::Ordering::Relaxed},
};

/// How long after the start metrics begin to be served. Setting the server up takes some
/// milliseconds of processor time, tens on a twentieth of a core; packets that wait at the
/// start need them.
const METRICS_DELAY: Millis = Millis::secs(3);

/// Metrics that are not served yet, or are.
pub(super) struct Metrics {
    address: SocketAddrV4,
    meters: Meters,
    due: Millis,
    server: Option<Operator>,
}

impl Instance {
    /// Sets metrics up. They are served only [`METRICS_DELAY`] later.
    pub(super) fn show(
        &mut self,
        address: SocketAddrV4,
        sink: Option<Sink>,
    ) -> Result<(), RunError> {
        let meters = Meters::new().context(MetricsSnafu)?;
        meters::register(&meters, &self.published, &self.reading.calls(), sink, self.clock);
        self.datagrams.measure_into(Times::new(meters.clone()));
        let due = self.clock.now() + METRICS_DELAY;
        self.metrics = Some(Metrics { address, meters, due, server: None });
        Ok(())
    }

    /// Publishes what was counted, and begins to serve metrics when that is due.
    pub(super) fn publish(&mut self) {
        let confirmed = self.confirmed();
        let Some(metrics) = &mut self.metrics else { return };
        let now = self.clock.now();
        let fleet = self.peers.as_ref().map(|peers| &peers.fleet);
        let config = self.forwarder.catalog().config();
        self.published.set(Numbers {
            counts: self.forwarder.counts(),
            wire: self.socket.counts(),
            flows: self.forwarder.len() as u64,
            members: fleet.map_or(0, |fleet| fleet.len() as u64),
            ready: self.ready.load(Relaxed),
            reading: fleet.is_none_or(Fleet::is_reading),
            confirmed,
            revision: self.forwarder.revision(),
            version: config.map_or(0, |config| config.version.0),
            reach: self.forwarder.live_and_lost(),
            full: self.forwarder.count_full(),
            evacuated: self.forwarder.catalog().evacuated().count(),
            omitted: config.map_or(0, |config| config.omitted),
            clashes: self.forwarder.catalog().collisions(),
            ..self.numbers
        });
        if metrics.server.is_none() && metrics.due <= now {
            metrics.due = now + METRICS_DELAY;
            let source = Arc::new(Shown::new(self.sender.clone()));
            match Operator::start_marked(metrics.address, source, metrics.meters.clone()) {
                Ok(server) => {
                    log::info!(address:% = server.address(); "operators: served");
                    metrics.server = Some(server);
                }
                Err(error) => log::warn!("metrics: not served: {}", Report::from_error(error)),
            }
        }
    }

    /// When the store or a reader confirmed the picture last.
    pub(super) fn confirmed(&self) -> Option<Millis> {
        self.read.max(self.peers.as_ref().and_then(|peers| peers.fleet.confirmed()))
    }

    pub(super) fn show_operator(&self, question: Question, now: Millis) {
        let age = self.confirmed().map(|at| now.since(at));
        let is_heard = match question {
            Question::Status(reply) => reply.try_send(self.status(age, now)).is_ok(),
            Question::Explain(flow, reply) => {
                reply.try_send(self.forwarder.explain(&flow, age, now)).is_ok()
            }
        };
        if !is_heard {
            log::debug!("operator: whoever asked has gone");
        }
    }

    fn status(&self, age: Option<Millis>, now: Millis) -> MarkedStatus {
        let fleet = self.peers.as_ref().map(|peers| &peers.fleet);
        MarkedStatus {
            name: self.name.clone(),
            domain: self.domain.clone(),
            uptime: self.clock.uptime(),
            ready: self.ready.load(Relaxed),
            reading: fleet.is_none_or(Fleet::is_reading),
            members: fleet.map_or(0, |fleet| fleet.len() as u64) + 1,
            flows: self.forwarder.len() as u64,
            picture: self.forwarder.picture(age),
            services: self.forwarder.services(now),
        }
    }
}
