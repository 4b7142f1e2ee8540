//! Updates of targets and routes, which instances read from the platform and exchange with each
//! other.

use crate::{Incarnation, Start, delta::Delta};
use medlarspur_lib::{
    bundle::Class,
    ids::{DomainName, RegionName, ServiceName, TargetName, Version},
    time::Millis,
};
use medlarspur_load::priority::Priority;
use serde::{Deserialize, Serialize};
use std::{cmp::Ordering, fmt, net::SocketAddrV4};

/// Maximum number of slots that a target may claim. Today's targets have 2 or 3; a number above
/// this limit is a mistake and would draw all new flows to the target.
pub const MAX_SLOTS: u32 = 10_000;

/// Maximum number of eras that an update may be ahead of what is known. Each restore takes seconds
/// at least, so a larger step is a mistake or forged. Changes from the store could not supersede
/// items of such an era.
pub const MAX_ERA_LEAD: u32 = 64;

/// Position in the store's sequence of changes.
///
/// A store that is restored from a copy assigns the same counts again, in a later era
/// (`docs/design/eras.md`).
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Number of times that the store had been restored from a copy; 0 if it doesn't say.
    pub era: u32,
    /// Number of changes that the store had made.
    pub count: u64,
}

impl Revision {
    /// Creates the revision `count` of `era`.
    pub fn new(era: u32, count: u64) -> Revision {
        Revision { era, count }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(f, "{}", self.count),
            era => write!(f, "{era}.{}", self.count),
        }
    }
}

/// A target as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name under which every start of the target is listed.
    pub name: TargetName,
    /// Start time of this process.
    pub start: Start,
    /// Identity of this start: [`Incarnation::new`] of the name and the start time.
    pub incarnation: Incarnation,
    /// The service that the target provides.
    pub service: ServiceName,
    /// Address for packets (UDP) and health probes (TCP).
    pub address: SocketAddrV4,
    /// The target's failure domain.
    pub domain: DomainName,
    /// Number of requests that the target works on concurrently, from 1 to [`MAX_SLOTS`].
    pub slots: u32,
    /// Whether the target is about to end. Its flows continue; it gets no new ones.
    pub leaving: bool,
    /// Remaining time of the slow start when the entry was written.
    pub cold: Millis,
    /// Number of times that this start has written its entry. After a restore of the store, the
    /// entry with the larger number is the later one.
    pub writes: u64,
}

impl Target {
    /// Whether two entries are equal apart from the time at which they were written.
    pub(crate) fn has_same_content(&self, other: &Target) -> bool {
        let content = |it: &Target| Target { cold: Millis(0), writes: 0, ..it.clone() };
        content(self) == content(other)
    }
}

/// Assigns the new flows to an address and port to services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Address and port that callers connect to.
    pub address: SocketAddrV4,
    /// Class of the requests in these flows.
    pub class: Class,
    /// Priority of these flows, if operators set one.
    pub priority: Option<Priority>,
    /// Latency objective of the answers, if operators set one.
    pub objective: Option<Millis>,
    /// Services that share the new flows. The list is not empty, and the sum of the weights is
    /// positive.
    pub shares: Vec<Share>,
    /// Regions that the requests must not leave; empty if there is no restriction.
    pub regions: Vec<RegionName>,
}

/// Share of a service in the new flows of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// The config that operators published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Its version.
    pub version: Version,
    /// The routes.
    pub routes: Vec<Route>,
    /// Properties of services. Names are unique.
    pub services: Vec<Service>,
    /// Time that a flow may be idle before it may be dropped from memory.
    pub idle: Millis,
    /// Number of published routes that can't be served and are therefore left out of `routes`.
    pub omitted: u32,
}

/// Properties of a service, apart from its targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Path of the health endpoint.
    pub health: Box<str>,
    /// Limit of the load on targets in slow start, if operators set one.
    pub warmup: Option<Warmup>,
}

/// Limit of the load on a target in slow start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Warmup {
    /// Duration of the slow start.
    pub span: Millis,
    /// Maximum number of requests a second that the target gets from all instances together; never
    /// 0.
    pub rate: u32,
}

/// A target that is no longer listed, as its last entry described it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerTarget {
    /// The target.
    pub target: Target,
    /// Time since the target ceased to be listed.
    pub age: Millis,
}

/// Content of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// A new config.
    Config(Config),
    /// The difference from an earlier config. A receiver that has a different config can't apply it
    /// and has to request a snapshot.
    Delta(Delta),
    /// A listed target.
    Target(Target),
    /// The entry of this name was removed, whichever start it described.
    Removed(TargetName),
    /// The entry of this name no longer describes a usable target, because another writer changed
    /// it. Flows to the target that it described continue.
    Unusable(TargetName),
    /// A target that is no longer listed or has been replaced by a later start. Flows to it
    /// continue, so an instance that starts must know its mark.
    FormerTarget(FormerTarget),
    /// Operators evacuated a failure domain: its targets get no new flows.
    Evacuated(DomainName),
    /// Operators ended the evacuation of a failure domain.
    EvacuationEnded(DomainName),
}

