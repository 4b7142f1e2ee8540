//! Which targets and routes there are, merged from news in any order.
//!
//! Each item carries the revision at which its source changed it last. The
//! larger revision wins, and that something was removed has a revision too, so
//! the same news may come late, twice, from several sources and out of order
//! and every instance ends with the same picture. Nothing ever goes back.
//!
//! Of a target that starts again under its name the later start wins, whatever
//! the revisions: an entry that the earlier process had still under way may be
//! written after the first one of the later process, and would have new flows
//! wait for a process that is gone.
//!
//! A target that is removed stays known for [`KEPT`], since flows to it go on.

use crate::{
    Change, Config, Content, Entry, FlowKey, Former, Incarnation, Mark, News, Presence, Revision,
    Route, Scope, Service, Start, Target, delta::Delta, evacuation::Evacuations, mark::Index,
};
use medlarspur_lib::{
    collections::{Map, Set},
    ids::{DomainName, ServiceName, TargetName},
    time::Millis,
};
use std::{collections::VecDeque, net::SocketAddrV4};

/// How long a removed target is remembered. Longer than the longest life of a
/// flow on the platforms known (60 s) and than any delay of news.
const KEPT: Millis = Millis::secs(90);

/// How many differences of configs are kept: those of a storm between two pieces
/// of news. Whoever lacks more is told the config whole.
const DELTAS: usize = 16;

/// What is known of the entries under one name.
#[derive(Debug, Default)]
struct Listing {
    /// The latest start that was heard of.
    start: Start,
    /// That start, while it is remembered.
    current: Option<Incarnation>,
    /// The latest news that no target is listed there.
    withdrawn: Option<Withdrawal>,
}

/// That an entry names no target any more.
#[derive(Debug, Clone, Copy)]
struct Withdrawal {
    revision: Revision,
    presence: Presence,
}

/// What news has changed.
#[derive(Debug, Default)]
pub struct Changed {
    /// Targets whose entries are others now.
    pub targets: Vec<Incarnation>,
    /// Targets that were listed once, and are heard of for the first time.
    pub formers: Vec<Incarnation>,
    /// Failure domains that operators have emptied, or have taken back.
    pub domains: Vec<DomainName>,
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
    names: Map<TargetName, Listing>,
    evacuations: Evacuations,
    /// Targets that were not taken because another one has their number.
    clashes: u64,
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

    /// Whether there is enough to serve: routes, a target, and all that was so at one
    /// revision. A single piece of news may name targets and not that their failure
    /// domain is evacuated.
    pub fn is_usable(&self) -> bool {
        let is_whole = self.revision > Revision::default();
        is_whole && self.config.is_some() && !self.targets.is_empty()
    }

    /// Whether operators want the targets of a failure domain to get no new flows.
    pub fn is_evacuated(&self, domain: &DomainName) -> bool {
        self.evacuations.holds(domain)
    }

    /// The failure domains whose targets are to get no new flows.
    pub fn evacuated(&self) -> impl Iterator<Item = &DomainName> {
        self.evacuations.evacuated()
    }

    /// When this instance heard that operators have taken an evacuation of a failure
    /// domain back.
    pub fn restored(&self, domain: &DomainName) -> Option<Millis> {
        self.evacuations.ended(domain)
    }

    /// The revision that says whether a failure domain is evacuated, if any does.
    pub fn evacuation(&self, domain: &DomainName) -> Option<Revision> {
        self.evacuations.revision(domain)
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

    /// The latest start of a target, while it is remembered.
    pub fn latest(&self, name: &TargetName) -> Option<&Entry> {
        self.targets.get(&self.names.get(name)?.current?)
    }

    /// How many targets were not taken because another one has their number.
    pub fn clashes(&self) -> u64 {
        self.clashes
    }

    /// All targets that are known.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.targets.values()
    }

    /// The targets of a service, removed ones included.
    pub fn targets(&self, service: &ServiceName) -> impl Iterator<Item = &Entry> {
        let found = self.services.get(service).map(Vec::as_slice).unwrap_or_default();
        let entries = found.iter().filter_map(|incarnation| self.targets.get(incarnation));
        entries.filter(move |entry| entry.target.service == *service)
    }

