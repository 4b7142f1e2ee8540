//! The view: the state that the packet path needs, as one immutable value.
//!
//! The control thread collects changes in a [`Draft`] and publishes the next
//! view as a whole, so the packet thread never sees a partial change.
//!
//! A bucket moves in two steps. It first becomes *pending*: instances learn
//! that it is about to move and ask peers about its flows that they don't know,
//! but new flows still go to the old owner. Once all live instances have
//! learned that, or [`PENDING_LIMIT`] has passed, new flows go to the new
//! owner. With a single step, an instance that is ahead would open a flow at
//! the new owner, one that is behind would send the next packet of the flow to
//! the old owner, and the old owner would reset it. See `docs/design/moves.md`.

mod bucket;
mod draft;
mod registry;

pub use bucket::{BucketView, EarlierOwner, PendingMove};
pub use draft::Draft;
pub use registry::{Registry, ServiceKey, TargetEntry, TargetId, TargetKey};

use crate::{
    bundle::{Bundle, Class, Protocol, Service},
    collections::Map,
    ids::{Bucket, InstanceName, ServiceName, Version},
    keepers::Keepers,
    members::{Member, MemberState},
    message::{History, HistoryEntry},
    packet::FlowHasher,
    time::Millis,
};
use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

/// Maximum time that a move waits for instances that have not confirmed it. A
/// leaving target must get no new work after two seconds, and an update takes a
/// few hundred milliseconds to reach all instances.
pub const PENDING_LIMIT: Millis = Millis(1_200);

/// Time after its first bundle in which a new instance serves nothing. A move
/// may be pending for [`PENDING_LIMIT`], and the heartbeat that shows that its
/// history differs arrives within a second.
pub const PUBLISH_DELAY: Millis = Millis(2_500);

/// Time after a move in which all members, and not only the keepers, are asked
/// about an unknown flow. It covers a handshake in flight and the time that
/// exceptions take to reach their keepers within the budget for control
/// traffic.
pub const SETTLE_TIME: Millis = Millis::secs(10);

/// Maximum time until the departure of an instance is noticed: some heartbeats
/// and the time to refute a suspicion. A bucket that moved in that time
/// belonged to another target when the instance opened its flows.
pub const DETECTION_TIME: Millis = Millis(12_000);

/// Maximum number of earlier owners kept per bucket.
pub const HISTORY_DEPTH: usize = 8;

/// The state of the packet path, published as a whole.
#[derive(Debug, Clone)]
pub struct View {
    /// Incremented with each view that an instance publishes.
    pub epoch: u64,
    /// The bundle in force.
    pub bundle: Arc<Bundle>,
    /// Hashes flows with the bundle's seed.
    pub hasher: FlowHasher,
    /// Every target that was ever in a bundle here, by its local id.
    pub registry: Arc<Registry>,
    /// The services, in the order of the bundle.
    pub services: Vec<Arc<ServiceView>>,
    /// All known instances, this one included.
    pub members: Arc<[Member]>,
    /// The name of this instance.
    pub me: InstanceName,
    /// Whether this instance leaves.
    pub leaving: bool,
    /// The departures of instances, the earliest first.
    pub departed: Vec<Departure>,
    ports: Arc<Ports>,
    keys: Arc<Map<ServiceKey, usize>>,
}

impl View {
    /// The earlier owners known to this instance, as one message per service.
    pub fn histories(&self, now: Millis) -> Vec<History> {
        self.services.iter().filter_map(|service| self.service_history(service, now)).collect()
    }

    fn service_history(&self, service: &ServiceView, now: Millis) -> Option<History> {
        if service.revision == 0 {
            return None;
        }
        let mut owners = Vec::new();
        for (bucket, state) in service.buckets.iter().enumerate() {
            for earlier in state.history() {
                owners.push(HistoryEntry {
                    bucket: Bucket(bucket as u16),
                    target: self.registry.get(earlier.target).name.clone(),
                    age: now.since(earlier.since).0,
                    owned: earlier.owned,
                });
            }
        }
        (!owners.is_empty()).then(|| History { service: service.spec.name.clone(), owners })
    }

    /// A digest over the earlier owners. It does not depend on the order in
    /// which they were learned, so peers can compare their histories.
    pub fn history_digest(&self) -> u64 {
        let mut digest = 0;
        for service in self.services.iter().filter(|service| service.revision > 0) {
            for (bucket, state) in service.buckets.iter().enumerate() {
                for earlier in state.distinct_owners() {
                    let key = self.registry.get(earlier.target).key.0;
                    digest ^= key.wrapping_add(bucket as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                }
            }
        }
        digest
    }
}

/// The departure of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Departure {
    /// The time at which this instance noticed it.
    pub noticed: Millis,
    /// Whether the departure is only assumed, because this instance has just
    /// started: an instance may have gone at any time before.
    pub assumed: bool,
}

