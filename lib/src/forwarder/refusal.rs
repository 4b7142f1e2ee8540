//! Turning a caller away, at once and without state.
//!
//! A refused flow has sent no packet to any target from here. A reset answers
//! the SYN. Where the bundle signs off a text, the instance completes the
//! handshake itself: its sequence number is a keyed hash of the flow, so that
//! any instance recognises the caller's next packet without having seen the
//! first. A target never acknowledges that number, so what the caller sends on
//! such a connection can't be run by one. See `docs/design/refusals.md`.

use super::{Forwarder, Gate, Sink, Site};
use crate::{
    ids::FlowId,
    packet::{Mark, Packet, acknowledge, answer, reset, syn_ack},
};

/// The place in the text for the seconds to wait.
const PLACE: &str = "{seconds}";

/// The longest wait that fits the place: it is always three digits wide, so
/// that a repeated answer takes the same numbers as the first.
const LONGEST: u64 = 999;

impl<G: Gate> Forwarder<G> {
    /// Refuses an opening. When to come back is said in the words, which follow
    /// on the caller's next packet.
    pub(super) fn refuse(&mut self, packet: &Packet<'_>, site: &Site<'_>, sink: &mut impl Sink) {
        if site.service.spec.refusal.is_none() {
            self.turn_away(packet, sink);
            return;
        }
        self.counters.refused += 1;
        if let Some(bytes) = syn_ack(packet, cookie(site)) {
            sink.send_to_caller(bytes);
        }
    }

    /// Refuses without words.
    pub(super) fn turn_away(&mut self, packet: &Packet<'_>, sink: &mut impl Sink) {
        self.counters.refused += 1;
        if let Some(bytes) = reset(packet) {
            sink.send_to_caller(bytes);
        }
    }

    /// Goes on with a refusal in words, if the packet belongs to one.
    pub(super) fn is_refusal(
        &mut self,
        packet: &Packet<'_>,
        site: &Site<'_>,
        sink: &mut impl Sink,
    ) -> bool {
        let Some(text) = &site.service.spec.refusal else { return false };
        if packet.mark() == Mark::Open {
            return false;
        }
        let Some((_, acknowledged)) = packet.numbers() else { return false };
        let first = cookie(site).wrapping_add(1);
        let words = self.words(text, site);
        let last = first.wrapping_add(words.len() as u32 + 1);
        if acknowledged == first && packet.mark() != Mark::Abort {
            if let Some(bytes) = answer(packet, &words) {
                sink.send_to_caller(bytes);
            }
            return true;
        }
        let is_over = acknowledged.wrapping_sub(first) <= last.wrapping_sub(first);
        if is_over
            && packet.length() > 0
            && packet.mark() != Mark::Abort
            && let Some(bytes) = acknowledge(packet)
        {
            sink.send_to_caller(bytes);
        }
        is_over
    }

    fn words(&self, text: &str, site: &Site<'_>) -> Vec<u8> {
        let after = self.gate.retry_after(site.id, site.bucket().owner);
        let seconds = after.0.div_ceil(1000).clamp(1, LONGEST);
        text.replace(PLACE, &format!("{seconds:03}")).into_bytes()
    }
}

fn cookie(site: &Site<'_>) -> u32 {
    // The flow's id is a keyed hash; another fold of it is as hard to guess.
    let FlowId(id) = site.id;
    let mixed = (id ^ id >> 29).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed >> 32) as u32
}
