//! Sends adverts to keepers: the exceptions, that is the flows of moved buckets
//! that go elsewhere than to the bucket's present owner.
//!
//! Only exceptions are sent, and at a bounded rate, because a node has a few
//! kilobytes a second for control traffic. Flows opened here are sent first:
//! each flow has one opener, so this gives the keepers all flows of live
//! openers with the least traffic. Flows that only passed here follow, for
//! openers that are gone.

use super::Sink;
use crate::{
    collections::{Map, Set},
    flows::{Certainty, Flows},
    ids::{FlowId, InstanceName, ServiceName, TargetName},
    keepers::Keepers,
    message::Advert,
    time::Millis,
    view::{ServiceKey, ServiceView, TargetId, View},
};
use std::collections::VecDeque;

/// Marks a service whose flows have to be scanned again.
const STALE: u64 = u64::MAX;

/// Maximum number of flows advertised a second; at 16 bytes each this is 2
/// KB/s.
const FLOWS_PER_SECOND: u64 = 128;

/// Maximum number of flows advertised at once after a quiet time, so that a
/// single move is advertised without delay.
const BURST: u64 = 128;

/// A token bucket that is given the time and has no clock of its own.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: u64,
    burst: u64,
    credit: u64,
    last: Millis,
}

impl TokenBucket {
    /// Allows `rate` tokens a second and `burst` at once.
    pub fn new(rate: u64, burst: u64) -> TokenBucket {
        TokenBucket { rate, burst, credit: burst * 1000, last: Millis(0) }
    }

    /// Takes one token. Returns false if none is left.
    pub fn try_take(&mut self, now: Millis) -> bool {
        let earned = now.since(self.last).0.saturating_mul(self.rate);
        self.last = self.last.max(now);
        self.credit = self.credit.saturating_add(earned).min(self.burst * 1000);
        let has = self.credit >= 1000;
        self.credit -= if has { 1000 } else { 0 };
        has
    }
}

/// One flow to advertise to one keeper.
#[derive(Debug)]
struct QueuedFlow {
    keeper: InstanceName,
    service: ServiceName,
    flow: FlowId,
    target: TargetId,
}

/// The state of a service for which its flows were last scanned.
#[derive(Debug, PartialEq, Eq)]
struct Scanned {
    revision: u64,
    keepers: Keepers,
    leaving: bool,
}

/// The adverts that are still to be sent.
#[derive(Debug)]
pub(super) struct Adverts {
    queue: VecDeque<QueuedFlow>,
    scanned: Map<ServiceName, Scanned>,
    /// Services whose keepers have not been sent the final advert.
    unfinished: Set<ServiceName>,
    tokens: TokenBucket,
    refreshed: Millis,
}

impl Default for Adverts {
    fn default() -> Adverts {
        Adverts {
            queue: VecDeque::new(),
            scanned: Map::default(),
            unfinished: Set::default(),
            tokens: TokenBucket::new(FLOWS_PER_SECOND, BURST),
            refreshed: Millis(0),
        }
    }
}

impl Adverts {
    /// Queues the exceptions of the services that changed since their last
    /// scan.
    pub(super) fn queue_changed(&mut self, view: &View, flows: &Flows) {
        let changed: Vec<_> = view
            .services
            .iter()
            .filter(|service| service.may_have_exceptions() && !service.is_pending())
            .filter(|service| self.scanned.get(&service.spec.name) != Some(&scan_of(view, service)))
            .cloned()
            .collect();
        if changed.is_empty() {
            return;
        }
        let mut moved = Set::default();
        for service in &changed {
            let name = &service.spec.name;
            let scanned = self.scanned.get(name);
            if scanned.is_some_and(|scanned| scanned.keepers != service.keepers) {
                moved.insert(service.key);
            }
            self.scanned.insert(name.clone(), scan_of(view, service));
            self.unfinished.insert(name.clone());
            self.queue.retain(|item| &item.service != name);
        }
        let wanted: Vec<_> = view
            .services
            .iter()
            .map(|service| changed.iter().any(|other| other.key == service.key))
            .collect();
        self.queue_exceptions(view, flows, &wanted, &moved);
    }

