//! Targets that are alive and have capacity but must not get new flows.
//!
//! Their failure domain is evacuated, or the route's requests must stay in other regions, or
//! they [fail more than their peers](super::outliers), or they are in slow start and can take
//! only a limited number of requests per second from all instances together. No instance sees
//! what others open, so each target in slow start has one owner, chosen by [`warmup`], and gets
//! nothing from other instances until it is warm. The design alternatives are in
//! `docs/design/evacuation.md`.

use super::Forwarder;
use crate::{Entry, FlowKey, Incarnation, Note, Warmup};
use medlarspur_lib::{
    ids::{DomainName, RegionName, ServiceName},
    time::Millis,
};
use medlarspur_load::warmup::{self, Seat};

/// Reason why a listed target that answers gets no new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Exclusion {
    /// Its failure domain is evacuated.
    Evacuated,
    /// It is outside the regions in which the route's requests must stay.
    Away,
    /// It is in slow start, and its service limits the rate of new flows.
    Warming,
    /// It fails more requests than its peers. It gets flows that no other target can take.
    Outlier,
}

/// Restrictions of a route on its targets, apart from evacuations.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Restrictions<'a> {
    warmup: Option<Warmup>,
    /// Regions in which the requests must stay; any region if empty.
    regions: &'a [RegionName],
}

impl Restrictions<'_> {
    /// Whether there are no restrictions.
    pub(super) fn is_empty(&self) -> bool {
        self.warmup.is_none() && self.regions.is_empty()
    }
}

impl Forwarder {
    /// Restrictions of a service that apply to all routes.
    pub(super) fn service_restrictions(&self, service: &ServiceName) -> Restrictions<'_> {
        let warmup = self.catalog.service(service).and_then(|it| it.warmup);
        Restrictions { warmup, regions: &[] }
    }

    /// Restrictions of a service for flows to an address and port.
    pub(super) fn restrictions(&self, service: &ServiceName, flow: &FlowKey) -> Restrictions<'_> {
        let regions = self.catalog.route(flow.service).map(|route| route.regions.as_slice());
        Restrictions { regions: regions.unwrap_or_default(), ..self.service_restrictions(service) }
    }

    /// Returns the reason why a target must not get new flows, if there is one.
    pub(super) fn exclusion(
        &self,
        entry: &Entry,
        restrictions: Restrictions<'_>,
        now: Millis,
    ) -> Option<Exclusion> {
        let domain = &entry.target.domain;
        if self.is_evacuation_active(domain) {
            return Some(Exclusion::Evacuated);
        }
        if !self.is_in_regions(domain, restrictions.regions) {
            return Some(Exclusion::Away);
        }
        let warmup = restrictions.warmup.filter(|it| self.is_warming(entry, *it, now));
        if warmup.is_some_and(|it| !self.may_open_at_warming(entry, it, now)) {
            return Some(Exclusion::Warming);
        }
        self.is_outlier(entry).then_some(Exclusion::Outlier)
    }

    /// Whether a failure domain is in one of the regions, or no regions are given. A domain of
    /// unknown region is in none of them.
    fn is_in_regions(&self, domain: &DomainName, regions: &[RegionName]) -> bool {
        let region = || self.options.regions.get(domain);
        regions.is_empty() || region().is_some_and(|region| regions.contains(region))
    }

    /// Whether a target is in slow start, as far as this instance knows.
    fn is_warming(&self, entry: &Entry, warmup: Warmup, now: Millis) -> bool {
        // Targets that got no flows while their domain was evacuated may need a slow start
        // again. They announce it only some time after the evacuation has ended; until then they
        // would get all new flows, since they are idle.
        let ended = self.catalog.evacuation_ended(&entry.target.domain);
        now < entry.cold_until || ended.is_some_and(|at| now < at + warmup.span)
    }

    /// Whether this instance owns a target in slow start and may open a flow there now.
    fn may_open_at_warming(&self, entry: &Entry, warmup: Warmup, now: Millis) -> bool {
        let last = self.states.get(&entry.target.incarnation).and_then(|state| state.warmed_at);
        self.owns(entry)
            && last.is_none_or(|at| now.since(at) >= warmup::opening_interval(warmup.rate))
    }

    /// Whether the seat of this instance owns a target of its failure domain.
    pub(super) fn owns(&self, entry: &Entry) -> bool {
        let is_same_domain = entry.target.domain == self.options.domain;
        is_same_domain && self.seat.is_some_and(|seat| seat.owns(entry.target.incarnation.0))
    }

    /// Records that a flow was opened at a target, if the target is in slow start.
    pub(super) fn record_warmup_opening(&mut self, target: Incarnation, now: Millis) {
        let Some(entry) = self.catalog.entry(target) else { return };
        let warmup = self.service_restrictions(&entry.target.service).warmup;
        let is_warming = warmup.is_some_and(|it| self.is_warming(entry, it, now));
        if let Some(state) = self.states.get_mut(&target).filter(|_| is_warming) {
            state.warmed_at = Some(now);
        }
    }

    /// Sets the seat of this instance in its failure domain.
    pub fn set_seat(&mut self, seat: Option<Seat>) {
        if self.seat != seat {
            self.seat = seat;
            self.clear_subsets();
        }
    }

    /// Whether the target of a flow is in an evacuated domain or outside the regions of the
    /// flow's route.
    pub(super) fn is_evacuated_or_away(&self, flow: &FlowKey, target: Incarnation) -> bool {
        let Some(entry) = self.catalog.entry(target) else { return false };
        let domain = &entry.target.domain;
        let regions = self.restrictions(&entry.target.service, flow).regions;
        self.is_evacuation_active(domain) || !self.is_in_regions(domain, regions)
    }

    /// Creates the note of a domain that was evacuated or whose evacuation ended.
    pub(super) fn evacuation_note(&self, domain: DomainName) -> Note {
        let revision = self.catalog.evacuation_revision(&domain).unwrap_or_default();
        let targets = self.catalog.entries();
        let targets = targets.filter(|it| it.is_listed() && it.target.domain == domain).count();
        match self.catalog.is_evacuated(&domain) {
            true => Note::Evacuated { domain, revision, targets },
            false => Note::EvacuationEnded { domain, revision, targets },
        }
    }
}
