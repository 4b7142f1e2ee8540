//! An evacuated failure domain that is partitioned from all others.
//!
//! If the network between failure domains breaks while one of them is evacuated, its callers
//! reach only its own instances, and these only its own targets. Refusing them until the
//! partition ends would leave healthy targets unused. Therefore the instances of such a domain
//! use its targets as long as neither the store nor a target in another domain can be reached.
//! One of the two alone is not enough: without the store the other domains can still serve, and
//! if the store answers, the end of the evacuation would have arrived.

use super::{Forwarder, Output};
use crate::{Entry, FlowKey, Incarnation, Note};
use medlarspur_lib::{ids::DomainName, time::Millis};

/// Minimum time for which no target in another domain was known to be alive. All new flows of
/// an evacuated domain go elsewhere, so that signs of life arrive many times per second.
const MIN_SILENCE: Millis = Millis::secs(1);

impl Forwarder {
    /// Sets whether no instance of this failure domain can reach the store.
    pub fn set_cut_off(&mut self, is_cut_off: bool) {
        self.cut_off = is_cut_off;
    }

    /// Whether targets of a domain get no new flows because of an evacuation.
    pub(super) fn is_evacuation_active(&self, domain: &DomainName) -> bool {
        let is_own = || *domain == self.options.domain;
        self.catalog.is_evacuated(domain) && !(self.stranded && is_own())
    }

    /// Updates whether this domain is evacuated and partitioned from all others.
    pub(super) fn update_stranded(&mut self, now: Millis, out: &mut impl Output) {
        let silent = self.silence_elsewhere(now);
        let is_stranded = silent.is_some_and(|silent| silent >= MIN_SILENCE);
        if is_stranded == self.stranded {
            return;
        }
        self.stranded = is_stranded;
        match silent {
            Some(silent) if is_stranded => {
                out.note(Note::Stranded { silent });
                self.move_openings_home(now, out);
            }
            _ => out.note(Note::Rejoined),
        }
    }

    /// Time since a usable target in another domain was last known to be alive, without a pause
    /// of this process before the domain was stranded; none unless this domain is evacuated, the
    /// store is unreachable and there are such targets.
    fn silence_elsewhere(&self, now: Millis) -> Option<Millis> {
        if !self.cut_off || !self.catalog.is_evacuated(&self.options.domain) {
            return None;
        }
        let is_elsewhere = |entry: &&Entry| !self.catalog.is_evacuated(&entry.target.domain);
        let entries = self.catalog.entries().filter(is_elsewhere);
        let states = entries.filter_map(|it| self.states.get(&it.target.incarnation));
        let counted_from = if self.stranded { Millis(0) } else { self.resumed_at };
        states.map(|state| now.since(state.health.last_alive().max(counted_from))).min()
    }

    /// Moves unanswered openings from other domains to this one. Their callers are still
    /// waiting, and would give up before the targets elsewhere are found silent one by one.
    fn move_openings_home(&mut self, now: Millis, out: &mut impl Output) {
        let domain = &self.options.domain;
        let is_elsewhere =
            |target| self.catalog.entry(target).is_some_and(|entry| entry.target.domain != *domain);
        let openings = self.flows.iter().filter(|(_, flow)| flow.is_opening());
        let openings = openings.filter(|(_, flow)| is_elsewhere(flow.target));
        let openings: Vec<(FlowKey, Incarnation)> =
            openings.map(|(key, flow)| (*key, flow.target)).collect();
        for (key, from) in openings {
            self.move_opening(key, from, now, out);
        }
    }
}
