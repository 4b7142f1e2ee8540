//! Levels of flows, by the priorities of the config in force.
//!
//! [`medlarspur_load::priority`] ranks the priorities of each service.

use super::Forwarder;
use crate::{Catalog, Config, FlowKey, Incarnation, Revision, Route};
use medlarspur_lib::{
    bundle::Class,
    collections::{Map, Set},
    ids::{ServiceName, Version},
    time::Millis,
};
use medlarspur_load::priority::{Level, LevelUse, Levels};
use std::net::SocketAddrV4;

/// Levels of all services of a config.
#[derive(Debug, Default)]
pub(super) struct ServiceLevels {
    /// The config from which the levels are derived.
    config: Option<(Revision, Version)>,
    /// Whether any route of the config has a priority.
    has_priorities: bool,
    services: Map<ServiceName, Levels>,
    /// Levels in use at each service; empty while the class decides.
    in_use: Map<ServiceName, LevelUse>,
    /// Level of each route at each of its services.
    routes: Map<(SocketAddrV4, ServiceName), Level>,
}

impl ServiceLevels {
    fn new(revision: Revision, config: &Config) -> ServiceLevels {
        let has_priorities = config.routes.iter().any(|route| route.priority.is_some());
        let mut by_service: Map<&ServiceName, Vec<&Route>> = Map::default();
        for route in &config.routes {
            for share in &route.shares {
                by_service.entry(&share.service).or_default().push(route);
            }
        }
        let (mut services, mut levels_of_routes) = (Map::default(), Map::default());
        for (service, routes) in by_service {
            let ranks = routes.iter().map(|route| (route.class, route.priority));
            let levels = Levels::new(ranks, has_priorities);
            for route in routes {
                let level = levels.level(route.class, route.priority);
                levels_of_routes.insert((route.address, service.clone()), level);
            }
            services.insert(service.clone(), levels);
        }
        let config = Some((revision, config.version));
        let (in_use, routes) = (Map::default(), levels_of_routes);
        ServiceLevels { config, has_priorities, services, in_use, routes }
    }

    /// Takes over which levels were in use at services whose levels stay the same.
    fn keep_use(&mut self, earlier: &ServiceLevels) {
        let is_same = |service| self.services.get(service) == earlier.services.get(service);
        let kept = earlier.in_use.iter().filter(|(service, _)| is_same(*service));
        self.in_use = kept.map(|(service, it)| (service.clone(), *it)).collect();
    }

    /// Whether operators have set a priority.
    pub(super) fn has_priorities(&self) -> bool {
        self.has_priorities
    }

    /// Level of a flow at a service, by its class and the priority of its route.
    pub(super) fn level(
        &self,
        catalog: &Catalog,
        service: &ServiceName,
        class: Class,
        key: &FlowKey,
    ) -> Level {
        let priority = catalog.route(key.service).and_then(|route| route.priority);
        let level = match self.services.get(service) {
            Some(levels) => levels.level(class, priority),
            None => Levels::new([], self.has_priorities).level(class, priority),
        };
        self.in_use.get(service).map_or(level, |it| it.restrict(level))
    }

    /// Whether a service has several levels.
    pub(super) fn has_several(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|levels| levels.count() > 1)
    }

    /// Services at which a route has another level than before.
    fn changed_since(&self, earlier: &ServiceLevels) -> Set<ServiceName> {
        let is_changed = |route, level| earlier.routes.get(route).is_some_and(|it| *it != level);
        let changed = self.routes.iter().filter(|(route, level)| is_changed(*route, **level));
        changed.map(|((_, service), _)| service.clone()).collect()
    }
}

impl Forwarder {
    /// Level of a flow at a service, by the config in force.
    pub(super) fn level(&self, service: &ServiceName, class: Class, key: &FlowKey) -> Level {
        self.levels.level(&self.catalog, service, class, key)
    }

    /// Level of a flow at the service of a target, by the config in force.
    pub(super) fn level_at(&self, target: Incarnation, class: Class, key: &FlowKey) -> Level {
        let entry = self.catalog.entry(target);
        entry.map(|entry| self.level(&entry.target.service, class, key)).unwrap_or_default()
    }

    /// Records that a flow of a service arrived or was answered. Held flows follow if another
    /// level is thereby the lowest one in use.
    pub(super) fn record_level_use(
        &mut self,
        service: &ServiceName,
        class: Class,
        key: &FlowKey,
        now: Millis,
    ) {
        if !self.levels.has_priorities || !self.levels.services.contains_key(service) {
            return;
        }
        let level = self.level(service, class, key);
        let in_use = self.levels.in_use.entry(service.clone()).or_default();
        if in_use.record(level, class, now) {
            self.update_held_levels();
        }
    }

    /// Applies the priorities of a new config to held flows, to the work in flight and to later
    /// decisions. Open flows keep their class.
    pub(super) fn update_levels(&mut self) {
        let Some((revision, config)) = self.catalog.config_at() else { return };
        if self.levels.config == Some((revision, config.version)) {
            return;
        }
        let mut levels = ServiceLevels::new(revision, config);
        levels.keep_use(&self.levels);
        let changed = levels.changed_since(&self.levels);
        self.levels = levels;
        if changed.is_empty() {
            return;
        }
        for service in &changed {
            self.estimates.reset_share(service);
        }
        self.update_held_levels();
        self.update_flow_levels(&changed);
    }

    /// Counts the work of flows under their new levels.
    fn update_flow_levels(&mut self, services: &Set<ServiceName>) {
        let Forwarder { catalog, levels, flows, states, .. } = self;
        for (key, flow) in flows.iter_mut() {
            let Some(entry) = catalog.entry(flow.target) else { continue };
            if !services.contains(&entry.target.service) {
                continue;
            }
            let Some(state) = states.get_mut(&flow.target) else { continue };
            state.account(flow, -1);
            flow.level = levels.level(catalog, &entry.target.service, flow.class, key);
            state.account(flow, 1);
        }
    }
}
