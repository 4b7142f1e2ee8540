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
    backlog::{Backlog, Waiting, max_wait},
    limit::{ConcurrencyLimit, InFlight},
};

/// What is under way at a service, and what waits for it.
#[derive(Debug, Default)]
pub(super) struct Room {
    limit: ConcurrencyLimit,
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
    work: InFlight,
    /// This instance's part of the slots of all targets.
    part: f32,
}

impl Forwarder {
    /// Tells how many instances of this failure domain there are, this one included.
    pub fn set_near(&mut self, count: usize) {
        self.near = count.max(1);
    }

    /// Counts the failure domains that have targets. Instances of the others are not
    /// known here; there are taken to be as many in each.
    pub(super) fn count_domains(&mut self) {
        let domains: Set<_> = self.catalog.entries().map(|it| &it.target.domain).collect();
        self.domains = domains.len().max(1);
    }

    /// About how many instances there are.
    pub(super) fn instances(&self) -> usize {
        self.near * self.domains
    }

    /// Drops what is known of services that have no targets any more.
    pub(super) fn forget_rooms(&mut self) {
        let catalog = &self.catalog;
        self.rooms.retain(|service, room| {
            !room.backlog.is_empty() || catalog.targets(service).next().is_some()
        });
        self.heard.retain(|service| catalog.targets(service).next().is_some());
    }

    /// Whether a flow waits to be opened.
    pub(super) fn is_held(&self, key: &FlowKey) -> bool {
        self.held.contains_key(key)
    }

    /// Has the flow wait if its service has no room; gives it back if it has.
    pub(super) fn hold(
        &mut self,
        it: NewFlow,
        goal: Option<Millis>,
        now: Millis,
        out: &mut impl Output,
    ) -> Option<NewFlow> {
        let Some(goal) = goal else { return Some(it) };
        let is_open = self
            .rooms
            .get(&it.service)
            .is_none_or(|room| room.backlog.is_empty() && room.limit.is_unlimited(now));
        if is_open {
            return Some(it);
        }
        let Load { work, .. } = self.load(&it.service);
        let room = self.rooms.entry(it.service.clone()).or_default();
        if room.backlog.can_bypass(it.class) && room.limit.admits(it.class, work, now) {
            return Some(it);
        }
        let deadline = now + max_wait(goal);
        let waiting = Waiting { key: it.key, class: it.class, since: now, deadline };
        let count = room.backlog.len();
        if room.backlog.push(waiting).is_some() {
            self.refuse(&it.key, Refusal::Busy, out);
            return None;
        }
        self.counts.held += 1;
        let pressure = room.limit.pressure();
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
    pub(super) fn forget(&mut self, key: &FlowKey) {
        let Some(it) = self.held.remove(key) else { return };
        if let Some(room) = self.rooms.get_mut(&it.service) {
            room.backlog.remove(*key);
        }
    }

    /// Takes in how long a request to a target took.
    pub(super) fn hear_answer(
        &mut self,
        target: Incarnation,
        goal: Millis,
        span: Millis,
        now: Millis,
    ) {
        let Some(entry) = self.catalog.entry(target) else { return };
        let service = entry.target.service.clone();
        if !self.rooms.entry(service.clone()).or_default().limit.record_answer(span, goal, now) {
            return;
        }
        let Load { work, part } = self.load(&service);
        if let Some(room) = self.rooms.get_mut(&service) {
            room.limit.adjust(work.all, part, now);
        }
    }

    /// Opens what has waited and finds room now, and turns away what has waited too
    /// long.
    pub(super) fn release(&mut self, now: Millis, out: &mut impl Output) {
        if self.held.is_empty() {
            return;
        }
        let services: Vec<ServiceName> = self.rooms.keys().cloned().collect();
        for service in services {
            self.open_held(&service, now, out);
            self.expire(&service, now, out);
        }
    }

    fn open_held(&mut self, service: &ServiceName, now: Millis, out: &mut impl Output) {
        loop {
            let Load { work, .. } = self.load(service);
            let Some(room) = self.rooms.get_mut(service) else { return };
            let Some(next) = room.backlog.peek() else { return };
            if !room.limit.admits(next.class, work, now) {
                return;
            }
            room.backlog.remove(next.key);
            if let Some(it) = self.held.remove(&next.key) {
                self.place_late(it, next.since, now, out);
            }
        }
    }

    fn expire(&mut self, service: &ServiceName, now: Millis, out: &mut impl Output) {
        loop {
            let Some(room) = self.rooms.get_mut(service) else { return };
            let Some(late) = room.backlog.pop_expired(now) else { return };
            if self.held.remove(&late.key).is_some() {
                self.refuse(&late.key, Refusal::Busy, out);
            }
        }
    }

    /// Opens a flow that has waited since `asked`, by the config that is in force now.
    fn place_late(&mut self, mut it: NewFlow, asked: Millis, now: Millis, out: &mut impl Output) {
        it.waited = now.since(asked);
        let Some(route) = self.catalog.route(it.key.service) else {
            return self.refuse(&it.key, Refusal::NoRoute, out);
        };
        if !route.shares.iter().any(|share| share.service == it.service) {
            it.service = route.pick_service(self.random.draw()).clone();
        }
        self.place(it, now, out);
    }

    /// How long answers of a service take, in hundredths of their goals, and how many
    /// flows wait for it.
    pub(super) fn room(&self, service: &ServiceName) -> (u32, u64) {
        let room = self.rooms.get(service);
        room.map_or((0, 0), |room| (room.limit.pressure(), room.backlog.len() as u64))
    }

    /// When the first flow has waited too long.
    pub(super) fn patience(&self) -> Option<Millis> {
        self.rooms.values().filter_map(|room| room.backlog.next_deadline()).min()
    }

    fn load(&self, service: &ServiceName) -> Load {
        let (mut work, mut slots) = (InFlight::default(), 0);
        for entry in self.catalog.targets(service) {
            let Some(state) = self.states.get(&entry.target.incarnation) else { continue };
            // What goes on in an evacuated domain takes no room from those that are used.
            if self.is_emptied(&entry.target.domain) {
                continue;
            }
            work.all += state.working + state.opening;
            work.requests += state.requests;
            if !entry.target.leaving && !state.health.is_lost() && entry.is_listed() {
                slots += entry.target.slots;
            }
        }
        Load { work, part: slots as f32 / self.instances() as f32 }
    }
}

/// The goal that decides whether flows of a route wait, if any does.
///
/// Uploads don't wait: most of their time is that of their bytes on the way, which says
/// nothing about the targets.
pub(super) fn goal(route: &Route) -> Option<Millis> {
    route.objective.filter(|_| route.class != Class::Upload)
}

/// The rooms of all services.
pub(super) type Rooms = Map<ServiceName, Room>;
