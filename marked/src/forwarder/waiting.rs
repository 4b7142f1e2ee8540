//! Having new flows wait while their service has no room.
//!
//! Which ones go first, and how much may be under way, is decided by
//! `medlarspur_load::{backlog, limit}`, which say for which patterns of load.

use super::{Forwarder, Output, Refusal};
use crate::{FlowKey, Incarnation, Note, Route};
use medlarspur_lib::{
    bundle::Class,
    collections::{Map, Set},
    ids::ServiceName,
    time::Millis,
};
use medlarspur_load::{
    backlog::{Backlog, Waiting, patience},
    limit::{Limit, Work},
};

/// What is under way at a service, and what waits for it.
#[derive(Debug, Default)]
pub(super) struct Admission {
    limit: Limit,
    backlog: Backlog<FlowKey>,
}

/// A new flow that wants to be opened.
#[derive(Debug, Clone)]
pub(super) struct NewFlow {
    pub(super) key: FlowKey,
    /// The number of its opening packet.
    pub(super) seq: u32,
    pub(super) class: Class,
    /// The service that it was drawn for, if its route is split.
    pub(super) service: ServiceName,
    /// Its opening packet.
    pub(super) packet: Box<[u8]>,
    /// How long its caller has waited for it to be opened.
    pub(super) waited: Millis,
}

/// Work under way at a service as far as this instance sees it.
#[derive(Debug, Clone, Copy)]
struct Load {
    work: Work,
    /// This instance's part of the slots of all targets.
    part: f32,
}

impl Forwarder {
    /// Tells how many instances of this failure domain there are, this one included.
    pub fn set_domain_size(&mut self, count: usize) {
        self.domain_size = count.max(1);
    }

    /// Counts the failure domains that have targets. Instances of the others are not
    /// known here; there are taken to be as many in each.
    pub(super) fn count_domains(&mut self) {
        let domains: Set<_> = self.catalog.entries().map(|it| &it.target.domain).collect();
        self.domain_count = domains.len().max(1);
    }

    /// About how many instances there are.
    pub(super) fn instance_count(&self) -> usize {
        self.domain_size * self.domain_count
    }

    /// Drops what is known of services that have no targets any more.
    pub(super) fn drop_unused_admissions(&mut self) {
        let catalog = &self.catalog;
        self.admissions.retain(|service, admission| {
            !admission.backlog.is_empty() || catalog.targets(service).next().is_some()
        });
        self.estimates.retain(|service| catalog.targets(service).next().is_some());
    }

    /// Whether a flow waits to be opened.
    pub(super) fn is_held(&self, key: &FlowKey) -> bool {
        self.held.contains_key(key)
    }

    /// Has the flow wait if its service has no room; gives it back if it has.
    pub(super) fn hold_if_busy(
        &mut self,
        it: NewFlow,
        objective: Option<Millis>,
        now: Millis,
        out: &mut impl Output,
    ) -> Option<NewFlow> {
        let Some(objective) = objective else { return Some(it) };
        let is_open = self
            .admissions
            .get(&it.service)
            .is_none_or(|admission| admission.backlog.is_empty() && admission.limit.is_open(now));
        if is_open {
            return Some(it);
        }
        let Load { work, .. } = self.load(&it.service);
        let admission = self.admissions.entry(it.service.clone()).or_default();
        if admission.backlog.admits(it.class) && admission.limit.admits(it.class, work, now) {
            return Some(it);
        }
        let until = now + patience(objective);
        let waiting = Waiting { key: it.key, class: it.class, asked: now, until };
        let count = admission.backlog.len();
        if admission.backlog.push(waiting).is_some() {
            self.refuse(&it.key, Refusal::Busy, out);
            return None;
        }
        self.counts.held += 1;
        let pressure = admission.limit.pressure();
        out.note(Note::Held {
            flow: it.key,
            class: it.class,
            work: work.all,
            pressure,
            waiting: count,
        });
        self.held.insert(it.key, it);
        None
    }

    /// Forgets a flow that waits and that its caller has given up.
    pub(super) fn cancel_held(&mut self, key: &FlowKey) {
        let Some(it) = self.held.remove(key) else { return };
        if let Some(admission) = self.admissions.get_mut(&it.service) {
            admission.backlog.remove(*key);
        }
    }

