//! Which targets and routes there are, merged from news in any order.
//!
//! Each item carries the revision at which its source changed it last. The
//! larger revision wins, and that something was removed has a revision too, so
//! the same news may come late, twice, from several sources and out of order
//! and every instance ends with the same picture. Nothing ever goes back.
//!
//! A target that is removed stays known for [`KEPT`], since flows to it go on.

use crate::{FlowKey, Incarnation, Mark, delta::Delta, mark::Index};
use medlarspur_lib::{
    bundle::Class,
    collections::{Map, Set},
    ids::{DomainName, ServiceName, Version},
    time::Millis,
};
use serde::{Deserialize, Serialize};
use std::{cmp::Ordering, collections::VecDeque, net::SocketAddrV4};

/// How long a removed target is remembered. Longer than the longest life of a
/// flow on the platforms known (60 s) and than any delay of news.
const KEPT: Millis = Millis::secs(90);

/// How many differences of configs are kept: those of a storm between two pieces
/// of news. Whoever lacks more is told the config whole.
const DELTAS: usize = 16;

/// The source's count of its changes.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// One target, as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// This start of it.
    pub incarnation: Incarnation,
    /// The service that it serves.
    pub service: ServiceName,
    /// Where it takes packets (UDP) and questions about its health (TCP).
    pub address: SocketAddrV4,
    /// Its failure domain.
    pub domain: DomainName,
    /// How many requests it works on at once; at least 1.
    pub slots: u32,
    /// Whether it is about to go: its flows go on, new ones go elsewhere.
    pub leaving: bool,
    /// How much longer it is slow after its start, counted from the moment
    /// when the entry was written.
    pub cold: Millis,
}

/// Where new flows to an address and port go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The address and port that callers ask for.
    pub address: SocketAddrV4,
    /// The class of the requests inside.
    pub class: Class,
    /// Within which time they should be answered, if operators say so.
    pub goal: Option<Millis>,
    /// The services that new flows are split over; never empty, and the sum
    /// of the weights is positive.
    pub shares: Vec<Share>,
}

/// A service's part of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the shares of the route.
    pub weight: u32,
}

/// What operators have published, as one value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Its version.
    pub version: Version,
    /// All routes.
    pub routes: Vec<Route>,
    /// The path of each service's health endpoint.
    pub health: Vec<(ServiceName, Box<str>)>,
    /// How long a flow may be silent before it may be forgotten.
    pub idle: Millis,
}

/// What has changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// The config.
    Config(Config),
    /// What makes the config of an earlier one. Who has another one than that
    /// lacks something and must ask.
    Delta(Delta),
    /// A target, present.
    Target(Target),
    /// A target was removed.
    Removed(Incarnation),
}

/// One item at its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// When the source changed it last.
    pub revision: Revision,
    /// What it is now.
    pub content: Content,
}

/// How much of the source a piece of news covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// All changes since a revision.
    Since(Revision),
    /// All targets: one that is not there was removed.
    All,
}

/// News from a source.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The source's count when it told this.
    pub revision: Revision,
    /// What it covers.
    pub scope: Scope,
    /// The items.
    pub changes: Vec<Change>,
}

/// Whether the source lists a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// It does.
    Listed,
    /// It did until then, by this instance's clock.
    Removed(Millis),
}

/// A target with what is known of its entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The target.
    pub target: Target,
    /// The revision of this picture.
    pub revision: Revision,
    /// Whether it is listed.
    pub presence: Presence,
    /// Until when it is slow after its start.
    pub cold: Millis,
}

impl Entry {
    /// Whether the source lists it.
    pub fn is_listed(&self) -> bool {
        self.presence == Presence::Listed
    }

    /// The entry as news.
    fn change(&self, now: Millis) -> Change {
        let content = match self.presence {
            Presence::Listed => {
                Content::Target(Target { cold: self.cold.since(now), ..self.target.clone() })
            }
            Presence::Removed(_) => Content::Removed(self.target.incarnation),
        };
        Change { revision: self.revision, content }
    }
}

/// All that is known of targets and routes.
#[derive(Debug, Default)]
pub struct Catalog {
    revision: Revision,
    config: Option<(Revision, Config)>,
    /// How the config came from earlier ones, the latest last.
    deltas: VecDeque<(Revision, Delta)>,
    routes: Map<SocketAddrV4, usize>,
    targets: Map<Incarnation, Entry>,
    services: Map<ServiceName, Vec<Incarnation>>,
    indexes: Map<Index, Vec<Incarnation>>,
    /// The latest removal that is no longer remembered.
    forgotten: Revision,
    /// Targets that were removed before they were heard of.
    tombstones: Map<Incarnation, (Revision, Millis)>,
}

