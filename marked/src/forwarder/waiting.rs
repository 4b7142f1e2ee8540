//! Holding of new flows while their service has no capacity.
//!
//! `medlarspur_load::{backlog, limit}` decide the order and the amount of work in flight;
//! they describe the load patterns that this is for.

use super::{FlowEvent, Forwarder, Output, Refusal, excess::Excess};
use crate::{FlowKey, Note, Route, last_copy::LastCopy};
use medlarspur_lib::{
    bundle::Class,
    collections::{Map, Set},
    ids::ServiceName,
    time::Millis,
};
use medlarspur_load::{
    backlog::{Backlog, Waiting, max_wait},
    limit::{ConcurrencyLimit, InFlight},
    priority::Level,
};

/// Admission state of a service: its concurrency limit and the held flows.
#[derive(Debug, Default)]
pub(super) struct Admission {
    limit: ConcurrencyLimit,
    pub(super) backlog: Backlog<FlowKey>,
    pub(super) excess: Excess,
}

/// A new flow without a target.
#[derive(Debug, Clone)]
pub(super) struct NewFlow {
    pub(super) key: FlowKey,
    /// Sequence number of the opening packet.
    pub(super) seq: u32,
    pub(super) class: Class,
    /// The service chosen for the flow, if its route is split.
    pub(super) service: ServiceName,
    /// The opening packet.
    pub(super) packet: Box<[u8]>,
    /// The last copy of the opening packet that arrived.
    pub(super) last_copy: LastCopy,
    /// Time for which the flow has been held.
    pub(super) waited: Millis,
}

/// Work in flight at a service, as far as this instance sees it.
#[derive(Debug, Clone, Copy)]
struct Load {
    work: InFlight,
    /// This instance's share of the slots of all targets.
    slot_share: f32,
}

impl Forwarder {
    /// Sets the number of instances in this failure domain, including this one.
    pub fn set_domain_size(&mut self, count: usize) {
        self.domain_size = count.max(1);
    }

    /// Counts the failure domains that have targets. Instances of other domains are not known
    /// here; their number is assumed to be the same in each.
    pub(super) fn count_domains(&mut self) {
        let domains: Set<_> = self.catalog.entries().map(|it| &it.target.domain).collect();
        self.domain_count = domains.len().max(1);
    }

    /// Estimated number of all instances.
    pub(super) fn instance_count(&self) -> usize {
        self.domain_size * self.domain_count
    }

    /// Removes the admission state and estimates of services without targets.
    pub(super) fn drop_unused_services(&mut self) {
        let catalog = &self.catalog;
        self.admissions.retain(|service, admission| {
            !admission.backlog.is_empty() || catalog.targets(service).next().is_some()
        });
        self.estimates.retain(|service| catalog.targets(service).next().is_some());
        self.outcomes.retain(|route| catalog.route(route).is_some());
    }

    /// Whether a flow is held.
    pub(super) fn is_held(&self, key: &FlowKey) -> bool {
        self.held.contains_key(key)
    }

    /// Holds a flow if its service has no capacity; returns it otherwise.
    pub(super) fn hold_if_busy(
        &mut self,
        it: NewFlow,
        objective: Option<Millis>,
        now: Millis,
        out: &mut impl Output,
    ) -> Option<NewFlow> {
        let Some(objective) = objective else { return Some(it) };
        let is_repeated = self.record_attempt(&it, now);
        let is_open = self.admissions.get(&it.service).is_none_or(|admission| {
            admission.backlog.is_empty() && admission.limit.is_unlimited(now)
        });
        if is_open {
            return Some(it);
        }
        let Load { work, .. } = self.load(&it.service);
        let level = self.level(&it.service, it.class, &it.key);
        let admission = self.admissions.entry(it.service.clone()).or_default();
        if admission.backlog.can_bypass(level) && admission.limit.admits(level, work, now) {
            return Some(it);
        }
        let turn = self.turn(&it, level, is_repeated, now);
        self.record_held(&it.service, now);
        self.make_room(&it.service, level, now, out);
        let admission = self.admissions.entry(it.service.clone()).or_default();
        let deadline = now + max_wait(objective);
        let waiting = Waiting { key: it.key, level, since: now, deadline };
        let (pressure, count) = (admission.limit.pressure(), admission.backlog.len());
        if admission.backlog.push_with_turn(waiting, turn).is_some() {
            self.refuse_waiting(&it.service, &waiting, Refusal::Busy, now, out);
            return None;
        }
        let NewFlow { key, class, service, .. } = it.clone();
        self.held.insert(key, it);
        self.shed_held(&service, now, out);
        if self.is_held(&key) {
            self.counts.held += 1;
            out.count(&service, level, FlowEvent::Held);
            let work = work.total();
            out.note(Note::Held { flow: key, class, level, work, pressure, waiting: count });
        }
        None
    }

