//! Packets that are held: while peers are asked, or while an opening waits.

use super::{Forwarder, Gate, Sink, Site, Verdict};
use crate::{
    bundle::Protocol,
    flows::{Certainty, FlowMap},
    ids::FlowId,
    members::Member,
    packet::{Mark, Packet},
    question::{Answer, Datagram, LookupResult, Question},
    time::Millis,
    view::{TargetId, TargetKey, View},
};
/// How long a packet is held at most while peers are asked. Twice the way
/// between failure domains and back, with room for a busy peer; a caller's TCP
/// does not notice it, since its shortest retransmission time is 200 ms.
pub const ASK_TIME: Millis = Millis(20);

/// How many instances are asked about one flow at most, so that a flood of
/// unknown flows can't multiply itself by the size of the fleet.
const FANOUT: usize = 16;

/// How many packets are held for one flow; more than a first window has.
const FLOW_PACKETS: usize = 12;

/// How many flows may be held at once.
const FLOWS: usize = 8_192;

/// What is held.
#[derive(Debug, Default)]
pub(super) struct Held {
    asking: FlowMap<Asking>,
    waiting: FlowMap<Vec<u8>>,
}

/// A flow about which peers are being asked.
#[derive(Debug)]
struct Asking {
    packets: Vec<Vec<u8>>,
    nonce: u32,
    open: usize,
    wide: bool,
    certain: bool,
    deadline: Millis,
}

impl Held {
    /// Holds an opening that the gate makes wait; false if there is no room.
    pub(super) fn wait(&mut self, id: FlowId, packet: &[u8]) -> bool {
        if self.waiting.len() >= FLOWS {
            return false;
        }
        self.waiting.entry(id).or_insert_with(|| packet.to_vec());
        true
    }
}

impl<G: Gate> Forwarder<G> {
    /// Rule 3: holds a packet of an unknown flow and asks, once for each flow.
    pub(super) fn hold(
        &mut self,
        now: Millis,
        packet: &Packet<'_>,
        site: &Site<'_>,
        sink: &mut impl Sink,
    ) {
        if let Some(asking) = self.held.asking.get_mut(&site.id) {
            if asking.packets.len() < FLOW_PACKETS {
                asking.packets.push(packet.bytes().to_vec());
            } else {
                self.counters.overflow += 1;
            }
            return;
        }
        if self.held.asking.len() >= FLOWS {
            self.counters.overflow += 1;
            self.guess(now, packet, site, sink);
            return;
        }
        self.counters.asked += 1;
        self.nonce = self.nonce.wrapping_add(1);
        let wide = self.must_ask_all(now, site);
        let open = self.ask(site, wide, self.nonce, sink);
        let asking = Asking {
            packets: vec![packet.bytes().to_vec()],
            nonce: self.nonce,
            open,
            wide,
            certain: self.vouches(now, site),
            deadline: now + ASK_TIME,
        };
        self.held.asking.insert(site.id, asking);
        if open == 0 {
            self.conclude(site.view, now, site.id, true, sink);
        }
    }

    /// Whether this instance keeps the bucket and knows all its exceptions.
    fn vouches(&self, now: Millis, site: &Site<'_>) -> bool {
        let question = Question { flow: site.id, service: site.service.key, nonce: 0 };
        let result = self.keeping.look_up(site.view, &self.flows, &question, now);
        matches!(result, LookupResult::NoException { .. })
    }

    /// Whether the keepers are unlikely to know all: the move is fresh, or this
    /// instance has slept.
    fn must_ask_all(&self, now: Millis, site: &Site<'_>) -> bool {
        self.distrust.is_some() || site.bucket().is_settling(now)
    }

    fn ask(&mut self, site: &Site<'_>, wide: bool, nonce: u32, sink: &mut impl Sink) -> usize {
        let question = Question { flow: site.id, service: site.service.key, nonce };
        let mut count = 0;
        for member in asked(site, wide) {
            sink.send_to_peer(member.addresses.questions, Datagram::Question(question.clone()));
            count += 1;
        }
        count
    }

    /// Takes an answer to a question of ours; late and repeated ones find no
    /// question and change nothing.
    pub(super) fn answered(&mut self, now: Millis, answer: Answer, sink: &mut impl Sink) {
        let Some(view) = self.view.clone() else { return };
        let Some(asking) = self.held.asking.get_mut(&answer.flow) else { return };
        if asking.nonce != answer.nonce || asking.open == 0 {
            return;
        }
        asking.open -= 1;
        let open = asking.open;
        asking.certain |= matches!(answer.result, LookupResult::NoException { .. });
        match answer.result {
            LookupResult::Known(key) => {
                let first = asking.packets[0].clone();
                if let Some(target) = self.believe(&view, &first, key) {
                    self.counters.found += 1;
                    self.found(now, answer.flow, target, &view, sink);
                    return;
                }
            }
            LookupResult::NoException { empty: true } => {
                with_site(&view, &asking.packets[0], |_, site| self.keeping.clear(site));
            }
            LookupResult::NoException { empty: false } | LookupResult::Unknown => {}
        }
        if open == 0 {
            self.conclude(&view, now, answer.flow, true, sink);
        }
    }

