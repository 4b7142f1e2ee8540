//! Controllers joined by a simulated network that loses, duplicates and
//! reorders messages.

use medlarspur_lib::{
    control::{Action, ControlSettings, Controller, Event, TICK},
    ids::{DomainName, Incarnation, InstanceName, Version},
    members::{Addresses, Candidate, Member, MemberState},
    message::Message,
    spread::{Check, SignedText},
    time::Millis,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

/// Accepts any text that begins with its version.
#[derive(Debug, Clone, Copy)]
pub struct VersionCheck;

#[derive(Debug, snafu::Snafu)]
#[snafu(display("no version"))]
pub struct NoVersion;

impl Check for VersionCheck {
    type Error = NoVersion;

    fn check(&self, text: &str) -> Result<Version, NoVersion> {
        let line =
            text.lines().next().and_then(|l| l.strip_prefix("version: ")).ok_or(NoVersion)?;
        line.parse().map(Version).map_err(|_| NoVersion)
    }
}

/// The faults of the network, drawn by a random generator with a fixed seed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Percentage of messages that are lost.
    pub lost: u64,
    /// Percentage of messages that are duplicated.
    pub duplicated: u64,
    /// Maximum delay in milliseconds; messages overtake each other.
    pub delay: u64,
}

pub struct Net {
    pub now: Millis,
    pub nodes: Vec<Node>,
    pub faults: Faults,
    /// The domains on one side of a network partition.
    pub partitioned: BTreeSet<DomainName>,
    /// The bundle that the platform returns; `None` while it is down.
    pub platform: Option<Arc<str>>,
    pub list: Vec<Candidate>,
    in_flight: BTreeMap<(u64, u64), (SocketAddrV4, SocketAddrV4, Message)>,
    count: u64,
    random: u64,
}

pub struct Node {
    pub controller: Controller<VersionCheck>,
    pub me: Member,
    pub up: bool,
    pub asleep: bool,
    pub reading: bool,
    pub ready: Option<Millis>,
    pub accepted: Vec<(Millis, Arc<SignedText>)>,
    pub members: Vec<Member>,
    pub slept: usize,
    pub calls: usize,
    /// Messages sent, and their bytes on the wire without transport.
    pub sent: Traffic,
}

#[derive(Debug, Default, Clone, Copy)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

pub fn text(version: u64, services: usize) -> Arc<str> {
    let mut text = format!("version: {version}\nservices:\n");
    let changed = version as usize % services.max(1);
    for i in 0..services {
        text += &format!(
            "  - name: s{i}\n    address: 198.51.100.{i}\n    keepalive: {}\n",
            30 + version % 3
        );
        if i == changed {
            text += &format!("    balance: {version}\n");
        }
    }
    text.into()
}

pub fn member(ix: usize, domains: usize, incarnation: u64) -> Member {
    let ip = Ipv4Addr::new(127, 1, (ix >> 8) as u8, ix as u8);
    Member {
        name: InstanceName::new(&format!("i{ix}")),
        domain: DomainName::new(&format!("d{}", ix % domains)),
        incarnation: Incarnation(incarnation),
        state: MemberState::Live,
        addresses: Addresses {
            packets: SocketAddrV4::new(ip, 1),
            questions: SocketAddrV4::new(ip, 2),
            control: SocketAddrV4::new(ip, 3),
        },
        version: Version(0),
        advertised: 0,
    }
}

fn start(me: &Member, seeds: Vec<SocketAddrV4>) -> Controller<VersionCheck> {
    Controller::new(ControlSettings { me: me.clone(), seeds }, VersionCheck)
}

impl Net {
    pub fn new(n: usize, domains: usize, seed: u64) -> Net {
        let seeds =
            vec![member(0, domains, 1).addresses.control, member(1, domains, 1).addresses.control];
        let nodes = (0..n).map(|ix| Node::new(member(ix, domains, 1), seeds.clone())).collect();
        Net {
            now: Millis(0),
            nodes,
            faults: Faults { delay: 3, ..Faults::default() },
            partitioned: BTreeSet::new(),
            platform: Some(text(1, 4)),
            list: Vec::new(),
            in_flight: BTreeMap::new(),
            count: 0,
            random: seed,
        }
    }

