//! News of targets and routes: what instances read from the platform and tell
//! each other.

use crate::{Incarnation, Start, delta::Delta};
use medlarspur_lib::{
    bundle::Class,
    ids::{DomainName, RegionName, ServiceName, TargetName, Version},
    time::Millis,
};
use serde::{Deserialize, Serialize};
use std::{cmp::Ordering, fmt, net::SocketAddrV4};

/// The most slots that a target may claim. Those of today have 2 or 3; a number
/// beyond this is a mistake, and would draw all new flows to that target.
pub const MAX_SLOTS: u32 = 10_000;

/// How many eras the source may be ahead of what is known. Each restore takes seconds at least;
/// a larger step is a mistake or a lie, and would put what it names beyond the reach of the source.
pub const MAX_ERA_LEAD: u32 = 64;

/// The source's count of its changes, in the order in which it made them.
///
/// A source that comes back from a copy gives the same counts out again, in a later era
/// (`docs/design/eras.md`).
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// How often the source had come back from a copy; 0 if it doesn't say.
    pub era: u32,
    /// Its count of changes.
    pub count: u64,
}

impl Revision {
    /// A count of an era.
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

/// One target, as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The name under which all of its starts are listed.
    pub name: TargetName,
    /// When it started.
    pub start: Start,
    /// This start of it: [`Incarnation::new`] of the two above.
    pub incarnation: Incarnation,
    /// The service that it serves.
    pub service: ServiceName,
    /// Where it takes packets (UDP) and questions about its health (TCP).
    pub address: SocketAddrV4,
    /// Its failure domain.
    pub domain: DomainName,
    /// How many requests it works on at once; 1 to [`MAX_SLOTS`].
    pub slots: u32,
    /// Whether it is about to go: its flows go on, new ones go elsewhere.
    pub leaving: bool,
    /// How much longer it is slow after its start, counted from the moment
    /// when the entry was written.
    pub cold: Millis,
    /// How often it had written its entry since its start. Where the source has come back
    /// from a copy, the larger one of two entries is the later.
    pub writes: u64,
}

impl Target {
    /// Whether another entry says the same, but for when it was written.
    pub(crate) fn has_same_content(&self, other: &Target) -> bool {
        let at = |it: &Target| Target { cold: Millis(0), writes: 0, ..it.clone() };
        at(self) == at(other)
    }
}

/// Where new flows to an address and port go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The address and port that callers ask for.
    pub address: SocketAddrV4,
    /// The class of the requests inside.
    pub class: Class,
    /// Within which time they should be answered, if operators say so.
    pub objective: Option<Millis>,
    /// The services that new flows are split over; never empty, and the sum
    /// of the weights is positive.
    pub shares: Vec<Share>,
    /// The regions in which its requests must stay; empty if they may go anywhere.
    pub regions: Vec<RegionName>,
}

/// A service's part of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the shares of the route.
    pub weight: u32,
}

/// What operators have published, as one value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Its version.
    pub version: Version,
    /// All routes.
    pub routes: Vec<Route>,
    /// What is known of services besides their targets; no two have one name.
    pub services: Vec<Service>,
    /// How long a flow may be silent before it may be forgotten.
    pub idle: Millis,
    /// How many of the published routes can't be served and are not among these.
    pub omitted: u32,
}

/// A service apart from its targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// The path of its health endpoint.
    pub health: Box<str>,
    /// What its targets bear after their start, if operators bound it.
    pub warmup: Option<Warmup>,
}

/// What targets bear while they are slow after their start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Warmup {
    /// How long it takes.
    pub span: Millis,
    /// How many requests a second one of them bears meanwhile, from all instances
    /// together; never 0.
    pub rate: u32,
}

/// A target as it was listed last.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerTarget {
    /// The target.
    pub target: Target,
    /// For how long it has not been listed.
    pub age: Millis,
}

/// What has changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// The config.
    Config(Config),
    /// What makes the config of an earlier one. Who has another one than that
    /// lacks something and must ask.
    Delta(Delta),
    /// A target, present.
    Target(Target),
    /// The entry of that name was removed, whichever start of it was listed.
    Removed(TargetName),
    /// The entry of that name is there and names no target that could be used:
    /// another writer changed it. Flows at the target that it named go on.
    Unusable(TargetName),
    /// A target that is not listed any more, or has started again since. Flows at it go on, and
    /// whoever starts must know its mark.
    FormerTarget(FormerTarget),
    /// Operators want the targets of a failure domain to get no new flows.
    Evacuated(DomainName),
    /// They don't any more.
    EvacuationEnded(DomainName),
}

/// One item at its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// When the source changed it last.
    pub revision: Revision,
    /// What it is now.
    pub content: Content,
}

/// How much of the source a piece of news covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// All changes since a revision.
    Incremental(Revision),
    /// All changes since a revision, but for what ended before the teller read all anew.
    /// Whoever lists something else by then has to ask for all.
    WithDigest {
        /// What the receiver must know.
        since: Revision,
        /// A digest of the targets, the evacuated failure domains and the version of the config
        /// that the teller lists.
        digest: u64,
    },
    /// All targets and evacuated failure domains: one that is not there is not any more.
    Snapshot,
}

/// News from a source.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The source's count when it told this.
    pub revision: Revision,
    /// What it covers.
    pub scope: Scope,
    /// The items.
    pub changes: Vec<Change>,
    /// What the copy from which the source came back says against what was known. It holds once
    /// there was time to write again what the copy lacks.
    pub unconfirmed: Vec<Change>,
}

impl Update {
    /// News of which nothing is unconfirmed.
    pub fn new(revision: Revision, scope: Scope, changes: Vec<Change>) -> Update {
        Update { revision, scope, changes, unconfirmed: Vec::new() }
    }

    /// Whether parts of it say by themselves what they cover.
    pub(crate) fn is_divisible(&self) -> bool {
        matches!(self.scope, Scope::Incremental(_))
    }

    /// Whether all values are in their ranges. What comes from the platform is;
    /// a message between instances may be damaged, and one target with no slots or
    /// one route without a service would end the thread that forwards packets.
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

/// What a change is about, apart from configs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum Subject {
    /// The entries under a name.
    Target(TargetName),
    /// The evacuation of a failure domain.
    Domain(DomainName),
}

impl Subject {
    /// What may be unconfirmed; none for the rest.
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

    /// The shares in a fixed order, whose cumulative weights split new flows.
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
