//! Packets that are held while peers are asked about their flow, or while an
//! opening waits for admission.

use super::{Context, Forwarder, Gate, Sink, Verdict};
use crate::{
    bundle::Protocol,
    flows::{Certainty, FlowMap},
    ids::FlowId,
    members::Member,
    packet::{Packet, PacketKind},
    question::{Answer, Datagram, LookupResult, Question},
    time::Millis,
    view::{TargetId, TargetKey, View},
};

/// Maximum time that a packet is held while peers are asked. It is twice the
/// round trip between failure domains, with a margin for a busy peer. A
/// caller's TCP does not notice it, since its shortest retransmission time is
/// 200 ms.
pub const ASK_TIMEOUT: Millis = Millis(20);

/// Maximum number of instances asked about one flow, so that a flood of unknown
/// flows isn't multiplied by the size of the fleet.
const MAX_ASKED: usize = 16;

/// Maximum number of packets held per flow; larger than an initial window.
const MAX_FLOW_PACKETS: usize = 12;

/// Maximum number of flows held at once.
const MAX_FLOWS: usize = 8_192;

/// The held packets, by flow.
#[derive(Debug, Default)]
pub(super) struct Held {
    lookups: FlowMap<Lookup>,
    waiting: FlowMap<Vec<u8>>,
}

/// A flow that peers are being asked about.
#[derive(Debug)]
struct Lookup {
    packets: Vec<Vec<u8>>,
    nonce: u32,
    unanswered: usize,
    asks_all: bool,
    denied: bool,
    deadline: Millis,
}

impl Held {
    /// Holds an opening that the gate makes wait. Returns false if too many are
    /// held already.
    pub(super) fn add_waiting(&mut self, id: FlowId, packet: &[u8]) -> bool {
        if self.waiting.len() >= MAX_FLOWS {
            return false;
        }
        self.waiting.entry(id).or_insert_with(|| packet.to_vec());
        true
    }

    /// Drops all held packets and returns their number.
    pub(super) fn clear(&mut self) -> usize {
        let lookups = self.lookups.drain().map(|(_, lookup)| lookup.packets.len()).sum::<usize>();
        lookups + self.waiting.drain().count()
    }
}

impl<G: Gate> Forwarder<G> {
    /// Rule 3: holds a packet of an unknown flow and asks peers, once per flow.
    pub(super) fn hold_and_ask(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        ctx: &Context<'_>,
        sink: &mut impl Sink,
    ) {
        if let Some(lookup) = self.held.lookups.get_mut(&ctx.id) {
            if lookup.packets.len() < MAX_FLOW_PACKETS {
                lookup.packets.push(packet.bytes().to_vec());
            } else {
                self.counters.overflow += 1;
            }
            return;
        }
        if self.held.lookups.len() >= MAX_FLOWS {
            self.counters.overflow += 1;
            if self.is_waking(now) {
                return;
            }
            self.send_to_earlier_owner(now, packet, ctx, sink);
            return;
        }
        self.counters.asked += 1;
        self.nonce = self.nonce.wrapping_add(1);
        let asks_all = self.should_ask_all(now, ctx);
        let unanswered = self.send_questions(ctx, asks_all, self.nonce, sink);
        let lookup = Lookup {
            packets: vec![packet.bytes().to_vec()],
            nonce: self.nonce,
            unanswered,
            asks_all,
            denied: self.knows_all_exceptions(now, ctx),
            deadline: now + ASK_TIMEOUT,
        };
        self.held.lookups.insert(ctx.id, lookup);
        if unanswered == 0 {
            self.finish_lookup(ctx.view, now, ctx.id, true, sink);
        }
    }

    /// Whether this instance is a keeper of the bucket and knows all its
    /// exceptions.
    fn knows_all_exceptions(&self, now: Millis, ctx: &Context<'_>) -> bool {
        let question = Question { flow: ctx.id, service: ctx.service.key, nonce: 0 };
        let result = self.keeper.look_up(ctx.view, &self.flows, &question, now);
        matches!(result, LookupResult::NoException { .. })
    }

