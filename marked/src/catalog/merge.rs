//! Merging news into a catalog.

use super::{
    Catalog, MAX_DELTAS, MergeOutcome, RETENTION, Restored, Step, Withdrawal, restore::Verdict,
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

/// What a whole reading lists.
#[derive(Default)]
pub(super) struct Listed {
    pub(super) targets: Set<TargetName>,
    pub(super) domains: Set<DomainName>,
}

impl Catalog {
    /// Takes in news. That of an earlier era is none.
    pub fn merge(&mut self, update: Update, now: Millis) -> MergeOutcome {
        let mut changed = self.confirm(now);
        let is_covered = !self.has_gap_before(&update);
        let Update { revision, scope, changes, mut unconfirmed } = update;
        let before = self.revision;
        if revision.era < before.era {
            return changed;
        }
        let is_later = revision.era > before.era && before > Revision::default();
        let mut is_whole = is_covered;
        if scope == Scope::Snapshot {
            let is_copy = is_later || self.restore.is_open(now);
            self.take_all(revision, changes, &mut unconfirmed, is_copy, now, &mut changed);
        } else {
            for change in changes {
                is_whole &= self.take(change, now, &mut changed);
            }
        }
        if let Scope::WithDigest { digest, .. } = scope
            && is_whole
            && digest != self.listing_digest()
        {
            self.astray = true;
            is_whole = false;
        }
        let is_restored = is_whole && is_later;
        if is_restored {
            self.restore.enter(now);
        }
        if is_whole {
            if !matches!(scope, Scope::Incremental(_)) {
                self.read = self.read.max(revision);
                self.restore.replace(unconfirmed, now);
            }
            if is_restored && scope != Scope::Snapshot {
                self.list_all_again(revision.era);
            }
            self.revision = self.revision.max(revision);
        }
        self.drop_superseded();
        if is_restored {
            changed.restore = Some(Restored {
                from: before,
                to: self.revision,
                changed: changed.targets.len(),
                unconfirmed: self.restore.len(),
            });
        }
        self.forget(now);
        changed
    }

    /// Takes in a whole reading, which may be of a copy; what it says against what is known is
    /// then added to what is unconfirmed.
    fn take_all(
        &mut self,
        revision: Revision,
        changes: Vec<Change>,
        unconfirmed: &mut Vec<Change>,
        is_copy: bool,
        now: Millis,
        changed: &mut MergeOutcome,
    ) {
        self.astray = false;
        let (mut listed, mut doubted) = (Listed::default(), Vec::new());
        // What may be there is not missing.
        unconfirmed.iter().for_each(|change| listed.add(&change.content));
        for change in changes {
            listed.add(&change.content);
            match self.judge(&change, is_copy) {
                Verdict::Take => drop(self.take(change, now, changed)),
                Verdict::Skip => {}
                Verdict::Same => self.list_again(&change),
                Verdict::Doubt => doubted.push(change),
            }
        }
        for (known, content) in self.missing(revision, &listed) {
            let change = Change { revision, content };
            if is_copy && known.era < revision.era {
                unconfirmed.push(change);
            } else {
                self.take(change, now, changed);
            }
        }
        // What the teller has judged goes last, and counts where both say something.
        doubted.append(unconfirmed);
        *unconfirmed = doubted;
    }

    /// Takes in what a copy said, once there was time to write it again.
    pub fn confirm(&mut self, now: Millis) -> MergeOutcome {
        let mut changed = MergeOutcome::default();
        for change in self.restore.take_due(now) {
            self.take(change, now, &mut changed);
        }
        changed
    }

    /// When [`confirm`](Self::confirm) has something to do next.
    pub fn deadline(&self) -> Option<Millis> {
        self.restore.due()
    }

    /// Takes a change in by its revision; answers whether it could be.
    fn take(&mut self, change: Change, now: Millis, changed: &mut MergeOutcome) -> bool {
        let Change { revision, content } = change;
        match content {
            Content::Config(config) => self.merge_config(revision, config),
            Content::Delta(delta) => return self.merge_delta(revision, delta),
            Content::Target(target) => {
                self.merge_target(revision, target, now, &mut changed.targets);
            }
            Content::Removed(name) => {
                let withdrawal = Withdrawal::new(revision, Presence::Removed(now));
                self.withdraw(&name, withdrawal, &mut changed.targets);
            }
            Content::Unusable(name) => {
                let withdrawal = Withdrawal::new(revision, Presence::Unusable(now));
                self.withdraw(&name, withdrawal, &mut changed.targets);
            }
            Content::FormerTarget(former) => {
                changed.former_targets.extend(self.merge_former(revision, former, now));
            }
            Content::Evacuated(domain) => {
                let is_new = self.evacuations.set(&domain, revision, None);
                changed.domains.extend(is_new.then_some(domain));
            }
            Content::EvacuationEnded(domain) => {
                let is_new = self.evacuations.set(&domain, revision, Some(now));
                changed.domains.extend(is_new.then_some(domain));
            }
        }
        true
    }

    /// The larger version wins, whatever the revisions: a copy of the source may have an
    /// older one.
    fn merge_config(&mut self, revision: Revision, config: Config) {
        if let Some((from, old)) = &self.config {
            if (old.version, *from) >= (config.version, revision) {
                return;
            }
            let delta = Delta::between(old, &config);
            self.deltas.push_back(Step { from: *from, to: revision, delta });
            if self.deltas.len() > MAX_DELTAS {
                self.deltas.pop_front();
            }
        }
        let positions = config.routes.iter().enumerate();
        self.routes = positions.map(|(position, route)| (route.address, position)).collect();
        self.config = Some((revision, config));
    }

    /// Answers whether the config that it changes is the one in force, or is
    /// older.
    fn merge_delta(&mut self, revision: Revision, delta: Delta) -> bool {
        let config = match &self.config {
            Some((at, known)) if (known.version, *at) >= (delta.version, revision) => return true,
            Some((_, known)) if known.version == delta.base => delta.apply(known),
            _ => {
                self.astray = true;
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

    /// Takes in a target that is not listed any more; answers it if it is new here.
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

    /// Whether another target has the same number. Packets in mid-flow would go to
    /// either of the two, and be answered by a reset at the wrong one.
    fn collides(&self, target: &Target) -> bool {
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
        (known.revision, known.content_revision) = (revision, revision);
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

    /// The end of all that a whole reading doesn't list, and since when each is known.
    fn missing(&self, revision: Revision, listed: &Listed) -> Vec<(Revision, Content)> {
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
        let waiting = self.restore.waiting().filter(|it| it.revision.era == revision.era);
        let waiting = waiting.filter_map(|it| Some((it.revision, end(&it.content)?)));
        gone.chain(ended).chain(waiting).collect()
    }
}

impl Listed {
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
