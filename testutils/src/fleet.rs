//! Simulates several instances in one process and in virtual time, to test how
//! their packet paths work together. Bundles, members and adverts reach each
//! instance after a simulated delay; the protocols that carry them are tested
//! elsewhere.

use medlarspur_lib::{
    bundle::Bundle,
    forwarder::{AdmitAll, Forwarder, Sink},
    ids::{DomainName, Incarnation, InstanceName, Version},
    members::{Addresses, Member, MemberState},
    message::{Advert, History, ServicePlan},
    question::Datagram,
    time::Millis,
    view::Draft,
};
use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

/// Time between two ticks of an instance.
const TICK: Millis = Millis(5);

/// Time between two comparisons of histories; equal to the interval of the
/// heartbeats, which carry digests.
const ANTI_ENTROPY: Millis = Millis(1_000);

/// Time that a fleet runs before a test begins; longer than peers treat an
/// instance as new.
const WARM_UP: Millis = Millis(50_000);

/// Properties of the simulated network between instances.
#[derive(Debug, Clone)]
pub struct Network {
    /// Delay of datagrams and adverts.
    pub delay: Millis,
    /// Number of datagrams lost per thousand.
    pub loss: u64,
    /// Time until the other instances notice that an instance is gone.
    pub detection: Millis,
    /// Maximum time until an instance receives a new bundle or plan, and time until
    /// it receives a change of members or a history.
    pub update_delay: Millis,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            delay: Millis(2),
            loss: 0,
            detection: Millis(3_000),
            update_delay: Millis(400),
            seed: 1,
        }
    }
}

/// A message to an instance.
#[derive(Debug)]
enum Message {
    Datagram(SocketAddrV4, Datagram),
    Advert(Advert),
    History(History),
    Bundle(Arc<Bundle>),
    Plan(ServicePlan),
    Members,
}

#[derive(Debug)]
struct Delivery {
    at: Millis,
    order: u64,
    to: usize,
    message: Message,
}

impl PartialEq for Delivery {
    fn eq(&self, other: &Delivery) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Delivery {}

impl PartialOrd for Delivery {
    fn partial_cmp(&self, other: &Delivery) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Delivery {
    fn cmp(&self, other: &Delivery) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// State of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It is running.
    Up,
    /// It is running and has announced that it leaves.
    Leaving,
    /// It is suspended, and continues later with its old state.
    Frozen,
    /// It has ended.
    Gone,
}

/// An instance.
pub struct Node {
    /// Its packet path.
    pub forwarder: Forwarder<AdmitAll>,
    /// Its control path; `None` before its first bundle.
    pub draft: Option<Draft>,
    /// Its state.
    pub state: State,
    /// Side of a network partition that it is on.
    pub side: u8,
    member: Member,
    just_woken: bool,
}

/// Everything that one call to an instance sends.
#[derive(Debug, Default)]
struct Sent {
    packets: Vec<(SocketAddrV4, Vec<u8>)>,
    answers: Vec<Vec<u8>>,
    datagrams: Vec<(SocketAddrV4, Datagram)>,
    adverts: Vec<(InstanceName, Advert)>,
}

impl Sink for Sent {
    fn forward(&mut self, target: SocketAddrV4, packet: &[u8]) {
        self.packets.push((target, packet.to_vec()));
    }

    fn send_to_caller(&mut self, packet: Vec<u8>) {
        self.answers.push(packet);
    }

    fn send_to_peer(&mut self, peer: SocketAddrV4, datagram: Datagram) {
        self.datagrams.push((peer, datagram));
    }

