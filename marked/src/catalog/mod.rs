//! Which targets and routes there are, merged from news in any order.
//!
//! Each item carries the revision at which its source changed it last. The
//! larger revision wins, and that something was removed has a revision too, so
//! the same news may come late, twice, from several sources and out of order
//! and every instance ends with the same picture.
//!
//! The source itself may go back: it comes back from a copy that lacks some
//! seconds, and counts on from there in a later era. What it then lists against
//! what is known is unconfirmed until there was time to write it again
//! (`docs/design/eras.md`).
//!
//! Of a target that starts again under its name the later start wins, whatever
//! the revisions: an entry that the earlier process had still under way may be
//! written after the first one of the later process, and would have new flows
//! wait for a process that is gone.
//!
//! A target that is removed stays known for [`RETENTION`], since flows to it go on.

mod merge;
mod restore;

use crate::{
    Change, Config, Content, Entry, FlowKey, Incarnation, Mark, Presence, Revision, Route, Scope,
    Service, Start, Target, Update, delta::Delta, evacuation::Evacuations, mark::Index,
};
use medlarspur_lib::{
    collections::Map,
    ids::{DomainName, ServiceName, TargetName},
    time::Millis,
};
use restore::RestoreWindow;
use siphasher::sip::SipHasher13;
use std::{
    collections::VecDeque,
    hash::{Hash, Hasher},
    net::SocketAddrV4,
};

/// How long a removed target is remembered. Longer than the longest life of a
/// flow on the platforms known (60 s) and than any delay of news.
const RETENTION: Millis = Millis::secs(90);

/// How many differences of configs are kept: those of a storm between two pieces
/// of news. Whoever lacks more is told the config whole.
const MAX_DELTAS: usize = 16;

/// What is known of the entries under one name.
#[derive(Debug, Default)]
struct Listing {
    /// The latest start that was heard of.
    start: Start,
    /// That start, while it is remembered.
    current: Option<Incarnation>,
    /// The latest news that no target is listed there.
    tombstone: Option<Tombstone>,
}

/// That an entry names no target any more.
#[derive(Debug, Clone, Copy)]
struct Tombstone {
    revision: Revision,
    presence: Presence,
}

/// What news has changed.
#[derive(Debug, Default)]
pub struct MergeOutcome {
    /// Targets whose entries are others now.
    pub targets: Vec<Incarnation>,
    /// Targets that were listed once, and are heard of for the first time.
    pub former_targets: Vec<Incarnation>,
    /// Failure domains that operators have emptied, or have taken back.
    pub domains: Vec<DomainName>,
    /// That the source came back from a copy since the last news.
    pub restore: Option<Restored>,
}

/// That the source came back from a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Restored {
    /// Up to which revision all was known before.
    pub from: Revision,
    /// Up to which revision all is known now.
    pub to: Revision,
    /// How many entries of targets are others.
    pub changed: usize,
    /// How many items say something else than what is known, and are unconfirmed.
    pub unconfirmed: usize,
}

/// All that is known of targets and routes.
#[derive(Debug, Default)]
pub struct Catalog {
    revision: Revision,
    config: Option<(Revision, Config)>,
    /// How the config came from earlier ones, the latest last.
    deltas: VecDeque<ConfigStep>,
    /// Whether what was told did not fit what is known here.
    needs_snapshot: bool,
    routes: Map<SocketAddrV4, usize>,
    targets: Map<Incarnation, Entry>,
    services: Map<ServiceName, Vec<Incarnation>>,
    indexes: Map<Index, Vec<Incarnation>>,
    /// The latest removal that is no longer remembered.
    purged: Revision,
    names: Map<TargetName, Listing>,
    evacuations: Evacuations,
    restore: RestoreWindow,
    /// Up to where all was read whole last, here or by whoever told it: what ended before is
    /// known in part only.
    full_read: Revision,
    /// Targets that were not taken because another one has their number.
    collisions: u64,
}

/// How a config came from the one before.
#[derive(Debug)]
struct ConfigStep {
    /// The revision of the one before.
    from: Revision,
    to: Revision,
    delta: Delta,
}

