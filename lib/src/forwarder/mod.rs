//! The packet path of one instance, without I/O or clock.
//!
//! [`Forwarder`] is given packets, datagrams of peers, views and ticks, and
//! writes its output to a [`Sink`]. An *exception* is a flow of a moved bucket
//! that goes elsewhere than to the bucket's present owner. An *orphan* is a flow
//! whose opener went before it had advertised the flow to the keepers.
//!
//! These rules apply in order:
//!
//! 1. A flow that is known here goes to the same target as before.
//! 2. An unknown flow in a bucket that has always had one owner goes to that
//!    owner.
//! 3. For an unknown flow in a bucket that has moved, the instances that may
//!    know it are asked, while its packets are held for [`ASK_TIMEOUT`] at
//!    most.
//! 4. If no instance knows the flow, a packet in mid-flow goes to the earlier
//!    owner, because long feeds are worth most, and an opening goes to the
//!    present owner.
//!
//! A target is used only if it belongs to the service that the packet is
//! addressed to. This is checked where packets leave, for all rules.

mod adverts;
mod counters;
mod gate;
mod held;
mod keeping;
mod opening;
mod peers;
mod refusal;

pub use adverts::TokenBucket;
pub use counters::Counters;
pub use gate::{AdmitAll, Gate, Opening, Verdict};
pub use held::ASK_TIMEOUT;

use crate::{
    bundle::Class,
    flows::{Flow, Flows},
    ids::{FlowId, InstanceName},
    message::Advert,
    packet::{Packet, PacketKind},
    question::Datagram,
    time::Millis,
    view::{BucketView, ServiceView, TargetId, View},
};
use adverts::Adverts;
use held::Held;
use keeping::KeeperState;
use std::{net::SocketAddrV4, sync::Arc};

/// The output of a forwarder.
pub trait Sink {
    /// Sends a caller's packet to a target.
    fn forward(&mut self, target: SocketAddrV4, packet: &[u8]);
    /// Sends a packet made here to its caller, through the fabric.
    fn send_to_caller(&mut self, packet: Vec<u8>);
    /// Sends a datagram to a peer.
    fn send_to_peer(&mut self, peer: SocketAddrV4, datagram: Datagram);
    /// Passes an advert for `keeper` to the control thread.
    fn send_advert(&mut self, keeper: &InstanceName, advert: Advert);
}

/// Time after the first SYN in which another one counts as a retransmission.
/// Later, a SYN on a known flow is a new connection of a caller that reuses its
/// port, and must not reach a target that takes no new flows.
const SYN_REPEAT_TIME: Millis = Millis::secs(10);

/// Time that the flow of a closed connection is remembered for late packets.
const CLOSED_FLOW_TIME: Millis = Millis::secs(60);

/// Number of keep-alives that a flow may miss before it is forgotten.
const MISSED_KEEPALIVES: u64 = 4;

/// Time after a start or a sleep during which peers are asked about every
/// unknown flow. A move that the others have not carried out yet is in no
/// history, for [`PENDING_LIMIT`] at most. The heartbeat that shows the
/// difference follows within a second, and the request for the history may wait
/// another second.
///
/// [`PENDING_LIMIT`]: crate::view::PENDING_LIMIT
const DISTRUST_TIME: Millis = Millis::secs(6);

/// Length of a SYN without data in the sequence space. A SYN with data (TCP
/// Fast Open) is dropped: a target may run it at once, and while its bucket
/// moves its retransmission may reach another target and run there too. The
/// caller's TCP retransmits the SYN without the data.
const BARE_SYN_LENGTH: u32 = 1;

/// Time during which a process that slept opens no flows and sends none on a
/// guess: one retransmission of a caller's SYN. The bundle in force reaches the
/// process within milliseconds.
const WAKE_TIME: Millis = Millis::secs(1);

/// Interval at which flows that have ended are removed.
const SWEEP_INTERVAL: Millis = Millis::secs(5);

/// The packet path of one instance.
#[derive(Debug)]
pub struct Forwarder<G> {
    view: Option<Arc<View>>,
    flows: Flows,
    held: Held,
    keeper: KeeperState,
    adverts: Adverts,
    gate: G,
    counters: Counters,
    distrust_until: Option<Millis>,
    waking_until: Option<Millis>,
    /// Time of the last removal of ended flows.
    swept: Millis,
    nonce: u32,
}

