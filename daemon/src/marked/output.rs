//! Output of the forwarder: datagrams, probes, histograms and log lines.

use super::{
    asker::Prober,
    lines::{CatalogState, DecisionLog},
    meters::Histograms,
};
use medlarspur_fabric::Outbox;
use medlarspur_lib::{bundle::Class, ids::ServiceName, time::Millis};
use medlarspur_marked::{FlowKey, Mark, Note, Output, Revision, Span, Target};
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
    histograms: Option<Histograms>,
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
            histograms: None,
        }
    }

    /// Sets the histograms in which measured times are recorded.
    pub fn set_histograms(&mut self, histograms: Histograms) {
        self.histograms = Some(histograms);
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
        if let Some(histograms) = &mut self.histograms {
            histograms.record(service, class, span);
        }
    }

    fn note(&mut self, note: Note) {
        self.log.write(&note, self.catalog, self.now);
    }
}
