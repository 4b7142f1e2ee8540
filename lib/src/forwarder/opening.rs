//! Unknown flows: opened here, or adopted from another instance that opened
//! them.

use super::{Context, Forwarder, Gate, Opening, Sink, Verdict};
use crate::{
    bundle::Protocol,
    flows::{Certainty, Flow},
    packet::{Packet, PacketKind},
    time::Millis,
    view::TargetId,
};

impl<G: Gate> Forwarder<G> {
    /// Rule 2, and the end of rules 3 and 4: sends the flow to the bucket's
    /// owner.
    pub(super) fn send_to_owner(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        ctx: &Context<'_>,
        sink: &mut impl Sink,
    ) {
        self.counters.misses += 1;
        let Some(owner) = ctx.bucket().owner else {
            self.counters.no_target += 1;
            self.send_reset(packet, sink);
            return;
        };
        match packet.kind() {
            PacketKind::Open => self.open(now, packet, owner, ctx, sink),
            PacketKind::Continue if packet.key().protocol == Protocol::Udp => {
                self.open(now, packet, owner, ctx, sink);
            }
            PacketKind::Continue => self.adopt(now, packet, owner, Certainty::Observed, ctx, sink),
            PacketKind::Close | PacketKind::Abort => {
                let flow = Flow::new(owner, Certainty::Observed, ctx.class, now);
                self.report_end(now, packet.kind(), ctx.id, &flow);
                self.send_to_target(packet.bytes(), owner, ctx, sink);
            }
        }
    }

    fn open(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        owner: TargetId,
        ctx: &Context<'_>,
        sink: &mut impl Sink,
    ) {
        let caller = *packet.key().caller.ip();
        let opening = Opening { flow: ctx.id, caller, class: ctx.class, target: owner };
        match self.gate.open(now, &opening) {
            Verdict::Admit => self.admit(now, packet, owner, ctx, sink),
            Verdict::Wait => {
                if !self.held.add_waiting(ctx.id, packet.bytes()) {
                    self.refuse(packet, ctx, sink);
                }
            }
            Verdict::Refuse { .. } => self.refuse(packet, ctx, sink),
        }
    }

    pub(super) fn admit(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        owner: TargetId,
        ctx: &Context<'_>,
        sink: &mut impl Sink,
    ) {
        self.counters.opened += 1;
        self.flows.record(ctx.id, Flow::admitted(owner, ctx.class, now));
        if ctx.view.leaving {
            self.adverts.push_exception(ctx.view, ctx.id, owner);
        }
        self.send_to_target(packet.bytes(), owner, ctx, sink);
    }

    /// Records a flow that another instance opened, and sends its packet on.
    pub(super) fn adopt(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        target: TargetId,
        certainty: Certainty,
        ctx: &Context<'_>,
        sink: &mut impl Sink,
    ) {
        let mut flow = Flow::new(target, certainty, ctx.class, now);
        flow.closing = matches!(packet.kind(), PacketKind::Close | PacketKind::Abort);
        if ctx.bucket().owner != Some(target) {
            self.keeper.record_exception(ctx);
        }
        self.flows.record(ctx.id, flow);
        self.send_to_target(packet.bytes(), target, ctx, sink);
    }
}