impl<G: Gate> Forwarder<G> {
    /// Creates a forwarder without a view. It drops packets until it has one.
    pub fn new(gate: G, capacity: usize) -> Forwarder<G> {
        Forwarder {
            view: None,
            flows: Flows::with_capacity(capacity),
            held: Held::default(),
            keeper: KeeperState::default(),
            adverts: Adverts::default(),
            gate,
            counters: Counters::default(),
            distrust_until: None,
            waking_until: None,
            swept: Millis(0),
            nonce: 0,
        }
    }

    /// The counters since the process started.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The flows known here.
    pub fn flows(&self) -> &Flows {
        &self.flows
    }

    /// The view by which packets are forwarded.
    pub fn view(&self) -> Option<&Arc<View>> {
        self.view.as_ref()
    }

    /// The admission control.
    pub fn gate_mut(&mut self) -> &mut G {
        &mut self.gate
    }

    /// Whether all exceptions of this instance are advertised to their keepers,
    /// so that it may end.
    pub fn has_advertised_all(&self) -> bool {
        self.adverts.is_done()
    }

    /// Installs the next view.
    pub fn install(&mut self, view: Arc<View>, now: Millis) {
        // Until both sides of a healed partition have exchanged the moves made
        // meanwhile, the view of either side is out of date for the other's
        // flows.
        if self.keeper.update_members(&view, now) {
            self.distrust_until = Some(now + DISTRUST_TIME);
            self.counters.healed += 1;
        }
        self.adverts.queue_changed(&view, &self.flows);
        self.gate.set_view(&view, now);
        self.view = Some(view);
    }

    /// Declares the view possibly out of date or incomplete: a bucket that
    /// looks settled may have moved, and packets sent by the view would break
    /// flows. Peers are then asked about every unknown flow until they had time
    /// to correct the view.
    pub fn distrust(&mut self, now: Millis) {
        self.distrust_until = Some(now + DISTRUST_TIME);
    }

    /// Handles a sleep of the process. In addition to [`Forwarder::distrust`],
    /// no flows are opened for `WAKE_TIME`. The openings that wait in the
    /// socket are old: their callers have been served elsewhere or have given
    /// up, and by the old view they would go to a target that has left since.
    /// This also holds for flows that are known here, of which keepers learn
    /// from adverts: a leaving target resets the flow of a repeated SYN. A
    /// caller that still wants to open retransmits its SYN, which reaches
    /// another instance or this one with a fresh view. Packets of unknown flows
    /// whose questions get no answer in time are dropped too, as the old view
    /// tells nothing of flows that were opened during the sleep. The same holds for the
    /// packets held here, and answers that arrive for them are old too.
    pub fn wake(&mut self, now: Millis) {
        self.distrust(now);
        self.waking_until = Some(now + WAKE_TIME);
        self.counters.after_sleep += self.held.clear() as u64;
        self.counters.slept += 1;
    }

    fn is_waking(&self, now: Millis) -> bool {
        self.waking_until.is_some_and(|until| now < until)
    }

    /// Handles a packet from the fabric.
    pub fn handle_packet(&mut self, now: Millis, bytes: &[u8], sink: &mut impl Sink) {
        self.counters.packets += 1;
        match &Packet::parse(bytes) {
            Ok(packet) => self.route(now, packet, sink),
            Err(error) => self.counters.malformed(*error),
        }
    }

    fn route(&mut self, now: Millis, packet: &Packet<'_>, sink: &mut impl Sink) {
        // The view is moved out and back. A clone would cost an atomic
        // operation, which waits for the memory accesses of the previous
        // packet.
        let Some(view) = self.view.take() else {
            self.counters.no_bundle += 1;
            return;
        };
        self.route_with(&view, now, packet, sink);
        self.view = Some(view);
    }

    fn route_with(&mut self, view: &View, now: Millis, packet: &Packet<'_>, sink: &mut impl Sink) {
        if packet.kind() == PacketKind::Open && self.is_waking(now) {
            self.counters.after_sleep += 1;
            return;
        }
        let key = packet.key();
        let Some((service, class)) = view.service_at(key.service, key.protocol) else {
            self.counters.no_service += 1;
            if packet.kind() == PacketKind::Open {
                self.send_reset(packet, sink);
            }
            return;
        };
        let id = view.hasher.id(&key);
        let ctx = Context { view, service, class, id };
        if self.send_known(now, packet, &ctx, sink) || self.continue_refusal(packet, &ctx, sink) {
            return;
        }
        if packet.kind() == PacketKind::Open && packet.sequence_length() > BARE_SYN_LENGTH {
            self.counters.syn_with_data += 1;
            return;
        }
        if self.should_ask(now, &ctx) {
            self.hold_and_ask(now, packet, &ctx, sink);
        } else {
            self.send_to_owner(now, packet, &ctx, sink);
        }
    }

