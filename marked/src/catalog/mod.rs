//! Targets and routes, merged from updates in any order.
//!
//! Each item carries the revision at which the store last changed it, and the larger revision wins.
//! A removal leaves a tombstone with its revision. Updates may therefore be late, repeated, out of
//! order and from several senders, and all instances still converge on the same catalog.
//!
//! The store itself may go back in time: it is restored from a copy that lacks the last seconds,
//! and continues from there in a later era. What it then lists in contradiction to the catalog
//! stays unconfirmed until writers have had time to repeat what the copy lacks
//! (`docs/design/eras.md`).
//!
//! When a target restarts under its name, the later start wins, whatever the revisions: a late
//! write of the earlier process may follow the first entry of the later one, and new flows would
//! then go to a process that is gone.
//!
//! A removed target is retained for [`RETENTION`], because its flows continue.

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

/// Time for which a removed target is retained. It exceeds the longest lifetime of a flow on the
/// known platforms (60 s) and any delay of an update.
const RETENTION: Millis = Millis::secs(90);

/// Maximum number of config deltas that are kept, enough for a burst of changes between two
/// updates. An instance that lacks more gets the whole config.
const MAX_DELTAS: usize = 16;

/// Known entries of one target name.
#[derive(Debug, Default)]
struct Listing {
    /// Latest known start.
    start: Start,
    /// Incarnation of that start, while it is retained.
    current: Option<Incarnation>,
    /// Latest removal of the entry.
    tombstone: Option<Tombstone>,
}

/// Records that a name lists no usable target since a revision.
#[derive(Debug, Clone, Copy)]
struct Tombstone {
    revision: Revision,
    presence: Presence,
}

/// Effects of merging an update.
#[derive(Debug, Default)]
pub struct MergeOutcome {
    /// Targets whose entries changed.
    pub targets: Vec<Incarnation>,
    /// Targets that are no longer listed and were not known here before.
    pub former_targets: Vec<Incarnation>,
    /// Failure domains whose evacuation began or ended.
    pub domains: Vec<DomainName>,
    /// Set if the update showed that the store was restored from a copy.
    pub restore: Option<Restored>,
}

/// A restore of the store from a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Restored {
    /// Revision up to which all changes were known before.
    pub from: Revision,
    /// Revision up to which all changes are known now.
    pub to: Revision,
    /// Number of targets whose entries changed.
    pub changed: usize,
    /// Number of items that contradict the catalog and are unconfirmed.
    pub unconfirmed: usize,
}

/// All known targets and routes.
#[derive(Debug, Default)]
pub struct Catalog {
    revision: Revision,
    config: Option<(Revision, Config)>,
    /// Deltas between successive configs, the latest last.
    deltas: VecDeque<ConfigStep>,
    /// Whether an update did not fit the catalog, so that only a snapshot helps.
    needs_snapshot: bool,
    routes: Map<SocketAddrV4, usize>,
    targets: Map<Incarnation, Entry>,
    services: Map<ServiceName, Vec<Incarnation>>,
    indexes: Map<Index, Vec<Incarnation>>,
    /// Revision of the latest removal that is no longer retained.
    purged: Revision,
    names: Map<TargetName, Listing>,
    evacuations: Evacuations,
    restore: RestoreWindow,
    /// Revision of the last full read, by this instance or by the sender of an update. Removals
    /// before it are only known in part.
    full_read: Revision,
    /// Number of targets that were rejected because another one has their incarnation.
    collisions: u64,
}

/// The change from one config to the next.
#[derive(Debug)]
struct ConfigStep {
    /// Revision of the earlier config.
    from: Revision,
    to: Revision,
    delta: Delta,
}

impl Catalog {
    /// Revision up to which all changes are known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Revision to pull updates from; the default, which asks for a snapshot, if an update did not
    /// fit.
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

    /// Whether the catalog is complete enough to serve: it has routes and targets, and all changes
    /// up to some revision are known. A single incremental update may name targets without
    /// saying that their failure domain is evacuated.
    pub fn is_usable(&self) -> bool {
        let is_whole = self.revision > Revision::default();
        is_whole && self.config.is_some() && !self.targets.is_empty()
    }

    /// Whether a failure domain is evacuated, so that its targets get no new flows.
    pub fn is_evacuated(&self, domain: &DomainName) -> bool {
        self.evacuations.is_evacuated(domain)
    }

