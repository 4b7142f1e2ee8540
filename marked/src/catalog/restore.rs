//! What holds between the return of the source from a copy and the moment by which all that
//! the copy lacks has been written again; the options are in `docs/design/eras.md`.

use super::Catalog;
use crate::{Change, Content, Revision, Target, update::Subject};
use medlarspur_lib::{collections::Map, ids::TargetName, time::Millis};

/// How long operators and targets have to write again what a copy lacks: they do within some
/// two seconds, and an entry that lapsed has as long.
const REWRITE_TIME: Millis = Millis::secs(3);

/// What a copy of the source says against what is known.
#[derive(Debug, Default)]
pub(super) struct RestoreWindow {
    /// Until when a whole reading may show what the copy has.
    until: Option<Millis>,
    unconfirmed: Map<Subject, Unconfirmed>,
}

/// A change that waits.
#[derive(Debug)]
struct Unconfirmed {
    change: Change,
    due: Millis,
}

/// What to do with an item of a whole reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Its revision decides.
    Apply,
    /// It says what is known, in a later era.
    Unchanged,
    /// What is known is later, whatever the revisions.
    Skip,
    /// It may be of the copy, and waits.
    Defer,
}

impl RestoreWindow {
    /// A later era begins. What a copy said before is void, since all is read anew.
    pub(super) fn begin_era(&mut self, now: Millis) {
        self.until = Some(now + REWRITE_TIME);
        self.unconfirmed.clear();
    }

    /// Whether what is read whole may be of a copy.
    pub(super) fn is_open(&self, now: Millis) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Has these changes wait in place of those before; what waits already goes on to.
    pub(super) fn replace_unconfirmed(&mut self, changes: Vec<Change>, now: Millis) {
        let earlier = std::mem::take(&mut self.unconfirmed);
        for change in changes {
            let Some(subject) = Subject::of(&change.content) else { continue };
            let due = earlier.get(&subject).map_or(now + REWRITE_TIME, |it| it.due);
            self.unconfirmed.insert(subject, Unconfirmed { change, due });
        }
    }

    /// What has waited for long enough.
    pub(super) fn take_due(&mut self, now: Millis) -> Vec<Change> {
        let due = self.unconfirmed.extract_if(|_, it| it.due <= now);
        due.map(|(_, it)| it.change).collect()
    }

    /// When the next change has waited for long enough.
    pub(super) fn next_due(&self) -> Option<Millis> {
        self.unconfirmed.values().map(|it| it.due).min()
    }

    /// How many changes wait.
    pub(super) fn len(&self) -> usize {
        self.unconfirmed.len()
    }

    /// What waits.
    pub(super) fn unconfirmed(&self) -> impl Iterator<Item = &Change> {
        self.unconfirmed.values().map(|it| &it.change)
    }

    /// Whether something waits that concerns a target.
    pub(super) fn is_unconfirmed(&self, name: &TargetName) -> bool {
        !self.unconfirmed.is_empty()
            && self.unconfirmed.contains_key(&Subject::Target(name.clone()))
    }
}

impl Catalog {
    /// The source is in an earlier era than was believed: whatever it lists next wins over what
    /// is known, but for the version of the config.
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

    /// Notes that a later era lists a target as it is known, which is no news for others.
    pub(super) fn relist(&mut self, change: &Change) {
        let Content::Target(Target { incarnation, writes, .. }) = &change.content else { return };
        if let Some(known) = self.targets.get_mut(incarnation) {
            known.revision = change.revision;
            known.target.writes = known.target.writes.max(*writes);
        }
    }

    /// The same of all targets that are listed and not in doubt.
    pub(super) fn relist_all(&mut self, era: u32) {
        let (restore, start) = (&self.restore, Revision::new(era, 0));
        for entry in self.targets.values_mut().filter(|it| it.is_listed()) {
            if !restore.is_unconfirmed(&entry.target.name) {
                entry.revision = entry.revision.max(start);
            }
        }
    }

    /// Drops what waits where something later is known by now.
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

    /// Judges an item of a whole reading, which may be of a copy if `is_copy`.
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
                // Whatever has a larger count than the end was written after the copy.
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
            // What waits says that it is gone; its revision tells others that it is not.
            let is_unconfirmed = self.restore.is_unconfirmed(&target.name);
            return if is_unconfirmed { Verdict::Apply } else { Verdict::Unchanged };
        }
        if !is_copy || target.writes > known.target.writes {
            return Verdict::Apply;
        }
        // A target that leaves doesn't stay. If it has gone, its entry in the copy lapses.
        match known.is_listed() && known.target.leaving {
            true => Verdict::Skip,
            false => Verdict::Defer,
        }
    }
}
