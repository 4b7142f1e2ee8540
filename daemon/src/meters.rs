//! Registration of the metrics.
//!
//! Each thread keeps its own counters and publishes copies at intervals. A scrape reads
//! the copies, so it never delays a thread.

use crate::shared::{Shared, Stage};
use medlarspur_fabric::Counts as SocketCounts;
use medlarspur_lib::{bundle::BundleError, members::MemberState, view::View};
use medlarspur_operator::{Family, Gauge, Meters};
use medlarspur_peer::{Counters as PeerCounters, MessageKind};
use medlarspur_platform::Counts as PlatformCounts;
use medlarspur_target::Counts as ProbeCounts;
use std::sync::{Arc, atomic::Ordering::Relaxed};

/// Label of bundles that came into force.
pub const ACCEPTED: &str = "accepted";
/// Label of bundles whose parts, received from peers, don't match.
pub const INCOMPLETE: &str = "incomplete";

/// Label of a series and the function that reads its value.
type Series<T> = (&'static str, fn(&T) -> u64);

const SOCKETS: [Series<SocketCounts>; 7] = [
    ("oversize", |counts| counts.oversize),
    ("empty", |counts| counts.empty),
    ("send-full", |counts| counts.full),
    ("send-unreachable", |counts| counts.unreachable),
    ("send-mtu", |counts| counts.mtu),
    ("send-failed", |counts| counts.failed),
    ("receive-failed", |counts| counts.transient_errors),
];

const PLATFORM: [Series<PlatformCounts>; 7] = [
    ("changed", |counts| counts.changed),
    ("unchanged", |counts| counts.unchanged),
    ("unreachable", |counts| counts.unreachable),
    ("timeout", |counts| counts.timeout),
    ("status", |counts| counts.status),
    ("oversize", |counts| counts.oversize),
    ("malformed", |counts| counts.malformed),
];

const PROBES: [Series<ProbeCounts>; 5] = [
    ("healthy", |counts| counts.healthy),
    ("unhealthy", |counts| counts.unhealthy),
    ("unreachable", |counts| counts.unreachable),
    ("refused", |counts| counts.refused),
    ("mute", |counts| counts.no_report),
];

const MESSAGES: [Series<PeerCounters>; 8] = [
    ("sent", |counters| counters.sent.iter().map(|it| it.messages).sum()),
    ("received", |counters| counters.received.iter().map(|it| it.messages).sum()),
    ("dropped", |counters| counters.dropped),
    ("unread", |counters| counters.unread),
    ("failed", |counters| counters.failed),
    ("foreign", |counters| counters.foreign),
    ("oversize", |counters| counters.oversize),
    ("malformed", |counters| counters.malformed),
];

/// Registers the metrics of all shared state.
pub fn register(meters: &Meters, shared: &Arc<Shared>) {
    let read = shared.clone();
    meters.observe_forwarder(move || read.counters.load_full());
    register_bundles(meters);
    register_sockets(meters, shared);
    register_platform(meters, shared);
    register_probes(meters, shared);
    register_peers(meters, shared);
    register_gauges(meters, shared);
    let read = shared.clone();
    meters.observe_counter(Family::Rings, "threads", move || read.overruns.load(Relaxed));
}

fn register_bundles(meters: &Meters) {
    for label in BundleError::REASONS.into_iter().chain([ACCEPTED, INCOMPLETE]) {
        meters.counter(Family::Bundles, label);
    }
}

fn register_sockets(meters: &Meters, shared: &Arc<Shared>) {
    for (label, value) in SOCKETS {
        let read = shared.clone();
        meters.observe_counter(Family::Drops, label, move || {
            value(&read.fabric.load()) + value(&read.questions.load())
        });
    }
}

fn register_platform(meters: &Meters, shared: &Arc<Shared>) {
    for (label, value) in PLATFORM {
        let read = shared.clone();
        meters.observe_counter(Family::Platform, label, move || value(&read.platform.load()));
    }
    let read = shared.clone();
    meters.observe_counter(Family::Rings, "platform", move || read.platform.load().full);
}

fn register_probes(meters: &Meters, shared: &Arc<Shared>) {
    for (label, value) in PROBES {
        let read = shared.clone();
        meters.observe_counter(Family::Probes, label, move || value(&read.probes.load()));
    }
    let read = shared.clone();
    meters.observe_counter(Family::Rings, "probes", move || read.probes.load().full);
}

fn register_peers(meters: &Meters, shared: &Arc<Shared>) {
    for (label, value) in MESSAGES {
        let read = shared.clone();
        meters.observe_counter(Family::Messages, label, move || value(&read.peers.load()));
    }
    for (ix, kind) in MessageKind::ALL.into_iter().enumerate() {
        let (sent, received) = (shared.clone(), shared.clone());
        meters.observe_counter(Family::ControlSent, kind.name(), move || {
            sent.peers.load().sent[ix].bytes
        });
        meters.observe_counter(Family::ControlReceived, kind.name(), move || {
            received.peers.load().received[ix].bytes
        });
    }
}

fn register_gauges(meters: &Meters, shared: &Arc<Shared>) {
    let gauge = |gauge, value: fn(&Shared) -> u64| {
        let read = shared.clone();
        meters.observe_gauge(gauge, move || value(&read));
    };
    gauge(Gauge::Ready, |shared| u64::from(shared.stage() == Stage::Serving));
    gauge(Gauge::FlowsHeld, |shared| shared.flows.load(Relaxed));
    gauge(Gauge::MembersLive, |shared| view_value(shared, count_live));
    gauge(Gauge::BundleVersion, |shared| view_value(shared, |view| view.bundle.version.0));
    gauge(Gauge::BundleConflict, |shared| u64::from(shared.conflict.load(Relaxed)));
    gauge(Gauge::BucketsMoving, |shared| view_value(shared, count_moving));
    gauge(Gauge::PlatformReachable, |shared| u64::from(shared.platform.load().reachable));
}

fn view_value(shared: &Shared, value: fn(&View) -> u64) -> u64 {
    shared.view.load().as_ref().map_or(0, |view| value(view))
}

fn count_live(view: &View) -> u64 {
    view.members.iter().filter(|member| member.state == MemberState::Live).count() as u64
}

fn count_moving(view: &View) -> u64 {
    let buckets = view.services.iter().flat_map(|service| &service.buckets);
    buckets.filter(|bucket| bucket.may_have_exceptions()).count() as u64
}
