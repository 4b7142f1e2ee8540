//! What this instance keeps for others, and what it may say of flows that it
//! does not know.
//!
//! "No exception" sends a flow to its bucket's present owner, so a keeper says
//! it only when every live instance has told it everything up to the present
//! stamp of the service. Otherwise a keeper that has just taken over the duty
//! would deny flows it was not told of yet, and their feeds would break.

use super::Site;
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

/// Up to which stamp an instance has told all, and in which of its incarnations.
#[derive(Debug, Clone, Copy)]
struct Progress {
    incarnation: Incarnation,
    stamp: Stamp,
}

/// An instance that is gone, with what it told before.
#[derive(Debug)]
struct Gone {
    at: Millis,
    progress: Map<ServiceName, Stamp>,
}

/// The buckets of a service that had exceptions at the last look.
#[derive(Debug, Default)]
struct Swept {
    revision: u64,
    busy: Set<Bucket>,
}

impl Swept {
    fn new(service: &ServiceView) -> Swept {
        Swept { revision: service.revision, busy: Set::default() }
    }
}

/// The buckets of a service of which a keeper said that none is left.
#[derive(Debug, Default)]
struct Cleared {
    revision: u64,
    buckets: Set<Bucket>,
}

#[derive(Debug, Default)]
pub(super) struct Keeping {
    progress: Map<ServiceName, Map<InstanceName, Progress>>,
    incarnations: Map<InstanceName, Incarnation>,
    gone: Vec<Gone>,
    missed: Map<InstanceName, Incarnation>,
    keepers: Map<ServiceName, Keepers>,
    born: Option<Millis>,
    swept: Map<ServiceName, Swept>,
    cleared: Map<ServiceName, Cleared>,
}

impl Keeping {
    /// Takes over who is there. What an instance told before it went still
    /// counts: if that was all, its flows are known, else they are orphans for
    /// as long as a flow may be silent.
    ///
    /// Answers whether one has come back that was missed and had not ended: the
    /// two were cut off from each other.
    pub(super) fn update_members(&mut self, view: &View, now: Millis) -> bool {
        self.born.get_or_insert(now);
        let incarnations: Map<_, _> =
            view.others().map(|member| (member.name.clone(), member.incarnation)).collect();
        for (name, incarnation) in &self.incarnations {
            if incarnations.get(name) != Some(incarnation) {
                self.gone.push(Gone { at: now, progress: progress_of(&self.progress, name) });
                self.missed.insert(name.clone(), *incarnation);
            }
        }
        let longest = view.bundle.services.iter().map(|s| s.keepalive).max();
        self.gone.retain(|gone| now.since(gone.at) < longest.unwrap_or_default() + DETECTION_TIME);
        self.forget_told(view);
        for progress in self.progress.values_mut() {
            progress.retain(|name, progress| incarnations.get(name) == Some(&progress.incarnation));
        }
        let mut healed = false;
        self.missed.retain(|name, incarnation| {
            healed |= incarnations.get(name) == Some(incarnation);
            !incarnations.contains_key(name)
        });
        self.incarnations = incarnations;
        healed
    }

    /// Forgets what was told of services whose keepers have changed. Who kept
    /// other buckets of a service before has been told that all is told, but
    /// not the exceptions of the buckets that it keeps now; it would deny them
    /// until they come.
    fn forget_told(&mut self, view: &View) {
        for service in view.services.iter().filter(|service| service.may_have_exceptions()) {
            let name = &service.spec.name;
            if self.keepers.get(name) != Some(&service.keepers) {
                self.keepers.insert(name.clone(), service.keepers.clone());
                self.progress.remove(name);
                self.swept.remove(name);
            }
        }
    }

    /// Notes that buckets have exceptions that came after the last look. Before
    /// the next one these buckets would be called empty, and all who ask would
    /// send their unknown flows to the present owner from then on.
    pub(super) fn note(&mut self, view: &View, advert: &Advert) {
        let Some(service) = view.service(&advert.service) else { return };
        if let Some(swept) = self.swept.get_mut(&advert.service) {
            swept.busy.extend(advert.flows.iter().map(|(id, _)| service.bucket(*id)));
        }
    }

