//! The instance's metrics.
//!
//! The main thread keeps its own counters and publishes a copy after each round. A scrape
//! reads the copy, so it never delays packets.

use super::store::CallCounts;
use crate::{clock::Clock, sink::LogSink};
use medlarspur_fabric::Counts as SocketCounts;
use medlarspur_lib::{bundle::Class, collections::Map, ids::ServiceName, time::Millis};
use medlarspur_load::{outcome::Outcome, priority::Level};
use medlarspur_marked::{Counts, FlowEvent, ProbeResult, Revision, Span};
use medlarspur_operator::{ClassMeters, Family, Gauge, LevelMeters, Meters};
use medlarspur_platform::site::packet::PacketError;
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering::Relaxed},
    time::Duration,
};

/// Copy of the main thread's counters and state.
#[derive(Debug, Default, Clone, Copy)]
pub struct Stats {
    /// Number of packets received from the fabric.
    pub received: u64,
    /// Number of malformed packets, by reason.
    pub malformed: [u64; PacketError::ALL.len()],
    /// The forwarder's counters.
    pub counts: Counts,
    /// The packet socket's counters.
    pub wire: SocketCounts,
    /// Number of flows in the flow table.
    pub flows: u64,
    /// Number of other known instances.
    pub members: u64,
    /// Whether the instance is ready.
    pub ready: bool,
    /// Whether the instance reads the store.
    pub reading: bool,
    /// Time at which the catalog was last confirmed.
    pub confirmed: Option<Millis>,
    /// Revision up to which all changes are known.
    pub revision: Revision,
    /// Version of the config in force.
    pub version: u64,
    /// Numbers of listed targets that answer and that don't.
    pub live_and_lost: (usize, usize),
    /// Number of targets that accept no openings.
    pub full: usize,
    /// Number of targets that are excluded because they fail more than their peers.
    pub excluded: usize,
    /// Number of evacuated failure domains.
    pub evacuated: usize,
    /// Number of routes of the config in force that can't be served.
    pub omitted: u32,
    /// Number of targets that were rejected because another one has the same number.
    pub collisions: u64,
}

/// The published copy, read by scrapes.
#[derive(Debug, Default, Clone)]
pub struct SharedStats(Arc<Mutex<Stats>>);

impl SharedStats {
    /// Replaces the copy.
    pub fn set(&self, stats: Stats) {
        *self.lock() = stats;
    }

    fn get(&self) -> Stats {
        *self.lock()
    }

