//! Handling of a store that was restored from a copy, until everything that the copy lacks has been
//! written again. The alternatives are discussed in `docs/design/eras.md`.

use super::Catalog;
use crate::{Change, Content, Revision, Target, update::Subject};
use medlarspur_lib::{collections::Map, ids::TargetName, time::Millis};

/// Time that operators and targets have to repeat writes that a copy lacks. They need about two
/// seconds, and so does the copy's entry of a target that is gone to lapse again.
const REWRITE_TIME: Millis = Millis::secs(3);

/// Items of a restored copy of the store that contradict the catalog.
#[derive(Debug, Default)]
pub(super) struct RestoreWindow {
    /// End of the time in which a full read may show the state of the copy.
    until: Option<Millis>,
    unconfirmed: Map<Subject, Unconfirmed>,
}

/// A change that is not applied before `due`.
#[derive(Debug)]
struct Unconfirmed {
    change: Change,
    due: Millis,
}

/// Treatment of an item of a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Apply it if its revision is later.
    Apply,
    /// The item equals the known one and is listed in a later era.
    Unchanged,
    /// Ignore it: the known state is later, whatever the revisions.
    Skip,
    /// The item may be the state of the copy, so its change stays unconfirmed for a while.
    Defer,
}

impl RestoreWindow {
    /// Starts a later era. Unconfirmed changes are dropped, because a full read in the new era
    /// replaces them.
    pub(super) fn begin_era(&mut self, now: Millis) {
        self.until = Some(now + REWRITE_TIME);
        self.unconfirmed.clear();
    }

    /// Whether a full read may show the state of the copy.
    pub(super) fn is_open(&self, now: Millis) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Replaces the unconfirmed changes. A subject that was already unconfirmed keeps its due time.
    pub(super) fn replace_unconfirmed(&mut self, changes: Vec<Change>, now: Millis) {
        let earlier = std::mem::take(&mut self.unconfirmed);
        for change in changes {
            let Some(subject) = Subject::of(&change.content) else { continue };
            let due = earlier.get(&subject).map_or(now + REWRITE_TIME, |it| it.due);
            self.unconfirmed.insert(subject, Unconfirmed { change, due });
        }
    }

    /// Removes and returns the changes that are due.
    pub(super) fn take_due(&mut self, now: Millis) -> Vec<Change> {
        let due = self.unconfirmed.extract_if(|_, it| it.due <= now);
        due.map(|(_, it)| it.change).collect()
    }

    /// Time at which the next change is due.
    pub(super) fn next_due(&self) -> Option<Millis> {
        self.unconfirmed.values().map(|it| it.due).min()
    }

    /// Number of unconfirmed changes.
    pub(super) fn len(&self) -> usize {
        self.unconfirmed.len()
    }

    /// The unconfirmed changes.
    pub(super) fn unconfirmed(&self) -> impl Iterator<Item = &Change> {
        self.unconfirmed.values().map(|it| &it.change)
    }

    /// Whether there is an unconfirmed change of a target.
    pub(super) fn is_unconfirmed(&self, name: &TargetName) -> bool {
        !self.unconfirmed.is_empty()
            && self.unconfirmed.contains_key(&Subject::Target(name.clone()))
    }
}

impl Catalog {
    /// Prepares for a store whose era is earlier than the known one: everything that it lists next
    /// wins over the catalog, except for an older version of the config.
    pub fn reset_revisions(&mut self) {
        let start = Revision::default();
        (self.revision, self.full_read, self.purged) = (start, start, start);
        self.restore = RestoreWindow::default();
        self.deltas.clear();
        if let Some((revision, _)) = &mut self.config {
            *revision = start;
        }
        self.targets
            .values_mut()
            .for_each(|it| (it.revision, it.content_revision) = (start, start));
        for tombstone in self.names.values_mut().filter_map(|it| it.tombstone.as_mut()) {
            tombstone.revision = start;
        }
        self.evacuations.reset_revisions();
    }

