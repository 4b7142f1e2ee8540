//! Many flows before a [`Fleet`], at the level of packets: each flow knows the
//! target of its first packet, and one that reaches another target is broken,
//! because that target answers with a reset.

use crate::fleet::Fleet;
use medlarspur_lib::{collections::Map, packet::FlowKey, time::Millis};
use std::net::{Ipv4Addr, SocketAddrV4};

/// The address of the first caller, 10.0.0.0.
const FIRST_CALLER: u32 = 0x0a00_0000;

/// How long a caller waits for the answer to its first packet.
const RETRANSMIT: Millis = Millis(1_000);

/// How the fabric spreads packets over the instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distribution {
    /// Each packet to any instance.
    PerPacket,
    /// Each flow to one instance, while the list stays as it is.
    PerFlow,
}

/// A packet's part in a TCP connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SegmentKind {
    /// The first.
    Open,
    /// One of those after.
    Continue,
    /// The last.
    Close,
}

/// One flow of a caller.
#[derive(Debug, Clone)]
pub struct Flow {
    /// Its five-tuple.
    pub key: FlowKey,
    /// The target that got its first packet.
    pub target: Option<SocketAddrV4>,
    /// When it was opened.
    pub opened: Millis,
    /// Whether a packet of it reached another target.
    pub broken: bool,
    /// What happened to it, for finding a cause.
    pub trace: Vec<Step>,
}

/// One event of a flow.
#[derive(Debug, Clone)]
pub enum Step {
    /// A packet was handed to an instance.
    Sent(Millis, SegmentKind, usize),
    /// A packet came to a target.
    Reached(Millis, SocketAddrV4),
}

/// The flows and what became of them.
pub struct Traffic {
    /// All flows, by the order in which they were opened.
    pub flows: Vec<Flow>,
    distribution: Distribution,
    first: u32,
    instances: Vec<usize>,
    index: Map<FlowKey, usize>,
}

impl Traffic {
    /// No flow yet; the fabric sends to the instances in `instances`.
    pub fn new(distribution: Distribution, instances: Vec<usize>) -> Traffic {
        Traffic {
            flows: Vec::new(),
            distribution,
            first: FIRST_CALLER,
            instances,
            index: Map::default(),
        }
    }

    /// Calls from other addresses than the traffic of another number.
    pub fn with_subnet(mut self, number: u32) -> Traffic {
        self.first += number << 16;
        self
    }

    /// The instances that the fabric sends to from now on.
    pub fn set_instances(&mut self, instances: Vec<usize>) {
        self.instances = instances;
    }

    /// Opens a flow to `service`: its first packet and, right after the
    /// handshake, its second.
    pub fn open(&mut self, fleet: &mut Fleet, service: SocketAddrV4) -> usize {
        let number = self.flows.len() as u32;
        let ip = Ipv4Addr::from(self.first + number / 20_000);
        let caller = SocketAddrV4::new(ip, 20_000 + (number % 20_000) as u16);
        let key = FlowKey { protocol: medlarspur_lib::bundle::Protocol::Tcp, caller, service };
        self.index.insert(key, self.flows.len());
        self.flows.push(Flow {
            key,
            target: None,
            opened: fleet.now,
            broken: false,
            trace: Vec::new(),
        });
        let ix = self.flows.len() - 1;
        self.send(fleet, ix, SegmentKind::Open);
        ix
    }

    /// Sends one packet of a flow through the fabric: its first one again as
    /// long as that has reached no target, but as a caller's TCP does it, not
    /// before [`RETRANSMIT`].
    pub fn send(&mut self, fleet: &mut Fleet, ix: usize, kind: SegmentKind) {
        let flow = &self.flows[ix];
        let kind = if flow.target.is_none() { SegmentKind::Open } else { kind };
        let last = flow.trace.iter().rev().find_map(|step| match step {
            Step::Sent(at, SegmentKind::Open, _) => Some(*at),
            _ => None,
        });
        if kind == SegmentKind::Open && last.is_some_and(|at| fleet.now.since(at) < RETRANSMIT) {
            return;
        }
        let packet = segment(&self.flows[ix].key, kind);
        // An instance that has no view yet drops the packet, and the caller's
        // TCP sends it again until it reaches one that has.
        let ready = |ix: &usize| fleet.nodes[*ix].forwarder.view().is_some();
        let instances: Vec<_> = self.instances.iter().copied().filter(ready).collect();
        let position = match self.distribution {
            Distribution::PerPacket => fleet.random(instances.len() as u64) as usize,
            Distribution::PerFlow => pick_instance(&self.flows[ix].key, &instances),
        };
        let instance = instances[position];
        self.flows[ix].trace.push(Step::Sent(fleet.now, kind, instance));
        fleet.receive(instance, &packet);
        self.record_arrivals(fleet);
    }

    /// Looks where packets have gone.
    pub fn record_arrivals(&mut self, fleet: &mut Fleet) {
        for (target, bytes) in std::mem::take(&mut fleet.packets) {
            let Ok(packet) = medlarspur_lib::packet::Packet::parse(&bytes) else { continue };
            let Some(&ix) = self.index.get(&packet.key()) else { continue };
            let flow = &mut self.flows[ix];
            flow.trace.push(Step::Reached(fleet.now, target));
            match flow.target {
                None => flow.target = Some(target),
                Some(first) => flow.broken |= first != target,
            }
        }
        fleet.answers.clear();
    }

    /// How many flows are broken. Prints the first of them.
    pub fn count_broken(&self) -> usize {
        let broken: Vec<_> = self.flows.iter().filter(|flow| flow.broken).collect();
        if let Some(first) = broken.first() {
            println!("{first:?}");
        }
        broken.len()
    }
}

/// The instance of a flow in a fabric that hashes flows: the best by rendezvous
/// hash, so that a change of the list moves few flows.
fn pick_instance(key: &FlowKey, instances: &[usize]) -> usize {
    let flow = u64::from(u32::from(*key.caller.ip())) << 16 | u64::from(key.caller.port());
    let score = |instance: usize| {
        let mixed = (flow ^ (instance as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15))
            .wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (mixed ^ mixed >> 31).wrapping_mul(0x94d0_49bb_1331_11eb)
    };
    (0..instances.len()).max_by_key(|&position| score(instances[position])).unwrap_or(0)
}

/// A bare TCP segment of a caller.
pub fn segment(key: &FlowKey, kind: SegmentKind) -> Vec<u8> {
    let mut bytes = vec![0; 40];
    bytes[0] = 0x45;
    bytes[3] = 40;
    bytes[8] = 64;
    bytes[9] = 6;
    bytes[12..16].copy_from_slice(&key.caller.ip().octets());
    bytes[16..20].copy_from_slice(&key.service.ip().octets());
    bytes[20..22].copy_from_slice(&key.caller.port().to_be_bytes());
    bytes[22..24].copy_from_slice(&key.service.port().to_be_bytes());
    bytes[32] = 0x50;
    bytes[33] = match kind {
        SegmentKind::Open => 0x02,
        SegmentKind::Continue => 0x10,
        SegmentKind::Close => 0x11,
    };
    bytes
}
