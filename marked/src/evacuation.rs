//! Which failure domains operators have emptied.
//!
//! Operators empty a failure domain before its power or its network is worked on. Its
//! targets then get no new flows, those that they have go on, and all of it is taken back
//! by a later word. The domain is kept apart from the entries of its targets: an entry
//! that a target writes meanwhile says nothing of what operators want, and a target that
//! starts meanwhile must not get flows either.
//!
//! The options that were weighed are in `docs/design/evacuation.md`.

use crate::{Change, Content, Revision};
use medlarspur_lib::{collections::Map, ids::DomainName, time::Millis};

/// Whether operators want a failure domain to be empty, and since which revision.
#[derive(Debug, Clone, Copy)]
struct Evacuation {
    revision: Revision,
    /// When this instance heard that it is taken back; none while it holds.
    ended: Option<Millis>,
}

/// What operators have said of failure domains.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    domains: Map<DomainName, Evacuation>,
}

impl Evacuations {
    /// Whether a domain's targets are to get no new flows.
    pub(crate) fn holds(&self, domain: &DomainName) -> bool {
        self.domains.get(domain).is_some_and(|it| it.ended.is_none())
    }

    /// The domains whose targets are to get no new flows.
    pub(crate) fn evacuated(&self) -> impl Iterator<Item = &DomainName> {
        self.domains.iter().filter(|(_, it)| it.ended.is_none()).map(|(name, _)| name)
    }

    /// Since which revision a domain is evacuated, or is not any more.
    pub(crate) fn revision(&self, domain: &DomainName) -> Option<Revision> {
        self.domains.get(domain).map(|it| it.revision)
    }

    /// When this instance heard that an evacuation of a domain is taken back.
    pub(crate) fn ended(&self, domain: &DomainName) -> Option<Millis> {
        self.domains.get(domain)?.ended
    }

    /// A domain is to be empty, or is not any more since `ended`. Answers whether that
    /// changes anything. What an older revision says is no news: told after the later
    /// word, it would send flows to a domain that operators have just emptied.
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
        let held = self.holds(domain);
        self.domains.insert(domain.clone(), Evacuation { revision, ended });
        held != ended.is_none()
    }

    /// Whatever the source says next wins over what is known.
    pub(crate) fn reset_revisions(&mut self) {
        self.domains.values_mut().for_each(|it| it.revision = Revision::default());
    }

    /// What is known, as news.
    pub(crate) fn changes(&self) -> impl Iterator<Item = Change> {
        self.domains.iter().map(|(domain, it)| {
            let content = match it.ended {
                None => Content::Evacuated(domain.clone()),
                Some(_) => Content::EvacuationEnded(domain.clone()),
            };
            Change { revision: it.revision, content }
        })
    }

    /// Forgets ends that are longer ago than `span`; answers the latest revision among
    /// them. Without that anybody who may write to the store could fill the memory of all
    /// instances with names of domains.
    pub(crate) fn forget(&mut self, span: Millis, now: Millis) -> Option<Revision> {
        let is_over = |it: &Evacuation| it.ended.is_some_and(|at| now.since(at) >= span);
        let latest = self.domains.values().filter(|it| is_over(it)).map(|it| it.revision).max();
        self.domains.retain(|_, it| !is_over(it));
        latest
    }
}
