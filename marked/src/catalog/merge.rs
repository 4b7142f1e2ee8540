//! Merging updates into the catalog.

use super::{
    Catalog, ConfigStep, MAX_DELTAS, MergeOutcome, RETENTION, Restored, Tombstone, restore::Verdict,
};
use crate::{
    Change, Config, Content, Entry, FormerTarget, Incarnation, Presence, Revision, Scope, Start,
    Target, Update, delta::Delta, mark::Index,
};
use medlarspur_lib::{
    collections::Set,
    ids::{DomainName, TargetName},
    time::Millis,
};

/// Names of the items that a snapshot lists.
#[derive(Default)]
pub(super) struct SnapshotItems {
    pub(super) targets: Set<TargetName>,
    pub(super) domains: Set<DomainName>,
}

impl Catalog {
    /// Merges an update. An update of an earlier era changes nothing.
    pub fn merge(&mut self, update: Update, now: Millis) -> MergeOutcome {
        let mut outcome = self.confirm(now);
        let is_contiguous = !self.has_gap_before(&update);
        let Update { revision, scope, changes, mut unconfirmed } = update;
        let before = self.revision;
        if revision.era < before.era {
            return outcome;
        }
        let is_later_era = revision.era > before.era && before > Revision::default();
        let mut is_complete = is_contiguous;
        if scope == Scope::Snapshot {
            let is_copy = is_later_era || self.restore.is_open(now);
            self.merge_snapshot(revision, changes, &mut unconfirmed, is_copy, now, &mut outcome);
        } else {
            for change in changes {
                is_complete &= self.apply(change, now, &mut outcome);
            }
        }
        if let Scope::WithDigest { digest, .. } = scope
            && is_complete
            && digest != self.listing_digest()
        {
            self.needs_snapshot = true;
            is_complete = false;
        }
        let is_restored = is_complete && is_later_era;
        if is_restored {
            self.restore.begin_era(now);
        }
        if is_complete {
            if !matches!(scope, Scope::Incremental(_)) {
                self.full_read = self.full_read.max(revision);
                self.restore.replace_unconfirmed(unconfirmed, now);
            }
            if is_restored && scope != Scope::Snapshot {
                self.relist_all(revision.era);
            }
            self.revision = self.revision.max(revision);
        }
        self.drop_superseded();
        if is_restored {
            outcome.restore = Some(Restored {
                from: before,
                to: self.revision,
                changed: outcome.targets.len(),
                unconfirmed: self.restore.len(),
            });
        }
        self.purge_expired(now);
        outcome
    }

    /// Merges a snapshot. If the store may still show its restored copy (`is_copy`), what
    /// contradicts the catalog is not applied but added to `unconfirmed`.
    fn merge_snapshot(
        &mut self,
        revision: Revision,
        changes: Vec<Change>,
        unconfirmed: &mut Vec<Change>,
        is_copy: bool,
        now: Millis,
        outcome: &mut MergeOutcome,
    ) {
        self.needs_snapshot = false;
        let (mut listed, mut deferred) = (SnapshotItems::default(), Vec::new());
        // Unconfirmed items may exist, so they do not count as missing.
        unconfirmed.iter().for_each(|change| listed.add(&change.content));
        for change in changes {
            listed.add(&change.content);
            match self.classify(&change, is_copy) {
                Verdict::Apply => drop(self.apply(change, now, outcome)),
                Verdict::Skip => {}
                Verdict::Unchanged => self.relist(&change),
                Verdict::Defer => deferred.push(change),
            }
        }
        for (known, content) in self.missing(revision, &listed) {
            let change = Change { revision, content };
            if is_copy && known.era < revision.era {
                unconfirmed.push(change);
            } else {
                self.apply(change, now, outcome);
            }
        }
        // The sender's own unconfirmed changes come last: they take precedence for the same
        // subject.
        deferred.append(unconfirmed);
        *unconfirmed = deferred;
    }

    /// Applies unconfirmed changes for which writers have had enough time to repeat what the copy
    /// lacks.
    pub fn confirm(&mut self, now: Millis) -> MergeOutcome {
        let mut outcome = MergeOutcome::default();
        for change in self.restore.take_due(now) {
            self.apply(change, now, &mut outcome);
        }
        outcome
    }

