//! A run of the simulation: a fleet, its traffic and the measured results.

use crate::baseline::{Baseline, SiteHistory, active_targets};
use medlarspur_lib::{bundle::Bundle, collections::Map, time::Millis};
use medlarspur_testutils::{
    bundles::{FEEDS, SiteBuilder, UPLOADS},
    fleet::{Fleet, Network, State},
    traffic::{Distribution, Flow, SegmentKind, Step, Traffic},
};
use std::{net::SocketAddrV4, sync::Arc};

/// Maximum time between two packets of a flow.
const KEEPALIVE: Millis = Millis::secs(30);
/// Number of flows opened at the same time.
const BATCH: usize = 10;
/// Time between two batches, for two thousand new flows per second.
const BATCH_INTERVAL: Millis = Millis(5);
/// Step of the virtual time at which control bytes per second are counted.
const STEP: Millis = Millis(100);
/// Time in which the fabric still sends to an instance that is gone.
const LIST_LAG: Millis = Millis::secs(1);

/// A run of the simulation.
pub struct Run {
    /// The instances.
    pub fleet: Fleet,
    /// The flows.
    pub traffic: Traffic,
    /// Number of failure domains.
    pub domains: u64,
    /// Time at which a target began to leave; `None` if none is leaving.
    pub leaving_since: Option<Millis>,
    site: SiteBuilder,
    history: SiteHistory,
    listed: Vec<usize>,
    second_start: (Millis, u64),
    peak: u64,
}

impl Run {
    /// Creates a run with a fleet that has warmed up.
    pub fn new(instances: usize, domains: u64, distribution: Distribution, seed: u64) -> Run {
        let site = SiteBuilder::new(14, 4);
        let fleet =
            Fleet::new(instances, domains, &site.bundle(), Network { seed, ..Network::default() });
        let listed: Vec<_> = (0..instances).collect();
        let traffic = Traffic::new(distribution, listed.clone());
        let mut history = SiteHistory::default();
        history.publish(Millis(0), site.bundle());
        Run {
            fleet,
            traffic,
            domains,
            leaving_since: None,
            site,
            history,
            listed,
            second_start: (Millis(0), 0),
            peak: 0,
        }
    }

    /// Advances the time and records the peak of the control bytes per second.
    pub fn advance(&mut self, span: Millis) {
        let end = self.fleet.now + span;
        while self.fleet.now < end {
            self.fleet.advance(end.since(self.fleet.now).min(STEP));
            if self.fleet.now.since(self.second_start.0) >= Millis::secs(1) {
                self.peak = self.peak.max(self.fleet.control_bytes - self.second_start.1);
                self.second_start = (self.fleet.now, self.fleet.control_bytes);
            }
        }
    }

    /// Opens flows, a fifth of them uploads, and sends the second packet of each after
    /// [`BATCH_INTERVAL`].
    pub fn open(&mut self, count: usize) {
        for first in (0..count).step_by(BATCH) {
            let flows: Vec<_> = (first..(first + BATCH).min(count))
                .map(|number| if number.is_multiple_of(5) { UPLOADS } else { FEEDS })
                .map(|service| self.traffic.open(&mut self.fleet, service))
                .collect();
            self.advance(BATCH_INTERVAL);
            self.traffic.record_arrivals(&mut self.fleet);
            for flow in flows {
                self.traffic.send(&mut self.fleet, flow, SegmentKind::Continue);
            }
        }
        self.settle();
    }

    /// Sends a packet of every flow, spread over [`KEEPALIVE`].
    pub fn keep_alive(&mut self) {
        let (start, count) = (self.fleet.now, self.traffic.flows.len());
        for flow in 0..count {
            self.traffic.send(&mut self.fleet, flow, SegmentKind::Continue);
            let due = Millis(KEEPALIVE.0 * (flow as u64 + 1) / count as u64);
            let pause = Millis(due.0.saturating_sub(self.fleet.now.since(start).0));
            self.advance(pause);
        }
        self.settle();
    }

    fn settle(&mut self) {
        self.advance(Millis(100));
        self.traffic.record_arrivals(&mut self.fleet);
    }

    /// Publishes the bundle of the site that `change` returns.
    pub fn publish(&mut self, change: impl FnOnce(SiteBuilder) -> SiteBuilder) {
        self.site = change(self.site.clone());
        let bundle = self.site.bundle();
        self.fleet.publish(&bundle);
        self.history.publish(self.fleet.now, bundle);
    }