    fn lock(&self) -> MutexGuard<'_, Stats> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Family and label of a series, and the function that reads its value.
type CounterSeries = (Family, &'static str, fn(&Stats) -> u64);

const COUNTERS: [CounterSeries; 45] = [
    (Family::Packets, "received", |it| it.received),
    (Family::Packets, "forwarded", |it| it.counts.passed),
    (Family::Packets, "reopened", |it| it.counts.reopened),
    (Family::Packets, "repeated", |it| it.counts.repeated),
    (Family::Flows, "opened", |it| it.counts.opened),
    (Family::Flows, "moved", |it| it.counts.moved),
    (Family::Flows, "reset-no-route", |it| it.counts.no_route),
    (Family::Flows, "reset-no-target", |it| it.counts.no_target),
    (Family::Flows, "reset-full", |it| it.counts.full),
    (Family::Flows, "reset-evacuated", |it| it.counts.evacuated),
    (Family::Flows, "reset-warming", |it| it.counts.warming),
    (Family::Flows, "reset-away", |it| it.counts.away),
    (Family::Flows, "evacuated-avoided", |it| it.counts.avoided),
    (Family::Flows, "warming-spared", |it| it.counts.spared),
    (Family::Flows, "target-filled", |it| it.counts.filled),
    (Family::Flows, "target-excluded", |it| it.counts.excluded),
    (Family::Flows, "target-readmitted", |it| it.counts.readmitted),
    (Family::Flows, "held", |it| it.counts.held),
    (Family::Flows, "reset-busy", |it| it.counts.busy),
    (Family::Flows, "reset-shed", |it| it.counts.shed),
    (Family::Flows, "retried", |it| it.counts.retried),
    (Family::Flows, "left-idle", |it| it.counts.left_idle),
    (Family::Flows, "rejected", |it| it.counts.rejected),
    (Family::Flows, "reset-target-lost", |it| it.counts.lost),
    (Family::Drops, "unmarked", |it| it.counts.unmarked),
    (Family::Drops, "unknown-mark", |it| it.counts.unknown),
    (Family::Drops, "superseded", |it| it.counts.superseded),
    (Family::Drops, "record-clash", |it| it.collisions),
    (Family::Drops, "oversize", |it| it.wire.oversize),
    (Family::Drops, "empty", |it| it.wire.empty),
    (Family::Drops, "send-full", |it| it.wire.full),
    (Family::Drops, "send-unreachable", |it| it.wire.unreachable),
    (Family::Drops, "send-mtu", |it| it.wire.mtu),
    (Family::Drops, "send-failed", |it| it.wire.failed),
    (Family::Pauses, "slept", |it| it.counts.pauses),
    (Family::Platform, "restored", |it| it.counts.restores),
    (Family::Probes, "asked", |it| it.counts.asked),
    (Family::Probes, "answers", |it| it.counts.found[ProbeResult::Answers as usize]),
    (Family::Probes, "declines", |it| it.counts.found[ProbeResult::Declines as usize]),
    (Family::Probes, "gone", |it| it.counts.found[ProbeResult::Gone as usize]),
    (Family::Probes, "silent", |it| it.counts.found[ProbeResult::Silent as usize]),
    (Family::Requests, "served", |it| it.counts.requests[Outcome::Served as usize]),
    (Family::Requests, "failed", |it| it.counts.requests[Outcome::Failed as usize]),
    (Family::Requests, "unanswered", |it| it.counts.requests[Outcome::Unanswered as usize]),
    (Family::Requests, "unknown", |it| it.counts.requests[Outcome::Unknown as usize]),
];

/// A gauge and the function that reads its value.
type GaugeSeries = (Gauge, fn(&Stats) -> u64);

const GAUGES: [GaugeSeries; 13] = [
    (Gauge::Ready, |it| u64::from(it.ready)),
    (Gauge::FlowsHeld, |it| it.flows),
    (Gauge::MembersLive, |it| it.members + 1),
    (Gauge::BundleVersion, |it| it.version),
    (Gauge::Reading, |it| u64::from(it.reading)),
    (Gauge::CatalogRevision, |it| it.revision.count),
    (Gauge::CatalogEra, |it| it.revision.era.into()),
    (Gauge::TargetsLive, |it| it.live_and_lost.0 as u64),
    (Gauge::TargetsLost, |it| it.live_and_lost.1 as u64),
    (Gauge::TargetsFull, |it| it.full as u64),
    (Gauge::TargetsExcluded, |it| it.excluded as u64),
    (Gauge::DomainsEvacuated, |it| it.evacuated as u64),
    (Gauge::RoutesOmitted, |it| u64::from(it.omitted)),
];

/// Registers the metrics.
pub fn register(
    meters: &Meters,
    published: &SharedStats,
    calls: &Arc<CallCounts>,
    sink: Option<LogSink>,
    clock: Clock,
) {
    for (family, label, value) in COUNTERS {
        let read = published.clone();
        meters.observe_counter(family, label, move || value(&read.get()));
    }
    for error in PacketError::ALL {
        let read = published.clone();
        let value = move || read.get().malformed[error as usize];
        meters.observe_counter(Family::Drops, error.label(), value);
    }
    for (gauge, value) in GAUGES {
        let read = published.clone();
        meters.observe_gauge(gauge, move || value(&read.get()));
    }
    let read = published.clone();
    meters.observe_gauge(Gauge::CatalogAge, move || {
        read.get().confirmed.map_or(u64::MAX, |at| clock.now().since(at).0)
    });
    let read = calls.clone();
    meters.observe_counter(Family::Platform, "answered", move || read.answered.load(Relaxed));
    let read = calls.clone();
    meters.observe_counter(Family::Platform, "failed", move || read.failed.load(Relaxed));
    let read = calls.clone();
    meters.observe_counter(Family::Drops, "record", move || read.omitted.load(Relaxed));
    let read = calls.clone();
    meters.observe_counter(Family::Platform, "assumed", move || read.assumed.load(Relaxed));
    if let Some(sink) = sink {
        meters.observe_counter(Family::Rings, "log", move || sink.lost());
    }
}

/// Records measured times and events of flows, with a cache of the meters in use.
#[derive(Clone)]
pub struct ServiceMeters {
    meters: Meters,
    classes: Map<(ServiceName, Class), Arc<ClassMeters>>,
    levels: Map<(ServiceName, usize), LevelMeters>,
}

impl ServiceMeters {
    /// Creates a recorder for these metrics.
    pub fn new(meters: Meters) -> ServiceMeters {
        ServiceMeters { meters, classes: Map::default(), levels: Map::default() }
    }

    /// Counts an event of a flow of a level of a service.
    pub fn count(&mut self, service: &ServiceName, level: Level, event: FlowEvent) {
        let (key, meters) = ((service.clone(), level.rank()), &self.meters);
        let counters =
            self.levels.entry(key).or_insert_with_key(|(it, rank)| meters.level(it, *rank));
        match event {
            FlowEvent::Opened => counters.opened.add(1),
            FlowEvent::Held => counters.held.add(1),
            FlowEvent::Refused => counters.refused.add(1),
        }
    }

    /// Records a time of a class of a service.
    pub fn record(&mut self, service: &ServiceName, class: Class, span: Span) {
        let key = (service.clone(), class);
        let meters = &self.meters;
        let times = self.classes.entry(key).or_insert_with(|| meters.class(service, class));
        match span {
            Span::Handshake(span) => times.record_handshake(Duration::from_millis(span.0)),
            Span::Answer(span) => times.record_answer(Duration::from_millis(span.0)),
            Span::Length(span) => times.record_lifetime(Duration::from_millis(span.0)),
        }
    }
}