    /// Refuses a held flow of a lower level if the backlog is full. Without priorities in the
    /// config, no held flow gives way.
    fn make_room(
        &mut self,
        service: &ServiceName,
        level: Level,
        now: Millis,
        out: &mut impl Output,
    ) {
        if !self.levels.has_priorities() {
            return;
        }
        let Some(admission) = self.admissions.get_mut(service) else { return };
        let Some(evicted) = admission.backlog.make_room(level) else { return };
        self.refuse_held(service, &evicted, Refusal::Busy, now, out);
    }

    /// Replaces the levels of held flows after a change of priorities.
    pub(super) fn update_held_levels(&mut self) {
        let Forwarder { catalog, levels, held, admissions, .. } = self;
        for (service, admission) in admissions {
            admission.backlog.set_levels(|key| {
                let class = held.get(&key).map(|it| it.class);
                class.map(|class| levels.level(catalog, service, class, &key)).unwrap_or_default()
            });
        }
    }

    /// Removes a held flow that its caller has given up.
    pub(super) fn cancel_held(&mut self, key: &FlowKey) {
        let Some(it) = self.held.remove(key) else { return };
        if let Some(admission) = self.admissions.get_mut(&it.service) {
            admission.backlog.remove(*key);
        }
    }

    /// Adds the answer time of a request to the service's limit.
    pub(super) fn record_answer(
        &mut self,
        service: &ServiceName,
        objective: Millis,
        span: Millis,
        now: Millis,
    ) {
        if !self
            .admissions
            .entry(service.clone())
            .or_default()
            .limit
            .record_answer(span, objective, now)
        {
            return;
        }
        let Load { work, slot_share } = self.load(service);
        if let Some(admission) = self.admissions.get_mut(service) {
            admission.limit.adjust(work.total(), slot_share, now);
        }
    }

    /// Lowers the limit of a service after a request that targets rejected in an overload.
    pub(super) fn lower_limit(&mut self, service: &ServiceName, now: Millis) {
        let Load { work, slot_share } = self.load(service);
        if let Some(admission) = self.admissions.get_mut(service) {
            admission.limit.record_rejection(work.total(), slot_share, now);
        }
    }

    /// Refuses a held flow that was removed from the backlog. If the next copy of its opening
    /// went to another instance, the flow may be open there, and is only dropped here.
    pub(super) fn refuse_held(
        &mut self,
        service: &ServiceName,
        it: &Waiting<FlowKey>,
        refusal: Refusal,
        now: Millis,
        out: &mut impl Output,
    ) {
        let Some(held) = self.held.remove(&it.key) else { return };
        if held.last_copy.is_followed_elsewhere(now) {
            self.counts.superseded += 1;
            let waited = held.last_copy.age(now);
            out.note(Note::Superseded { flow: it.key, waited });
            return;
        }
        self.refuse_waiting(service, it, refusal, now, out);
    }

    /// Refuses a flow that can't wait, or no longer.
    fn refuse_waiting(
        &mut self,
        service: &ServiceName,
        it: &Waiting<FlowKey>,
        refusal: Refusal,
        now: Millis,
        out: &mut impl Output,
    ) {
        self.record_refusal(service, it.level, &it.key, now);
        self.refuse_level(&it.key, refusal, service, it.level, out);
    }

