//! Choosing the target of a new flow by the work that is known to wait there.
//!
//! Answers these patterns: many short requests beside feeds that stay for
//! minutes; targets that have just started and are slow; a failure domain that
//! loses some of its targets; uploads whose bytes are dear to carry from one
//! failure domain to another.
//!
//! An instance sees the requests that pass through it, from the moment when
//! they are sent until their first answer comes back, and nothing of the others'.
//! With work of 30–70 ms, what others say of their load is old on arrival, so
//! only what is seen here counts. Without it, new flows would pile up at a slow
//! or cold target as readily as at an idle one, and callers there would wait
//! for each other.

use medlarspur_lib::bundle::Class;

/// What an open feed without a request under way adds to a target's load, in
/// requests. A feed asks about once a second for some 50 ms of work; twice that,
/// because a feed stays where it is when others come.
const IDLE_FEED_LOAD: f32 = 0.1;
/// How many times as long a target takes while it is slow after its start.
const COLD_FACTOR: f32 = 1.6;
/// What going to another failure domain costs a feed or request, in requests a
/// slot: less than one request at a target of three slots, so new flows leave
/// their domain as soon as each target there has one of this instance. When a
/// domain is cut off, the flows of others to it are late by the time it takes
/// to notice.
const OTHER_DOMAIN_COST: f32 = 0.35;
/// What it costs an upload. Its bytes are what is dear, and its work is short:
/// it leaves its failure domain only for a target that has two requests a slot less.
const OTHER_DOMAIN_COST_UPLOAD: f32 = 2.0;

/// What going to a target that is [kept](crate::reserve) for requests costs a feed, in
/// requests a slot: a little more than going to another failure domain.
const RESERVED_COST: f32 = 0.5;

/// What going to a target costs that other instances of the failure domain have, in requests a
/// slot: three idle feeds at a target of two slots, and less than one request, so that nobody
/// waits for one's own while another is idle.
const OUTSIDE_SUBSET_COST: f32 = 0.15;

/// How willingly a target is taken; earlier ones go before later ones, whatever
/// their load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// Nothing speaks against it.
    Good,
    /// It is not listed any more, but answered since: a lapsed entry.
    Unlisted,
    /// Something sent there got no answer lately.
    Doubtful,
}

/// A target that could take a flow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// How willingly it is taken.
    pub tier: Tier,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Requests sent there whose answers have not begun.
    pub in_flight: u32,
    /// Flows that are being opened there.
    pub opening: u32,
    /// Open feeds without a request under way.
    pub idle_feeds: u32,
    /// Whether it is slow after its start.
    pub cold: bool,
    /// Whether it is in this instance's failure domain.
    pub same_domain: bool,
    /// Whether feeds should leave it to requests.
    pub reserved: bool,
    /// Whether other instances of the failure domain [have](crate::subset) it, and this one
    /// others.
    pub outside_subset: bool,
}

impl Candidate {
    /// What the idle feeds there add to the load, in requests. Requests ignore them at targets
    /// that are kept for requests: of many instances each has few feeds, which say little of
    /// the queue, and those targets where it has none would get all its requests.
    fn idle_feed_load(&self, class: Class) -> f32 {
        match class {
            Class::Request if self.reserved => 0.0,
            _ => self.idle_feeds as f32 * IDLE_FEED_LOAD,
        }
    }

    /// The load a slot if one more flow came, in requests.
    fn cost(&self, class: Class) -> f32 {
        let work = self.in_flight as f32 + self.opening as f32 + self.idle_feed_load(class);
        let load = (work + 1.0) / self.slots.max(1) as f32;
        let load = if self.cold { load * COLD_FACTOR } else { load };
        let other_domain = match class {
            Class::Upload => OTHER_DOMAIN_COST_UPLOAD,
            Class::Feed | Class::Request => OTHER_DOMAIN_COST,
        };
        let reserved = if self.reserved && class == Class::Feed { RESERVED_COST } else { 0.0 };
        let other_domain = if self.same_domain { 0.0 } else { other_domain };
        let outside_subset = if self.outside_subset { OUTSIDE_SUBSET_COST } else { 0.0 };
        load + other_domain + reserved + outside_subset
    }

    /// Whether no target of the same size that others have can cost less.
    pub fn is_cheapest_possible(&self, class: Class) -> bool {
        let idle_cost = 1.0 / self.slots.max(1) as f32;
        self.tier == Tier::Good
            && !self.outside_subset
            && self.cost(class) <= idle_cost + OUTSIDE_SUBSET_COST
    }
}

/// The position of the candidate to take, if there is any. Among equals, `draw`
/// decides: instances that decide alike would otherwise all take the same one.
pub fn choose(candidates: &[Candidate], class: Class, draw: u64) -> Option<usize> {
    let tier = candidates.iter().map(|it| it.tier).min()?;
    let costs = candidates.iter().map(|it| (it.tier == tier).then(|| it.cost(class)));
    let costs: Vec<Option<f32>> = costs.collect();
    let least = costs.iter().flatten().copied().fold(f32::INFINITY, f32::min);
    let equals = costs.iter().enumerate().filter(|(_, cost)| **cost == Some(least));
    let count = equals.clone().count();
    let (position, _) = equals.clone().nth((draw % count.max(1) as u64) as usize)?;
    Some(position)
}
