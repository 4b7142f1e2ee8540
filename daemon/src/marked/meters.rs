//! What the instance shows in its metrics.
//!
//! The main thread counts in numbers of its own and publishes a copy after each
//! round; a scrape reads the copy, so it never holds packets up.

use super::store::Calls;
use crate::{clock::Clock, sink::Sink};
use medlarspur_fabric::Counts as Wire;
use medlarspur_lib::{bundle::Class, collections::Map, ids::ServiceName, time::Millis};
use medlarspur_marked::{Counts, ProbeResult, Revision, Span};
use medlarspur_operator::{ClassMeters, Family, Gauge, Meters};
use medlarspur_platform::site::packet::PacketError;
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering::Relaxed},
    time::Duration,
};

/// A copy of what the main thread counts and knows.
#[derive(Debug, Default, Clone, Copy)]
pub struct Numbers {
    /// Packets that were taken from the fabric.
    pub received: u64,
    /// Packets that are none, by reason.
    pub malformed: [u64; PacketError::ALL.len()],
    /// What the forwarder counts.
    pub counts: Counts,
    /// What the socket counts.
    pub wire: Wire,
    /// Flows with a record.
    pub flows: u64,
    /// Other instances that are known.
    pub members: u64,
    /// Whether it is ready.
    pub ready: bool,
    /// Whether it reads the store.
    pub reading: bool,
    /// When its picture was confirmed last.
    pub confirmed: Option<Millis>,
    /// Up to which revision it knows all changes.
    pub revision: Revision,
    /// The version of the config in force.
    pub version: u64,
    /// Listed targets that answer, and that don't.
    pub reach: (usize, usize),
    /// Targets that take no openings.
    pub full: usize,
    /// Failure domains that operators have emptied.
    pub evacuated: usize,
    /// Routes of the config in force that can't be served.
    pub omitted: u32,
    /// Targets that were not taken because another one has their number.
    pub clashes: u64,
}

/// The copy that scrapes read.
#[derive(Debug, Default, Clone)]
pub struct Published(Arc<Mutex<Numbers>>);

impl Published {
    /// Replaces the copy.
    pub fn set(&self, numbers: Numbers) {
        *self.lock() = numbers;
    }

    fn get(&self) -> Numbers {
        *self.lock()
    }

    fn lock(&self) -> MutexGuard<'_, Numbers> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One series and where its value is found.
type Series = (Family, &'static str, fn(&Numbers) -> u64);

const SERIES: [Series; 33] = [
    (Family::Packets, "received", |it| it.received),
    (Family::Packets, "forwarded", |it| it.counts.forwarded),
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
    (Family::Flows, "evacuated-avoided", |it| it.counts.evacuated_avoided),
    (Family::Flows, "warming-spared", |it| it.counts.warming_spared),
    (Family::Flows, "target-filled", |it| it.counts.filled),
    (Family::Flows, "held", |it| it.counts.held),
    (Family::Flows, "reset-busy", |it| it.counts.busy),
    (Family::Flows, "reset-target-lost", |it| it.counts.lost),
    (Family::Drops, "unmarked", |it| it.counts.unmarked),
    (Family::Drops, "unknown-mark", |it| it.counts.unknown_mark),
    (Family::Drops, "record-clash", |it| it.clashes),
    (Family::Drops, "oversize", |it| it.wire.oversize),
    (Family::Drops, "empty", |it| it.wire.empty),
    (Family::Drops, "send-full", |it| it.wire.full),
    (Family::Drops, "send-unreachable", |it| it.wire.unreachable),
    (Family::Drops, "send-mtu", |it| it.wire.mtu),
    (Family::Drops, "send-failed", |it| it.wire.failed),
    (Family::Platform, "restored", |it| it.counts.restores),
    (Family::Probes, "asked", |it| it.counts.probes),
    (Family::Probes, "answers", |it| it.counts.probe_results[ProbeResult::Answers as usize]),
    (Family::Probes, "declines", |it| it.counts.probe_results[ProbeResult::Declines as usize]),
    (Family::Probes, "gone", |it| it.counts.probe_results[ProbeResult::Gone as usize]),
    (Family::Probes, "silent", |it| it.counts.probe_results[ProbeResult::Silent as usize]),
];

/// One gauge and where its value is found.
type Level = (Gauge, fn(&Numbers) -> u64);

const LEVELS: [Level; 12] = [
    (Gauge::Ready, |it| u64::from(it.ready)),
    (Gauge::FlowsHeld, |it| it.flows),
    (Gauge::MembersLive, |it| it.members + 1),
    (Gauge::BundleVersion, |it| it.version),
    (Gauge::Reading, |it| u64::from(it.reading)),
    (Gauge::PictureRevision, |it| it.revision.count),
    (Gauge::PictureEra, |it| it.revision.era.into()),
    (Gauge::TargetsLive, |it| it.reach.0 as u64),
    (Gauge::TargetsLost, |it| it.reach.1 as u64),
    (Gauge::TargetsFull, |it| it.full as u64),
    (Gauge::DomainsEvacuated, |it| it.evacuated as u64),
    (Gauge::RoutesOmitted, |it| u64::from(it.omitted)),
];

/// Shows all numbers.
pub fn register(
    meters: &Meters,
    published: &Published,
    calls: &Arc<Calls>,
    sink: Option<Sink>,
    clock: Clock,
) {
    for (family, label, value) in SERIES {
        let read = published.clone();
        meters.observe(family, label, move || value(&read.get()));
    }
    for error in PacketError::ALL {
        let read = published.clone();
        let value = move || read.get().malformed[error as usize];
        meters.observe(Family::Drops, error.label(), value);
    }
    for (gauge, value) in LEVELS {
        let read = published.clone();
        meters.gauge(gauge, move || value(&read.get()));
    }
    let read = published.clone();
    meters.gauge(Gauge::PictureAge, move || {
        read.get().confirmed.map_or(u64::MAX, |at| clock.now().since(at).0)
    });
    let read = calls.clone();
    meters.observe(Family::Platform, "answered", move || read.answered.load(Relaxed));
    let read = calls.clone();
    meters.observe(Family::Platform, "failed", move || read.failed.load(Relaxed));
    let read = calls.clone();
    meters.observe(Family::Drops, "record", move || read.omitted.load(Relaxed));
    let read = calls.clone();
    meters.observe(Family::Platform, "assumed", move || read.assumed.load(Relaxed));
    if let Some(sink) = sink {
        meters.observe(Family::Rings, "log", move || sink.lost());
    }
}

/// Records measured times, with the histograms at hand.
#[derive(Clone)]
pub struct Times {
    meters: Meters,
    classes: Map<(ServiceName, Class), Arc<ClassMeters>>,
}

impl Times {
    /// Records into these metrics.
    pub fn new(meters: Meters) -> Times {
        Times { meters, classes: Map::default() }
    }

    /// Records one time.
    pub fn record(&mut self, service: &ServiceName, class: Class, span: Span) {
        let key = (service.clone(), class);
        let meters = &self.meters;
        let times = self.classes.entry(key).or_insert_with(|| meters.class(service, class));
        match span {
            Span::Handshake(span) => times.handshake(Duration::from_millis(span.0)),
            Span::Answer(span) => times.answer(Duration::from_millis(span.0)),
            Span::Length(span) => times.length(Duration::from_millis(span.0)),
        }
    }
}