impl Catalog {
    /// Up to which revision all changes are known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// From which revision on to ask for changes: all, if differences don't fit any more.
    pub fn pull_base(&self) -> Revision {
        if self.needs_snapshot { Revision::default() } else { self.revision }
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
    pub fn evacuation_ended(&self, domain: &DomainName) -> Option<Millis> {
        self.evacuations.ended(domain)
    }

    /// The revision that says whether a failure domain is evacuated, if any does.
    pub fn evacuation_revision(&self, domain: &DomainName) -> Option<Revision> {
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
    pub fn collisions(&self) -> u64 {
        self.collisions
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
    pub fn entry_by_mark(&self, mark: Mark, flow: &FlowKey) -> Option<&Entry> {
        let found = self.indexes.get(&mark.index())?;
        let incarnation = found.iter().find(|&&it| mark.holds(it, flow))?;
        self.targets.get(incarnation)
    }

    /// Whether there are changes before that news which are not known here.
    pub fn has_gap_before(&self, update: &Update) -> bool {
        match update.scope {
            Scope::Snapshot => false,
            Scope::Incremental(known) | Scope::WithDigest { since: known, .. } => {
                known > self.revision
            }
        }
    }

    /// A digest of what is listed, in any order.
    fn listing_digest(&self) -> u64 {
        let targets = self.targets.values().filter(|it| it.is_listed());
        let targets = targets.map(|it| {
            let Target { incarnation, address, slots, leaving, service, .. } = &it.target;
            digest(&(incarnation, address, slots, leaving, service.as_str()))
        });
        let domains = self.evacuated().map(|name| digest(&name.as_str()));
        let version = digest(&self.config().map(|it| it.version));
        targets.chain(domains).fold(version, u64::wrapping_add)
    }

    /// What has changed since a revision, to be told to another instance. One
    /// that knows nothing, or was away for longer than removed targets are
    /// remembered, is told all.
    pub fn update_since(&self, known: Revision, now: Millis) -> Update {
        let scope = self.scope(known);
        let is_snapshot = scope == Scope::Snapshot;
        let is_included = |revision: Revision| is_snapshot || revision > known;
        let config = self.config_since(if is_snapshot { Revision::default() } else { known });
        let targets = self.targets.values().filter(|it| is_included(it.content_revision));
        let targets = targets.filter_map(|entry| entry.to_change(now));
        let tombstones = self.names.iter().filter_map(|(name, it)| it.to_change(name));
        let others = tombstones.chain(self.evacuations.changes());
        let others = targets.chain(others.filter(|change| is_included(change.revision)));
        let former =
            self.targets.values().filter(|_| is_snapshot).filter_map(|it| it.to_former(now));
        // Last, so that what is listed under their names is known before them.
        let changes = config.into_iter().chain(others).chain(former).collect();
        // Whoever knows all since the last whole reading has judged it by itself.
        let is_classified = matches!(scope, Scope::Incremental(_));
        let unconfirmed = self.restore.unconfirmed().filter(|_| !is_classified).cloned().collect();
        Update { revision: self.revision, scope, changes, unconfirmed }
    }

    /// What covers all changes since a revision.
    fn scope(&self, known: Revision) -> Scope {
        if known == Revision::default() || known < self.purged {
            return Scope::Snapshot;
        }
        match known < self.full_read {
            true => Scope::WithDigest { since: known, digest: self.listing_digest() },
            false => Scope::Incremental(known),
        }
    }

    /// The config for one that knows all up to a revision: the differences, if
    /// they are still there, or the whole.
    fn config_since(&self, known: Revision) -> Vec<Change> {
        let Some((revision, config)) = &self.config else { return Vec::new() };
        if *revision <= known {
            return Vec::new();
        }
        let steps: Vec<&ConfigStep> = self.deltas.iter().filter(|it| it.to > known).collect();
        if steps.first().is_some_and(|it| it.from <= known) {
            let changes = steps
                .into_iter()
                .map(|it| Change { revision: it.to, content: Content::Delta(it.delta.clone()) });
            return changes.collect();
        }
        vec![Change { revision: *revision, content: Content::Config(config.clone()) }]
    }

    /// Drops what was removed more than [`RETENTION`] ago.
    fn purge_expired(&mut self, now: Millis) {
        let is_over =
            |presence: Presence| presence.ended().is_some_and(|at| now.since(at) >= RETENTION);
        let old = self.targets.values().filter(|entry| is_over(entry.presence));
        for incarnation in old.map(|it| it.target.incarnation).collect::<Vec<_>>() {
            self.drop_target(incarnation);
        }
        if let Some(revision) = self.evacuations.forget(RETENTION, now) {
            self.purged = revision.max(self.purged);
        }
        let (targets, purged) = (&self.targets, &mut self.purged);
        self.names.retain(|_, listing| {
            let is_kept = listing.current.is_some_and(|it| targets.contains_key(&it))
                || listing.tombstone.is_some_and(|it| !is_over(it.presence));
            if !is_kept && let Some(tombstone) = listing.tombstone {
                *purged = tombstone.revision.max(*purged);
            }
            is_kept
        });
    }

    fn drop_target(&mut self, incarnation: Incarnation) {
        let Some(entry) = self.targets.remove(&incarnation) else { return };
        self.purged = self.purged.max(entry.revision);
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

/// The same on all instances.
fn digest(value: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}

impl Tombstone {
    fn new(revision: Revision, presence: Presence) -> Tombstone {
        Tombstone { revision, presence }
    }
}

impl Listing {
    /// That no target is listed there as news, unless the entry of one says so.
    fn to_change(&self, name: &TargetName) -> Option<Change> {
        if self.current.is_some() {
            return None;
        }
        let Tombstone { revision, presence } = self.tombstone?;
        let content = match presence {
            Presence::Unusable(_) => Content::Unusable(name.clone()),
            _ => Content::Removed(name.clone()),
        };
        Some(Change { revision, content })
    }
}
