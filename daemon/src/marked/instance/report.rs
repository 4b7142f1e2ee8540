//! Metrics, status and explanations of flows for operators.

use super::{Instance, MetricsSnafu, RunError};
use crate::{
    marked::{
        inbox::OperatorQuery,
        meters::{self, ServiceMeters, Stats},
        status::StatusSource,
    },
    sink::LogSink,
};
use medlarspur_fabric::Wire;
use medlarspur_lib::{status::MarkedStatus, time::Millis};
use medlarspur_marked::Fleet;
use medlarspur_operator::{Meters, OperatorServer};
use snafu::{Report, ResultExt};
use std::{
    net::SocketAddrV4,
    sync::{Arc, atomic::Ordering::Relaxed},
};

/// Delay from the start until the metrics are served. Starting the server takes some
/// milliseconds of processor time, or tens of milliseconds on a twentieth of a core. Packets
/// queued at the start need that time more urgently.
const METRICS_DELAY: Millis = Millis::secs(3);

/// The metrics and their server, once it is started.
pub(super) struct Metrics {
    address: SocketAddrV4,
    meters: Meters,
    due: Millis,
    server: Option<OperatorServer>,
}

impl Instance {
    /// Registers the metrics. They are served [`METRICS_DELAY`] later.
    pub(super) fn set_up_metrics(
        &mut self,
        address: SocketAddrV4,
        sink: Option<LogSink>,
    ) -> Result<(), RunError> {
        let meters = Meters::new().context(MetricsSnafu)?;
        meters::register(&meters, &self.published, &self.store_reader.calls(), sink, self.clock);
        self.output.set_service_meters(ServiceMeters::new(meters.clone()));
        let due = self.clock.now() + METRICS_DELAY;
        self.metrics = Some(Metrics { address, meters, due, server: None });
        Ok(())
    }

    /// Publishes the counters, and starts serving the metrics when that is due.
    pub(super) fn publish(&mut self) {
        let confirmed = self.confirmed();
        let Some(metrics) = &mut self.metrics else { return };
        let now = self.clock.now();
        let fleet = self.peers.as_ref().map(|peers| &peers.fleet);
        let config = self.forwarder.catalog().config();
        self.published.set(Stats {
            counts: self.forwarder.counts(),
            wire: self.socket.counts(),
            flows: self.forwarder.len() as u64,
            members: fleet.map_or(0, |fleet| fleet.len() as u64),
            ready: self.ready.load(Relaxed),
            reading: fleet.is_none_or(Fleet::is_reading),
            confirmed,
            revision: self.forwarder.revision(),
            version: config.map_or(0, |config| config.version.0),
            live_and_lost: self.forwarder.live_and_lost(),
            full: self.forwarder.count_full(),
            excluded: self.forwarder.count_excluded(),
            evacuated: self.forwarder.catalog().evacuated().count(),
            omitted: config.map_or(0, |config| config.omitted),
            collisions: self.forwarder.catalog().collisions(),
            ..self.stats
        });
        if metrics.server.is_none() && metrics.due <= now {
            metrics.due = now + METRICS_DELAY;
            let source = Arc::new(StatusSource::new(self.sender.clone()));
            match OperatorServer::start_marked(metrics.address, source, metrics.meters.clone()) {
                Ok(server) => {
                    log::info!(address:% = server.address(); "operators: served");
                    metrics.server = Some(server);
                }
                Err(error) => log::warn!("metrics: serving failed: {}", Report::from_error(error)),
            }
        }
    }

    /// Time at which the store or a reader last confirmed the catalog.
    pub(super) fn confirmed(&self) -> Option<Millis> {
        self.last_read.max(self.peers.as_ref().and_then(|peers| peers.fleet.confirmed()))
    }

    pub(super) fn answer_operator(&self, query: OperatorQuery, now: Millis) {
        let age = self.confirmed().map(|at| now.since(at));
        let is_sent = match query {
            OperatorQuery::Status(reply) => reply.try_send(self.status(age, now)).is_ok(),
            OperatorQuery::Explain(flow, reply) => {
                reply.try_send(self.forwarder.explain(&flow, age, now)).is_ok()
            }
        };
        if !is_sent {
            log::debug!("operator: answer dropped, the requester has disconnected");
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