    /// Time at which [`confirm`](Self::confirm) has to be called next.
    pub fn deadline(&self) -> Option<Millis> {
        self.restore.next_due()
    }

    /// Applies a change if its revision is later than what is known. Returns false if it is a delta
    /// of a config that is not known here.
    fn apply(&mut self, change: Change, now: Millis, outcome: &mut MergeOutcome) -> bool {
        let Change { revision, content } = change;
        match content {
            Content::Config(config) => self.merge_config(revision, config),
            Content::Delta(delta) => return self.merge_delta(revision, delta),
            Content::Target(target) => {
                self.merge_target(revision, target, now, &mut outcome.targets);
            }
            Content::Removed(name) => {
                let tombstone = Tombstone::new(revision, Presence::Removed(now));
                self.unlist(&name, tombstone, &mut outcome.targets);
            }
            Content::Unusable(name) => {
                let tombstone = Tombstone::new(revision, Presence::Unusable(now));
                self.unlist(&name, tombstone, &mut outcome.targets);
            }
            Content::FormerTarget(former) => {
                outcome.former_targets.extend(self.merge_former(revision, former, now));
            }
            Content::Evacuated(domain) => {
                let is_new = self.evacuations.set(&domain, revision, None);
                outcome.domains.extend(is_new.then_some(domain));
            }
            Content::EvacuationEnded(domain) => {
                let is_new = self.evacuations.set(&domain, revision, Some(now));
                outcome.domains.extend(is_new.then_some(domain));
            }
        }
        true
    }

    /// The larger version wins, whatever the revisions, because a copy of the store may contain an
    /// older config.
    fn merge_config(&mut self, revision: Revision, config: Config) {
        if let Some((from, old)) = &self.config {
            if (old.version, *from) >= (config.version, revision) {
                return;
            }
            let delta = Delta::between(old, &config);
            self.deltas.push_back(ConfigStep { from: *from, to: revision, delta });
            if self.deltas.len() > MAX_DELTAS {
                self.deltas.pop_front();
            }
        }
        let positions = config.routes.iter().enumerate();
        self.routes = positions.map(|(position, route)| (route.address, position)).collect();
        self.config = Some((revision, config));
    }

    /// Returns false if the delta is newer than the config in force but based on another version.
    fn merge_delta(&mut self, revision: Revision, delta: Delta) -> bool {
        let config = match &self.config {
            Some((at, known)) if (known.version, *at) >= (delta.version, revision) => return true,
            Some((_, known)) if known.version == delta.base => delta.apply(known),
            _ => {
                self.needs_snapshot = true;
                return false;
            }
        };
        self.merge_config(revision, config);
        true
    }

    fn merge_target(
        &mut self,
        revision: Revision,
        target: Target,
        now: Millis,
        changed: &mut Vec<Incarnation>,
    ) {
        let incarnation = target.incarnation;
        if self.collides(&target) {
            self.collisions += 1;
            return;
        }
        let listing = self.names.entry(target.name.clone()).or_default();
        let unusable = |revision| Tombstone::new(revision, Presence::Unusable(now));
        if target.start < listing.start {
            // A target that gives its start time always does. An entry without it comes from
            // another writer and describes no usable target.
            if target.start == Start::default() {
                self.unlist(&target.name, unusable(revision), changed);
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
                if is_foreign && listing.tombstone.is_none_or(|it| it.revision < known) {
                    listing.tombstone = Some(unusable(known));
                }
            }
        }
        if listing.tombstone.is_some_and(|it| it.revision >= revision) {
            return;
        }
        listing.current = Some(incarnation);
        let cold_until = now + target.cold;
        let fresh = Entry {
            target,
            revision,
            content_revision: revision,
            presence: Presence::Listed,
            cold_until,
        };
        if self.targets.get(&incarnation).is_some_and(|known| known.revision >= revision) {
            return;
        }
        self.insert(fresh);
        changed.push(incarnation);
    }

