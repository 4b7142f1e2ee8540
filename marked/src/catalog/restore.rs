//! What holds between the return of the source from a copy and the moment by which all that
//! the copy lacks has been written again; the options are in `docs/design/eras.md`.

use super::Catalog;
use crate::{Change, Content, Revision, Target, news::Subject};
use medlarspur_lib::{collections::Map, time::Millis};
use std::collections::VecDeque;

/// How long operators and targets have to write again what a copy lacks: they do within some
/// two seconds, and an entry that lapsed has as long.
const REWRITE_TIME: Millis = Millis::secs(3);
/// How many eras are remembered. Who left an earlier one is told all.
const MAX_ERAS: usize = 8;

/// The eras of the source, and what its copy says against what is known.
#[derive(Debug, Default)]
pub(super) struct Restore {
    /// Until when a whole reading may show what the copy has.
    until: Option<Millis>,
    /// Up to which revision all was known of each earlier era, the latest last.
    left: VecDeque<Revision>,
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
    Take,
    /// It says nothing new.
    Skip,
    /// It may be of the copy, and waits.
    Doubt,
}

impl Restore {
    /// A later era begins; up to `left` all was known of the one before. What a copy said
    /// before is void, since all is read anew.
    pub(super) fn enter(&mut self, left: Revision, now: Millis) {
        self.until = Some(now + REWRITE_TIME);
        self.left.push_back(left);
        if self.left.len() > MAX_ERAS {
            self.left.pop_front();
        }
        self.unconfirmed.clear();
    }

    /// Whether what is read whole may be of a copy.
    pub(super) fn is_open(&self, now: Millis) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Up to which revision all was known of the era of `known`, if nothing beyond it was
    /// missed between that and now.
    pub(super) fn left(&self, known: Revision) -> Option<Revision> {
        let left = self.left.iter().find(|it| it.era >= known.era)?;
        (left.era == known.era && *left >= known).then_some(*left)
    }

    /// Keeps a change until there was time to write it again.
    pub(super) fn doubt(&mut self, change: Change, now: Millis) {
        let Some(subject) = Subject::of(&change.content) else { return };
        let due = now + REWRITE_TIME;
        let known = self.unconfirmed.entry(subject);
        let known = known.or_insert_with(|| Unconfirmed { change: change.clone(), due });
        if known.change.revision < change.revision {
            known.change = change;
        }
    }

    /// What has waited for long enough.
    pub(super) fn take_due(&mut self, now: Millis) -> Vec<Change> {
        let due = self.unconfirmed.extract_if(|_, it| it.due <= now);
        due.map(|(_, it)| it.change).collect()
    }

    /// When the next change has waited for long enough.
    pub(super) fn due(&self) -> Option<Millis> {
        self.unconfirmed.values().map(|it| it.due).min()
    }

    /// How many changes wait.
    pub(super) fn len(&self) -> usize {
        self.unconfirmed.len()
    }

    /// What waits, as news.
    pub(super) fn changes(&self) -> impl Iterator<Item = Change> {
        self.unconfirmed.values().map(|it| Change {
            revision: it.change.revision,
            content: Content::Unconfirmed(Box::new(it.change.content.clone())),
        })
    }
}

impl Catalog {
    /// Judges an item of a whole reading, which may be of a copy if `is_copy`.
    pub(super) fn judge(&self, change: &Change, is_copy: bool) -> Verdict {
        let is_earlier = |known: Revision| known.era < change.revision.era;
        let is_doubtful = match &change.content {
            Content::Target(target) => return self.judge_target(change.revision, target, is_copy),
            Content::Unusable(name) => {
                let known = self.latest(name).filter(|it| it.is_listed());
                known.is_some_and(|it| is_earlier(it.revision))
            }
            Content::Evacuated(domain) => {
                let known = self.evacuation(domain).filter(|_| !self.is_evacuated(domain));
                // Whatever has a larger count than the end was written after the copy.
                let is_older = |end: Revision| change.revision.count <= end.count;
                known.is_some_and(|end| is_earlier(end) && is_older(end))
            }
            _ => false,
        };
        if is_copy && is_doubtful { Verdict::Doubt } else { Verdict::Take }
    }

    fn judge_target(&self, revision: Revision, target: &Target, is_copy: bool) -> Verdict {
        let Some(listing) = self.names.get(&target.name) else { return Verdict::Take };
        if listing.start != target.start {
            return Verdict::Take;
        }
        let Some(known) = self.latest(&target.name) else {
            let is_earlier = listing.withdrawn.is_some_and(|it| it.revision.era < revision.era);
            return if is_copy && is_earlier { Verdict::Doubt } else { Verdict::Take };
        };
        if known.revision.era >= revision.era {
            return Verdict::Take;
        }
        if known.is_listed() && target.says(&known.target) {
            return Verdict::Skip;
        }
        if !is_copy || target.writes > known.target.writes {
            return Verdict::Take;
        }
        // A target that leaves doesn't stay. If it has gone, its entry in the copy lapses.
        match known.is_listed() && known.target.leaving {
            true => Verdict::Skip,
            false => Verdict::Doubt,
        }
    }
}