    /// The evacuated failure domains.
    pub fn evacuated(&self) -> impl Iterator<Item = &DomainName> {
        self.evacuations.evacuated()
    }

    /// Time at which this instance learned that the evacuation of a failure domain had ended.
    pub fn evacuation_ended(&self, domain: &DomainName) -> Option<Millis> {
        self.evacuations.ended(domain)
    }

    /// Revision of the latest change that began or ended the evacuation of a failure domain.
    pub fn evacuation_revision(&self, domain: &DomainName) -> Option<Revision> {
        self.evacuations.revision(domain)
    }

    /// The route at an address and port.
    pub fn route(&self, address: SocketAddrV4) -> Option<&Route> {
        let &position = self.routes.get(&address)?;
        self.config()?.routes.get(position)
    }

    /// Entry of a target that is listed, or was until recently.
    pub fn entry(&self, incarnation: Incarnation) -> Option<&Entry> {
        self.targets.get(&incarnation)
    }

    /// Entry of the latest start of a target, while it is retained.
    pub fn latest(&self, name: &TargetName) -> Option<&Entry> {
        self.targets.get(&self.names.get(name)?.current?)
    }

    /// Number of targets that were rejected because another one has their incarnation.
    pub fn collisions(&self) -> u64 {
        self.collisions
    }

    /// Entries of all known targets, including removed ones.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.targets.values()
    }

    /// Entries of the targets of a service, including removed ones.
    pub fn targets(&self, service: &ServiceName) -> impl Iterator<Item = &Entry> {
        let found = self.services.get(service).map(Vec::as_slice).unwrap_or_default();
        let entries = found.iter().filter_map(|incarnation| self.targets.get(incarnation));
        entries.filter(move |entry| entry.target.service == *service)
    }

    /// Properties of a service in the config.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.config()?.services.iter().find(|it| it.name == *name)
    }

    /// Entry of the target that a mark of the flow names; `None` if the mark matches no known
    /// target.
    pub fn entry_by_mark(&self, mark: Mark, flow: &FlowKey) -> Option<&Entry> {
        let found = self.indexes.get(&mark.index())?;
        let incarnation = found.iter().find(|&&it| mark.matches(it, flow))?;
        self.targets.get(incarnation)
    }

    /// Whether changes are missing between the catalog and the update.
    pub fn has_gap_before(&self, update: &Update) -> bool {
        match update.scope {
            Scope::Snapshot => false,
            Scope::Incremental(known) | Scope::WithDigest { since: known, .. } => {
                known > self.revision
            }
        }
    }

    /// Digest of the listed targets, the evacuated failure domains and the config's version. It
    /// does not depend on their order.
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

    /// Returns the update that brings an instance from revision `known` to the present. The update
    /// is a snapshot if that instance knows no revision, or missed removals that are no longer
    /// retained.
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
        // Former targets come last, so that the listed targets of the same names are known before
        // them.
        let changes = config.into_iter().chain(others).chain(former).collect();
        // An instance that knows everything since the last full read has classified the changes
        // itself.
        let is_classified = matches!(scope, Scope::Incremental(_));
        let unconfirmed = self.restore.unconfirmed().filter(|_| !is_classified).cloned().collect();
        Update { revision: self.revision, scope, changes, unconfirmed }
    }

    /// Scope of an update that covers all changes since a revision.
    fn scope(&self, known: Revision) -> Scope {
        if known == Revision::default() || known < self.purged {
            return Scope::Snapshot;
        }
        match known < self.full_read {
            true => Scope::WithDigest { since: known, digest: self.listing_digest() },
            false => Scope::Incremental(known),
        }
    }

    /// Returns the config for an instance that knows all changes up to a revision: the deltas if
    /// they are still kept, otherwise the whole config.
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

    /// Drops targets, tombstones and ended evacuations that are older than [`RETENTION`].
    fn purge_expired(&mut self, now: Millis) {
        let is_over =
            |presence: Presence| presence.ended().is_some_and(|at| now.since(at) >= RETENTION);
        let old = self.targets.values().filter(|entry| is_over(entry.presence));
        for incarnation in old.map(|it| it.target.incarnation).collect::<Vec<_>>() {
            self.drop_target(incarnation);
        }
        if let Some(revision) = self.evacuations.forget_ended(RETENTION, now) {
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

/// Hashes a value with fixed keys, so that all instances get the same digest.
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
    /// Returns the tombstone as a change. A name with a retained target has none, because that
    /// target's entry says the same.
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