    /// Whether all members have to be asked, because the keepers may not know
    /// all exceptions: the move is recent, or this instance has slept.
    fn should_ask_all(&self, now: Millis, ctx: &Context<'_>) -> bool {
        self.distrust_until.is_some() || ctx.bucket().is_settling(now)
    }

    fn send_questions(
        &mut self,
        ctx: &Context<'_>,
        asks_all: bool,
        nonce: u32,
        sink: &mut impl Sink,
    ) -> usize {
        let question = Question { flow: ctx.id, service: ctx.service.key, nonce };
        let mut count = 0;
        for member in members_to_ask(ctx, asks_all) {
            sink.send_to_peer(member.addresses.questions, Datagram::Question(question.clone()));
            count += 1;
        }
        count
    }

    /// Handles an answer to one of this instance's questions. Late and repeated
    /// answers match no open question and are ignored.
    pub(super) fn handle_answer(&mut self, now: Millis, answer: Answer, sink: &mut impl Sink) {
        let Some(view) = self.view.clone() else { return };
        let Some(lookup) = self.held.lookups.get_mut(&answer.flow) else { return };
        if lookup.nonce != answer.nonce || lookup.unanswered == 0 {
            return;
        }
        lookup.unanswered -= 1;
        let unanswered = lookup.unanswered;
        lookup.denied |= matches!(answer.result, LookupResult::NoException { .. });
        match answer.result {
            LookupResult::Known(key) => {
                let first = lookup.packets[0].clone();
                if let Some(target) = self.checked_target(&view, &first, key) {
                    self.counters.found += 1;
                    self.adopt_found(now, answer.flow, target, &view, sink);
                    return;
                }
            }
            LookupResult::NoException { empty: true } => {
                with_context(&view, &lookup.packets[0], |_, ctx| self.keeper.mark_clear(ctx));
            }
            LookupResult::NoException { empty: false } | LookupResult::Unknown => {}
        }
        if unanswered == 0 {
            self.finish_lookup(&view, now, answer.flow, true, sink);
        }
    }

    /// Returns the target that a peer names for a flow, if it belongs to the
    /// flow's service. A target of another service would be recorded for the
    /// flow, and all packets of the flow would be dropped on the way out until
    /// it is forgotten, so such an answer counts as none.
    fn checked_target(&mut self, view: &View, packet: &[u8], key: TargetKey) -> Option<TargetId> {
        let target = view.registry.find_by_key(key)?;
        let mut serves = false;
        with_context(view, packet, |_, ctx| {
            serves = view.registry.get(target).service == ctx.service.spec.name;
        });
        self.counters.crossed += u64::from(!serves);
        serves.then_some(target)
    }

    fn adopt_found(
        &mut self,
        now: Millis,
        id: FlowId,
        target: TargetId,
        view: &View,
        sink: &mut impl Sink,
    ) {
        let Some(lookup) = self.held.lookups.remove(&id) else { return };
        for bytes in &lookup.packets {
            with_context(view, bytes, |packet, ctx| {
                self.adopt(now, packet, target, Certainty::Observed, ctx, sink);
            });
        }
        self.adverts.push_exception(view, id, target);
    }

    /// Ends a lookup that found no target. `complete` says that all instances
    /// that were asked have answered.
    fn finish_lookup(
        &mut self,
        view: &View,
        now: Millis,
        id: FlowId,
        complete: bool,
        sink: &mut impl Sink,
    ) {
        let Some(mut lookup) = self.held.lookups.remove(&id) else { return };
        // If none of the live instances knows the flow, it is an orphan: the
        // instance that opened it is gone. Only a keeper can say that no such
        // flow existed.
        let sure = complete && lookup.denied;
        if complete && !sure && !lookup.asks_all {
            lookup.asks_all = true;
            let bytes = lookup.packets[0].clone();
            let nonce = lookup.nonce;
            let mut unanswered = 0;
            with_context(view, &bytes, |_, ctx| {
                unanswered = self.send_questions(ctx, true, nonce, sink)
            });
            if unanswered > 0 {
                lookup.unanswered = unanswered;
                self.held.lookups.insert(id, lookup);
                return;
            }
        }
        if sure {
            self.counters.denied += 1;
        }
        for bytes in &lookup.packets {
            with_context(view, bytes, |packet, ctx| {
                // A UDP datagram that no live instance knows is far more often
                // the first of its flow than a later one of an orphan, and a
                // leaving target must get no new work.
                let is_new = complete && packet.key().protocol == Protocol::Udp;
                if packet.kind() == PacketKind::Open || sure || is_new {
                    self.forward_released(now, packet, ctx, sink);
                } else {
                    self.send_to_earlier_owner(now, packet, ctx, sink);
                }
            });
        }
    }