    /// Notes that a flow of this place is an exception, known here first.
    pub(super) fn note_exception(&mut self, site: &Site<'_>) {
        if let Some(swept) = self.swept.get_mut(&site.service.spec.name) {
            swept.busy.insert(site.service.bucket(site.id));
        }
    }

    /// Notes how far an instance has told all.
    pub(super) fn record_progress(&mut self, advert: &Advert) {
        let (Some(stamp), Some(&incarnation)) =
            (advert.advertised, self.incarnations.get(&advert.sender))
        else {
            return;
        };
        let service = self.progress.entry(advert.service.clone()).or_default();
        service.insert(advert.sender.clone(), Progress { incarnation, stamp: Stamp(stamp) });
    }

    /// What to answer to a question.
    pub(super) fn look_up(
        &self,
        view: &View,
        flows: &Flows,
        q: &Question,
        now: Millis,
    ) -> LookupResult {
        // A guess counts too: where it was wrong, the flow is broken already.
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

    /// Whether all have told their exceptions of what moved up to `stamp`.
    fn is_complete(&self, service: &ServiceView, stamp: Stamp, now: Millis) -> bool {
        let name = &service.spec.name;
        let progress = self.progress.get(name);
        let by_all = self.incarnations.keys().all(|name| {
            progress
                .and_then(|progress| progress.get(name))
                .is_some_and(|progress| progress.stamp >= stamp)
        });
        let orphan = |gone: &Gone| {
            now.since(gone.at) < service.spec.keepalive + DETECTION_TIME
                && gone.progress.get(name).is_none_or(|progress| *progress < stamp)
        };
        // One that went before this instance came could have told it nothing.
        let is_young =
            self.born.is_none_or(|born| now.since(born) < service.spec.keepalive + DETECTION_TIME);
        by_all && !is_young && !self.gone.iter().any(orphan)
    }

    fn is_empty(&self, service: &ServiceView, bucket: Bucket, now: Millis) -> bool {
        let state = service.state(bucket);
        let swept = self.swept.get(&service.spec.name);
        !state.is_settling(now)
            && swept.is_some_and(|s| s.revision == service.revision && !s.busy.contains(&bucket))
    }

    /// Looks which buckets still have exceptions.
    pub(super) fn sweep(&mut self, view: &View, flows: &Flows, now: Millis) {
        self.swept = view
            .services
            .iter()
            .filter(|service| self.may_clear(service, now))
            .map(|service| (service.spec.name.clone(), Swept::new(service)))
            .collect();
        if self.swept.is_empty() {
            return;
        }
        let positions = view.service_positions();
        for (id, flow) in flows.iter() {
            let Some(position) = positions[flow.target.0 as usize] else { continue };
            let service = &view.services[position];
            let bucket = service.bucket(id);
            if service.state(bucket).owner != Some(flow.target)
                && let Some(swept) = self.swept.get_mut(&service.spec.name)
            {
                swept.busy.insert(bucket);
            }
        }
    }

    fn may_clear(&self, service: &ServiceView, now: Millis) -> bool {
        service.may_have_exceptions()
            && !service.is_pending()
            && self.is_complete(service, service.stamp, now)
    }

    /// Notes that a keeper said that a bucket has no exceptions left.
    pub(super) fn clear(&mut self, site: &Site<'_>) {
        let service = site.service;
        let cleared = self.cleared.entry(service.spec.name.clone()).or_default();
        if cleared.revision != service.revision {
            *cleared = Cleared { revision: service.revision, buckets: Set::default() };
        }
        cleared.buckets.insert(service.bucket(site.id));
    }

    /// Whether a bucket has no exceptions left since its last move.
    pub(super) fn is_clear(&self, site: &Site<'_>) -> bool {
        let service = site.service;
        self.cleared.get(&service.spec.name).is_some_and(|cleared| {
            cleared.revision == service.revision
                && cleared.buckets.contains(&service.bucket(site.id))
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