impl Catalog {
    /// Up to which revision all changes are known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The config in force.
    pub fn config(&self) -> Option<&Config> {
        self.config.as_ref().map(|(_, config)| config)
    }

    /// The config in force and its revision.
    pub fn config_at(&self) -> Option<(Revision, &Config)> {
        self.config.as_ref().map(|(revision, config)| (*revision, config))
    }

    /// Whether there is enough to serve: routes, and a target.
    pub fn is_usable(&self) -> bool {
        self.config.is_some() && !self.targets.is_empty()
    }

    /// The route at an address and port.
    pub fn route(&self, address: SocketAddrV4) -> Option<&Route> {
        let &position = self.routes.get(&address)?;
        self.config()?.routes.get(position)
    }

    /// A target that is listed or was not long ago.
    pub fn entry(&self, incarnation: Incarnation) -> Option<&Entry> {
        self.targets.get(&incarnation)
    }

    /// All targets that are known.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.targets.values()
    }

    /// The targets of a service, removed ones included.
    pub fn targets(&self, service: &ServiceName) -> impl Iterator<Item = &Entry> {
        let found = self.services.get(service).map(Vec::as_slice).unwrap_or_default();
        found.iter().filter_map(|incarnation| self.targets.get(incarnation))
    }

    /// The path of a service's health endpoint.
    pub fn health(&self, service: &ServiceName) -> Option<&str> {
        let paths = &self.config()?.health;
        paths.iter().find(|(name, _)| name == service).map(|(_, path)| path.as_ref())
    }

    /// The target that a mark of a flow means; none if the mark doesn't hold.
    pub fn marked(&self, mark: Mark, flow: &FlowKey) -> Option<&Entry> {
        let found = self.indexes.get(&mark.index())?;
        let incarnation = found.iter().find(|&&it| mark.holds(it, flow))?;
        self.targets.get(incarnation)
    }

    /// Takes in news; answers the targets whose entries changed.
    pub fn merge(&mut self, news: News, now: Millis) -> Vec<Incarnation> {
        let mut changed = Vec::new();
        let mut listed = Set::default();
        let mut is_whole = true;
        for change in news.changes {
            match change.content {
                Content::Config(config) => self.merge_config(change.revision, config),
                Content::Delta(delta) => is_whole &= self.merge_delta(change.revision, delta),
                Content::Target(target) => {
                    listed.insert(target.incarnation);
                    self.merge_target(change.revision, target, now, &mut changed);
                }
                Content::Removed(incarnation) => {
                    self.remove(change.revision, incarnation, now, &mut changed);
                }
            }
        }
        is_whole &= match news.scope {
            Scope::All => {
                self.remove_others(news.revision, &listed, now, &mut changed);
                true
            }
            Scope::Since(known) => known <= self.revision,
        };
        if is_whole {
            self.revision = self.revision.max(news.revision);
        }
        self.forget(now);
        changed
    }

    /// Whether there are changes before that news which are not known here.
    pub fn lacks(&self, news: &News) -> bool {
        matches!(news.scope, Scope::Since(known) if known > self.revision)
    }

    /// What has changed since a revision, to be told to another instance. One
    /// that knows nothing, or was away for longer than removed targets are
    /// remembered, is told all.
    pub fn since(&self, known: Revision, now: Millis) -> News {
        let is_old = known == Revision::default() || known < self.forgotten;
        let is_told = |revision: Revision| is_old || revision > known;
        let config = self.config_since(if is_old { Revision::default() } else { known });
        let targets = self.targets.values().filter(|entry| is_told(entry.revision));
        let targets = targets.map(|entry| entry.change(now));
        let tombstones = self.tombstones.iter().filter(|(_, (revision, _))| is_told(*revision));
        let tombstones = tombstones.map(|(incarnation, (revision, _))| Change {
            revision: *revision,
            content: Content::Removed(*incarnation),
        });
        let changes = config.into_iter().chain(targets).chain(tombstones).collect();
        let scope = if is_old { Scope::All } else { Scope::Since(known) };
        News { revision: self.revision, scope, changes }
    }

    fn merge_config(&mut self, revision: Revision, config: Config) {
        match &self.config {
            Some((known, _)) if *known >= revision => return,
            Some((known, old)) => {
                self.deltas.push_back((revision, Delta::between(*known, old, &config)));
                if self.deltas.len() > DELTAS {
                    self.deltas.pop_front();
                }
            }
            None => {}
        }
        let positions = config.routes.iter().enumerate();
        self.routes = positions.map(|(position, route)| (route.address, position)).collect();
        self.config = Some((revision, config));
    }

    /// Answers whether the config that it changes is the one in force, or is
    /// older.
    fn merge_delta(&mut self, revision: Revision, delta: Delta) -> bool {
        let config = match &self.config {
            Some((known, _)) if *known >= revision => return true,
            Some((known, old)) if *known == delta.base => delta.apply(old),
            _ => return false,
        };
        self.merge_config(revision, config);
        true
    }

    /// The config for one that knows all up to a revision: the differences, if
    /// they are still there, or the whole.
    fn config_since(&self, known: Revision) -> Vec<Change> {
        let Some((revision, config)) = &self.config else { return Vec::new() };
        if *revision <= known {
            return Vec::new();
        }
        let deltas = self.deltas.iter().filter(|(revision, _)| *revision > known);
        let deltas: Vec<Change> = deltas
            .map(|(revision, delta)| Change {
                revision: *revision,
                content: Content::Delta(delta.clone()),
            })
            .collect();
        let is_chain = match deltas.first().map(|it| &it.content) {
            Some(Content::Delta(first)) => first.base <= known,
            _ => false,
        };
        if is_chain {
            return deltas;
        }
        vec![Change { revision: *revision, content: Content::Config(config.clone()) }]
    }

    fn merge_target(
        &mut self,
        revision: Revision,
        target: Target,
        now: Millis,
        changed: &mut Vec<Incarnation>,
    ) {
        let incarnation = target.incarnation;
        if self.tombstones.get(&incarnation).is_some_and(|(removed, _)| *removed >= revision) {
            return;
        }
        let cold = now + target.cold;
        let fresh = Entry { target, revision, presence: Presence::Listed, cold };
        match self.targets.get_mut(&incarnation) {
            Some(known) if known.revision >= revision => return,
            Some(known) => *known = fresh,
            None => {
                self.services.entry(fresh.target.service.clone()).or_default().push(incarnation);
                self.indexes.entry(Index::of(incarnation)).or_default().push(incarnation);
                self.targets.insert(incarnation, fresh);
            }
        }
        changed.push(incarnation);
    }

    fn remove(
        &mut self,
        revision: Revision,
        incarnation: Incarnation,
        now: Millis,
        changed: &mut Vec<Incarnation>,
    ) {
        let Some(known) = self.targets.get_mut(&incarnation) else {
            let tombstone = self.tombstones.entry(incarnation).or_insert((revision, now));
            tombstone.0 = tombstone.0.max(revision);
            return;
        };
        if known.revision >= revision {
            return;
        }
        known.revision = revision;
        if known.presence == Presence::Listed {
            known.presence = Presence::Removed(now);
            changed.push(incarnation);
        }
    }

    fn remove_others(
        &mut self,
        revision: Revision,
        listed: &Set<Incarnation>,
        now: Millis,
        changed: &mut Vec<Incarnation>,
    ) {
        let known = self.targets.values();
        let gone = known.filter(|entry| entry.is_listed());
        let gone = gone.map(|entry| entry.target.incarnation).filter(|it| !listed.contains(it));
        for incarnation in gone.collect::<Vec<_>>() {
            self.remove(revision, incarnation, now, changed);
        }
    }

    /// Drops what was removed more than [`KEPT`] ago.
    fn forget(&mut self, now: Millis) {
        let is_kept = |since: Millis| now.since(since) < KEPT;
        let tombstones = self.tombstones.values().filter(|(_, since)| !is_kept(*since));
        let forgotten = tombstones.map(|(revision, _)| *revision).max();
        self.forgotten = self.forgotten.max(forgotten.unwrap_or_default());
        self.tombstones.retain(|_, (_, since)| is_kept(*since));
        let old = self.targets.values().filter_map(|entry| match entry.presence {
            Presence::Removed(since) if !is_kept(since) => Some(entry.target.incarnation),
            _ => None,
        });
        for incarnation in old.collect::<Vec<_>>() {
            self.drop_target(incarnation);
        }
    }

    fn drop_target(&mut self, incarnation: Incarnation) {
        let Some(entry) = self.targets.remove(&incarnation) else { return };
        self.forgotten = self.forgotten.max(entry.revision);
        if let Some(list) = self.services.get_mut(&entry.target.service) {
            list.retain(|it| *it != incarnation);
        }
        if let Some(list) = self.indexes.get_mut(&Index::of(incarnation)) {
            list.retain(|it| *it != incarnation);
        }
    }
}

impl Route {
    /// The shares in a fixed order, whose cumulative weights split new flows.
    pub fn share(&self, draw: u64) -> &ServiceName {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut rest = draw % total.max(1);
        for share in &self.shares {
            match rest.cmp(&u64::from(share.weight)) {
                Ordering::Less => return &share.service,
                _ => rest -= u64::from(share.weight),
            }
        }
        &self.shares[0].service
    }
}
