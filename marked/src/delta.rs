//! The difference between two configs, which is sent in place of the whole config.
//!
//! At the intended scale a config has 3,400 routes, some 100 KB between instances, and changes
//! 4,000 times a day in one or a few of them. Sent whole to the hundred instances of a failure
//! domain, each change would use up a reader's share of traffic for minutes. The difference fits
//! into a datagram.

use crate::{Config, Route, Service};
use medlarspur_lib::{
    collections::{Map, Set},
    ids::{ServiceName, Version},
    time::Millis,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Turns one config into another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Version of the config that the delta applies to.
    pub base: Version,
    /// Version of the resulting config.
    pub(crate) version: Version,
    idle: Millis,
    omitted: u32,
    routes: Vec<Route>,
    removed_routes: Vec<SocketAddrV4>,
    services: Vec<Service>,
    removed_services: Vec<ServiceName>,
}

impl Delta {
    pub(crate) fn is_valid(&self) -> bool {
        self.routes.iter().all(Route::is_valid) && self.services.iter().all(Service::is_valid)
    }

    /// Computes the delta from `old` to `new`.
    pub fn between(old: &Config, new: &Config) -> Delta {
        let old_routes: Map<_, _> = old.routes.iter().map(|it| (it.address, it)).collect();
        let new_addresses: Set<_> = new.routes.iter().map(|it| it.address).collect();
        let old_services: Map<_, _> = old.services.iter().map(|it| (&it.name, it)).collect();
        let new_names: Set<_> = new.services.iter().map(|it| &it.name).collect();
        let is_changed_route = |it: &&Route| old_routes.get(&it.address) != Some(it);
        let is_changed_service = |it: &&Service| old_services.get(&it.name) != Some(it);
        let removed_names =
            old.services.iter().map(|it| &it.name).filter(|it| !new_names.contains(it));
        let old_addresses = old.routes.iter().map(|it| it.address);
        Delta {
            base: old.version,
            version: new.version,
            idle: new.idle,
            omitted: new.omitted,
            routes: new.routes.iter().filter(is_changed_route).cloned().collect(),
            removed_routes: old_addresses.filter(|it| !new_addresses.contains(it)).collect(),
            services: new.services.iter().filter(is_changed_service).cloned().collect(),
            removed_services: removed_names.cloned().collect(),
        }
    }

    /// Applies the delta to `old`. The order of routes is not preserved; no two routes have the
    /// same address.
    pub fn apply(&self, old: &Config) -> Config {
        let removed: Set<_> = self.removed_routes.iter().copied().collect();
        let replaced: Set<_> = self.routes.iter().map(|it| it.address).collect();
        let keeps_route =
            |it: &&Route| !removed.contains(&it.address) && !replaced.contains(&it.address);
        let removed_names: Set<_> = self.removed_services.iter().collect();
        let replaced_names: Set<_> = self.services.iter().map(|it| &it.name).collect();
        let keeps_service =
            |it: &&Service| !removed_names.contains(&it.name) && !replaced_names.contains(&it.name);
        Config {
            version: self.version,
            idle: self.idle,
            omitted: self.omitted,
            routes: old.routes.iter().filter(keeps_route).chain(&self.routes).cloned().collect(),
            services: old
                .services
                .iter()
                .filter(keeps_service)
                .chain(&self.services)
                .cloned()
                .collect(),
        }
    }
}
