//! The state of this instance as a keeper, and its answers about flows that it
//! does not know.
//!
//! The answer "no exception" sends a flow to its bucket's present owner. A
//! keeper gives it only when every live instance has advertised everything up
//! to the service's present stamp. Otherwise an instance that has just become a
//! keeper would deny flows that it has received no advert of yet, and their
//! feeds would break.

use super::Context;
use crate::{
    collections::{Map, Set},
    flows::Flows,
    ids::{Bucket, Incarnation, InstanceName, ServiceName},
    keepers::Keepers,
    message::Advert,
    question::{LookupResult, Question},
    time::Millis,
    view::{DETECTION_TIME, ServiceView, Stamp, View},
};

/// The stamp up to which an incarnation of an instance has advertised all its
/// exceptions.
#[derive(Debug, Clone, Copy)]
struct Progress {
    incarnation: Incarnation,
    stamp: Stamp,
}

/// An instance that is gone, with the stamps up to which it had advertised.
#[derive(Debug)]
struct Departed {
    at: Millis,
    progress: Map<ServiceName, Stamp>,
}

/// The buckets of a service that had exceptions at the last scan.
#[derive(Debug, Default)]
struct ExceptionScan {
    revision: u64,
    buckets: Set<Bucket>,
}

impl ExceptionScan {
    fn new(service: &ServiceView) -> ExceptionScan {
        ExceptionScan { revision: service.revision, buckets: Set::default() }
    }
}

/// The buckets of a service for which a keeper reported that no exception is
/// left.
#[derive(Debug, Default)]
struct Cleared {
    revision: u64,
    buckets: Set<Bucket>,
}

/// The state of this instance as a keeper.
#[derive(Debug, Default)]
pub(super) struct KeeperState {
    progress: Map<ServiceName, Map<InstanceName, Progress>>,
    /// The other instances of the present view.
    incarnations: Map<InstanceName, Incarnation>,
    departed: Vec<Departed>,
    /// Departed instances that have not come back, with their incarnation.
    absent: Map<InstanceName, Incarnation>,
    keepers: Map<ServiceName, Keepers>,
    started: Option<Millis>,
    scans: Map<ServiceName, ExceptionScan>,
    cleared: Map<ServiceName, Cleared>,
}

impl KeeperState {
    /// Takes over the members of a view. What an instance advertised before it
    /// went still counts: if that was everything, its flows are known;
    /// otherwise they are orphans for as long as a flow may be silent.
    ///
    /// Returns whether an instance came back that was absent and had not
    /// restarted: the two were partitioned.
    pub(super) fn update_members(&mut self, view: &View, now: Millis) -> bool {
        self.started.get_or_insert(now);
        let incarnations: Map<_, _> =
            view.others().map(|member| (member.name.clone(), member.incarnation)).collect();
        for (name, incarnation) in &self.incarnations {
            if incarnations.get(name) != Some(incarnation) {
                self.departed
                    .push(Departed { at: now, progress: progress_of(&self.progress, name) });
                self.absent.insert(name.clone(), *incarnation);
            }
        }
        let longest = view.bundle.services.iter().map(|s| s.keepalive).max();
        self.departed.retain(|departed| {
            now.since(departed.at) < longest.unwrap_or_default() + DETECTION_TIME
        });
        self.forget_changed_keepers(view);
        for progress in self.progress.values_mut() {
            progress.retain(|name, progress| incarnations.get(name) == Some(&progress.incarnation));
        }
        let mut healed = false;
        self.absent.retain(|name, incarnation| {
            healed |= incarnations.get(name) == Some(incarnation);
            !incarnations.contains_key(name)
        });
        self.incarnations = incarnations;
        healed
    }

    /// Discards the progress and the scan of services whose keepers have
    /// changed. An instance that kept other buckets of a service before has
    /// received all adverts for those, but not for the buckets that it keeps
    /// now, and would deny their exceptions until they arrive.
    fn forget_changed_keepers(&mut self, view: &View) {
        for service in view.services.iter().filter(|service| service.may_have_exceptions()) {
            let name = &service.spec.name;
            if self.keepers.get(name) != Some(&service.keepers) {
                self.keepers.insert(name.clone(), service.keepers.clone());
                self.progress.remove(name);
                self.scans.remove(name);
            }
        }
    }

    /// Records the buckets of exceptions that arrived after the last scan.
    /// Otherwise these buckets would be reported as empty until the next scan,
    /// and all instances that ask would send their unknown flows to the present
    /// owner from then on.
    pub(super) fn record_advert(&mut self, view: &View, advert: &Advert) {
        let Some(service) = view.service(&advert.service) else { return };
        if let Some(scan) = self.scans.get_mut(&advert.service) {
            scan.buckets.extend(advert.flows.iter().map(|(id, _)| service.bucket(*id)));
        }
    }

