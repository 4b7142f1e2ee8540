//! The subset of a service's targets that an instance prefers.
//!
//! The subset is computed by [`medlarspur_load::subset`].

use super::Forwarder;
use crate::{Entry, Incarnation};
use medlarspur_lib::ids::ServiceName;
use medlarspur_load::{reserve::ElevatedShare, subset, warmup::Seat};
use std::sync::Arc;

/// Subset of a service's targets in this failure domain.
#[derive(Debug, Clone, Default)]
pub(super) struct Subset {
    /// The targets that this instance prefers, ordered by incarnation.
    pub(super) own: Arc<[Incarnation]>,
    /// All targets of the domain, ordered by incarnation.
    all: Arc<[Incarnation]>,
}

impl Subset {
    pub(super) fn contains(&self, target: Incarnation) -> bool {
        self.own.binary_search(&target).is_ok()
    }

    /// Whether the lowest level leaves a target to higher ones, which get the first ones by
    /// incarnation.
    pub(super) fn is_reserved(&self, target: Incarnation, share: ElevatedShare) -> bool {
        let reserved = share.reserved_targets(self.all.len());
        self.all[..reserved].last().is_some_and(|last| target <= *last)
    }
}

impl Forwarder {
    /// This instance's subset of a service's targets in its failure domain; none while its seat
    /// is not known.
    pub(super) fn subset(&mut self, service: &ServiceName) -> Option<Subset> {
        let seat = self.seat?;
        if let Some(subset) = self.subsets.get(service) {
            return Some(subset.clone());
        }
        let subset = self.build_subset(service, seat);
        self.subsets.insert(service.clone(), subset.clone());
        Some(subset)
    }

    fn build_subset(&self, service: &ServiceName, seat: Seat) -> Subset {
        let is_eligible = |it: &&Entry| {
            it.is_listed() && !it.target.leaving && it.target.domain == self.options.domain
        };
        let targets = self.catalog.targets(service).filter(is_eligible);
        let mut all: Vec<u64> = targets.map(|it| it.target.incarnation.0).collect();
        all.sort_unstable();
        let own = subset::assigned_targets(seat, &all).into_iter().map(Incarnation).collect();
        Subset { own, all: all.into_iter().map(Incarnation).collect() }
    }

    /// Discards the subsets after a change of targets or seats; the next flow computes them
    /// again.
    pub(super) fn clear_subsets(&mut self) {
        self.subsets.clear();
    }
}
