//! Output of the forwarder: datagrams, probes, meters and log lines.

use super::{
    asker::Prober,
    lines::{CatalogState, DecisionLog},
    meters::ServiceMeters,
};
use medlarspur_fabric::Outbox;
use medlarspur_lib::{bundle::Class, ids::ServiceName, time::Millis};
use medlarspur_load::priority::Level;
use medlarspur_marked::{FlowEvent, FlowKey, Mark, Note, Output, Revision, Span, Target};
use medlarspur_platform::site::packet;
use std::net::SocketAddrV4;

/// Collects the datagrams of a round and carries out the forwarder's other outputs.
pub struct RoundOutput {
    outbox: Outbox,
    scratch: Vec<u8>,
    prober: Prober,
    caller_port: u16,
    log: DecisionLog,
    catalog: CatalogState,
    now: Millis,
    service_meters: Option<ServiceMeters>,
}

impl RoundOutput {
    /// Creates an output that sends resets to callers at the port `caller_port`.
    pub fn new(prober: Prober, caller_port: u16, now: Millis) -> RoundOutput {
        RoundOutput {
            outbox: Outbox::new(),
            scratch: Vec::new(),
            prober,
            caller_port,
            log: DecisionLog::new(now),
            catalog: CatalogState { revision: Revision::default(), age: None },
            now,
            service_meters: None,
        }
    }

    /// Sets the meters of services, in which measured times and events of flows are recorded.
    pub fn set_service_meters(&mut self, meters: ServiceMeters) {
        self.service_meters = Some(meters);
    }

    /// Begins a round. `catalog` is the state on which its decisions are based.
    pub fn begin_round(&mut self, catalog: CatalogState, now: Millis) {
        self.catalog = catalog;
        self.now = now;
    }

    /// The collected datagrams.
    pub fn outbox(&mut self) -> &mut Outbox {
        &mut self.outbox
    }
}

impl Output for RoundOutput {
    fn forward(&mut self, target: &Target, mark: Mark, bytes: &[u8]) {
        self.scratch.clear();
        packet::encapsulate(&target.name, mark, bytes, &mut self.scratch);
        self.outbox.push(target.address, &self.scratch);
    }

    fn reset(&mut self, flow: &FlowKey, seq: u32) {
        let to = SocketAddrV4::new(*flow.caller.ip(), self.caller_port);
        self.outbox.push(to, &packet::build_reset(flow, seq));
    }

    fn probe(&mut self, target: &Target, path: &str) {
        self.prober.probe(target, path);
    }

    fn measure(&mut self, service: &ServiceName, class: Class, span: Span) {
        if let Some(meters) = &mut self.service_meters {
            meters.record(service, class, span);
        }
    }

    fn count(&mut self, service: &ServiceName, level: Level, event: FlowEvent) {
        if let Some(meters) = &mut self.service_meters {
            meters.count(service, level, event);
        }
    }

    fn note(&mut self, note: Note) {
        self.log.write(&note, self.catalog, self.now);
    }
}