/// A change of one item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The store's revision of the change.
    pub revision: Revision,
    /// The item after the change.
    pub content: Content,
}

/// Changes that an update covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// All changes since a revision.
    Incremental(Revision),
    /// All changes since a revision, except for items that ended before the sender's last full
    /// read. A receiver whose listing then has another digest has to request a snapshot.
    WithDigest {
        /// Revision up to which the receiver must know all changes.
        since: Revision,
        /// Digest of the sender's listing: targets, evacuated failure domains and the version of
        /// the config.
        digest: u64,
    },
    /// All targets and evacuated failure domains. Items that are not part of it no longer exist.
    Snapshot,
}

/// Changes from the store, either read there or received from another instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Revision of the sender up to which the update is complete.
    pub revision: Revision,
    /// Changes that the update covers.
    pub scope: Scope,
    /// The changes.
    pub changes: Vec<Change>,
    /// Changes by which the copy that the store was restored from contradicts what was known. They
    /// take effect after a delay that lets writers repeat what the copy lacks.
    pub unconfirmed: Vec<Change>,
}

impl Update {
    /// Creates an update without unconfirmed changes.
    pub fn new(revision: Revision, scope: Scope, changes: Vec<Change>) -> Update {
        Update { revision, scope, changes, unconfirmed: Vec::new() }
    }

    /// Whether the update can be split into parts that each state what they cover.
    pub(crate) fn is_divisible(&self) -> bool {
        matches!(self.scope, Scope::Incremental(_))
    }

    /// Whether all values are within their ranges. Values from the platform always are, but a
    /// message between instances may be damaged. A target without slots or a route without a
    /// service would panic the thread that forwards packets.
    pub fn is_valid(&self) -> bool {
        let is_subject = |change: &Change| Subject::of(&change.content).is_some();
        let all = self.changes.iter().chain(&self.unconfirmed);
        all.into_iter().all(|it| it.content.is_valid()) && self.unconfirmed.iter().all(is_subject)
    }
}

impl Content {
    fn is_valid(&self) -> bool {
        match self {
            Content::Config(config) => {
                let services = config.services.iter().all(Service::is_valid);
                services && config.routes.iter().all(Route::is_valid)
            }
            Content::Delta(delta) => delta.is_valid(),
            Content::Target(target) | Content::FormerTarget(FormerTarget { target, .. }) => {
                target.is_valid()
            }
            Content::Removed(_) | Content::Unusable(_) => true,
            Content::Evacuated(_) | Content::EvacuationEnded(_) => true,
        }
    }
}

/// The item that a change is about, unless it is a config.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum Subject {
    /// The entry of a target's name.
    Target(TargetName),
    /// The evacuation of a failure domain.
    Domain(DomainName),
}

impl Subject {
    /// Returns the subject of changes that can be unconfirmed, and `None` for others.
    pub(crate) fn of(content: &Content) -> Option<Subject> {
        match content {
            Content::Target(target) => Some(Subject::Target(target.name.clone())),
            Content::Removed(name) | Content::Unusable(name) => Some(Subject::Target(name.clone())),
            Content::Evacuated(domain) | Content::EvacuationEnded(domain) => {
                Some(Subject::Domain(domain.clone()))
            }
            Content::Config(_) | Content::Delta(_) | Content::FormerTarget(_) => None,
        }
    }
}

impl Target {
    fn is_valid(&self) -> bool {
        let is_named = self.incarnation == Incarnation::new(&self.name, self.start);
        is_named && (1..=MAX_SLOTS).contains(&self.slots)
    }
}

impl Service {
    pub(crate) fn is_valid(&self) -> bool {
        self.warmup.is_none_or(|it| it.rate > 0)
    }
}

impl Route {
    pub(crate) fn is_valid(&self) -> bool {
        self.shares.iter().any(|share| share.weight > 0)
    }

    /// Returns the service that gets the flow with the random number `draw`. Each service gets a
    /// part of all numbers in proportion to its weight.
    pub fn pick_service(&self, draw: u64) -> &ServiceName {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut rest = draw % total.max(1);
        for share in &self.shares {
            match rest.cmp(&u64::from(share.weight)) {
                Ordering::Less => return &share.service,
                _ => rest -= u64::from(share.weight),
            }
        }
        &self.shares[0].service
    }
}
