//! This instance's part of the targets, see [`subset`].

use super::Forwarder;
use crate::{Entry, Incarnation};
use medlarspur_lib::ids::ServiceName;
use medlarspur_load::{reserve::RequestShare, subset, warmup::Seat};
use std::sync::Arc;

/// The targets of a service in this failure domain, as they were dealt last.
#[derive(Debug, Clone, Default)]
pub(super) struct Dealt {
    /// Those that this instance takes first, in the order of their numbers.
    pub(super) own: Arc<[Incarnation]>,
    /// All of the domain, in the order of their numbers.
    all: Arc<[Incarnation]>,
}

impl Dealt {
    pub(super) fn owns(&self, target: Incarnation) -> bool {
        self.own.binary_search(&target).is_ok()
    }

    /// Whether feeds leave one of them to requests, which are the first by their numbers.
    pub(super) fn is_kept(&self, target: Incarnation, mix: RequestShare) -> bool {
        let kept = mix.reserved_targets(self.all.len());
        self.all[..kept].last().is_some_and(|last| target <= *last)
    }
}

impl Forwarder {
    /// This instance's part of a service's targets in its failure domain; none while its seat
    /// is not known.
    pub(super) fn dealt(&mut self, service: &ServiceName) -> Option<Dealt> {
        let seat = self.seat?;
        if let Some(dealt) = self.dealt.get(service) {
            return Some(dealt.clone());
        }
        let dealt = self.deal(service, seat);
        self.dealt.insert(service.clone(), dealt.clone());
        Some(dealt)
    }

    fn deal(&self, service: &ServiceName, seat: Seat) -> Dealt {
        let is_dealt = |it: &&Entry| {
            it.is_listed() && !it.target.leaving && it.target.domain == self.tuning.domain
        };
        let targets = self.catalog.targets(service).filter(is_dealt);
        let mut all: Vec<u64> = targets.map(|it| it.target.incarnation.0).collect();
        all.sort_unstable();
        let own = subset::assigned_targets(seat, &all).into_iter().map(Incarnation).collect();
        Dealt { own, all: all.into_iter().map(Incarnation).collect() }
    }

    /// Deals anew, with the next flow, as targets or seats are others now.
    pub(super) fn forget_dealt(&mut self) {
        self.dealt.clear();
    }
}
