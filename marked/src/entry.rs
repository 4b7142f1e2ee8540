//! A target with the state of its entry in the store.

use crate::{Change, Content, FormerTarget, Revision, Target};
use medlarspur_lib::time::Millis;

/// Whether the store lists a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// The store lists the target.
    Listed,
    /// The entry was removed at this time of the local clock.
    Removed(Millis),
    /// The entry has described no usable target since this time.
    Unusable(Millis),
    /// A later start of the target has been known since this time.
    Replaced(Millis),
}

impl Presence {
    /// Time at which the target ceased to be listed; `None` for a listed target.
    pub fn ended(self) -> Option<Millis> {
        match self {
            Presence::Listed => None,
            Presence::Removed(at) | Presence::Unusable(at) | Presence::Replaced(at) => Some(at),
        }
    }
}

/// A target with the state of its entry in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The target.
    pub target: Target,
    /// Revision of the latest change to the entry.
    pub revision: Revision,
    /// Revision of the latest change that altered the content. It is lower than `revision` if a
    /// later era lists the entry unchanged.
    pub content_revision: Revision,
    /// Whether the entry is listed.
    pub presence: Presence,
    /// End of the slow start, by the local clock.
    pub cold_until: Millis,
}

impl Entry {
    /// Whether the store lists the target.
    pub fn is_listed(&self) -> bool {
        self.presence == Presence::Listed
    }

    /// Returns the entry as a change, or `None` if a later start replaced the target: the entry of
    /// that start supersedes this one.
    pub(crate) fn to_change(&self, now: Millis) -> Option<Change> {
        let name = || self.target.name.clone();
        let content = match self.presence {
            Presence::Listed => {
                Content::Target(Target { cold: self.cold_until.since(now), ..self.target.clone() })
            }
            Presence::Removed(_) => Content::Removed(name()),
            Presence::Unusable(_) => Content::Unusable(name()),
            Presence::Replaced(_) => return None,
        };
        Some(Change { revision: self.revision, content })
    }

    /// Returns an unlisted entry as a [`Content::FormerTarget`], which only snapshots contain;
    /// `None` if the target is listed.
    pub(crate) fn to_former(&self, now: Millis) -> Option<Change> {
        let former =
            FormerTarget { target: self.target.clone(), age: now.since(self.presence.ended()?) };
        Some(Change { revision: self.revision, content: Content::FormerTarget(former) })
    }
}
