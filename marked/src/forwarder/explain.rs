//! Status and explanations of routing decisions for operators.

use super::{
    Forwarder,
    exclusion::{Exclusion, Restrictions},
};
use crate::{Entry, FlowKey, Presence, Revision};
use medlarspur_lib::{
    bundle::Protocol,
    collections::Set,
    ids::{DomainName, ServiceName},
    packet,
    status::{
        CatalogStatus, EvacuatedDomain, MarkedExplanation, MarkedReason, MarkedService,
        MarkedTarget, TargetUse,
    },
    time::Millis,
};
use medlarspur_load::{choice::Tier, priority::Level};

impl Forwarder {
    /// Explains where a flow goes and why. `age` is the age of the catalog.
    pub fn explain(&self, key: &FlowKey, age: Option<Millis>, now: Millis) -> MarkedExplanation {
        let route = self.catalog.route(key.service);
        let services = route.iter().flat_map(|route| &route.shares);
        let services: Vec<_> = services.map(|share| &share.service).collect();
        let entries = services.into_iter().flat_map(|service| self.catalog.targets(service));
        let restrictions = |entry: &Entry| self.restrictions(&entry.target.service, key);
        let target_status = |entry| self.target_status(entry, restrictions(entry), now);
        let candidates: Vec<_> = entries.map(target_status).collect();
        let known = self.flows.get(key).and_then(|flow| self.catalog.entry(flow.target));
        let can_take = |it: &MarkedTarget| {
            matches!(
                it.usage,
                TargetUse::Good | TargetUse::Unlisted | TargetUse::Doubtful | TargetUse::Excluded
            )
        };
        let reason = if known.is_some() {
            MarkedReason::Known
        } else if self.is_held(key) {
            MarkedReason::Waiting
        } else if route.is_none() {
            MarkedReason::NoRoute
        } else if candidates.iter().any(can_take) {
            MarkedReason::Unknown
        } else {
            MarkedReason::NoTarget
        };
        MarkedExplanation {
            flow: packet::FlowKey {
                protocol: Protocol::Tcp,
                caller: key.caller,
                service: key.service,
            },
            reason,
            class: route.map(|route| route.class),
            target: known.map(target_status),
            candidates,
            picture: self.picture(age),
        }
    }

    /// The state up to which the config and the targets are known.
    pub fn picture(&self, age: Option<Millis>) -> CatalogStatus {
        let version = self.catalog.config().map(|config| config.version);
        let mut evacuated: Vec<_> =
            self.catalog.evacuated().map(|it| self.domain_status(it)).collect();
        evacuated.sort_by(|one, other| one.domain.cmp(&other.domain));
        let omitted = self.catalog.config().map_or(0, |config| config.omitted);
        let Revision { era, count } = self.revision();
        CatalogStatus { version, era, revision: count, age, evacuated, omitted }
    }

    fn domain_status(&self, domain: &DomainName) -> EvacuatedDomain {
        let revision = self.catalog.evacuation_revision(domain).unwrap_or_default();
        EvacuatedDomain { domain: domain.clone(), revision: revision.count }
    }

    /// Status of all services that have targets.
    pub fn services(&self, now: Millis) -> Vec<MarkedService> {
        let names: Set<&ServiceName> =
            self.catalog.entries().map(|it| &it.target.service).collect();
        let mut names: Vec<_> = names.into_iter().collect();
        names.sort_unstable();
        names.into_iter().map(|name| self.service_status(name, now)).collect()
    }

    fn service_status(&self, name: &ServiceName, now: Millis) -> MarkedService {
        let (pressure, waiting_by_level) = self.pressure_and_backlog(name);
        let waiting = waiting_by_level.iter().sum();
        let restrictions = self.service_restrictions(name);
        let targets = self.catalog.targets(name);
        let targets = targets.map(|entry| self.target_status(entry, restrictions, now)).collect();
        MarkedService { name: name.clone(), pressure, waiting, waiting_by_level, targets }
    }

    fn target_status(
        &self,
        entry: &Entry,
        restrictions: Restrictions<'_>,
        now: Millis,
    ) -> MarkedTarget {
        let target = &entry.target;
        let state = self.states.get(&target.incarnation);
        MarkedTarget {
            name: target.name.clone(),
            start: target.start.0,
            address: target.address,
            domain: target.domain.clone(),
            usage: self.usage(entry, restrictions, now),
            work: state.map_or(0, |state| state.in_flight + state.opening),
            feeds: state.map_or(0, |state| state.idle_feeds),
            excluded: self.excluded_status(entry, now),
        }
    }

    fn usage(&self, entry: &Entry, restrictions: Restrictions<'_>, now: Millis) -> TargetUse {
        let is_lost =
            self.states.get(&entry.target.incarnation).is_some_and(|it| it.health.is_lost());
        let exclusion = self.exclusion(entry, restrictions, now);
        if entry.is_listed() && !is_lost && !entry.target.leaving {
            match exclusion {
                Some(Exclusion::Evacuated) => return TargetUse::Evacuated,
                Some(Exclusion::Away) => return TargetUse::Away,
                Some(Exclusion::Warming) => return TargetUse::Warming,
                _ if self.is_full(entry) => return TargetUse::Full,
                Some(Exclusion::Outlier) => return TargetUse::Excluded,
                None => {}
            }
        }
        let is_usable = matches!(exclusion, None | Some(Exclusion::Outlier));
        let candidate = self.candidate(entry, Level::HIGHEST, now).filter(|_| is_usable);
        match candidate.map(|it| it.tier) {
            Some(Tier::Good) => TargetUse::Good,
            Some(Tier::Unlisted) => TargetUse::Unlisted,
            Some(Tier::Doubtful) => TargetUse::Doubtful,
            None if entry.target.leaving => TargetUse::Leaving,
            None if is_lost && entry.is_listed() => TargetUse::Lost,
            None if matches!(entry.presence, Presence::Unusable(_)) => TargetUse::Unusable,
            None if matches!(entry.presence, Presence::Replaced(_)) => TargetUse::Replaced,
            None => TargetUse::Removed,
        }
    }
}