    /// Queues the exceptions of the `wanted` services. Flows that this instance
    /// knows only from adverts are advertised only for services whose keepers
    /// have changed (`moved`): their openers may be gone, and then no other
    /// instance would advertise them to the new keepers.
    fn queue_exceptions(
        &mut self,
        view: &View,
        flows: &Flows,
        wanted: &[bool],
        moved: &Set<ServiceKey>,
    ) {
        let positions = view.service_positions();
        let mut later = Vec::new();
        for (id, flow) in flows.iter() {
            let position = positions[flow.target.0 as usize].filter(|&position| wanted[position]);
            let Some(service) = position.map(|position| &view.services[position]) else {
                continue;
            };
            match flow.certainty {
                Certainty::Opened => self.push(view, service, id, flow.target),
                Certainty::Observed | Certainty::Guessed => later.push((service, id, flow.target)),
                Certainty::Advertised if moved.contains(&service.key) => {
                    later.push((service, id, flow.target));
                }
                Certainty::Advertised => {}
            }
        }
        for (service, id, target) in later {
            self.push(view, service, id, target);
        }
    }

    fn push(&mut self, view: &View, service: &ServiceView, flow: FlowId, target: TargetId) {
        let bucket = service.bucket(flow);
        let state = service.state(bucket);
        // A leaving instance also advertises flows that go to the present
        // owner. They are no exceptions, but while an earlier departure keeps
        // the keepers from vouching for the bucket, an unknown flow is treated
        // as an exception.
        if !state.may_have_exceptions() || state.owner == Some(target) && !view.leaving {
            return;
        }
        for keeper in service.keepers.of(bucket).filter(|name| **name != view.me) {
            let (keeper, service) = (keeper.clone(), service.spec.name.clone());
            self.queue.push_back(QueuedFlow { keeper, service, flow, target });
        }
    }

    /// Whether nothing is left to send.
    pub(super) fn is_done(&self) -> bool {
        self.queue.is_empty() && self.unfinished.is_empty()
    }

    /// Queues a flow that turned out to be an exception for its keepers.
    pub(super) fn push_exception(&mut self, view: &View, flow: FlowId, target: TargetId) {
        let name = &view.registry.get(target).service;
        if let Some(service) = view.service(name) {
            self.push(view, service, flow, target);
        }
    }

    /// Sends queued flows as far as the token bucket allows. Once all flows of
    /// a service are sent, says so to its keepers.
    pub(super) fn send(&mut self, view: &View, flows: &Flows, now: Millis, sink: &mut impl Sink) {
        let mut batches: Map<(InstanceName, ServiceName), Vec<(FlowId, TargetName)>> =
            Map::default();
        while !self.queue.is_empty() && self.tokens.try_take(now) {
            let Some(item) = self.queue.pop_front() else { break };
            if flows.get(item.flow).is_none() {
                continue;
            }
            let name = view.registry.get(item.target).name.clone();
            batches.entry((item.keeper, item.service)).or_default().push((item.flow, name));
        }
        for ((keeper, service), flows) in batches {
            let sender = view.me.clone();
            sink.send_advert(&keeper, Advert { sender, service, flows, advertised: None });
        }
        self.send_completions(view, sink);
    }

    fn send_completions(&mut self, view: &View, sink: &mut impl Sink) {
        if self.unfinished.is_empty() {
            return;
        }
        let queued: Set<_> = self.queue.iter().map(|item| item.service.clone()).collect();
        let done: Vec<_> =
            self.unfinished.iter().filter(|name| !queued.contains(*name)).cloned().collect();
        for name in done {
            self.unfinished.remove(&name);
            let Some(service) = view.service(&name) else { continue };
            for keeper in service.keepers.all().iter().filter(|keeper| **keeper != view.me) {
                let (sender, service_name) = (view.me.clone(), name.clone());
                let advertised = Some(service.stamp.0);
                let flows = Vec::new();
                sink.send_advert(
                    keeper,
                    Advert { sender, service: service_name, flows, advertised },
                );
            }
        }
    }

    /// Advertises the exceptions again, once per keep-alive interval, because a
    /// keeper forgets a flow of which it receives no advert any more.
    pub(super) fn refresh(&mut self, view: &View, flows: &Flows, now: Millis) {
        let period = view.bundle.services.iter().map(|s| s.keepalive).min();
        if period.is_some_and(|period| now.since(self.refreshed) >= period) {
            self.refreshed = now;
            // The recorded keepers stay, so that a change of them is still
            // detected.
            self.scanned.values_mut().for_each(|scanned| scanned.revision = STALE);
            self.queue_changed(view, flows);
        }
    }
}

fn scan_of(view: &View, service: &ServiceView) -> Scanned {
    let (revision, keepers) = (service.revision, service.keepers.clone());
    Scanned { revision, keepers, leaving: view.leaving }
}
