//! The flow table of one instance: which target each known flow goes to.
//!
//! An entry is 24 bytes with its key, so that the hundreds of thousands of
//! flows of an instance, and all that it keeps for others, fit in a few dozen
//! megabytes. The key is the keyed 64-bit hash, which callers can't aim, so the
//! map needs no hasher of its own.

use crate::{bundle::Class, ids::FlowId, time::Millis, view::TargetId};
use hashbrown::{HashMap, hash_map::Entry};
use std::hash::{BuildHasherDefault, Hasher};

/// How sure an instance is of a flow's target. More certainty wins when two
/// beliefs meet, whatever their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Certainty {
    /// Nobody could be asked; the bucket's earlier owner was taken.
    Guessed,
    /// Another instance said so.
    Advertised,
    /// A packet of it passed here while its bucket had one owner only, or
    /// after asking.
    Observed,
    /// Its first packet was sent from here.
    Opened,
}

/// What is known of one flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Flow {
    /// Where it goes.
    pub target: TargetId,
    /// How sure that is.
    pub certainty: Certainty,
    /// Whether the caller has closed its half or given up.
    pub closing: bool,
    /// Whether only its first packet has passed here.
    pub fresh: bool,
    /// The class of its work.
    pub class: Class,
    /// When a packet of it last passed here or it was told, in [`TICK`]s.
    seen: u32,
    /// When it was first noted here, in [`TICK`]s.
    first: u32,
}

/// The grain in which the last packet of a flow is noted, in milliseconds:
/// 32 bits of it last for 198 days, far longer than an instance.
const TICK: u64 = 4;

impl Flow {
    /// Notes a flow now.
    pub fn new(target: TargetId, certainty: Certainty, class: Class, now: Millis) -> Flow {
        let (closing, fresh) = (false, false);
        let seen = ticks(now);
        Flow { target, certainty, closing, fresh, class, seen, first: seen }
    }

    /// Notes a flow whose first packet is let in here now.
    pub fn admitted(target: TargetId, class: Class, now: Millis) -> Flow {
        let flow = Flow::new(target, Certainty::Opened, class, now);
        Flow { fresh: true, ..flow }
    }

    /// How long it is known here, to a few milliseconds.
    pub fn age(&self, now: Millis) -> Millis {
        Millis(u64::from(ticks(now).saturating_sub(self.first)) * TICK)
    }

    /// How long ago its last packet was, to a few milliseconds.
    pub fn idle(&self, now: Millis) -> Millis {
        Millis(u64::from(ticks(now).saturating_sub(self.seen)) * TICK)
    }

    /// Notes that a packet of it passes now.
    pub fn touch(&mut self, now: Millis) {
        self.seen = ticks(now);
    }
}

fn ticks(now: Millis) -> u32 {
    (now.0 / TICK) as u32
}

/// Takes the flow's id as its hash, which it is.
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

/// A map from a flow's id.
pub type FlowMap<V> = HashMap<FlowId, V, BuildHasherDefault<IdHasher>>;

/// All flows that an instance knows.
#[derive(Debug, Default)]
pub struct Flows {
    map: FlowMap<Flow>,
}

impl Flows {
    /// Makes room for this many flows, so that no growth stalls the packets.
    pub fn with_capacity(flows: usize) -> Flows {
        let map = FlowMap::with_capacity_and_hasher(flows, Default::default());
        Flows { map }
    }

    /// How many flows are known.
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// What is known of a flow.
    #[inline]
    pub fn get(&self, id: FlowId) -> Option<&Flow> {
        self.map.get(&id)
    }

    /// What is known of a flow, to be changed.
    #[inline]
    pub fn get_mut(&mut self, id: FlowId) -> Option<&mut Flow> {
        self.map.get_mut(&id)
    }

    /// Notes a flow. A surer belief is never replaced by a weaker one.
    pub fn record(&mut self, id: FlowId, flow: Flow) {
        match self.map.entry(id) {
            Entry::Vacant(vacant) => {
                vacant.insert(flow);
            }
            Entry::Occupied(mut known) => {
                let known = known.get_mut();
                known.seen = known.seen.max(flow.seen);
                if flow.certainty > known.certainty {
                    *known = Flow { seen: known.seen, first: known.first, ..flow };
                }
            }
        }
    }

    /// Forgets a flow.
    pub fn remove(&mut self, id: FlowId) -> Option<Flow> {
        self.map.remove(&id)
    }

    /// All flows, for scans and listings.
    pub fn iter(&self) -> impl Iterator<Item = (FlowId, &Flow)> {
        self.map.iter().map(|(id, flow)| (*id, flow))
    }

    /// Forgets the flows for which `is_over` says so and counts them.
    pub fn expire(&mut self, is_over: impl Fn(&Flow) -> bool) -> u64 {
        let before = self.map.len();
        self.map.retain(|_, flow| !is_over(flow));
        (before - self.map.len()) as u64
    }
}
