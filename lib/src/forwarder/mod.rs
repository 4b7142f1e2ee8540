//! The packet path of one instance, without I/O or clock.
//!
//! [`Forwarder`] is given packets, peers' datagrams, views and ticks, and says
//! through a [`Sink`] what to send. It holds to four rules, in this order:
//!
//! 1. A flow that is known here goes where it went before.
//! 2. An unknown flow in a bucket with one owner goes to that owner.
//! 3. An unknown flow in a bucket that has moved is asked of the instances
//!    that may know it, while its packets are held for [`ASK_TIME`] at most.
//! 4. In doubt, a packet in mid-flow goes to the earlier owner, because long
//!    feeds are what is worth most, and an opening goes to the present one.
//!
//! A target is taken only if it belongs to the service that the packet is
//! addressed to; that is checked where packets leave, for all rules.

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
pub use held::ASK_TIME;

use crate::{
    bundle::Class,
    flows::{Flow, Flows},
    ids::{FlowId, InstanceName},
    message::Advert,
    packet::{Mark, Packet},
    question::Datagram,
    time::Millis,
    view::{BucketView, ServiceView, TargetId, View},
};
use adverts::Adverts;
use held::Held;
use keeping::Keeping;
use std::{net::SocketAddrV4, sync::Arc};

/// Where a forwarder's output goes.
pub trait Sink {
    /// Sends a caller's packet to a target.
    fn forward(&mut self, target: SocketAddrV4, packet: &[u8]);
    /// Sends a packet made here to its caller, by the fabric.
    fn send_to_caller(&mut self, packet: Vec<u8>);
    /// Sends a datagram to a peer.
    fn send_to_peer(&mut self, peer: SocketAddrV4, datagram: Datagram);
    /// Hands a message to the control thread, for the named keeper.
    fn send_advert(&mut self, keeper: &InstanceName, advert: Advert);
}

/// How long a repeated SYN may follow the first. After that, a SYN on a known
/// flow is a new connection of a caller that uses its port again, and must not
/// reach a target that takes no new flows.
const REPEAT_TIME: Millis = Millis::secs(10);

/// How long the flow of a closed connection is remembered for late packets.
const CLOSED_TIME: Millis = Millis::secs(60);

/// How many keep-alives a flow may miss before it is forgotten.
const MISSED_KEEPALIVES: u64 = 4;

/// How long after a start or a pause nothing in the own picture is trusted
/// unasked. A move that the others have not carried out yet, [`PENDING_LIMIT`]
/// at most, is in nobody's history until then; the heartbeat that shows the
/// difference comes within a second more, and asking for it waits a second.
///
/// [`PENDING_LIMIT`]: crate::view::PENDING_LIMIT
const DISTRUST_TIME: Millis = Millis::secs(6);

/// What a SYN without data takes of the sequence space. One with data (TCP Fast
/// Open) is dropped: a target may run it at once, and its repetition, while its
/// bucket moves, may reach another target and run there too. The caller's TCP
/// repeats the SYN without the data.
const SYN_ALONE: u32 = 1;

/// How long a process that slept opens nothing: the time of one repetition of
/// a caller's SYN; the bundle in force reaches it within milliseconds.
const WAKE_TIME: Millis = Millis::secs(1);

/// How often flows that are over are looked for.
const SWEEP_TIME: Millis = Millis::secs(5);

/// The packet path of one instance.
#[derive(Debug)]
pub struct Forwarder<G> {
    view: Option<Arc<View>>,
    flows: Flows,
    held: Held,
    keeping: Keeping,
    adverts: Adverts,
    gate: G,
    counters: Counters,
    distrust: Option<Millis>,
    woken: Option<Millis>,
    sweep: Millis,
    nonce: u32,
}

