//! What simpler load balancers would have done with the same packets.
//!
//! Each baseline decides on the packets that a flow sent in the run, at the
//! instances that got them. It learns of a bundle at the moment of its
//! publication and on all instances at once, which is kinder than the truth.

use medlarspur_lib::{
    bundle::{Bundle, Service, TargetState},
    collections::Map,
    packet::{FlowKey, Hasher},
    table,
    time::Millis,
};
use medlarspur_testutils::traffic::{Flow, SegmentKind, Step};
use std::{net::SocketAddrV4, sync::Arc};

/// A simpler way to choose a target.
#[derive(Debug, Clone, Copy)]
pub enum Baseline {
    /// The flow's hash modulo the number of targets that take new flows.
    Modulo,
    /// The owner of the flow's bucket now.
    Consistent,
    /// What the instance saw before; else, for a flow in its middle, the
    /// owner before the bucket's last move. No peer is asked.
    History,
}

/// What the baselines know.
#[derive(Debug, Default)]
pub struct SiteHistory {
    epochs: Vec<Epoch>,
    removed: Vec<(usize, Millis)>,
}

/// The time in which one bundle is in force.
#[derive(Debug)]
struct Epoch {
    from: Millis,
    bundle: Arc<Bundle>,
    owners: Vec<Vec<SocketAddrV4>>,
}

/// What became of a flow.
#[derive(Debug, Default)]
pub struct Replayed {
    /// The target that got its last packet.
    pub last: Option<SocketAddrV4>,
    /// Whether another target than the one that opened it got a packet.
    pub broken: bool,
}

impl SiteHistory {
    /// From now on a bundle is in force.
    pub fn publish(&mut self, from: Millis, bundle: Arc<Bundle>) {
        let owners = bundle.services.iter().map(|service| owners(service)).collect();
        self.epochs.push(Epoch { from, bundle, owners });
    }

    /// From now on an instance gets no packet.
    pub fn remove_instance(&mut self, instance: usize, at: Millis) {
        self.removed.push((instance, at));
    }

    /// What becomes of a flow under a baseline.
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
        let hash = Hasher::new(bundle.seed).id(key).0;
        active.get((hash % active.len().max(1) as u64) as usize).copied()
    }

    fn owner(&self, at: Millis, key: &FlowKey) -> Option<SocketAddrV4> {
        self.epochs_before(at).next()?.owner(key)
    }

    /// The owner before the last move, or the owner if none moved the bucket.
    fn earlier(&self, at: Millis, key: &FlowKey) -> Option<SocketAddrV4> {
        let now = self.owner(at, key);
        let mut owners = self.epochs_before(at).map(|epoch| epoch.owner(key));
        owners.find(|owner| *owner != now).unwrap_or(now)
    }

    /// The latest first.
    fn epochs_before(&self, at: Millis) -> impl Iterator<Item = &Epoch> {
        self.epochs.iter().rev().filter(move |epoch| epoch.from <= at)
    }
}

impl Epoch {
    fn owner(&self, key: &FlowKey) -> Option<SocketAddrV4> {
        let owners = &self.owners[service(&self.bundle, key)?];
        let hash = Hasher::new(self.bundle.seed).id(key).0;
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

/// The targets that take new flows.
pub fn active_targets(service: &Service) -> impl Iterator<Item = SocketAddrV4> {
    let takers = service.targets.iter().filter(|target| target.state == TargetState::Active);
    takers.map(|target| target.address)
}