    /// What the config says of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.config()?.services.iter().find(|it| it.name == *name)
    }

    /// The target that a mark of a flow means; none if the mark doesn't hold.
    pub fn marked(&self, mark: Mark, flow: &FlowKey) -> Option<&Entry> {
        let found = self.indexes.get(&mark.index())?;
        let incarnation = found.iter().find(|&&it| mark.holds(it, flow))?;
        self.targets.get(incarnation)
    }

    /// Takes in news.
    pub fn merge(&mut self, news: News, now: Millis) -> Changed {
        let mut changed = Vec::new();
        let mut domains = Vec::new();
        let mut formers = Vec::new();
        let mut listed = Set::default();
        let mut evacuated = Set::default();
        let mut is_whole = true;
        for change in news.changes {
            match change.content {
                Content::Config(config) => self.merge_config(change.revision, config),
                Content::Delta(delta) => is_whole &= self.merge_delta(change.revision, delta),
                Content::Target(target) => {
                    listed.insert(target.name.clone());
                    self.merge_target(change.revision, target, now, &mut changed);
                }
                Content::Removed(name) => {
                    let withdrawal = Withdrawal::new(change.revision, Presence::Removed(now));
                    self.withdraw(&name, withdrawal, &mut changed);
                }
                Content::Unusable(name) => {
                    let withdrawal = Withdrawal::new(change.revision, Presence::Unusable(now));
                    self.withdraw(&name, withdrawal, &mut changed);
                    listed.insert(name);
                }
                Content::Former(former) => {
                    formers.extend(self.merge_former(change.revision, former, now));
                }
                Content::Evacuated(domain) => {
                    let is_new = self.evacuations.set(&domain, change.revision, None);
                    domains.extend(is_new.then(|| domain.clone()));
                    evacuated.insert(domain);
                }
                Content::Restored(domain) => {
                    let is_new = self.evacuations.set(&domain, change.revision, Some(now));
                    domains.extend(is_new.then_some(domain));
                }
            }
        }
        is_whole &= match news.scope {
            Scope::All => {
                self.remove_others(news.revision, &listed, now, &mut changed);
                domains.extend(self.evacuations.end_others(news.revision, &evacuated, now));
                true
            }
            Scope::Since(known) => known <= self.revision,
        };
        if is_whole {
            self.revision = self.revision.max(news.revision);
        }
        self.forget(now);
        Changed { targets: changed, formers, domains }
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
        let targets = self.targets.values().filter_map(|entry| entry.change(now));
        let withdrawn = self.names.iter().filter_map(|(name, it)| it.change(name));
        let others = targets.chain(withdrawn).chain(self.evacuations.changes());
        let others = others.filter(|change| is_told(change.revision));
        let former = self.targets.values().filter(|_| is_old).filter_map(|it| it.former(now));
        // Last, so that what is listed under their names is known before them.
        let changes = config.into_iter().chain(others).chain(former).collect();
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
        if self.is_clash(&target) {
            self.clashes += 1;
            return;
        }
        let listing = self.names.entry(target.name.clone()).or_default();
        let unusable = |revision| Withdrawal::new(revision, Presence::Unusable(now));
        if target.start < listing.start {
            // Whoever says when it started says so always: without it, the entry comes
            // from another writer, and names no target.
            if target.start == Start::default() {
                self.withdraw(&target.name, unusable(revision), changed);
            }
            return;
        }
        if target.start > listing.start {
            let is_foreign = listing.start == Start::default();
            listing.start = target.start;
            let earlier = listing.current.take().and_then(|it| self.targets.get_mut(&it));
            if let Some(earlier) = earlier {
                earlier.presence = Presence::Replaced(now);
                changed.push(earlier.target.incarnation);
                let known = earlier.revision;
                if is_foreign && listing.withdrawn.is_none_or(|it| it.revision < known) {
                    listing.withdrawn = Some(unusable(known));
                }
            }
        }
        if listing.withdrawn.is_some_and(|it| it.revision >= revision) {
            return;
        }
        listing.current = Some(incarnation);
        let cold = now + target.cold;
        let fresh = Entry { target, revision, presence: Presence::Listed, cold };
        if self.targets.get(&incarnation).is_some_and(|known| known.revision >= revision) {
            return;
        }
        self.insert(fresh);
        changed.push(incarnation);
    }

    /// Takes in a target that is not listed any more; answers it if it is new here.
    fn merge_former(
        &mut self,
        revision: Revision,
        former: Former,
        now: Millis,
    ) -> Option<Incarnation> {
        let Former { target, age } = former;
        let incarnation = target.incarnation;
        if age >= KEPT || self.targets.contains_key(&incarnation) {
            return None;
        }
        let listing = self.names.entry(target.name.clone()).or_default();
        let ended = Millis(now.0.saturating_sub(age.0));
        let presence = match (listing.current, listing.withdrawn.map(|it| it.presence)) {
            (Some(_), _) => Presence::Replaced(ended),
            (None, Some(Presence::Unusable(_))) => Presence::Unusable(ended),
            (None, _) => Presence::Removed(ended),
        };
        if listing.current.is_none() {
            listing.start = listing.start.max(target.start);
            listing.current = Some(incarnation);
            listing.withdrawn.get_or_insert(Withdrawal::new(revision, presence));
        }
        self.insert(Entry { target, revision, presence, cold: now });
        Some(incarnation)
    }

    fn insert(&mut self, entry: Entry) {
        let incarnation = entry.target.incarnation;
        if !self.targets.contains_key(&incarnation) {
            self.indexes.entry(Index::of(incarnation)).or_default().push(incarnation);
        }
        let service = self.services.entry(entry.target.service.clone()).or_default();
        if !service.contains(&incarnation) {
            service.push(incarnation);
        }
        self.targets.insert(incarnation, entry);
    }

    /// Whether another target has the same number. Packets in mid-flow would go to
    /// either of the two, and be answered by a reset at the wrong one.
    fn is_clash(&self, target: &Target) -> bool {
        let known = self.targets.get(&target.incarnation).map(|entry| &entry.target);
        known.is_some_and(|it| (&it.name, it.start) != (&target.name, target.start))
    }

    fn withdraw(
        &mut self,
        name: &TargetName,
        withdrawal: Withdrawal,
        changed: &mut Vec<Incarnation>,
    ) {
        let Withdrawal { revision, presence } = withdrawal;
        let listing = self.names.entry(name.clone()).or_default();
        if listing.withdrawn.is_none_or(|it| it.revision < revision) {
            listing.withdrawn = Some(withdrawal);
        }
        let Some(known) = listing.current.and_then(|it| self.targets.get_mut(&it)) else { return };
        if known.revision >= revision {
            return;
        }
        known.revision = revision;
        // An entry that named no target and then goes says nothing more of the target.
        let is_news = match presence {
            Presence::Unusable(_) => !matches!(known.presence, Presence::Unusable(_)),
            _ => known.is_listed(),
        };
        if is_news {
            known.presence = presence;
            changed.push(known.target.incarnation);
        }
    }

    fn remove_others(
        &mut self,
        revision: Revision,
        listed: &Set<TargetName>,
        now: Millis,
        changed: &mut Vec<Incarnation>,
    ) {
        let known = self.targets.values().filter(|entry| entry.is_listed());
        let gone = known.map(|entry| &entry.target.name).filter(|it| !listed.contains(*it));
        let withdrawal = Withdrawal::new(revision, Presence::Removed(now));
        for name in gone.cloned().collect::<Vec<_>>() {
            self.withdraw(&name, withdrawal, changed);
        }
    }

    /// Drops what was removed more than [`KEPT`] ago.
    fn forget(&mut self, now: Millis) {
        let is_over = |presence: Presence| presence.ended().is_some_and(|at| now.since(at) >= KEPT);
        let old = self.targets.values().filter(|entry| is_over(entry.presence));
        for incarnation in old.map(|it| it.target.incarnation).collect::<Vec<_>>() {
            self.drop_target(incarnation);
        }
        if let Some(revision) = self.evacuations.forget(KEPT, now) {
            self.forgotten = revision.max(self.forgotten);
        }
        let (targets, forgotten) = (&self.targets, &mut self.forgotten);
        self.names.retain(|_, listing| {
            let is_kept = listing.current.is_some_and(|it| targets.contains_key(&it))
                || listing.withdrawn.is_some_and(|it| !is_over(it.presence));
            if !is_kept && let Some(withdrawal) = listing.withdrawn {
                *forgotten = withdrawal.revision.max(*forgotten);
            }
            is_kept
        });
    }

    fn drop_target(&mut self, incarnation: Incarnation) {
        let Some(entry) = self.targets.remove(&incarnation) else { return };
        self.forgotten = self.forgotten.max(entry.revision);
        if let Some(listing) = self.names.get_mut(&entry.target.name) {
            listing.current.take_if(|it| *it == incarnation);
        }
        for list in self.services.values_mut() {
            list.retain(|it| *it != incarnation);
        }
        if let Some(list) = self.indexes.get_mut(&Index::of(incarnation)) {
            list.retain(|it| *it != incarnation);
        }
    }
}

impl Withdrawal {
    fn new(revision: Revision, presence: Presence) -> Withdrawal {
        Withdrawal { revision, presence }
    }
}

impl Listing {
    /// That no target is listed there as news, unless the entry of one says so.
    fn change(&self, name: &TargetName) -> Option<Change> {
        if self.current.is_some() {
            return None;
        }
        let Withdrawal { revision, presence } = self.withdrawn?;
        let content = match presence {
            Presence::Unusable(_) => Content::Unusable(name.clone()),
            _ => Content::Removed(name.clone()),
        };
        Some(Change { revision, content })
    }
}