impl<G: Gate> Forwarder<G> {
    /// Makes a forwarder without a view: it drops packets until it has one.
    pub fn new(gate: G, capacity: usize) -> Forwarder<G> {
        Forwarder {
            view: None,
            flows: Flows::with_capacity(capacity),
            held: Held::default(),
            keeping: Keeping::default(),
            adverts: Adverts::default(),
            gate,
            counters: Counters::default(),
            distrust: None,
            woken: None,
            sweep: Millis(0),
            nonce: 0,
        }
    }

    /// What was counted so far.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The flows that are known here.
    pub fn flows(&self) -> &Flows {
        &self.flows
    }

    /// The view that packets are judged by.
    pub fn view(&self) -> Option<&Arc<View>> {
        self.view.as_ref()
    }

    /// The decisions on openings.
    pub fn gate_mut(&mut self) -> &mut G {
        &mut self.gate
    }

    /// Whether the keepers were told all that they have to know of this
    /// instance's flows, so that it may go.
    pub fn has_advertised_all(&self) -> bool {
        self.adverts.is_done()
    }

    /// Takes the next view.
    pub fn install(&mut self, view: Arc<View>, now: Millis) {
        // Until those who were cut off have told each other what moved
        // meanwhile, either side's picture is old for the other's flows.
        if self.keeping.update_members(&view, now) {
            self.distrust = Some(now + DISTRUST_TIME);
            self.counters.healed += 1;
        }
        self.adverts.queue_changed(&view, &self.flows);
        self.gate.set_view(&view, now);
        self.view = Some(view);
    }

    /// Says that the picture may be old or has gaps: a bucket that looks settled
    /// may have moved, and the first packets would break flows. So this asks
    /// about every flow that it doesn't know until peers had time to correct it.
    pub fn distrust(&mut self, now: Millis) {
        self.distrust = Some(now + DISTRUST_TIME);
    }

    /// Says that the process slept. Besides distrust, it opens nothing for
    /// [`WAKE_TIME`]: the openings that wait in its socket are old, their
    /// callers have long been served or have given up, and by the old picture
    /// they would go to a target that has left since. A caller that still wants
    /// to open repeats its SYN and finds another instance, or this one awake.
    pub fn wake(&mut self, now: Millis) {
        self.distrust(now);
        self.woken = Some(now + WAKE_TIME);
        self.counters.slept += 1;
    }

    /// Takes a datagram from the fabric.
    pub fn handle_packet(&mut self, now: Millis, bytes: &[u8], sink: &mut impl Sink) {
        self.counters.packets += 1;
        match &Packet::parse(bytes) {
            Ok(packet) => self.route(now, packet, sink),
            Err(error) => self.counters.malformed(*error),
        }
    }

    fn route(&mut self, now: Millis, packet: &Packet<'_>, sink: &mut impl Sink) {
        // The view is lent and given back. A clone would cost an atomic
        // operation, which waits for the memory of the packet before.
        let Some(view) = self.view.take() else {
            self.counters.no_bundle += 1;
            return;
        };
        self.route_by(&view, now, packet, sink);
        self.view = Some(view);
    }

    fn route_by(&mut self, view: &View, now: Millis, packet: &Packet<'_>, sink: &mut impl Sink) {
        let key = packet.key();
        let Some((service, class)) = view.service_at(key.service, key.protocol) else {
            self.counters.no_service += 1;
            if packet.mark() == Mark::Open {
                self.turn_away(packet, sink);
            }
            return;
        };
        let id = view.hasher.id(&key);
        let site = Site { view, service, class, id };
        if self.known(now, packet, &site, sink) || self.is_refusal(packet, &site, sink) {
            return;
        }
        if packet.mark() == Mark::Open && packet.length() > SYN_ALONE {
            self.counters.syn_with_data += 1;
            return;
        }
        if packet.mark() == Mark::Open && self.woken.is_some_and(|until| now < until) {
            self.counters.after_sleep += 1;
            return;
        }
        if self.must_ask(now, &site) {
            self.hold(now, packet, &site, sink);
        } else {
            self.settle(now, packet, &site, sink);
        }
    }