    /// Takes in how long a request to a target took.
    pub(super) fn record_answer(
        &mut self,
        target: Incarnation,
        objective: Millis,
        span: Millis,
        now: Millis,
    ) {
        let Some(entry) = self.catalog.entry(target) else { return };
        let service = entry.target.service.clone();
        if !self.admissions.entry(service.clone()).or_default().limit.hear(span, objective, now) {
            return;
        }
        let Load { work, part } = self.load(&service);
        if let Some(admission) = self.admissions.get_mut(&service) {
            admission.limit.adjust(work.all, part, now);
        }
    }

    /// Opens what has waited and finds room now, and turns away what has waited too
    /// long.
    pub(super) fn release_held(&mut self, now: Millis, out: &mut impl Output) {
        if self.held.is_empty() {
            return;
        }
        let services: Vec<ServiceName> = self.admissions.keys().cloned().collect();
        for service in services {
            self.open_held(&service, now, out);
            self.refuse_expired(&service, now, out);
        }
    }

    fn open_held(&mut self, service: &ServiceName, now: Millis, out: &mut impl Output) {
        loop {
            let Load { work, .. } = self.load(service);
            let Some(admission) = self.admissions.get_mut(service) else { return };
            let Some(next) = admission.backlog.next() else { return };
            if !admission.limit.admits(next.class, work, now) {
                return;
            }
            admission.backlog.remove(next.key);
            if let Some(it) = self.held.remove(&next.key) {
                self.place_held(it, next.asked, now, out);
            }
        }
    }

    fn refuse_expired(&mut self, service: &ServiceName, now: Millis, out: &mut impl Output) {
        loop {
            let Some(admission) = self.admissions.get_mut(service) else { return };
            let Some(late) = admission.backlog.expire(now) else { return };
            if self.held.remove(&late.key).is_some() {
                self.refuse(&late.key, Refusal::Busy, out);
            }
        }
    }

    /// Opens a flow that has waited since `asked`, by the config that is in force now.
    fn place_held(&mut self, mut it: NewFlow, asked: Millis, now: Millis, out: &mut impl Output) {
        it.waited = now.since(asked);
        let Some(route) = self.catalog.route(it.key.service) else {
            return self.refuse(&it.key, Refusal::NoRoute, out);
        };
        if !route.shares.iter().any(|share| share.service == it.service) {
            it.service = route.share(self.random.draw()).clone();
        }
        self.place(it, now, out);
    }

    /// How long answers of a service take, in hundredths of their goals, and how many
    /// flows wait for it.
    pub(super) fn pressure_and_backlog(&self, service: &ServiceName) -> (u32, u64) {
        let admission = self.admissions.get(service);
        admission.map_or((0, 0), |admission| {
            (admission.limit.pressure(), admission.backlog.len() as u64)
        })
    }

    /// When the first flow has waited too long.
    pub(super) fn held_deadline(&self) -> Option<Millis> {
        self.admissions.values().filter_map(|admission| admission.backlog.deadline()).min()
    }

    fn load(&self, service: &ServiceName) -> Load {
        let (mut work, mut slots) = (Work::default(), 0);
        for entry in self.catalog.targets(service) {
            let Some(state) = self.states.get(&entry.target.incarnation) else { continue };
            // What goes on in an evacuated domain takes no room from those that are used.
            if self.is_evacuation_active(&entry.target.domain) {
                continue;
            }
            work.all += state.working + state.opening;
            work.requests += state.requests;
            if !entry.target.leaving && !state.health.is_lost() && entry.is_listed() {
                slots += entry.target.slots;
            }
        }
        Load { work, part: slots as f32 / self.instance_count() as f32 }
    }
}

/// The goal that decides whether flows of a route wait, if any does.
///
/// Uploads don't wait: most of their time is that of their bytes on the way, which says
/// nothing about the targets.
pub(super) fn objective(route: &Route) -> Option<Millis> {
    route.goal.filter(|_| route.class != Class::Upload)
}

/// The rooms of all services.
pub(super) type Admissions = Map<ServiceName, Admission>;