    fn send_advert(&mut self, keeper: &InstanceName, advert: Advert) {
        self.adverts.push((keeper.clone(), advert));
    }
}

/// The simulated instances of a site.
pub struct Fleet {
    /// The instances, in the order in which they were started.
    pub nodes: Vec<Node>,
    /// The virtual time.
    pub now: Millis,
    /// Packets that instances sent to targets, until a test takes them.
    pub packets: Vec<(SocketAddrV4, Vec<u8>)>,
    /// Packets that instances sent to callers, until a test takes them.
    pub answers: Vec<Vec<u8>>,
    /// Total bytes of questions, answers and adverts, with 28 bytes of headers for
    /// each UDP datagram.
    pub control_bytes: u64,
    network: Network,
    domains: u64,
    deliveries: BinaryHeap<Reverse<Delivery>>,
    order: u64,
    random: u64,
    bundle: Arc<Bundle>,
}

impl Fleet {
    /// Starts `count` instances in `domains` failure domains.
    pub fn new(count: usize, domains: u64, bundle: &Arc<Bundle>, network: Network) -> Fleet {
        let mut fleet = Fleet {
            nodes: Vec::new(),
            now: Millis(0),
            packets: Vec::new(),
            answers: Vec::new(),
            control_bytes: 0,
            random: network.seed.wrapping_mul(2) | 1,
            network,
            domains,
            deliveries: BinaryHeap::new(),
            order: 0,
            bundle: bundle.clone(),
        };
        for _ in 0..count {
            let ix = fleet.add();
            fleet.install(ix, bundle.clone());
        }
        for ix in 0..count {
            fleet.update_members(ix);
        }
        fleet.advance(WARM_UP);
        fleet
    }

    /// Starts another instance, which gets the bundle, members and histories. Returns its index.
    pub fn join(&mut self) -> usize {
        let ix = self.add();
        self.install(ix, self.bundle.clone());
        self.update_members(ix);
        self.announce_members(self.network.update_delay);
        ix
    }

    fn add(&mut self) -> usize {
        let ix = self.nodes.len();
        let at = |port| SocketAddrV4::new(Ipv4Addr::new(127, 9, (ix >> 8) as u8, ix as u8), port);
        let member = Member {
            name: InstanceName::new(&format!("i{ix}")),
            domain: DomainName::new(&format!("d{}", ix as u64 % self.domains)),
            incarnation: Incarnation(1),
            state: MemberState::Live,
            addresses: Addresses { packets: at(1), questions: at(2), control: at(3) },
            version: Version(0),
            advertised: 0,
        };
        self.nodes.push(Node {
            forwarder: Forwarder::new(AdmitAll, 1024),
            draft: None,
            state: State::Up,
            side: 0,
            member,
            just_woken: false,
        });
        ix
    }

    /// Publishes a bundle, which each instance receives after a random delay.
    pub fn publish(&mut self, bundle: &Arc<Bundle>) {
        self.bundle = bundle.clone();
        for ix in 0..self.nodes.len() {
            let delay = Millis(self.random(self.network.update_delay.0 + 1));
            self.schedule(delay, ix, Message::Bundle(bundle.clone()));
        }
    }

    /// Publishes a bundle that only the instances on one side receive.
    pub fn publish_on(&mut self, side: u8, bundle: &Arc<Bundle>) {
        for ix in
            (0..self.nodes.len()).filter(|&ix| self.nodes[ix].side == side).collect::<Vec<_>>()
        {
            let delay = Millis(self.random(self.network.update_delay.0 + 1));
            self.schedule(delay, ix, Message::Bundle(bundle.clone()));
        }
    }

    /// Publishes a plan, which each instance on the side of its author receives
    /// after a random delay.
    pub fn publish_plan(&mut self, plan: &ServicePlan) {
        let author = self.nodes.iter().find(|node| node.member.name == plan.author);
        let side = author.map_or(0, |node| node.side);
        for ix in 0..self.nodes.len() {
            if self.nodes[ix].side == side {
                let delay = Millis(self.random(self.network.update_delay.0 + 1));
                self.schedule(delay, ix, Message::Plan(plan.clone()));
            }
        }
    }

    /// Kills an instance, which announces nothing.
    pub fn kill(&mut self, ix: usize) {
        self.nodes[ix].state = State::Gone;
        self.announce_members(self.network.detection);
    }

    /// Makes an instance leave; it keeps running until it is killed.
    pub fn leave(&mut self, ix: usize) {
        self.nodes[ix].state = State::Leaving;
        self.announce_members(self.network.update_delay);
    }