    /// Rule 1: a known flow goes where it went before.
    fn known(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        site: &Site<'_>,
        sink: &mut impl Sink,
    ) -> bool {
        let Some(flow) = self.flows.get_mut(site.id) else { return false };
        if packet.mark() == Mark::Open && is_over(flow, site, now) {
            self.flows.remove(site.id);
            return false;
        }
        let idle = flow.idle(now);
        flow.touch(now);
        let target = flow.target;
        match packet.mark() {
            Mark::Open => {}
            Mark::Middle if flow.fresh => {
                flow.fresh = false;
                self.gate.on_second_packet(now, target, site.class, idle);
            }
            Mark::Middle => {}
            Mark::Close | Mark::Abort => {
                let first = !std::mem::replace(&mut flow.closing, true);
                if first {
                    let flow = *flow;
                    self.end(now, packet.mark(), site.id, &flow);
                }
            }
        }
        self.counters.hits += 1;
        self.send(packet.bytes(), target, site, sink);
        true
    }

    /// Tells the gate that a flow is over. The end of a flow may pass another
    /// instance than its opening, so the gate balances all openings and ends
    /// that pass here, whose flows they may be.
    fn end(&mut self, now: Millis, mark: Mark, id: FlowId, flow: &Flow) {
        if mark == Mark::Abort {
            self.gate.on_abort(now, flow.target);
        }
        self.gate.on_close(now, id, flow);
    }

    /// Whether others may know more of an unknown flow than this instance.
    fn must_ask(&mut self, now: Millis, site: &Site<'_>) -> bool {
        if self.distrust.is_some_and(|until| now < until) {
            return true;
        }
        self.distrust = None;
        let state = site.bucket();
        state.may_have_exceptions() && !self.keeping.is_clear(site)
    }

    /// The one way out. A packet for one service must never reach a target of
    /// another: whatever led to the target, a wrong table, a peer's answer or
    /// a clash of hashes, it is checked here once more and dropped.
    fn send(&mut self, bytes: &[u8], target: TargetId, site: &Site<'_>, sink: &mut impl Sink) {
        let entry = site.view.registry.get(target);
        if entry.service != site.service.spec.name {
            self.counters.crossed += 1;
            return;
        }
        self.counters.forwarded += 1;
        sink.forward(entry.address, bytes);
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis, sink: &mut impl Sink) {
        self.expire_held(now, sink);
        self.release(now, sink);
        let Some(view) = self.view.clone() else { return };
        self.adverts.send(&view, &self.flows, now, sink);
        if now.since(self.sweep) >= SWEEP_TIME {
            self.sweep = now;
            self.sweep(&view, now);
        }
    }

    /// Forgets flows that are over, so that the table stays bounded.
    fn sweep(&mut self, view: &View, now: Millis) {
        let longest = view.bundle.services.iter().map(|s| s.keepalive.0).max().unwrap_or(0);
        let silent = Millis(longest * MISSED_KEEPALIVES).max(CLOSED_TIME);
        let over = self.flows.expire(|flow| {
            let limit = if flow.closing { CLOSED_TIME } else { silent };
            flow.idle(now) > limit
        });
        self.counters.expired += over;
        self.keeping.sweep(view, &self.flows, now);
        self.adverts.refresh(view, &self.flows, now);
    }
}

/// Whether a SYN on a known flow opens another connection.
fn is_over(flow: &Flow, site: &Site<'_>, now: Millis) -> bool {
    flow.closing || flow.idle(now) > REPEAT_TIME && site.bucket().owner != Some(flow.target)
}

/// Where a packet stands: its service and its flow.
struct Site<'a> {
    view: &'a View,
    service: &'a ServiceView,
    class: Class,
    id: FlowId,
}

impl Site<'_> {
    fn bucket(&self) -> &BucketView {
        self.service.state(self.service.bucket(self.id))
    }
}
