//! The order in which flows give way to each other when a service lacks capacity.
//!
//! Handles an excess of flows of one priority: without an order, each flow displaces any
//! other, and the callers that operators rank highest lose as often as the rest.
//!
//! The class of a route says what may be repeated. Its priority says who goes first; see
//! `docs/design/priority.md`.

use medlarspur_lib::{bundle::Class, time::Millis};
use serde::{Deserialize, Serialize};

/// Maximum number of levels of a service. It bounds the counts that are kept per level at
/// each target. Lower priorities share the last level.
pub const MAX_LEVELS: usize = 8;

/// Time for which a level counts as in use after a flow or an answer of it. Open feeds send
/// about one request a second, so a level with open feeds stays in use.
const USE_TIME: Millis = Millis::secs(60);

/// Priority of a route as operators configure it; 0 is the highest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Priority(pub u8);

/// Rank of a flow's priority among those of its service. The order is that of the ranks, so
/// the highest level is the least value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Level {
    rank: u8,
    is_elevated: bool,
}

impl Level {
    /// The highest level of a service with several levels.
    pub const HIGHEST: Level = Level::nth(0, 2);

    /// Returns the level with a rank among `count` levels; 0 is the highest.
    pub const fn nth(rank: u8, count: u8) -> Level {
        let count = if count < MAX_LEVELS as u8 { count } else { MAX_LEVELS as u8 };
        let lowest = count.saturating_sub(1);
        let rank = if rank < lowest { rank } else { lowest };
        Level { rank, is_elevated: rank < lowest }
    }

    /// Returns the rank, which is less than [`MAX_LEVELS`]; 0 is the highest.
    pub fn rank(self) -> usize {
        usize::from(self.rank)
    }

    /// Returns whether the level is above the lowest one of its service. Capacity is kept
    /// free for such levels.
    pub fn is_elevated(self) -> bool {
        self.is_elevated
    }
}

impl Default for Level {
    /// Returns the only level of a service.
    fn default() -> Level {
        Level::nth(0, 1)
    }
}

/// The levels of one service, derived from the routes that lead to it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Levels {
    /// The distinct priorities, the highest first.
    priorities: Vec<Priority>,
    /// Whether no route of the config has a priority, so that the class decides.
    by_class: bool,
    /// Whether all routes are of requests and share one level.
    only_requests: bool,
}

impl Levels {
    /// Returns the levels of a service whose routes have the given classes and priorities.
    /// `has_priorities` says whether any route of the config, also of another service, has
    /// a priority.
    pub fn new(
        routes: impl IntoIterator<Item = (Class, Option<Priority>)>,
        has_priorities: bool,
    ) -> Levels {
        let (mut priorities, mut only_requests) = (Vec::new(), true);
        for (class, priority) in routes {
            priorities.extend(if has_priorities { priority } else { Some(class_priority(class)) });
            only_requests &= class == Class::Request;
        }
        priorities.sort_unstable();
        priorities.dedup();
        only_requests &= priorities.len() == 1;
        Levels { priorities, by_class: !has_priorities, only_requests }
    }

    /// Returns the number of levels, which is at least 1.
    pub fn count(&self) -> usize {
        self.priorities.len().clamp(1, MAX_LEVELS)
    }

    /// Returns the level of flows of a class and priority. Flows without a priority have the
    /// lowest level, unless the class decides.
    ///
    /// Requests that have a service to themselves keep the treatment of the higher of two
    /// levels: the restrictions of the lowest level are for flows that stay open.
    pub fn level(&self, class: Class, priority: Option<Priority>) -> Level {
        if self.by_class || self.only_requests {
            return Level::nth(class_priority(class).0, 2);
        }
        let higher = |priority| self.priorities.partition_point(|it| *it < priority);
        let rank = priority.map_or(MAX_LEVELS, higher).min(MAX_LEVELS);
        Level::nth(rank as u8, self.count() as u8)
    }
}

/// The levels of one service that have had flows recently.
///
/// A config may have routes without traffic. If these counted, a route with a lower priority
/// than all others would elevate every level in use, and none would be restricted in an
/// overload; one with a higher priority would restrict requests that are alone at their
/// service.
#[derive(Debug, Default, Clone, Copy)]
pub struct LevelUse {
    /// Times of the last use of each rank, by requests and by other flows.
    used_at: [[Option<Millis>; 2]; MAX_LEVELS],
    /// Rank of the lowest level in use.
    lowest: Option<u8>,
    /// Whether only requests of that level are in use.
    only_requests: bool,
}

impl LevelUse {
    /// Records a flow of a level and class, or an answer to it. Returns whether levels are to
    /// be [restricted](Self::restrict) in another way than before.
    pub fn record(&mut self, level: Level, class: Class, now: Millis) -> bool {
        self.used_at[level.rank()][usize::from(class != Class::Request)] = Some(now);
        let is_current = |at: Option<Millis>| at.is_some_and(|at| now.since(at) < USE_TIME);
        let in_use = self.used_at.map(|times| times.map(is_current));
        let is_used = |rank: &u8| in_use[usize::from(*rank)].contains(&true);
        let lowest = (0..MAX_LEVELS as u8).rev().find(is_used);
        let is_alone = (0..MAX_LEVELS as u8).filter(is_used).count() == 1;
        let only_requests = is_alone && in_use.iter().all(|[_, others]| !others);
        let is_changed = (lowest, only_requests) != (self.lowest, self.only_requests);
        (self.lowest, self.only_requests) = (lowest, only_requests);
        is_changed
    }

    /// Returns a level of the same rank that is elevated if it is above the lowest one in use,
    /// or if only requests of it are in use.
    pub fn restrict(&self, level: Level) -> Level {
        let Some(lowest) = self.lowest else { return level };
        let is_elevated = level.rank < lowest || self.only_requests && level.rank == lowest;
        Level { is_elevated, ..level }
    }
}

/// Returns the priority that a class stands for while no route has one.
fn class_priority(class: Class) -> Priority {
    Priority(u8::from(class != Class::Request))
}
