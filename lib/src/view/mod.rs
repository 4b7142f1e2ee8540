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

mod draft;
mod registry;

pub use draft::Draft;
pub use registry::{Registry, ServiceKey, TargetEntry, TargetId, TargetKey};

use crate::{
    bundle::{Bundle, Class, Protocol, Service},
    collections::Map,
    ids::{Bucket, InstanceName, ServiceName, Version},
    keepers::Keepers,
    members::{Member, MemberState},
    message::History,
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

/// How long after a move all members, and not only the keepers, are asked
/// about an unknown flow: covers a handshake in flight and the time that the
/// exceptions take to reach their keepers under the control budget.
pub const SETTLE_TIME: Millis = Millis::secs(10);

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
    /// When an instance was last seen to leave or die.
    pub departed: Option<Millis>,
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
                let name = self.registry.get(earlier.target).name.clone();
                owners.push((Bucket(bucket as u16), name, now.since(earlier.since).0));
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
                for earlier in state.history() {
                    let key = self.registry.get(earlier.target).key.0;
                    digest ^= key.wrapping_add(bucket as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                }
            }
        }
        digest
    }
}

/// The port of a service: its position in the bundle and the class of its work.
type Ports = Map<(Ipv4Addr, u16, Protocol), (usize, Class)>;

impl View {
    /// The service at an address and port, looked up exactly: this alone keeps
    /// the traffic of one service from another's targets.
    #[inline]
    pub fn find(&self, address: SocketAddrV4, protocol: Protocol) -> Option<(&ServiceView, Class)> {
        let &(position, class) = self.ports.get(&(*address.ip(), address.port(), protocol))?;
        Some((self.services[position].as_ref(), class))
    }

    /// The service that a question names.
    pub fn keyed(&self, key: ServiceKey) -> Option<&ServiceView> {
        self.keys.get(&key).map(|&position| self.services[position].as_ref())
    }

    /// The position of each target's service in the bundle, by target id, for
    /// scans of all flows.
    pub fn positions(&self) -> Vec<Option<usize>> {
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

    /// Whether a flow may have been known only to an instance that is gone.
    pub fn has_orphans(&self, service: &ServiceView, now: Millis) -> bool {
        self.departed.is_some_and(|at| now.since(at) < service.spec.keepalive)
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
    pub fn in_doubt(&self) -> bool {
        self.revision > 0 && self.buckets.iter().any(BucketView::in_doubt)
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

/// Where one bucket stands.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BucketView {
    /// Gets its new flows; `None` while no target takes any.
    pub owner: Option<TargetId>,
    /// What hardly any bucket has. A large site has millions of buckets, and
    /// with room for this in each their table alone would take 205 MB.
    doubt: Option<Box<Doubt>>,
}

/// Why a flow of a bucket may go elsewhere than to its owner.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Doubt {
    pending: Option<Pending>,
    history: Vec<Earlier>,
}

/// A move that is known and not carried out yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pending {
    /// The owner to be.
    pub target: TargetId,
    /// Since when it is known here.
    pub since: Millis,
    /// The bundle that causes it. Instances say which bundle they have, so the
    /// move may be carried out early; of plans they don't say it.
    pub version: Option<Version>,
}

/// An earlier owner of a bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Earlier {
    /// The target.
    pub target: TargetId,
    /// When this instance saw it lose the bucket.
    pub since: Millis,
}

impl BucketView {
    /// A bucket that has always had this owner.
    pub fn settled(owner: Option<TargetId>) -> BucketView {
        BucketView { owner, ..BucketView::default() }
    }

    /// The move that is about to give its new flows to another target.
    pub fn pending(&self) -> Option<Pending> {
        self.doubt.as_ref()?.pending
    }

    /// Earlier owners that may hold flows, the latest last.
    pub fn history(&self) -> &[Earlier] {
        self.doubt.as_ref().map_or(&[], |doubt| &doubt.history)
    }

    /// Whether a flow that is not known here may go elsewhere than to the
    /// owner, so that others have to be asked.
    pub fn in_doubt(&self) -> bool {
        self.doubt.is_some()
    }

    fn set_pending(&mut self, pending: Option<Pending>) {
        if self.pending() != pending {
            self.edit(|doubt| doubt.pending = pending);
        }
    }

    /// Notes an earlier owner as the latest, once.
    fn remember(&mut self, earlier: Earlier) {
        self.edit(|doubt| {
            doubt.history.retain(|old| old.target != earlier.target);
            doubt.history.push(earlier);
            doubt.history.sort_by_key(|earlier| earlier.since);
            if doubt.history.len() > HISTORY_DEPTH {
                doubt.history.remove(0);
            }
        });
    }

    /// Changes the doubt and drops one that has become empty.
    fn edit(&mut self, change: impl FnOnce(&mut Doubt)) {
        let mut doubt = self.doubt.take().unwrap_or_default();
        change(&mut doubt);
        self.doubt = (*doubt != Doubt::default()).then_some(doubt);
    }

    /// Whether the move is so fresh that the keepers can't know all.
    pub fn is_settling(&self, now: Millis) -> bool {
        let fresh = |earlier: &Earlier| now.since(earlier.since) < SETTLE_TIME;
        self.pending().is_some() || self.history().last().is_some_and(fresh)
    }

    /// The target that most likely has a flow of which nobody can be asked:
    /// the one that had the bucket longest before the move.
    pub fn fallback(&self) -> Option<TargetId> {
        match self.pending() {
            Some(_) => self.owner,
            None => self.history().last().map(|earlier| earlier.target).or(self.owner),
        }
    }
}
