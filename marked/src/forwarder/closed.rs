//! Targets that live, have room and are to get no new flows all the same.
//!
//! Operators have emptied their failure domain; or the route's requests must stay in other
//! regions; or they are slow after their start and bear only so many requests a second from
//! all instances together. No instance sees what the others open there, so each such target
//! has one owner until it is warm, by [`warmup`], and gets nothing from others. The options
//! that were weighed are in `docs/design/evacuation.md`.

use super::Forwarder;
use crate::{Entry, FlowKey, Incarnation, Note, Warmup};
use medlarspur_lib::{
    ids::{DomainName, RegionName, ServiceName},
    time::Millis,
};
use medlarspur_load::warmup::{self, Seat};

/// Why a target that is listed and answers gets no new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Closed {
    /// Operators have emptied its failure domain.
    Evacuated,
    /// It is outside of the regions in which the route's requests must stay.
    Away,
    /// It is slow after its start, and its service bounds what it gets meanwhile.
    Warming,
}

/// What closes targets to new flows of a route, beside evacuations.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Bounds<'a> {
    warmup: Option<Warmup>,
    /// Where its requests must stay; anywhere if it is empty.
    regions: &'a [RegionName],
}

impl Bounds<'_> {
    /// Whether they close no target.
    pub(super) fn is_empty(&self) -> bool {
        self.warmup.is_none() && self.regions.is_empty()
    }
}

impl Forwarder {
    /// What closes targets of a service whatever the route is.
    pub(super) fn service_bounds(&self, service: &ServiceName) -> Bounds<'_> {
        let warmup = self.catalog.service(service).and_then(|it| it.warmup);
        Bounds { warmup, regions: &[] }
    }

    /// What closes targets of a service to new flows to an address and port.
    pub(super) fn bounds(&self, service: &ServiceName, flow: &FlowKey) -> Bounds<'_> {
        let regions = self.catalog.route(flow.service).map(|route| route.regions.as_slice());
        Bounds { regions: regions.unwrap_or_default(), ..self.service_bounds(service) }
    }

    /// Why a target is to get no new flows with these bounds, if anything says so.
    pub(super) fn closed(&self, entry: &Entry, bounds: Bounds<'_>, now: Millis) -> Option<Closed> {
        let domain = &entry.target.domain;
        if self.is_emptied(domain) {
            return Some(Closed::Evacuated);
        }
        if !self.is_within(domain, bounds.regions) {
            return Some(Closed::Away);
        }
        let warmup = bounds.warmup.filter(|it| self.is_slow(entry, *it, now))?;
        (!self.may_warm(entry, warmup, now)).then_some(Closed::Warming)
    }

    /// Whether a failure domain is in one of these regions, or they are none. One whose region
    /// is not known may be anywhere, so it is in none of them.
    fn is_within(&self, domain: &DomainName, regions: &[RegionName]) -> bool {
        let region = || self.tuning.regions.get(domain);
        regions.is_empty() || region().is_some_and(|region| regions.contains(region))
    }

    /// Whether a target is slow after its start, as far as this instance knows.
    fn is_slow(&self, entry: &Entry, warmup: Warmup, now: Millis) -> bool {
        // Targets that got nothing while their domain was evacuated may have become slow.
        // They say so some time after the evacuation has ended; until then they would get
        // all that is opened, being idle.
        let restored = self.catalog.evacuation_ended(&entry.target.domain);
        now < entry.cold_until || restored.is_some_and(|at| now < at + warmup.span)
    }

    /// Whether this instance owns a slow target and may open a flow there now.
    fn may_warm(&self, entry: &Entry, warmup: Warmup, now: Millis) -> bool {
        let last = self.states.get(&entry.target.incarnation).and_then(|state| state.warmed);
        self.owns(entry)
            && last.is_none_or(|at| now.since(at) >= warmup::opening_interval(warmup.rate))
    }

    /// Whether this instance's seat owns a target of its failure domain.
    pub(super) fn owns(&self, entry: &Entry) -> bool {
        let is_near = entry.target.domain == self.tuning.domain;
        is_near && self.seat.is_some_and(|seat| seat.owns(entry.target.incarnation.0))
    }

    /// Notes that a flow is opened at a target, which counts if that is slow.
    pub(super) fn note_warmup(&mut self, target: Incarnation, now: Millis) {
        let Some(entry) = self.catalog.entry(target) else { return };
        let warmup = self.service_bounds(&entry.target.service).warmup;
        let is_slow = warmup.is_some_and(|it| self.is_slow(entry, it, now));
        if let Some(state) = self.states.get_mut(&target).filter(|_| is_slow) {
            state.warmed = Some(now);
        }
    }

    /// Tells this instance's seat in its failure domain.
    pub fn set_seat(&mut self, seat: Option<Seat>) {
        if self.seat != seat {
            self.seat = seat;
            self.forget_dealt();
        }
    }

    /// Whether operators have emptied the failure domain of a flow's target, or have said that
    /// requests of its route must stay in other regions.
    pub(super) fn is_barred(&self, flow: &FlowKey, target: Incarnation) -> bool {
        let Some(entry) = self.catalog.entry(target) else { return false };
        let domain = &entry.target.domain;
        let regions = self.bounds(&entry.target.service, flow).regions;
        self.is_emptied(domain) || !self.is_within(domain, regions)
    }

    /// What is written down of a failure domain that was emptied or is in use again.
    pub(super) fn domain_note(&self, domain: DomainName) -> Note {
        let revision = self.catalog.evacuation_revision(&domain).unwrap_or_default();
        let targets = self.catalog.entries();
        let targets = targets.filter(|it| it.is_listed() && it.target.domain == domain).count();
        match self.catalog.is_evacuated(&domain) {
            true => Note::Evacuated { domain, revision, targets },
            false => Note::Restored { domain, revision, targets },
        }
    }
}
