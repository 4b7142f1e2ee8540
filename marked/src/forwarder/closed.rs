//! Targets that live, have room and are to get no new flows all the same.
//!
//! Operators have emptied their failure domain, or they are slow after their start and
//! bear only so many requests a second from all instances together. No instance sees what
//! the others open there, so a target whose service bounds that gets nothing until it is
//! warm: a part of the bound for each instance would be passed wherever instances
//! disagree on how many they are (`docs/design/evacuation.md`).

use super::Forwarder;
use crate::{Entry, Incarnation, Note, Revision, Warmup};
use medlarspur_lib::{
    ids::{DomainName, ServiceName},
    time::Millis,
};

/// Why a target that is listed and answers gets no new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Closed {
    /// Operators have emptied its failure domain.
    Evacuated,
    /// It is slow after its start, and its service bounds what it gets meanwhile.
    Warming,
}

impl Forwarder {
    /// What bounds new flows to slow targets of a service.
    pub(super) fn warmup(&self, service: &ServiceName) -> Option<Warmup> {
        self.catalog.service(service)?.warmup
    }

    /// Why a target of a service with this `warmup` is to get no new flows, if anything
    /// says so.
    pub(super) fn closed(
        &self,
        entry: &Entry,
        warmup: Option<Warmup>,
        now: Millis,
    ) -> Option<Closed> {
        if self.catalog.is_evacuated(&entry.target.domain) {
            return Some(Closed::Evacuated);
        }
        warmup.filter(|it| self.is_warming(entry, *it, now)).map(|_| Closed::Warming)
    }

    fn is_warming(&self, entry: &Entry, warmup: Warmup, now: Millis) -> bool {
        // Targets that got nothing while their domain was evacuated may have become cold.
        // They say so some time after the evacuation has ended; until then they would get
        // all that is opened, being idle.
        let restored = self.catalog.restored(&entry.target.domain);
        now < entry.cold || restored.is_some_and(|at| now < at + warmup.span)
    }

    /// Whether the target of a flow is in a failure domain that operators have emptied.
    pub(super) fn is_evacuated(&self, target: Incarnation) -> bool {
        let entry = self.catalog.entry(target);
        entry.is_some_and(|entry| self.catalog.is_evacuated(&entry.target.domain))
    }

    /// What is written down of a failure domain that was emptied or is in use again.
    pub(super) fn domain_note(&self, domain: DomainName) -> Note {
        let revision: Revision = self.catalog.evacuation(&domain).unwrap_or_default();
        let targets = self.catalog.entries();
        let targets = targets.filter(|it| it.is_listed() && it.target.domain == domain).count();
        match self.catalog.is_evacuated(&domain) {
            true => Note::Evacuated { domain, revision, targets },
            false => Note::Restored { domain, revision, targets },
        }
    }
}
