//! Failure domains that operators have evacuated.
//!
//! Operators evacuate a failure domain before maintenance of its power or network. Its targets
//! then get no new flows and keep those that they have, until operators end the evacuation.
//! Evacuations are stored apart from the entries of targets: an entry written in the meantime
//! does not show whether operators want to use the domain, and a target that starts in the
//! meantime must not get flows either.
//!
//! The design alternatives are in `docs/design/evacuation.md`.

use crate::{Change, Content, Revision};
use medlarspur_lib::{collections::Map, ids::DomainName, time::Millis};

/// The last known evacuation of a failure domain, or its end.
#[derive(Debug, Clone, Copy)]
struct Evacuation {
    revision: Revision,
    /// Time at which this instance learned of the end; none while the evacuation is in force.
    ended: Option<Millis>,
}

/// Evacuations by failure domain.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    domains: Map<DomainName, Evacuation>,
}

impl Evacuations {
    /// Whether an evacuation of the domain is in force.
    pub(crate) fn is_evacuated(&self, domain: &DomainName) -> bool {
        self.domains.get(domain).is_some_and(|it| it.ended.is_none())
    }

    /// Domains with an evacuation in force.
    pub(crate) fn evacuated(&self) -> impl Iterator<Item = &DomainName> {
        self.domains.iter().filter(|(_, it)| it.ended.is_none()).map(|(name, _)| name)
    }

    /// Revision at which the domain was last evacuated, or its evacuation ended.
    pub(crate) fn revision(&self, domain: &DomainName) -> Option<Revision> {
        self.domains.get(domain).map(|it| it.revision)
    }

    /// Time at which this instance learned that an evacuation of the domain ended.
    pub(crate) fn ended(&self, domain: &DomainName) -> Option<Millis> {
        self.domains.get(domain)?.ended
    }

    /// Records that an evacuation began, or that it ended at `ended`. Returns whether that
    /// changes the state. Changes of older revisions are ignored: delivered after a newer one,
    /// they would send flows to a domain that operators have just evacuated.
    pub(crate) fn set(
        &mut self,
        domain: &DomainName,
        revision: Revision,
        ended: Option<Millis>,
    ) -> bool {
        let known = self.domains.get(domain);
        if known.is_some_and(|it| it.revision >= revision) {
            return false;
        }
        let was_evacuated = self.is_evacuated(domain);
        self.domains.insert(domain.clone(), Evacuation { revision, ended });
        was_evacuated != ended.is_none()
    }

    /// Resets all revisions, so that the next changes from the store replace the known state.
    pub(crate) fn reset_revisions(&mut self) {
        self.domains.values_mut().for_each(|it| it.revision = Revision::default());
    }

    /// The known state as changes of an update.
    pub(crate) fn changes(&self) -> impl Iterator<Item = Change> {
        self.domains.iter().map(|(domain, it)| {
            let content = match it.ended {
                None => Content::Evacuated(domain.clone()),
                Some(_) => Content::EvacuationEnded(domain.clone()),
            };
            Change { revision: it.revision, content }
        })
    }

    /// Removes evacuations that ended at least `span` ago and returns the latest revision among
    /// them. Otherwise anyone with write access to the store could fill the memory of all
    /// instances with domain names.
    pub(crate) fn forget_ended(&mut self, span: Millis, now: Millis) -> Option<Revision> {
        let is_over = |it: &Evacuation| it.ended.is_some_and(|at| now.since(at) >= span);
        let latest = self.domains.values().filter(|it| is_over(it)).map(|it| it.revision).max();
        self.domains.retain(|_, it| !is_over(it));
        latest
    }
}