    /// Publishes a bundle in which a target is leaving.
    pub fn start_leaving(&mut self, target: &str) {
        self.publish(|site| site.leaving(target));
        self.leaving_since = Some(self.fleet.now);
    }

    /// Publishes a bundle in which a leaving target is active again.
    pub fn cancel_leaving(&mut self, target: &str) {
        self.publish(|site| site.returning(target));
        self.leaving_since = None;
    }

    /// Kills an instance, which stays in the fabric's list until [`Self::unlist`].
    pub fn kill(&mut self, ix: usize) {
        self.fleet.kill(ix);
        self.history.remove_instance(ix, self.fleet.now);
    }

    /// Removes an instance from the fabric's list after the list's lag, during which
    /// new flows are opened.
    pub fn unlist(&mut self, ix: usize) {
        self.open((LIST_LAG.0 / BATCH_INTERVAL.0) as usize * BATCH);
        self.listed.retain(|&other| other != ix);
        self.traffic.set_instances(self.listed.clone());
    }

    /// Makes an instance leave in an orderly way.
    pub fn leave(&mut self, ix: usize) {
        self.fleet.leave(ix);
        self.unlist(ix);
        self.fleet.retire(ix);
        self.history.remove_instance(ix, self.fleet.now);
    }

    /// Starts an instance, which gets packets at once.
    pub fn join(&mut self) {
        self.listed.push(self.fleet.join());
        self.traffic.set_instances(self.listed.clone());
    }

    /// Starts counting control bytes. Returns the time and the present total.
    pub fn start_counting(&mut self) -> (Millis, u64) {
        self.peak = 0;
        self.second_start = (self.fleet.now, self.fleet.control_bytes);
        self.second_start
    }

    /// Returns control bytes per second and instance since `start`: their mean, and
    /// those of the worst second.
    pub fn control_rates(&self, start: (Millis, u64)) -> [u64; 2] {
        let up = self.fleet.nodes.iter().filter(|node| node.state != State::Gone).count() as u64;
        let millis = self.fleet.now.since(start.0).0.max(1);
        [(self.fleet.control_bytes - start.1) * 1000 / millis / up, self.peak / up]
    }

    /// Number of flows whose last packet reached no target.
    pub fn silent(&self) -> usize {
        let silent = |flow: &&Flow| matches!(flow.trace.last(), Some(Step::Sent(..)));
        self.traffic.flows.iter().filter(silent).count()
    }

    /// Time from `since` to the last opening of a flow at a target.
    pub fn last_new(&self, target: SocketAddrV4, since: Millis) -> Millis {
        let flows = self.traffic.flows.iter().filter(|flow| flow.target == Some(target));
        flows.map(|flow| flow.opened).max().unwrap_or(since).since(since)
    }

    /// Returns the number of broken flows and the imbalance of the fleet.
    pub fn outcome(&self) -> (usize, f64) {
        let broken = self.traffic.flows.iter().filter(|flow| flow.broken).count();
        let ends = self.traffic.flows.iter().filter_map(|flow| flow.target);
        (broken, imbalance(&self.site.bundle(), ends))
    }

    /// Returns the number of broken flows and the imbalance of a baseline on the same packets.
    pub fn baseline(&self, baseline: Baseline) -> (usize, f64) {
        let replays: Vec<_> =
            self.traffic.flows.iter().map(|flow| self.history.replay(baseline, flow)).collect();
        let broken = replays.iter().filter(|replay| replay.broken).count();
        (broken, imbalance(&self.site.bundle(), replays.iter().filter_map(|replay| replay.last)))
    }
}

/// Returns the largest number of flows of an active target divided by the mean, for
/// the service where this is larger.
fn imbalance(bundle: &Arc<Bundle>, ends: impl Iterator<Item = SocketAddrV4>) -> f64 {
    let mut counts: Map<SocketAddrV4, usize> = Map::default();
    for target in ends {
        *counts.entry(target).or_default() += 1;
    }
    let ratio = |service: &Arc<medlarspur_lib::bundle::Service>| {
        let each: Vec<_> = active_targets(service)
            .map(|target| counts.get(&target).copied().unwrap_or(0))
            .collect();
        let mean = each.iter().sum::<usize>() as f64 / each.len() as f64;
        each.into_iter().max().unwrap_or(0) as f64 / mean
    };
    bundle.services.iter().map(ratio).fold(0.0, f64::max)
}