    /// The target that a peer names for a flow. One of another service would be
    /// noted for the flow, and all its packets would be dropped where they
    /// leave until it is forgotten; so such an answer counts as none.
    fn believe(&mut self, view: &View, packet: &[u8], key: TargetKey) -> Option<TargetId> {
        let target = view.registry.find_by_key(key)?;
        let mut serves = false;
        with_site(view, packet, |_, site| {
            serves = view.registry.get(target).service == site.service.spec.name;
        });
        self.counters.crossed += u64::from(!serves);
        serves.then_some(target)
    }

    fn found(
        &mut self,
        now: Millis,
        id: FlowId,
        target: TargetId,
        view: &View,
        sink: &mut impl Sink,
    ) {
        let Some(asking) = self.held.asking.remove(&id) else { return };
        for bytes in &asking.packets {
            with_site(view, bytes, |packet, site| {
                self.adopt(now, packet, target, Certainty::Observed, site, sink);
            });
        }
        self.adverts.exception(view, id, target);
    }

    /// Ends the asking of a flow of which nobody knew the target. `complete`
    /// tells that all who were asked have answered.
    fn conclude(
        &mut self,
        view: &View,
        now: Millis,
        id: FlowId,
        complete: bool,
        sink: &mut impl Sink,
    ) {
        let Some(mut asking) = self.held.asking.remove(&id) else { return };
        // That none of the live ones knows the flow makes it an orphan: whoever
        // opened it is gone. Only a keeper can say that there was none such.
        let sure = complete && asking.certain;
        if complete && !sure && !asking.wide {
            asking.wide = true;
            let bytes = asking.packets[0].clone();
            let nonce = asking.nonce;
            let mut open = 0;
            with_site(view, &bytes, |_, site| open = self.ask(site, true, nonce, sink));
            if open > 0 {
                asking.open = open;
                self.held.asking.insert(id, asking);
                return;
            }
        }
        if sure {
            self.counters.denied += 1;
        }
        for bytes in &asking.packets {
            with_site(view, bytes, |packet, site| {
                // A datagram that no live instance knows is far more often the
                // first of its flow than the next one of an orphan, and a
                // leaving target must get no new work.
                let is_new = complete && packet.key().protocol == Protocol::Udp;
                if packet.mark() == Mark::Open || sure || is_new {
                    self.unheld(now, packet, site, sink);
                } else {
                    self.guess(now, packet, site, sink);
                }
            });
        }
    }

    /// A held packet of a flow that is now known, or goes to the owner.
    fn unheld(&mut self, now: Millis, packet: &Packet<'_>, site: &Site<'_>, sink: &mut impl Sink) {
        if !self.known(now, packet, site, sink) {
            self.settle(now, packet, site, sink);
        }
    }

    /// Rule 4: in doubt, the earlier owner.
    fn guess(&mut self, now: Millis, packet: &Packet<'_>, site: &Site<'_>, sink: &mut impl Sink) {
        if self.known(now, packet, site, sink) {
            return;
        }
        let orphaned = site.view.orphaned_since(site.service, now);
        match site.bucket().fallback(orphaned) {
            Some(target) if packet.mark() != Mark::Open => {
                self.counters.guessed += 1;
                self.adopt(now, packet, target, Certainty::Guessed, site, sink);
                // The keepers are told, so that all who are asked from now on
                // send the flow the same way.
                self.adverts.exception(site.view, site.id, target);
            }
            _ => self.settle(now, packet, site, sink),
        }
    }

    /// Concludes the questions whose time is up.
    pub(super) fn expire_held(&mut self, now: Millis, sink: &mut impl Sink) {
        let Some(view) = self.view.clone() else { return };
        let late: Vec<_> = self
            .held
            .asking
            .iter()
            .filter(|(_, asking)| now >= asking.deadline)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.conclude(&view, now, id, false, sink);
        }
    }

    /// Sends on or turns away the openings that have waited.
    pub(super) fn release(&mut self, now: Millis, sink: &mut impl Sink) {
        let mut decided = Vec::new();
        self.gate.due(now, &mut decided);
        let Some(view) = self.view.clone() else { return };
        for (id, verdict) in decided {
            if verdict == Verdict::Wait {
                continue;
            }
            let Some(bytes) = self.held.waiting.remove(&id) else { continue };
            with_site(&view, &bytes, |packet, site| match (verdict, site.bucket().owner) {
                (Verdict::Admit, Some(owner)) => self.admit(now, packet, owner, site, sink),
                (Verdict::Refuse { .. }, _) => self.refuse(packet, site, sink),
                _ => self.turn_away(packet, sink),
            });
        }
    }
}

/// Whom to ask: the bucket's keepers, and all members where these can't know.
fn asked<'a>(site: &'a Site<'_>, wide: bool) -> impl Iterator<Item = &'a Member> {
    let keepers: Vec<_> = site.service.keepers.of(site.service.bucket(site.id)).collect();
    let is_keeper = move |member: &Member| keepers.contains(&&member.name);
    site.view.others().filter(move |member| wide || is_keeper(member)).take(FANOUT)
}

/// Reads a held packet again, under the view of now.
fn with_site(view: &View, bytes: &[u8], act: impl FnOnce(&Packet<'_>, &Site<'_>)) {
    let Ok(packet) = Packet::parse(bytes) else { return };
    let key = packet.key();
    let Some((service, class)) = view.service_at(key.service, key.protocol) else { return };
    let id = view.hasher.id(&key);
    act(&packet, &Site { view, service, class, id });
}