    /// Sends a packet that was held. Its flow may have become known meanwhile.
    fn forward_released(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        ctx: &Context<'_>,
        sink: &mut impl Sink,
    ) {
        if !self.send_known(now, packet, ctx, sink) {
            self.send_to_owner(now, packet, ctx, sink);
        }
    }

    /// Rule 4: sends a packet whose flow no instance knows to an earlier owner.
    fn send_to_earlier_owner(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        ctx: &Context<'_>,
        sink: &mut impl Sink,
    ) {
        if self.send_known(now, packet, ctx, sink) {
            return;
        }
        let orphaned_since = ctx.view.orphaned_since(ctx.service, now);
        match ctx.bucket().fallback(orphaned_since) {
            Some(target) if packet.kind() != PacketKind::Open => {
                self.counters.guessed += 1;
                self.adopt(now, packet, target, Certainty::Guessed, ctx, sink);
                // The keepers get an advert, so that all instances that ask
                // from now on send the flow the same way.
                self.adverts.push_exception(ctx.view, ctx.id, target);
            }
            _ => self.send_to_owner(now, packet, ctx, sink),
        }
    }

    /// Ends the lookups whose deadline has passed.
    pub(super) fn expire_lookups(&mut self, now: Millis, sink: &mut impl Sink) {
        let Some(view) = self.view.clone() else { return };
        let late: Vec<_> = self
            .held
            .lookups
            .iter()
            .filter(|(_, lookup)| now >= lookup.deadline)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            if self.is_waking(now) {
                let dropped = self.held.lookups.remove(&id).map_or(0, |it| it.packets.len());
                self.counters.after_sleep += dropped as u64;
                continue;
            }
            self.finish_lookup(&view, now, id, false, sink);
        }
    }

    /// Admits or refuses the openings whose wait is over.
    pub(super) fn release_waiting(&mut self, now: Millis, sink: &mut impl Sink) {
        let mut decided = Vec::new();
        self.gate.due(now, &mut decided);
        let Some(view) = self.view.clone() else { return };
        for (id, verdict) in decided {
            if verdict == Verdict::Wait {
                continue;
            }
            let Some(bytes) = self.held.waiting.remove(&id) else { continue };
            with_context(&view, &bytes, |packet, ctx| match (verdict, ctx.bucket().owner) {
                (Verdict::Admit, Some(owner)) => self.admit(now, packet, owner, ctx, sink),
                (Verdict::Refuse { .. }, _) => self.refuse(packet, ctx, sink),
                _ => self.send_reset(packet, sink),
            });
        }
    }
}

/// The members to ask: the bucket's keepers, or all if the keepers may not
/// know.
fn members_to_ask<'a>(ctx: &'a Context<'_>, asks_all: bool) -> impl Iterator<Item = &'a Member> {
    let keepers: Vec<_> = ctx.service.keepers.of(ctx.service.bucket(ctx.id)).collect();
    let is_keeper = move |member: &Member| keepers.contains(&&member.name);
    ctx.view.others().filter(move |member| asks_all || is_keeper(member)).take(MAX_ASKED)
}

/// Parses a held packet again and calls `act` with it under the present view.
fn with_context(view: &View, bytes: &[u8], act: impl FnOnce(&Packet<'_>, &Context<'_>)) {
    let Ok(packet) = Packet::parse(bytes) else { return };
    let key = packet.key();
    let Some((service, class)) = view.service_at(key.service, key.protocol) else { return };
    let id = view.hasher.id(&key);
    act(&packet, &Context { view, service, class, id });
}
