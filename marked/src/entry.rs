//! A target with what is known of its entry.

use crate::{Change, Content, FormerTarget, Revision, Target};
use medlarspur_lib::time::Millis;

/// Whether the source lists a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// It does.
    Listed,
    /// It did until then, by this instance's clock.
    Removed(Millis),
    /// Since then its entry names no target that could be used.
    Unusable(Millis),
    /// Since then a later start under the same name is known.
    Replaced(Millis),
}

impl Presence {
    /// Since when it is not listed, if it is not.
    pub fn ended(self) -> Option<Millis> {
        match self {
            Presence::Listed => None,
            Presence::Removed(at) | Presence::Unusable(at) | Presence::Replaced(at) => Some(at),
        }
    }
}

/// A target with what is known of its entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The target.
    pub target: Target,
    /// The revision of this picture.
    pub revision: Revision,
    /// The one at which it began to say this, if the source has listed it again in a later era.
    pub content_revision: Revision,
    /// Whether it is listed.
    pub presence: Presence,
    /// Until when it is slow after its start.
    pub cold_until: Millis,
}

impl Entry {
    /// Whether the source lists it.
    pub fn is_listed(&self) -> bool {
        self.presence == Presence::Listed
    }

    /// The entry as news; none if a later start of the target says more.
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

    /// The entry for whoever knows nothing yet, if it is not listed.
    pub(crate) fn to_former(&self, now: Millis) -> Option<Change> {
        let former =
            FormerTarget { target: self.target.clone(), age: now.since(self.presence.ended()?) };
        Some(Change { revision: self.revision, content: Content::FormerTarget(former) })
    }
}