/// The position in the bundle of the service that has a port, and the port's
/// class.
type Ports = Map<(Ipv4Addr, u16, Protocol), (usize, Class)>;

impl View {
    /// Returns the service at an address and port. Only an exact match counts,
    /// which keeps the traffic of one service from the targets of another.
    #[inline]
    pub fn service_at(
        &self,
        address: SocketAddrV4,
        protocol: Protocol,
    ) -> Option<(&ServiceView, Class)> {
        let &(position, class) = self.ports.get(&(*address.ip(), address.port(), protocol))?;
        Some((self.services[position].as_ref(), class))
    }

    /// Returns the service that a question names.
    pub fn service_by_key(&self, key: ServiceKey) -> Option<&ServiceView> {
        self.keys.get(&key).map(|&position| self.services[position].as_ref())
    }

    /// The position in the bundle of each target's service, by target id, for
    /// scans of all flows.
    pub fn service_positions(&self) -> Vec<Option<usize>> {
        let names: Map<_, _> =
            self.services.iter().enumerate().map(|(at, s)| (&s.spec.name, at)).collect();
        self.registry.iter().map(|entry| names.get(&entry.service).copied()).collect()
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceView>> {
        self.services.iter().find(|service| &service.spec.name == name)
    }

    /// The other instances that are not dead, which can be asked.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|member| member.name != self.me && !matches!(member.state, MemberState::Dead))
    }

    /// The time since which flows of the service may be orphans, known only to
    /// an instance that has gone: the first departure within the last keep-alive
    /// interval.
    ///
    /// An instance may always have gone without being missed yet, so the time is
    /// at least [`DETECTION_TIME`] ago.
    pub fn orphaned_since(&self, service: &ServiceView, now: Millis) -> Millis {
        let keepalive = service.spec.keepalive;
        match self.departed.iter().find(|d| now.since(d.noticed) < keepalive) {
            Some(departure) if departure.assumed => departure.noticed - keepalive,
            Some(departure) => departure.noticed - DETECTION_TIME,
            None => now - DETECTION_TIME,
        }
    }
}

/// The state of one service on the packet path.
#[derive(Debug, Clone)]
pub struct ServiceView {
    /// The service as defined in the bundle.
    pub spec: Arc<Service>,
    /// The state of each bucket.
    pub buckets: Vec<BucketView>,
    /// The keepers of its exceptions.
    pub keepers: Keepers,
    /// Its key in questions.
    pub key: ServiceKey,
    /// The bundle and plan by which its buckets last moved, equal on all
    /// instances. Adverts state the stamp up to which they are complete.
    pub stamp: Stamp,
    /// Counts the changes of its buckets on this instance. At 0 all buckets are
    /// as assigned, which saves looking at them.
    pub revision: u64,
}

number! {
    /// Orders the states of a service's buckets: the bundle's version, then the
    /// plan's sequence.
    Stamp: u64,
}

/// Number of bits of a stamp that hold the plan's sequence. With a plan a
/// minute they last for two years of one bundle version.
const PLAN_BITS: u32 = 20;

impl Stamp {
    /// The stamp of a bundle version with a plan's sequence.
    pub fn new(version: Version, sequence: u64) -> Stamp {
        Stamp(version.0 << PLAN_BITS | sequence & ((1 << PLAN_BITS) - 1))
    }
}

impl ServiceView {
    /// Whether some bucket is about to move.
    pub fn is_pending(&self) -> bool {
        self.revision > 0 && self.buckets.iter().any(|state| state.pending().is_some())
    }

    /// Whether some bucket may have exceptions, as it has an earlier owner or
    /// is about to move.
    pub fn may_have_exceptions(&self) -> bool {
        self.revision > 0 && self.buckets.iter().any(BucketView::may_have_exceptions)
    }

    /// The bucket of a flow.
    #[inline]
    pub fn bucket(&self, flow: crate::ids::FlowId) -> Bucket {
        Bucket((flow.0 as usize & (self.buckets.len() - 1)) as u16)
    }

    /// The state of a bucket.
    #[inline]
    pub fn state(&self, bucket: Bucket) -> &BucketView {
        &self.buckets[usize::from(bucket.0)]
    }
}
