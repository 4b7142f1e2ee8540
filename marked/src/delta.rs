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
        let known: Map<_, _> = old.routes.iter().map(|it| (it.address, it)).collect();
        let kept: Set<_> = new.routes.iter().map(|it| it.address).collect();
        let before: Map<_, _> = old.services.iter().map(|it| (&it.name, it)).collect();
        let named: Set<_> = new.services.iter().map(|it| &it.name).collect();
        let is_new = |it: &&Route| known.get(&it.address) != Some(it);
        let is_other = |it: &&Service| before.get(&it.name) != Some(it);
        let ended = old.services.iter().map(|it| &it.name).filter(|it| !named.contains(it));
        let addresses = old.routes.iter().map(|it| it.address);
        Delta {
            base: old.version,
            version: new.version,
            idle: new.idle,
            omitted: new.omitted,
            routes: new.routes.iter().filter(is_new).cloned().collect(),
            removed_routes: addresses.filter(|it| !kept.contains(it)).collect(),
            services: new.services.iter().filter(is_other).cloned().collect(),
            removed_services: ended.cloned().collect(),
        }
    }

    /// Applies the delta to `old`. The order of routes is not preserved; no two routes have the
    /// same address.
    pub fn apply(&self, old: &Config) -> Config {
        let dropped: Set<_> = self.removed_routes.iter().copied().collect();
        let set: Set<_> = self.routes.iter().map(|it| it.address).collect();
        let stays = |it: &&Route| !dropped.contains(&it.address) && !set.contains(&it.address);
        let ended: Set<_> = self.removed_services.iter().collect();
        let named: Set<_> = self.services.iter().map(|it| &it.name).collect();
        let remains = |it: &&Service| !ended.contains(&it.name) && !named.contains(&it.name);
        Config {
            version: self.version,
            idle: self.idle,
            omitted: self.omitted,
            routes: old.routes.iter().filter(stays).chain(&self.routes).cloned().collect(),
            services: old.services.iter().filter(remains).chain(&self.services).cloned().collect(),
        }
    }
}