    /// Ends a leaving instance as soon as it has advertised all its exceptions.
    pub fn retire(&mut self, ix: usize) {
        while !self.nodes[ix].forwarder.has_advertised_all() {
            self.advance(Millis(50));
        }
        self.advance(self.network.delay);
        self.kill(ix);
    }

    /// Suspends or resumes an instance.
    pub fn freeze(&mut self, ix: usize, frozen: bool) {
        self.nodes[ix].state = if frozen { State::Frozen } else { State::Up };
        self.nodes[ix].just_woken = !frozen;
        self.announce_members(self.network.detection);
    }

    /// Runs a round of anti-entropy: an instance receives the history of another one on
    /// its side if the two differ.
    fn exchange_history(&mut self) {
        let now = self.now;
        let known: Vec<_> = self
            .nodes
            .iter()
            .filter(|node| matches!(node.state, State::Up | State::Leaving))
            .filter_map(|node| Some((node.side, node.draft.as_ref()?.view())))
            .map(|(side, view)| (side, view.history_digest(), view.histories(now)))
            .collect();
        for ix in 0..self.nodes.len() {
            let Some(draft) = &self.nodes[ix].draft else { continue };
            let (side, digest) = (self.nodes[ix].side, draft.view().history_digest());
            let other = known.iter().find(|known| known.0 == side && known.1 != digest);
            for history in other.map(|known| known.2.clone()).unwrap_or_default() {
                self.schedule(self.network.update_delay, ix, Message::History(history));
            }
        }
    }

    /// Partitions the network: puts each instance on the side that `side` returns
    /// for its index.
    pub fn partition(&mut self, side: impl Fn(usize) -> u8) {
        for (ix, node) in self.nodes.iter_mut().enumerate() {
            node.side = side(ix);
        }
        self.announce_members(self.network.detection);
    }

    /// Ends all partitions. The instances notice it after the network's `update_delay`.
    pub fn heal(&mut self) {
        self.nodes.iter_mut().for_each(|node| node.side = 0);
        self.announce_members(self.network.update_delay);
    }

    /// Delivers a packet from the fabric to an instance.
    pub fn receive(&mut self, ix: usize, packet: &[u8]) {
        let now = self.now;
        if !self.is_awake(ix) {
            return;
        }
        self.run(ix, |node, sent| node.forwarder.handle_packet(now, packet, sent));
    }

    /// Whether the instance handles packets.
    pub fn is_awake(&self, ix: usize) -> bool {
        matches!(self.nodes[ix].state, State::Up | State::Leaving)
    }

    /// Advances the virtual time by `span`.
    pub fn advance(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            let tick = Millis((self.now.0 / TICK.0 + 1) * TICK.0).min(end);
            while self.deliveries.peek().is_some_and(|Reverse(delivery)| delivery.at <= tick) {
                let Some(Reverse(delivery)) = self.deliveries.pop() else { break };
                self.now = self.now.max(delivery.at);
                self.deliver(delivery);
            }
            self.now = tick;
            if tick.0.is_multiple_of(ANTI_ENTROPY.0) {
                self.exchange_history();
            }
            for ix in 0..self.nodes.len() {
                self.tick(ix);
            }
        }
    }

    fn tick(&mut self, ix: usize) {
        if !self.is_awake(ix) {
            return;
        }
        let now = self.now;
        if std::mem::take(&mut self.nodes[ix].just_woken) {
            self.nodes[ix].forwarder.wake(now);
        }
        if let Some(draft) = &mut self.nodes[ix].draft {
            draft.advance(now);
        }
        self.commit(ix);
        self.run(ix, |node, sent| node.forwarder.tick(now, sent));
    }

