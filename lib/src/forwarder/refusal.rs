//! Stateless refusal of a caller.
//!
//! No packet of a refused flow is sent to a target from here. By default the
//! SYN is answered with a reset. If the bundle gives the service a refusal
//! text, the instance completes the handshake itself and answers the caller's
//! next packet with the text. The sequence number that it chooses is a keyed
//! hash of the flow, so any instance recognizes that next packet without having
//! seen the first. A target never acknowledges that number, so no target runs
//! what the caller sends on such a connection. See `docs/design/refusals.md`.

use super::{Context, Forwarder, Gate, Sink};
use crate::{
    ids::FlowId,
    packet::{Packet, PacketKind, build_ack, build_refusal, build_reset, build_syn_ack},
};

/// Placeholder in the refusal text for the number of seconds to wait.
const SECONDS_PLACEHOLDER: &str = "{seconds}";

/// Maximum wait, in seconds. The number always has three digits, so that a
/// retransmitted answer takes the same sequence numbers as the first.
const MAX_SECONDS: u64 = 999;

impl<G: Gate> Forwarder<G> {
    /// Refuses an opening. If the service has a refusal text, the SYN is
    /// acknowledged, and the text with the time to wait follows on the caller's
    /// next packet.
    pub(super) fn refuse(&mut self, packet: &Packet<'_>, ctx: &Context<'_>, sink: &mut impl Sink) {
        if ctx.service.spec.refusal.is_none() {
            self.send_reset(packet, sink);
            return;
        }
        self.counters.refused += 1;
        if let Some(bytes) = build_syn_ack(packet, cookie(ctx)) {
            sink.send_to_caller(bytes);
        }
    }

    /// Refuses an opening with a reset.
    pub(super) fn send_reset(&mut self, packet: &Packet<'_>, sink: &mut impl Sink) {
        self.counters.refused += 1;
        if let Some(bytes) = build_reset(packet) {
            sink.send_to_caller(bytes);
        }
    }

    /// Continues a refusal with a text. Returns whether the packet belongs to
    /// one.
    pub(super) fn continue_refusal(
        &mut self,
        packet: &Packet<'_>,
        ctx: &Context<'_>,
        sink: &mut impl Sink,
    ) -> bool {
        let Some(text) = &ctx.service.spec.refusal else { return false };
        if packet.kind() == PacketKind::Open {
            return false;
        }
        let Some((_, acknowledged)) = packet.sequence_numbers() else { return false };
        let first = cookie(ctx).wrapping_add(1);
        let payload = self.refusal_text(text, ctx);
        let last = first.wrapping_add(payload.len() as u32 + 1);
        if acknowledged == first && packet.kind() != PacketKind::Abort {
            if let Some(bytes) = build_refusal(packet, &payload) {
                sink.send_to_caller(bytes);
            }
            return true;
        }
        let is_over = acknowledged.wrapping_sub(first) <= last.wrapping_sub(first);
        if is_over
            && packet.sequence_length() > 0
            && packet.kind() != PacketKind::Abort
            && let Some(bytes) = build_ack(packet)
        {
            sink.send_to_caller(bytes);
        }
        is_over
    }

    fn refusal_text(&self, text: &str, ctx: &Context<'_>) -> Vec<u8> {
        let after = self.gate.retry_after(ctx.id, ctx.bucket().owner);
        let seconds = after.0.div_ceil(1000).clamp(1, MAX_SECONDS);
        text.replace(SECONDS_PLACEHOLDER, &format!("{seconds:03}")).into_bytes()
    }
}

fn cookie(ctx: &Context<'_>) -> u32 {
    // The flow id is a keyed hash already; mixing it again keeps it as hard to
    // guess.
    let FlowId(id) = ctx.id;
    let mixed = (id ^ id >> 29).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed >> 32) as u32
}