    /// Opens held flows for which there is capacity, and refuses those that were held for too
    /// long or can't be opened in time.
    pub(super) fn release_held(&mut self, now: Millis, out: &mut impl Output) {
        if self.held.is_empty() {
            return;
        }
        let services: Vec<ServiceName> = self.admissions.keys().cloned().collect();
        for service in services {
            self.open_held(&service, now, out);
            self.refuse_expired(&service, now, out);
            self.shed_held(&service, now, out);
        }
    }

    fn open_held(&mut self, service: &ServiceName, now: Millis, out: &mut impl Output) {
        loop {
            let Load { work, .. } = self.load(service);
            let Some(admission) = self.admissions.get_mut(service) else { return };
            let Some(first) = admission.backlog.peek() else { return };
            if !admission.limit.admits(first.level, work, now) {
                return;
            }
            let held = &self.held;
            let is_current = |it: &Waiting<FlowKey>| {
                held.get(&it.key).is_some_and(|held| !held.last_copy.is_superseded(now))
            };
            let Some(next) = admission.backlog.peek_matching(is_current) else { return };
            if !admission.limit.admits(next.level, work, now) {
                return;
            }
            admission.backlog.remove(next.key);
            if let Some(it) = self.held.remove(&next.key) {
                self.place_held(it, next.since, now, out);
            }
        }
    }

    fn refuse_expired(&mut self, service: &ServiceName, now: Millis, out: &mut impl Output) {
        loop {
            let Some(admission) = self.admissions.get_mut(service) else { return };
            let Some(late) = admission.backlog.pop_expired(now) else { return };
            self.refuse_held(service, &late, Refusal::Busy, now, out);
        }
    }

    /// Opens a flow that was held since `since`, by the config now in force.
    fn place_held(&mut self, mut it: NewFlow, since: Millis, now: Millis, out: &mut impl Output) {
        it.waited = now.since(since);
        let Some(route) = self.catalog.route(it.key.service) else {
            return self.refuse(&it.key, Refusal::NoRoute, out);
        };
        if !route.shares.iter().any(|share| share.service == it.service) {
            it.service = route.pick_service(self.random.draw()).clone();
        }
        self.place(it, now, out);
    }

    /// Answer time of a service in hundredths of its latency objective, and numbers of flows
    /// held for it by rank of their level, down to the lowest one that is held.
    pub(super) fn pressure_and_backlog(&self, service: &ServiceName) -> (u32, Vec<u64>) {
        let admission = self.admissions.get(service);
        admission.map_or((0, Vec::new()), |admission| {
            (admission.limit.pressure(), admission.backlog.count_by_level())
        })
    }

    /// The time at which the first held flow has waited too long.
    pub(super) fn held_deadline(&self) -> Option<Millis> {
        self.admissions.values().filter_map(|admission| admission.backlog.next_deadline()).min()
    }

    fn load(&self, service: &ServiceName) -> Load {
        let (mut work, mut slots) = (InFlight::default(), 0);
        for entry in self.catalog.targets(service) {
            let Some(state) = self.states.get(&entry.target.incarnation) else { continue };
            // Work in an evacuated domain takes no capacity from the domains in use.
            if self.is_evacuation_active(&entry.target.domain) {
                continue;
            }
            work += state.work;
            let is_usable = !entry.target.leaving && !state.health.is_lost() && entry.is_listed();
            if is_usable && !self.is_outlier(entry) {
                slots += entry.target.slots;
            }
        }
        Load { work, slot_share: slots as f32 / self.instance_count() as f32 }
    }
}

/// The latency objective that decides whether flows of a route are held, if there is one.
///
/// Uploads are not held: most of their time is spent on transferring their bytes, which says
/// nothing about the targets.
pub(super) fn objective(route: &Route) -> Option<Millis> {
    route.objective.filter(|_| route.class != Class::Upload)
}

/// Admission states by service.
pub(super) type Admissions = Map<ServiceName, Admission>;
