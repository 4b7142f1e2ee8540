//! Unknown flows at their target: opened here, or taken over from another
//! instance that opened them.

use super::{Forwarder, Gate, Opening, Sink, Site, Verdict};
use crate::{
    bundle::Protocol,
    flows::{Certainty, Flow},
    packet::{Mark, Packet},
    time::Millis,
    view::TargetId,
};

impl<G: Gate> Forwarder<G> {
    /// Rule 2, and the end of rules 3 and 4: the flow goes to the owner.
    pub(super) fn settle(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        site: &Site<'_>,
        sink: &mut impl Sink,
    ) {
        self.counters.misses += 1;
        let Some(owner) = site.bucket().owner else {
            self.counters.no_target += 1;
            self.turn_away(packet, sink);
            return;
        };
        match packet.mark() {
            Mark::Open => self.open(now, packet, owner, site, sink),
            Mark::Middle if packet.key().protocol == Protocol::Udp => {
                self.open(now, packet, owner, site, sink);
            }
            Mark::Middle => self.adopt(now, packet, owner, Certainty::Observed, site, sink),
            Mark::Close | Mark::Abort => {
                let flow = Flow::new(owner, Certainty::Observed, site.class, now);
                self.end(now, packet.mark(), site.id, &flow);
                self.send(packet.bytes(), owner, site, sink);
            }
        }
    }

    fn open(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        owner: TargetId,
        site: &Site<'_>,
        sink: &mut impl Sink,
    ) {
        let caller = *packet.key().caller.ip();
        let opening = Opening { flow: site.id, caller, class: site.class, target: owner };
        match self.gate.open(now, &opening) {
            Verdict::Admit => self.admit(now, packet, owner, site, sink),
            Verdict::Wait => {
                if !self.held.wait(site.id, packet.bytes()) {
                    self.refuse(packet, site, sink);
                }
            }
            Verdict::Refuse { .. } => self.refuse(packet, site, sink),
        }
    }

    pub(super) fn admit(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        owner: TargetId,
        site: &Site<'_>,
        sink: &mut impl Sink,
    ) {
        self.counters.opened += 1;
        self.flows.record(site.id, Flow::admitted(owner, site.class, now));
        if site.view.leaving {
            self.adverts.exception(site.view, site.id, owner);
        }
        self.send(packet.bytes(), owner, site, sink);
    }

    /// Notes a flow that another instance opened and sends its packet on.
    pub(super) fn adopt(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        target: TargetId,
        certainty: Certainty,
        site: &Site<'_>,
        sink: &mut impl Sink,
    ) {
        let mut flow = Flow::new(target, certainty, site.class, now);
        flow.closing = matches!(packet.mark(), Mark::Close | Mark::Abort);
        if site.bucket().owner != Some(target) {
            self.keeping.note_exception(site);
        }
        self.flows.record(site.id, flow);
        self.send(packet.bytes(), target, site, sink);
    }
}
