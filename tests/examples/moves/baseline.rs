//! Simpler load balancers, applied to the packets of a run.
//!
//! Each baseline chooses targets for the packets that the flows sent in the run,
//! at the instances that received them. Its instances all know a bundle from the
//! moment of its publication, which favours the baselines.

use medlarspur_lib::{
    bundle::{Bundle, Service, TargetState},
    collections::Map,
    packet::{FlowHasher, FlowKey},
    table,
    time::Millis,
};
use medlarspur_testutils::traffic::{Flow, SegmentKind, Step};
use std::{net::SocketAddrV4, sync::Arc};

/// A simpler algorithm to choose a target.
#[derive(Debug, Clone, Copy)]
pub enum Baseline {
    /// The flow's hash modulo the number of active targets.
    Modulo,
    /// The present owner of the flow's bucket.
    Consistent,
    /// The target that the instance used for the flow before. For the first packet
    /// of a flow it is the present owner of the bucket, and for an unknown flow the
    /// owner before the bucket's last move. No peer is asked.
    History,
}

/// Bundles and removed instances of a run.
#[derive(Debug, Default)]
pub struct SiteHistory {
    epochs: Vec<Epoch>,
    removed: Vec<(usize, Millis)>,
}

/// A bundle with the time from which it is in force and the owners of its buckets.
#[derive(Debug)]
struct Epoch {
    from: Millis,
    bundle: Arc<Bundle>,
    owners: Vec<Vec<SocketAddrV4>>,
}

/// Result of a flow with a baseline.
#[derive(Debug, Default)]
pub struct Replayed {
    /// The target of its last packet.
    pub last: Option<SocketAddrV4>,
    /// Whether a packet went to another target than its SYN.
    pub broken: bool,
}

impl SiteHistory {
    /// Records a bundle that is in force from `from` on.
    pub fn publish(&mut self, from: Millis, bundle: Arc<Bundle>) {
        let owners = bundle.services.iter().map(|service| owners(service)).collect();
        self.epochs.push(Epoch { from, bundle, owners });
    }

    /// Records that an instance gets no packets from `at` on.
    pub fn remove_instance(&mut self, instance: usize, at: Millis) {
        self.removed.push((instance, at));
    }

    /// Returns the result of a flow with a baseline.
    pub fn replay(&self, baseline: Baseline, flow: &Flow) -> Replayed {
        let mut replayed = Replayed::default();
        let mut observed = Map::default();
        let mut opened = None;
        for step in &flow.trace {
            let Step::Sent(at, kind, instance) = step else { continue };
            if self.removed.iter().any(|(removed, since)| removed == instance && since <= at) {
                continue;
            }
            let known = observed.get(instance).copied().filter(|_| *kind != SegmentKind::Open);
            let target = match baseline {
                Baseline::Modulo => self.modulo(*at, &flow.key),
                Baseline::Consistent => self.owner(*at, &flow.key),
                Baseline::History if *kind == SegmentKind::Open => self.owner(*at, &flow.key),
                Baseline::History => known.or_else(|| self.earlier(*at, &flow.key)),
            };
            observed.extend(target.map(|target| (*instance, target)));
            if *kind == SegmentKind::Open {
                opened = target;
            }
            replayed.broken |= target != opened;
            replayed.last = target;
        }
        replayed
    }

    fn modulo(&self, at: Millis, key: &FlowKey) -> Option<SocketAddrV4> {
        let bundle = &self.epochs_before(at).next()?.bundle;
        let service = service(bundle, key)?;
        let active: Vec<_> = active_targets(&bundle.services[service]).collect();
        let hash = FlowHasher::new(bundle.seed).id(key).0;
        active.get((hash % active.len().max(1) as u64) as usize).copied()
    }

    fn owner(&self, at: Millis, key: &FlowKey) -> Option<SocketAddrV4> {
        self.epochs_before(at).next()?.owner(key)
    }

    /// Returns the owner before the bucket's last move, or the present owner if the
    /// bucket never moved.
    fn earlier(&self, at: Millis, key: &FlowKey) -> Option<SocketAddrV4> {
        let now = self.owner(at, key);
        let mut owners = self.epochs_before(at).map(|epoch| epoch.owner(key));
        owners.find(|owner| *owner != now).unwrap_or(now)
    }

    /// Returns the epochs that have begun at `at`, the latest first.
    fn epochs_before(&self, at: Millis) -> impl Iterator<Item = &Epoch> {
        self.epochs.iter().rev().filter(move |epoch| epoch.from <= at)
    }
}

impl Epoch {
    fn owner(&self, key: &FlowKey) -> Option<SocketAddrV4> {
        let owners = &self.owners[service(&self.bundle, key)?];
        let hash = FlowHasher::new(self.bundle.seed).id(key).0;
        owners.get(hash as usize & (owners.len() - 1)).copied()
    }
}

fn owners(service: &Service) -> Vec<SocketAddrV4> {
    let assigned = table::assign_buckets(service).unwrap_or_default();
    assigned.iter().map(|target| service.targets[usize::from(target.0)].address).collect()
}

fn service(bundle: &Bundle, key: &FlowKey) -> Option<usize> {
    bundle.services.iter().position(|service| service.address == *key.service.ip())
}

/// Returns the addresses of the targets that take new flows.
pub fn active_targets(service: &Service) -> impl Iterator<Item = SocketAddrV4> {
    let takers = service.targets.iter().filter(|target| target.state == TargetState::Active);
    takers.map(|target| target.address)
}
