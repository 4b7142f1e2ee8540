//! The flow table of one instance, with the target of each known flow.
//!
//! An entry takes 24 bytes with its key, so that the hundreds of thousands of
//! flows of an instance, and all those that it keeps for others, fit in a few
//! dozen megabytes. The key is the keyed 64-bit hash of the flow. Callers can't
//! choose it, so the map needs no hasher of its own.

use crate::{bundle::Class, ids::FlowId, time::Millis, view::TargetId};
use hashbrown::{HashMap, hash_map::Entry};
use std::hash::{BuildHasherDefault, Hasher};

/// Certainty of an instance about a flow's target. When two entries of a flow
/// are merged, the more certain one wins, in any order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Certainty {
    /// No instance knew the flow; it was sent to the bucket's earlier owner.
    Guessed,
    /// Another instance advertised the flow.
    Advertised,
    /// A packet of the flow was forwarded here, either while its bucket had one
    /// owner only or after peers were asked.
    Observed,
    /// The flow was opened here.
    Opened,
}

/// An entry of the flow table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Flow {
    /// The target of the flow.
    pub target: TargetId,
    /// The certainty of the target.
    pub certainty: Certainty,
    /// Whether the caller has closed its half or aborted the flow.
    pub closing: bool,
    /// Whether only the flow's first packet has passed here.
    pub fresh: bool,
    /// The flow's class.
    pub class: Class,
    /// Time at which a packet of the flow last passed here or an advert named
    /// it, in [`TICK`]s.
    last_seen: u32,
    /// Time at which the flow was first recorded here, in [`TICK`]s.
    first_seen: u32,
}

/// Resolution of the times of a flow, in milliseconds. At this resolution 32
/// bits last for 198 days, far longer than an instance.
const TICK: u64 = 4;

impl Flow {
    /// Creates an entry as of `now`.
    pub fn new(target: TargetId, certainty: Certainty, class: Class, now: Millis) -> Flow {
        let (closing, fresh) = (false, false);
        let last_seen = ticks(now);
        Flow { target, certainty, closing, fresh, class, last_seen, first_seen: last_seen }
    }

    /// Creates an entry of a flow that is opened here.
    pub fn admitted(target: TargetId, class: Class, now: Millis) -> Flow {
        let flow = Flow::new(target, Certainty::Opened, class, now);
        Flow { fresh: true, ..flow }
    }

    /// Time since the flow was first recorded, to a few milliseconds.
    pub fn age(&self, now: Millis) -> Millis {
        Millis(u64::from(ticks(now).saturating_sub(self.first_seen)) * TICK)
    }

    /// Time since the flow's last packet, to a few milliseconds.
    pub fn idle(&self, now: Millis) -> Millis {
        Millis(u64::from(ticks(now).saturating_sub(self.last_seen)) * TICK)
    }

    /// Records that a packet of the flow passes now.
    pub fn touch(&mut self, now: Millis) {
        self.last_seen = ticks(now);
    }
}

fn ticks(now: Millis) -> u32 {
    (now.0 / TICK) as u32
}

/// Uses a flow's id, which is a hash already, as its hash.
#[derive(Debug, Default)]
pub struct IdHasher(u64);

impl Hasher for IdHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(byte);
        }
    }

    fn write_u64(&mut self, id: u64) {
        self.0 = id;
    }
}

/// A map keyed by flow ids.
pub type FlowMap<V> = HashMap<FlowId, V, BuildHasherDefault<IdHasher>>;

/// The flow table of one instance.
#[derive(Debug, Default)]
pub struct Flows {
    map: FlowMap<Flow>,
}

impl Flows {
    /// Creates a table with space for this many flows, so that growing it
    /// doesn't stall packets.
    pub fn with_capacity(flows: usize) -> Flows {
        let map = FlowMap::with_capacity_and_hasher(flows, Default::default());
        Flows { map }
    }

    /// The number of known flows.
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Whether no flow is known.
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// Returns the entry of a flow.
    #[inline]
    pub fn get(&self, id: FlowId) -> Option<&Flow> {
        self.map.get(&id)
    }

    /// Returns the entry of a flow for changes.
    #[inline]
    pub fn get_mut(&mut self, id: FlowId) -> Option<&mut Flow> {
        self.map.get_mut(&id)
    }

    /// Records a flow. A more certain entry is never replaced by a less certain
    /// one.
    pub fn record(&mut self, id: FlowId, flow: Flow) {
        match self.map.entry(id) {
            Entry::Vacant(vacant) => {
                vacant.insert(flow);
            }
            Entry::Occupied(mut known) => {
                let known = known.get_mut();
                known.last_seen = known.last_seen.max(flow.last_seen);
                if flow.certainty > known.certainty {
                    *known =
                        Flow { last_seen: known.last_seen, first_seen: known.first_seen, ..flow };
                }
            }
        }
    }

    /// Removes a flow.
    pub fn remove(&mut self, id: FlowId) -> Option<Flow> {
        self.map.remove(&id)
    }

    /// All flows with their entries.
    pub fn iter(&self) -> impl Iterator<Item = (FlowId, &Flow)> {
        self.map.iter().map(|(id, flow)| (*id, flow))
    }

    /// Removes the flows for which `is_over` returns true. Returns their
    /// number.
    pub fn expire(&mut self, is_over: impl Fn(&Flow) -> bool) -> u64 {
        let before = self.map.len();
        self.map.retain(|_, flow| !is_over(flow));
        (before - self.map.len()) as u64
    }
}