    /// Records that a later era lists a target without changes. Nothing needs to be propagated.
    pub(super) fn relist(&mut self, change: &Change) {
        let Content::Target(Target { incarnation, writes, .. }) = &change.content else { return };
        if let Some(known) = self.targets.get_mut(incarnation) {
            known.revision = change.revision;
            known.target.writes = known.target.writes.max(*writes);
        }
    }

    /// Does the same for all listed targets without an unconfirmed change.
    pub(super) fn relist_all(&mut self, era: u32) {
        let (restore, start) = (&self.restore, Revision::new(era, 0));
        for entry in self.targets.values_mut().filter(|it| it.is_listed()) {
            if !restore.is_unconfirmed(&entry.target.name) {
                entry.revision = entry.revision.max(start);
            }
        }
    }

    /// Drops unconfirmed changes that are older than what is known by now.
    pub(super) fn drop_superseded(&mut self) {
        let mut unconfirmed = std::mem::take(&mut self.restore.unconfirmed);
        unconfirmed.retain(|subject, it| self.known_revision(subject) < it.change.revision);
        self.restore.unconfirmed = unconfirmed;
    }

    fn known_revision(&self, subject: &Subject) -> Revision {
        let known = match subject {
            Subject::Domain(domain) => self.evacuation_revision(domain),
            Subject::Target(name) => {
                let tombstone = self.names.get(name).and_then(|it| it.tombstone);
                let tombstone = tombstone.map(|it| it.revision);
                tombstone.max(self.latest(name).map(|it| it.revision))
            }
        };
        known.unwrap_or_default()
    }

    /// Decides how to treat an item of a snapshot. With `is_copy`, the snapshot may show the state
    /// of the copy.
    pub(super) fn classify(&self, change: &Change, is_copy: bool) -> Verdict {
        let is_earlier = |known: Revision| known.era < change.revision.era;
        let may_be_stale = match &change.content {
            Content::Target(target) => {
                return self.classify_target(change.revision, target, is_copy);
            }
            Content::Unusable(name) => {
                let known = self.latest(name).filter(|it| it.is_listed());
                known.is_some_and(|it| is_earlier(it.revision))
            }
            Content::Evacuated(domain) => {
                let known = self.evacuation_revision(domain).filter(|_| !self.is_evacuated(domain));
                // An evacuation with a larger count than its end was written after the restore.
                let is_older = |end: Revision| change.revision.count <= end.count;
                known.is_some_and(|end| is_earlier(end) && is_older(end))
            }
            _ => false,
        };
        if is_copy && may_be_stale { Verdict::Defer } else { Verdict::Apply }
    }

    fn classify_target(&self, revision: Revision, target: &Target, is_copy: bool) -> Verdict {
        let Some(listing) = self.names.get(&target.name) else { return Verdict::Apply };
        if listing.start != target.start {
            return Verdict::Apply;
        }
        let Some(known) = self.latest(&target.name) else {
            let is_earlier = listing.tombstone.is_some_and(|it| it.revision.era < revision.era);
            return if is_copy && is_earlier { Verdict::Defer } else { Verdict::Apply };
        };
        if known.revision.era >= revision.era {
            return Verdict::Apply;
        }
        if known.is_listed() && target.has_same_content(&known.target) {
            // The unconfirmed change says that the target is gone. Applying the entry makes it
            // part of the next update, so that others learn that the target is not gone.
            let is_unconfirmed = self.restore.is_unconfirmed(&target.name);
            return if is_unconfirmed { Verdict::Apply } else { Verdict::Unchanged };
        }
        if !is_copy || target.writes > known.target.writes {
            return Verdict::Apply;
        }
        // A leaving target does not come back. If it is already gone, its entry in the copy lapses.
        match known.is_listed() && known.target.leaving {
            true => Verdict::Skip,
            false => Verdict::Defer,
        }
    }
}
