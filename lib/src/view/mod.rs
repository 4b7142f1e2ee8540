//! The view: all that the packet path needs to know, as one immutable value.
//!
//! The control thread gathers changes in a [`Draft`] and publishes the next
//! view whole, so the packet thread never sees half a change.
//!
//! A bucket moves in two steps. It first becomes *pending*: everybody learns
//! that it is about to move, and asks before acting on a flow of it that it
//! does not know, but new flows still go to the old owner. Only when all live
//! instances have learnt that, or [`PENDING_LIMIT`] has passed, do new flows go
//! to the new owner. With one step, a flow opened at the new owner by an
//! instance that is ahead would have its next packet sent to the old owner by
//! one that is behind, and the old owner would reset it. See
//! `docs/design/moves.md`.

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
    packet::Hasher,
    time::Millis,
};
use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

/// How long a move waits at most for instances that have not confirmed it. A
/// leaving target must get no new work within two seconds, and news takes a
/// few hundred milliseconds to spread.
pub const PENDING_LIMIT: Millis = Millis(1_200);

/// How long a new instance serves nothing after its first bundle: a move may be
/// pending for [`PENDING_LIMIT`], and the heartbeat that shows its history to
/// differ comes within a second.
pub const PUBLISH_DELAY: Millis = Millis(2_500);

/// How long after a move all members, and not only the keepers, are asked
/// about an unknown flow: covers a handshake in flight and the time that the
/// exceptions take to reach their keepers under the control budget.
pub const SETTLE_TIME: Millis = Millis::secs(10);

/// How long an instance may be gone before it is missed: some heartbeats and
/// the time for refuting a suspicion. A bucket that moved meanwhile was another
/// target's when the instance opened its flows.
pub const DETECTION_TIME: Millis = Millis(12_000);

/// How many earlier owners a bucket remembers.
pub const HISTORY_DEPTH: usize = 8;

/// What the packet path knows, published as a whole.
#[derive(Debug, Clone)]
pub struct View {
    /// Grows by one with each view that an instance publishes.
    pub epoch: u64,
    /// The bundle in force.
    pub bundle: Arc<Bundle>,
    /// Hashes flows with the bundle's key.
    pub hasher: Hasher,
    /// Every target that was ever in a bundle here, by its local id.
    pub registry: Arc<Registry>,
    /// The services in the order of the bundle.
    pub services: Vec<Arc<ServiceView>>,
    /// All instances that are known, this one too.
    pub members: Arc<[Member]>,
    /// This instance.
    pub me: InstanceName,
    /// Whether this instance leaves.
    pub leaving: bool,
    /// The instances that have gone, the earliest first.
    pub departed: Vec<Departure>,
    ports: Arc<Ports>,
    keys: Arc<Map<ServiceKey, usize>>,
}

impl View {
    /// What this instance knows of earlier owners, a message a service.
    pub fn histories(&self, now: Millis) -> Vec<History> {
        self.services.iter().filter_map(|service| self.history(service, now)).collect()
    }

    fn history(&self, service: &ServiceView, now: Millis) -> Option<History> {
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

    /// A digest over the earlier owners that does not depend on the order in
    /// which they were learnt, so that peers can compare what they know.
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

/// That an instance has gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Departure {
    /// When this instance noticed it.
    pub noticed: Millis,
    /// Whether it can only be supposed, because this instance has just come:
    /// then it may have happened any time before.
    pub assumed: bool,
}

/// The port of a service: its position in the bundle and the class of its work.
type Ports = Map<(Ipv4Addr, u16, Protocol), (usize, Class)>;

impl View {
    /// The service at an address and port, looked up exactly: this alone keeps
    /// the traffic of one service from another's targets.
    #[inline]
    pub fn service_at(
        &self,
        address: SocketAddrV4,
        protocol: Protocol,
    ) -> Option<(&ServiceView, Class)> {
        let &(position, class) = self.ports.get(&(*address.ip(), address.port(), protocol))?;
        Some((self.services[position].as_ref(), class))
    }

    /// The service that a question names.
    pub fn service_by_key(&self, key: ServiceKey) -> Option<&ServiceView> {
        self.keys.get(&key).map(|&position| self.services[position].as_ref())
    }

    /// The position of each target's service in the bundle, by target id, for
    /// scans of all flows.
    pub fn service_positions(&self) -> Vec<Option<usize>> {
        let names: Map<_, _> =
            self.services.iter().enumerate().map(|(at, s)| (&s.spec.name, at)).collect();
        self.registry.iter().map(|entry| names.get(&entry.service).copied()).collect()
    }

    /// A service by its name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceView>> {
        self.services.iter().find(|service| &service.spec.name == name)
    }

    /// The other instances that can be asked.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|member| member.name != self.me && !matches!(member.state, MemberState::Dead))
    }

    /// When the first instance went of those that have gone not longer ago than
    /// a flow may be silent: flows may have been known only to that one.
    ///
    /// One may always have gone that is not missed yet.
    pub fn orphaned_since(&self, service: &ServiceView, now: Millis) -> Millis {
        let keepalive = service.spec.keepalive;
        match self.departed.iter().find(|d| now.since(d.noticed) < keepalive) {
            Some(departure) if departure.assumed => departure.noticed - keepalive,
            Some(departure) => departure.noticed - DETECTION_TIME,
            None => now - DETECTION_TIME,
        }
    }
}

/// One service on the packet path.
#[derive(Debug, Clone)]
pub struct ServiceView {
    /// What the bundle says of it.
    pub spec: Arc<Service>,
    /// Where each bucket stands.
    pub buckets: Vec<BucketView>,
    /// Who keeps its exceptions.
    pub keepers: Keepers,
    /// Its name in questions.
    pub key: ServiceKey,
    /// The bundle and plan by which its buckets last moved, alike on all
    /// instances: "I have told all" is said up to a stamp.
    pub stamp: Stamp,
    /// Counts the changes of its buckets on this instance. At 0 all are as they
    /// were dealt, which saves looking at them.
    pub revision: u64,
}

number! {
    /// Orders the states of a service's table: the bundle's version, then the
    /// plan's sequence.
    Stamp: u64,
}

/// How many of a stamp's bits count plans; a plan a minute fills them in two
/// years of one bundle version.
const PLAN_BITS: u32 = 20;

impl Stamp {
    /// The stamp of a bundle with a plan.
    pub fn new(version: Version, sequence: u64) -> Stamp {
        Stamp(version.0 << PLAN_BITS | sequence & ((1 << PLAN_BITS) - 1))
    }
}

impl ServiceView {
    /// Whether some bucket is about to move.
    pub fn is_pending(&self) -> bool {
        self.revision > 0 && self.buckets.iter().any(|state| state.pending().is_some())
    }

    /// Whether some bucket has an earlier owner or is about to move.
    pub fn may_have_exceptions(&self) -> bool {
        self.revision > 0 && self.buckets.iter().any(BucketView::may_have_exceptions)
    }

    /// The bucket of a flow.
    #[inline]
    pub fn bucket(&self, flow: crate::ids::FlowId) -> Bucket {
        Bucket((flow.0 as usize & (self.buckets.len() - 1)) as u16)
    }

    /// Where a bucket stands.
    #[inline]
    pub fn state(&self, bucket: Bucket) -> &BucketView {
        &self.buckets[usize::from(bucket.0)]
    }
}