    fn deliver(&mut self, delivery: Delivery) {
        let (ix, now) = (delivery.to, self.now);
        if self.nodes[ix].state == State::Gone {
            return;
        }
        if self.nodes[ix].state == State::Frozen {
            // Only these are sent again, by anti-entropy; other messages are lost.
            if matches!(
                delivery.message,
                Message::Bundle(_) | Message::Plan(_) | Message::Members | Message::History(_)
            ) {
                self.schedule(Millis(500), ix, delivery.message);
            }
            return;
        }
        match delivery.message {
            Message::Datagram(from, datagram) => {
                self.run(ix, |node, sent| {
                    node.forwarder.handle_datagram(now, from, datagram, sent)
                });
            }
            Message::Advert(advert) => self.nodes[ix].forwarder.handle_advert(now, &advert),
            Message::History(history) => {
                if let Some(draft) = &mut self.nodes[ix].draft {
                    draft.merge_history(&history, now);
                }
            }
            Message::Bundle(bundle) => self.install(ix, bundle),
            Message::Plan(plan) => {
                if let Some(draft) = &mut self.nodes[ix].draft {
                    draft.apply_plan(plan, now);
                }
            }
            Message::Members => self.update_members(ix),
        }
        self.commit(ix);
    }

    fn install(&mut self, ix: usize, bundle: Arc<Bundle>) {
        let now = self.now;
        let node = &mut self.nodes[ix];
        node.member.version = bundle.version;
        match &mut node.draft {
            Some(draft) if draft.view().bundle.version >= bundle.version => {}
            Some(draft) => draft.install(&bundle, now),
            None => {
                node.draft = Some(Draft::first(node.member.name.clone(), &bundle, now));
                node.forwarder.distrust(now);
            }
        }
        self.announce_members(self.network.update_delay);
        self.commit(ix);
    }

    /// Sets the members of an instance to those that it can reach.
    fn update_members(&mut self, ix: usize) {
        let side = self.nodes[ix].side;
        let members = self
            .nodes
            .iter()
            .filter(|node| matches!(node.state, State::Up | State::Leaving) && node.side == side)
            .map(|node| {
                let leaving = node.state == State::Leaving;
                let state = if leaving { MemberState::Leaving } else { MemberState::Live };
                Member { state, ..node.member.clone() }
            })
            .collect();
        let now = self.now;
        if let Some(draft) = &mut self.nodes[ix].draft {
            draft.set_members(members, now);
        }
        self.commit(ix);
    }

    fn announce_members(&mut self, delay: Millis) {
        for ix in 0..self.nodes.len() {
            self.schedule(delay, ix, Message::Members);
        }
    }

    fn commit(&mut self, ix: usize) {
        let now = self.now;
        let node = &mut self.nodes[ix];
        if let Some(view) = node.draft.as_mut().and_then(Draft::commit) {
            node.forwarder.install(view, now);
        }
    }

    fn run(&mut self, ix: usize, act: impl FnOnce(&mut Node, &mut Sent)) {
        let mut sent = Sent::default();
        act(&mut self.nodes[ix], &mut sent);
        self.packets.extend(sent.packets);
        self.answers.extend(sent.answers);
        let from = self.nodes[ix].member.addresses.questions;
        for (to, datagram) in sent.datagrams {
            self.control_bytes += if matches!(datagram, Datagram::Question(_)) { 53 } else { 57 };
            let to = self.nodes.iter().position(|node| node.member.addresses.questions == to);
            self.send(ix, to, Message::Datagram(from, datagram));
        }
        for (keeper, advert) in sent.adverts {
            self.control_bytes += 60 + 16 * advert.flows.len() as u64;
            let to = self.nodes.iter().position(|node| node.member.name == keeper);
            self.send(ix, to, Message::Advert(advert));
        }
    }

    fn send(&mut self, from: usize, to: Option<usize>, message: Message) {
        let Some(to) = to.filter(|&to| self.nodes[to].side == self.nodes[from].side) else {
            return;
        };
        let lost =
            matches!(message, Message::Datagram(..)) && self.random(1000) < self.network.loss;
        if !lost {
            self.schedule(self.network.delay, to, message);
        }
    }

    fn schedule(&mut self, delay: Millis, to: usize, message: Message) {
        self.order += 1;
        let delivery = Delivery { at: self.now + delay, order: self.order, to, message };
        self.deliveries.push(Reverse(delivery));
    }

    /// Returns a random number below `bound`; the sequence depends only on the seed.
    pub fn random(&mut self, bound: u64) -> u64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.random >> 33) % bound.max(1)
    }
}