    pub fn random(&mut self, below: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.random ^ (self.random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (z ^ (z >> 27)) % below.max(1)
    }

    /// Replaces a node by a restarted one with an empty memory.
    pub fn restart(&mut self, ix: usize) {
        let seeds = self
            .nodes
            .iter()
            .map(|n| n.me.addresses.control)
            .filter(|a| *a != self.nodes[ix].me.addresses.control);
        let seeds = seeds.take(3).collect();
        let mut me = self.nodes[ix].me.clone();
        me.incarnation.0 += 1_000;
        self.nodes[ix] = Node::new(me, seeds);
    }

    /// Advances the virtual time by `span`.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Millis(1);
            self.deliver();
            for ix in 0..self.nodes.len() {
                if self.now.0 % TICK.0 == ix as u64 % TICK.0 {
                    self.tick(ix);
                }
            }
        }
    }

    fn tick(&mut self, ix: usize) {
        self.event(ix, Event::Tick);
        if self.now.0 % 1_000 == ix as u64 % TICK.0 && !self.list.is_empty() {
            self.event(ix, Event::PlatformList(self.list.clone()));
        }
        if self.nodes[ix].reading
            && self.now.0 % 500 == ix as u64 % TICK.0
            && let Some(text) = self.platform.clone()
        {
            self.nodes[ix].calls += 1;
            self.event(ix, Event::PlatformBundle(text));
        }
    }

    pub fn event(&mut self, ix: usize, event: Event) {
        let node = &mut self.nodes[ix];
        if !node.up || node.asleep {
            return;
        }
        let from = node.me.addresses.control;
        for action in node.controller.handle(self.now, event) {
            match action {
                Action::Send { to, message } => self.send_message(from, to, message),
                Action::Accepted(signed) => self.nodes[ix].accepted.push((self.now, signed)),
                Action::Members(members) => self.nodes[ix].members = members,
                Action::ReadPlatform(reading) => self.nodes[ix].reading = reading,
                Action::Ready => self.nodes[ix].ready = Some(self.now),
                Action::Slept { .. } => self.nodes[ix].slept += 1,
                _ => {}
            }
        }
    }

    fn send_message(&mut self, from: SocketAddrV4, to: SocketAddrV4, message: Message) {
        if let Some(node) = self.at(from) {
            let sent = &mut self.nodes[node].sent;
            sent.messages += 1;
            sent.bytes += message.size() as u64;
        }
        if self.random(100) < self.faults.lost {
            return;
        }
        let copies = if self.random(100) < self.faults.duplicated { 2 } else { 1 };
        for _ in 0..copies {
            let due = self.now.0 + 1 + self.random(self.faults.delay);
            self.count += 1;
            self.in_flight.insert((due, self.count), (from, to, message.clone()));
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now.0 {
                return;
            }
            let (from, to, message) = entry.remove();
            if let (Some(a), Some(b)) = (self.at(from), self.at(to))
                && self.partitioned.contains(&self.nodes[a].me.domain)
                    == self.partitioned.contains(&self.nodes[b].me.domain)
            {
                self.event(b, Event::Peer(message));
            }
        }
    }

    fn at(&self, addr: SocketAddrV4) -> Option<usize> {
        let ip = addr.ip().octets();
        let ix = usize::from(ip[2]) << 8 | usize::from(ip[3]);
        (ix < self.nodes.len()).then_some(ix)
    }

    /// Whether all running nodes have this text in force.
    pub fn all_have(&self, text: &str) -> bool {
        let up = self.nodes.iter().filter(|n| n.up);
        up.into_iter().all(|n| n.controller.current().is_some_and(|t| &*t.text == text))
    }

    /// Whether no node ever reverted to an older bundle.
    pub fn never_reverted(&self) -> bool {
        self.nodes.iter().all(|n| n.accepted.windows(2).all(|w| w[0].1.order() < w[1].1.order()))
    }

    /// The belief of `watcher` about `ix`.
    pub fn belief(&self, watcher: usize, ix: usize) -> Option<&Member> {
        self.nodes[watcher].members.iter().find(|m| m.name == self.nodes[ix].me.name)
    }

    /// Whether all running nodes see each other as live.
    pub fn all_live(&self) -> bool {
        let up: Vec<usize> = (0..self.nodes.len()).filter(|ix| self.nodes[*ix].up).collect();
        let live =
            |a: usize, b: usize| self.belief(a, b).is_some_and(|m| m.state == MemberState::Live);
        up.iter().all(|a| up.iter().all(|b| live(*a, *b)))
    }
}

impl Node {
    /// The node's entry in the platform's list.
    pub fn candidate(&self) -> Candidate {
        Candidate {
            name: self.me.name.clone(),
            domain: self.me.domain.clone(),
            control: self.me.addresses.control,
            leaving: false,
        }
    }

    fn new(me: Member, seeds: Vec<SocketAddrV4>) -> Node {
        Node {
            controller: start(&me, seeds),
            me,
            up: true,
            asleep: false,
            reading: false,
            ready: None,
            accepted: Vec::new(),
            members: Vec::new(),
            slept: 0,
            calls: 0,
            sent: Traffic::default(),
        }
    }
}