    /// Rule 1: sends a packet of a known flow to the flow's target. Returns
    /// false if the flow is unknown.
    fn send_known(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        ctx: &Context<'_>,
        sink: &mut impl Sink,
    ) -> bool {
        let Some(flow) = self.flows.get_mut(ctx.id) else { return false };
        if packet.kind() == PacketKind::Open && is_new_connection(flow, ctx, now) {
            self.flows.remove(ctx.id);
            return false;
        }
        let idle = flow.idle(now);
        flow.touch(now);
        let target = flow.target;
        match packet.kind() {
            PacketKind::Open => {}
            PacketKind::Continue if flow.fresh => {
                flow.fresh = false;
                self.gate.on_second_packet(now, target, ctx.class, idle);
            }
            PacketKind::Continue => {}
            PacketKind::Close | PacketKind::Abort => {
                let first = !std::mem::replace(&mut flow.closing, true);
                if first {
                    let flow = *flow;
                    self.report_end(now, packet.kind(), ctx.id, &flow);
                }
            }
        }
        self.counters.hits += 1;
        self.send_to_target(packet.bytes(), target, ctx, sink);
        true
    }

    /// Reports the end of a flow to the gate. The end of a flow may pass
    /// another instance than its opening, so the gate balances all openings and
    /// ends that pass here, whichever flows they belong to.
    fn report_end(&mut self, now: Millis, kind: PacketKind, id: FlowId, flow: &Flow) {
        if kind == PacketKind::Abort {
            self.gate.on_abort(now, flow.target);
        }
        self.gate.on_close(now, id, flow);
    }

    /// Whether peers have to be asked about an unknown flow.
    fn should_ask(&mut self, now: Millis, ctx: &Context<'_>) -> bool {
        if self.distrust_until.is_some_and(|until| now < until) {
            return true;
        }
        self.distrust_until = None;
        let state = ctx.bucket();
        state.may_have_exceptions() && !self.keeper.is_clear(ctx)
    }

    /// Sends a packet to a target; all packets to targets leave here. A packet
    /// for one service must never reach a target of another. The target may
    /// come from a wrong table, a peer's answer or a hash collision, so it is
    /// checked once more, and the packet is dropped if it doesn't match.
    fn send_to_target(
        &mut self,
        bytes: &[u8],
        target: TargetId,
        ctx: &Context<'_>,
        sink: &mut impl Sink,
    ) {
        let entry = ctx.view.registry.get(target);
        if entry.service != ctx.service.spec.name {
            self.counters.crossed += 1;
            return;
        }
        self.counters.forwarded += 1;
        sink.forward(entry.address, bytes);
    }

    /// Performs the work that is due by `now`.
    pub fn tick(&mut self, now: Millis, sink: &mut impl Sink) {
        self.expire_lookups(now, sink);
        self.release_waiting(now, sink);
        let Some(view) = self.view.clone() else { return };
        self.adverts.send(&view, &self.flows, now, sink);
        if now.since(self.swept) >= SWEEP_INTERVAL {
            self.swept = now;
            self.expire_flows(&view, now);
        }
    }

    /// Removes flows that have ended, so that the flow table stays bounded.
    fn expire_flows(&mut self, view: &View, now: Millis) {
        let longest = view.bundle.services.iter().map(|s| s.keepalive.0).max().unwrap_or(0);
        let silent = Millis(longest * MISSED_KEEPALIVES).max(CLOSED_FLOW_TIME);
        let over = self.flows.expire(|flow| {
            let limit = if flow.closing { CLOSED_FLOW_TIME } else { silent };
            flow.idle(now) > limit
        });
        self.counters.expired += over;
        self.keeper.scan_exceptions(view, &self.flows, now);
        self.adverts.refresh(view, &self.flows, now);
    }
}

/// Whether a SYN on a known flow opens another connection.
fn is_new_connection(flow: &Flow, ctx: &Context<'_>, now: Millis) -> bool {
    flow.closing || flow.idle(now) > SYN_REPEAT_TIME && ctx.bucket().owner != Some(flow.target)
}

/// A packet's service, class and flow under a view.
struct Context<'a> {
    view: &'a View,
    service: &'a ServiceView,
    class: Class,
    id: FlowId,
}

impl Context<'_> {
    fn bucket(&self) -> &BucketView {
        self.service.state(self.service.bucket(self.id))
    }
}
