//! An evacuated failure domain that is cut off from all others.
//!
//! Operators empty a domain, and then the network between it and the others breaks. Its
//! callers reach only its instances, and these only its targets: refused until the cut is
//! over, callers would get nothing from targets that are well. So the instances of such a
//! domain use its targets, as long as neither the store nor a target elsewhere is heard. One
//! of the two alone says nothing: a store that is away leaves the other domains, and where
//! the store answers, operators can be heard and have not taken the evacuation back.

use super::{Forwarder, Output};
use crate::{Entry, FlowKey, Incarnation, Note};
use medlarspur_lib::{ids::DomainName, time::Millis};

/// How long no target elsewhere must have shown life. With the own domain evacuated all
/// new flows go elsewhere, so that signs of life come many times a second.
const SILENCE: Millis = Millis::secs(1);

impl Forwarder {
    /// Tells whether nobody of this instance's failure domain hears from the store.
    pub fn set_cut_off(&mut self, is_cut_off: bool) {
        self.cut_off = is_cut_off;
    }

    /// Whether a domain's targets get no new flows because operators have emptied it.
    pub(super) fn is_emptied(&self, domain: &DomainName) -> bool {
        let is_own = || *domain == self.tuning.domain;
        self.catalog.is_evacuated(domain) && !(self.stranded && is_own())
    }

    /// Decides whether this domain is evacuated and cut off.
    pub(super) fn judge_stranding(&mut self, now: Millis, out: &mut impl Output) {
        let silent = self.silence_elsewhere(now);
        let is_stranded = silent.is_some_and(|silent| silent >= SILENCE);
        if is_stranded == self.stranded {
            return;
        }
        self.stranded = is_stranded;
        match silent {
            Some(silent) if is_stranded => {
                out.note(Note::Stranded { silent });
                self.bring_openings_home(now, out);
            }
            _ => out.note(Note::Rejoined),
        }
    }

    /// How long ago a target that may be used elsewhere last showed life; none unless this
    /// domain is evacuated, the store is not heard, and there are such targets.
    fn silence_elsewhere(&self, now: Millis) -> Option<Millis> {
        if !self.cut_off || !self.catalog.is_evacuated(&self.tuning.domain) {
            return None;
        }
        let is_elsewhere = |entry: &&Entry| !self.catalog.is_evacuated(&entry.target.domain);
        let entries = self.catalog.entries().filter(is_elsewhere);
        let life = entries.filter_map(|it| self.states.get(&it.target.incarnation));
        life.map(|state| now.since(state.health.last_alive())).min()
    }

    /// Moves openings that nobody has answered. Their callers still wait, and would give up
    /// before the targets elsewhere are found silent one by one.
    fn bring_openings_home(&mut self, now: Millis, out: &mut impl Output) {
        let domain = &self.tuning.domain;
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
