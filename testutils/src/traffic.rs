//! Simulated flows through a [`Fleet`], packet by packet. Each flow records the
//! target of its first packet. A flow with a packet at another target is broken,
//! because that target would answer with a reset.

use crate::fleet::Fleet;
use medlarspur_lib::{collections::Map, packet::FlowKey, time::Millis};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Address of the first caller, 10.0.0.0.
const FIRST_CALLER: u32 = 0x0a00_0000;

/// Time after which a caller sends its SYN again.
const RETRANSMIT: Millis = Millis(1_000);

/// Method by which the fabric distributes packets over the instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distribution {
    /// Each packet goes to a random instance.
    PerPacket,
    /// All packets of a flow go to one instance, until the list of instances changes.
    PerFlow,
}

/// Effect of a TCP segment on its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SegmentKind {
    /// A SYN, which opens the flow.
    Open,
    /// A segment within the flow.
    Continue,
    /// A FIN, which closes the flow.
    Close,
}

/// A flow of a caller.
#[derive(Debug, Clone)]
pub struct Flow {
    /// Its five-tuple.
    pub key: FlowKey,
    /// The target that received its first packet.
    pub target: Option<SocketAddrV4>,
    /// Time at which it was opened.
    pub opened: Millis,
    /// Whether one of its packets reached another target.
    pub broken: bool,
    /// Its events, to find the cause of a failure.
    pub trace: Vec<Step>,
}

/// An event of a flow.
#[derive(Debug, Clone)]
pub enum Step {
    /// A packet was sent to the instance at this index.
    Sent(Millis, SegmentKind, usize),
    /// A packet reached a target.
    Reached(Millis, SocketAddrV4),
}

/// Simulated flows and their events.
pub struct Traffic {
    /// All flows, in the order of opening.
    pub flows: Vec<Flow>,
    distribution: Distribution,
    first: u32,
    instances: Vec<usize>,
    index: Map<FlowKey, usize>,
}

impl Traffic {
    /// Creates traffic without flows. The fabric sends to the instances at the
    /// indices in `instances`.
    pub fn new(distribution: Distribution, instances: Vec<usize>) -> Traffic {
        Traffic {
            flows: Vec::new(),
            distribution,
            first: FIRST_CALLER,
            instances,
            index: Map::default(),
        }
    }

    /// Uses caller addresses that differ from those of traffic with another `number`.
    pub fn with_subnet(mut self, number: u32) -> Traffic {
        self.first += number << 16;
        self
    }

    /// Sets the indices of the instances that the fabric sends to from now on.
    pub fn set_instances(&mut self, instances: Vec<usize>) {
        self.instances = instances;
    }

    /// Opens a flow to `service` by sending its SYN, and returns its index.
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

    /// Sends a packet of a flow through the fabric. As long as its SYN has reached
    /// no target, this retransmits the SYN, but as TCP does, not before
    /// `RETRANSMIT` has passed.
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
        // An instance without a view drops packets, and TCP retransmits until one
        // reaches an instance with a view.
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

    /// Records which targets the forwarded packets have reached.
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

    /// Returns the number of broken flows, and prints the first of them.
    pub fn count_broken(&self) -> usize {
        let broken: Vec<_> = self.flows.iter().filter(|flow| flow.broken).collect();
        if let Some(first) = broken.first() {
            println!("{first:?}");
        }
        broken.len()
    }
}

/// Returns the position in `instances` of a flow's instance by rendezvous hashing,
/// with which a change of the list moves few flows.
fn pick_instance(key: &FlowKey, instances: &[usize]) -> usize {
    let flow = u64::from(u32::from(*key.caller.ip())) << 16 | u64::from(key.caller.port());
    let score = |instance: usize| {
        let mixed = (flow ^ (instance as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15))
            .wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (mixed ^ mixed >> 31).wrapping_mul(0x94d0_49bb_1331_11eb)
    };
    (0..instances.len()).max_by_key(|&position| score(instances[position])).unwrap_or(0)
}

/// Builds a TCP segment of a caller without options and data.
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