    /// Records the bucket of an exception that this instance found itself.
    pub(super) fn record_exception(&mut self, ctx: &Context<'_>) {
        if let Some(scan) = self.scans.get_mut(&ctx.service.spec.name) {
            scan.buckets.insert(ctx.service.bucket(ctx.id));
        }
    }

    /// Records the stamp up to which an instance has advertised everything.
    pub(super) fn record_progress(&mut self, advert: &Advert) {
        let (Some(stamp), Some(&incarnation)) =
            (advert.advertised, self.incarnations.get(&advert.sender))
        else {
            return;
        };
        let service = self.progress.entry(advert.service.clone()).or_default();
        service.insert(advert.sender.clone(), Progress { incarnation, stamp: Stamp(stamp) });
    }

    /// Answers a question about a flow.
    pub(super) fn look_up(
        &self,
        view: &View,
        flows: &Flows,
        q: &Question,
        now: Millis,
    ) -> LookupResult {
        // A guessed target counts too: if it was wrong, the flow is broken
        // already.
        if let Some(flow) = flows.get(q.flow) {
            return LookupResult::Known(view.registry.get(flow.target).key);
        }
        let Some(service) = view.service_by_key(q.service) else { return LookupResult::Unknown };
        let bucket = service.bucket(q.flow);
        let keeps = service.keepers.of(bucket).any(|name| name == &view.me);
        if !keeps
            || service.is_pending()
            || !self.is_complete(service, service.state(bucket).stamp(), now)
        {
            return LookupResult::Unknown;
        }
        LookupResult::NoException { empty: self.is_empty(service, bucket, now) }
    }

    /// Whether all instances have advertised their exceptions of the moves up
    /// to `stamp`.
    fn is_complete(&self, service: &ServiceView, stamp: Stamp, now: Millis) -> bool {
        let name = &service.spec.name;
        let progress = self.progress.get(name);
        let by_all = self.incarnations.keys().all(|name| {
            progress
                .and_then(|progress| progress.get(name))
                .is_some_and(|progress| progress.stamp >= stamp)
        });
        let orphan = |departed: &Departed| {
            now.since(departed.at) < service.spec.keepalive + DETECTION_TIME
                && departed.progress.get(name).is_none_or(|progress| *progress < stamp)
        };
        // An instance that went before this one started could not advertise to
        // it.
        let is_young = self
            .started
            .is_none_or(|started| now.since(started) < service.spec.keepalive + DETECTION_TIME);
        by_all && !is_young && !self.departed.iter().any(orphan)
    }

    fn is_empty(&self, service: &ServiceView, bucket: Bucket, now: Millis) -> bool {
        let state = service.state(bucket);
        let scan = self.scans.get(&service.spec.name);
        !state.is_settling(now)
            && scan.is_some_and(|s| s.revision == service.revision && !s.buckets.contains(&bucket))
    }

    /// Determines which buckets still have exceptions.
    pub(super) fn scan_exceptions(&mut self, view: &View, flows: &Flows, now: Millis) {
        self.scans = view
            .services
            .iter()
            .filter(|service| self.can_scan(service, now))
            .map(|service| (service.spec.name.clone(), ExceptionScan::new(service)))
            .collect();
        if self.scans.is_empty() {
            return;
        }
        let positions = view.service_positions();
        for (id, flow) in flows.iter() {
            let Some(position) = positions[flow.target.0 as usize] else { continue };
            let service = &view.services[position];
            let bucket = service.bucket(id);
            if service.state(bucket).owner != Some(flow.target)
                && let Some(scan) = self.scans.get_mut(&service.spec.name)
            {
                scan.buckets.insert(bucket);
            }
        }
    }

    fn can_scan(&self, service: &ServiceView, now: Millis) -> bool {
        service.may_have_exceptions()
            && !service.is_pending()
            && self.is_complete(service, service.stamp, now)
    }

    /// Records that a keeper reported the bucket as having no exceptions left.
    pub(super) fn mark_clear(&mut self, ctx: &Context<'_>) {
        let service = ctx.service;
        let cleared = self.cleared.entry(service.spec.name.clone()).or_default();
        if cleared.revision != service.revision {
            *cleared = Cleared { revision: service.revision, buckets: Set::default() };
        }
        cleared.buckets.insert(service.bucket(ctx.id));
    }

    /// Whether the bucket has had no exceptions left since its last move.
    pub(super) fn is_clear(&self, ctx: &Context<'_>) -> bool {
        let service = ctx.service;
        self.cleared.get(&service.spec.name).is_some_and(|cleared| {
            cleared.revision == service.revision
                && cleared.buckets.contains(&service.bucket(ctx.id))
        })
    }
}

fn progress_of(
    progress: &Map<ServiceName, Map<InstanceName, Progress>>,
    name: &InstanceName,
) -> Map<ServiceName, Stamp> {
    let stamp =
        |progress: &Map<InstanceName, Progress>| progress.get(name).map(|progress| progress.stamp);
    progress
        .iter()
        .filter_map(|(service, progress)| Some((service.clone(), stamp(progress)?)))
        .collect()
}
