//! Chooses the target of a new flow by the known work of each target.
//!
//! Handles these load patterns: many short requests beside feeds that stay open for
//! minutes; targets in slow start; a failure domain that loses some of its targets;
//! uploads, whose bytes are expensive to carry to another failure domain.
//!
//! An instance sees the requests that pass through it, from the opening to the first
//! answer, and none of the requests of other instances. Work takes 30–70 ms, so load
//! reports of other instances are out of date on arrival, and only locally seen work
//! counts. Without it, a slow or cold target would get as many new flows as an idle one,
//! and its callers would wait for each other.

use crate::priority::Level;
use medlarspur_lib::bundle::Class;

/// Load of an open feed without a request in flight, in requests. A feed sends about one
/// request a second of some 50 ms of work. The value is twice that, because a feed stays at
/// its target when others come.
const IDLE_FEED_LOAD: f32 = 0.1;
/// Factor by which the work of a target takes longer during its slow start.
const COLD_FACTOR: f32 = 1.6;
/// Cost of a target in another failure domain for feeds and requests, in requests per slot.
/// It is less than one request at a target of three slots, so new flows leave their domain
/// as soon as each target there has one request of this instance. When a domain is
/// partitioned, flows to it from other domains are late until the partition is noticed.
const OTHER_DOMAIN_COST: f32 = 0.35;
/// The same for uploads. Their bytes are expensive and their work is short, so an upload
/// leaves its failure domain only for a target with two requests per slot less.
const OTHER_DOMAIN_COST_UPLOAD: f32 = 2.0;

/// Cost of a target that is [reserved](crate::reserve) for higher levels, for a flow of the
/// lowest level, in requests per slot: a little more than another failure domain.
const RESERVED_COST: f32 = 0.5;

/// Cost of a target in the subset of another instance of the failure domain, in requests
/// per slot. It equals three idle feeds at a target of two slots and is less than one
/// request, so no caller waits for a target of the own subset while another is idle.
const OUTSIDE_SUBSET_COST: f32 = 0.15;

/// Preference of a target. An earlier tier always goes before a later one, whatever the
/// load. The log prints the variant names in lower case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// The target is listed and not suspected.
    Good,
    /// The target is no longer listed but has answered since then: its entry lapsed.
    Unlisted,
    /// A packet or probe sent to the target recently got no answer.
    Doubtful,
}

/// Properties of a new flow that determine its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Class of the requests in the flow.
    pub class: Class,
    /// Level of the flow.
    pub level: Level,
}

/// A target that could take a flow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Preference of the target.
    pub tier: Tier,
    /// Number of requests that the target works on at once.
    pub slots: u32,
    /// Requests sent to the target whose answers have not begun.
    pub in_flight: u32,
    /// Flows that are being opened there.
    pub opening: u32,
    /// Open feeds without a request in flight.
    pub idle_feeds: u32,
    /// Whether the target is in slow start.
    pub cold: bool,
    /// Whether the target is in this instance's failure domain.
    pub same_domain: bool,
    /// Whether flows of the lowest level should leave the target to higher levels.
    pub reserved: bool,
    /// Whether the target belongs to the [subset](crate::subset) of other instances of the
    /// failure domain and not to that of this instance.
    pub outside_subset: bool,
}

impl Candidate {
    /// Returns the load of the idle feeds, in requests. Levels above the lowest ignore feeds
    /// at reserved targets: each of many instances has few feeds, which say little about the
    /// queue there, and the targets without a feed of this instance would get all its flows
    /// of those levels.
    fn idle_feed_load(&self, level: Level) -> f32 {
        match self.reserved && level.is_elevated() {
            true => 0.0,
            false => self.idle_feeds as f32 * IDLE_FEED_LOAD,
        }
    }

    /// Returns the cost of one more flow, in requests per slot.
    fn cost(&self, Demand { class, level }: Demand) -> f32 {
        let work = self.in_flight as f32 + self.opening as f32 + self.idle_feed_load(level);
        let load = (work + 1.0) / self.slots.max(1) as f32;
        let load = if self.cold { load * COLD_FACTOR } else { load };
        let other_domain = match class {
            Class::Upload => OTHER_DOMAIN_COST_UPLOAD,
            Class::Feed | Class::Request => OTHER_DOMAIN_COST,
        };
        let reserved = if self.reserved && !level.is_elevated() { RESERVED_COST } else { 0.0 };
        let other_domain = if self.same_domain { 0.0 } else { other_domain };
        let outside_subset = if self.outside_subset { OUTSIDE_SUBSET_COST } else { 0.0 };
        load + other_domain + reserved + outside_subset
    }

    /// Returns whether no target of the same size outside the subset can cost less.
    pub fn is_cheapest_possible(&self, demand: Demand) -> bool {
        let idle_cost = 1.0 / self.slots.max(1) as f32;
        self.tier == Tier::Good
            && !self.outside_subset
            && self.cost(demand) <= idle_cost + OUTSIDE_SUBSET_COST
    }
}

/// Returns the position of the candidate to take, if there is one.
///
/// `draw` decides between candidates of equal cost. Without it, instances that decide alike
/// would all take the same target.
pub fn choose(candidates: &[Candidate], demand: Demand, draw: u64) -> Option<usize> {
    let tier = candidates.iter().map(|it| it.tier).min()?;
    let costs = candidates.iter().map(|it| (it.tier == tier).then(|| it.cost(demand)));
    let costs: Vec<Option<f32>> = costs.collect();
    let least = costs.iter().flatten().copied().fold(f32::INFINITY, f32::min);
    let equals = costs.iter().enumerate().filter(|(_, cost)| **cost == Some(least));
    let count = equals.clone().count();
    let (position, _) = equals.clone().nth((draw % count.max(1) as u64) as usize)?;
    Some(position)
}