    /// Adds a target that is no longer listed. Returns it if it was not known here.
    fn merge_former(
        &mut self,
        revision: Revision,
        former: FormerTarget,
        now: Millis,
    ) -> Option<Incarnation> {
        let FormerTarget { target, age } = former;
        let incarnation = target.incarnation;
        if age >= RETENTION || self.targets.contains_key(&incarnation) {
            return None;
        }
        let listing = self.names.entry(target.name.clone()).or_default();
        let ended = Millis(now.0.saturating_sub(age.0));
        let presence = match (listing.current, listing.tombstone.map(|it| it.presence)) {
            (Some(_), _) => Presence::Replaced(ended),
            (None, Some(Presence::Unusable(_))) => Presence::Unusable(ended),
            (None, _) => Presence::Removed(ended),
        };
        if listing.current.is_none() {
            listing.start = listing.start.max(target.start);
            listing.current = Some(incarnation);
            listing.tombstone.get_or_insert(Tombstone::new(revision, presence));
        }
        self.insert(Entry {
            target,
            revision,
            content_revision: revision,
            presence,
            cold_until: now,
        });
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

    /// Whether another target has the same incarnation. Packets in mid-flow would then go to either
    /// of the two, and the wrong one would reset the flow.
    fn collides(&self, target: &Target) -> bool {
        let known = self.targets.get(&target.incarnation).map(|entry| &entry.target);
        known.is_some_and(|it| (&it.name, it.start) != (&target.name, target.start))
    }

    fn unlist(&mut self, name: &TargetName, tombstone: Tombstone, changed: &mut Vec<Incarnation>) {
        let Tombstone { revision, presence } = tombstone;
        let listing = self.names.entry(name.clone()).or_default();
        if listing.tombstone.is_none_or(|it| it.revision < revision) {
            listing.tombstone = Some(tombstone);
        }
        let Some(known) = listing.current.and_then(|it| self.targets.get_mut(&it)) else { return };
        if known.revision >= revision {
            return;
        }
        (known.revision, known.content_revision) = (revision, revision);
        // The removal of an entry that was already unusable says nothing new about the target.
        let is_change = match presence {
            Presence::Unusable(_) => !matches!(known.presence, Presence::Unusable(_)),
            _ => known.is_listed(),
        };
        if is_change {
            known.presence = presence;
            changed.push(known.target.incarnation);
        }
    }

    /// Returns the removals of all known items that a snapshot does not list, each with the
    /// revision at which the item is known.
    fn missing(&self, revision: Revision, listed: &SnapshotItems) -> Vec<(Revision, Content)> {
        let end = |known: &Content| match known {
            Content::Target(target) if !listed.targets.contains(&target.name) => {
                Some(Content::Removed(target.name.clone()))
            }
            Content::Evacuated(domain) if !listed.domains.contains(domain) => {
                Some(Content::EvacuationEnded(domain.clone()))
            }
            _ => None,
        };
        let known = self.targets.values().filter(|entry| entry.is_listed());
        let gone = known.filter(|entry| !listed.targets.contains(&entry.target.name));
        let gone = gone.map(|it| (it.revision, Content::Removed(it.target.name.clone())));
        let evacuations = self.evacuations.changes();
        let ended = evacuations.filter_map(|it| Some((it.revision, end(&it.content)?)));
        let unconfirmed = self.restore.unconfirmed().filter(|it| it.revision.era == revision.era);
        let unconfirmed = unconfirmed.filter_map(|it| Some((it.revision, end(&it.content)?)));
        gone.chain(ended).chain(unconfirmed).collect()
    }
}

impl SnapshotItems {
    fn add(&mut self, content: &Content) {
        match content {
            Content::Target(target) => drop(self.targets.insert(target.name.clone())),
            Content::Unusable(name) => drop(self.targets.insert(name.clone())),
            Content::Evacuated(domain) => drop(self.domains.insert(domain.clone())),
            Content::Config(_) | Content::Delta(_) | Content::Removed(_) => {}
            Content::FormerTarget(_) | Content::EvacuationEnded(_) => {}
        }
    }
}
