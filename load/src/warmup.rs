//! Who may open flows at a target that is slow after its start.
//!
//! Answers the pattern that most targets of a service are slow at once: all were released, a
//! failure domain is taken back, power has returned. Each of them bears only so many requests
//! a second until it is warm, from all instances together, and no instance sees what the
//! others open there. A part of the bound for each instance doesn't help: the bound is a few
//! a second and there are hundreds of instances. Without any of it, slow targets get nothing,
//! and where all are slow every caller is refused until the first is warm.
//!
//! So each slow target has one owner among the instances of its failure domain. One reader of
//! the domain gives each instance a [`Seat`]; the seat tells by itself which targets are
//! owned. Instances may disagree on seats for a moment, when some come or go or two readers
//! take themselves for the first. [`MAX_OWNERS`] of them may own one target at the same time and
//! the bound holds; the tests of the fleet play what brings more than one about.

use crate::random::mix;
use medlarspur_lib::time::Millis;
use serde::{Deserialize, Serialize};

/// How many instances may take themselves for the owner of one target.
pub const MAX_OWNERS: u32 = 3;
/// What an owner opens of what its target bears: one in so many. The users' bound is half as
/// much again as a target bears and five, so that three owners with a half each stay below it,
/// and one more each for where a second begins.
const SHARE_DIVISOR: u64 = 2;

/// The position of an instance among those of its failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    /// Its position, from 0.
    pub position: u32,
    /// How many there are.
    pub count: u32,
}

impl Seat {
    /// Whether it owns a target of its failure domain, by the target's number.
    pub fn owns(self, target: u64) -> bool {
        mix(target) % u64::from(self.count.max(1)) == u64::from(self.position)
    }
}

/// How long an owner waits between two openings at a slow target that bears `rate` requests
/// a second.
pub fn opening_interval(rate: u32) -> Millis {
    Millis((SHARE_DIVISOR * 1_000).div_ceil(u64::from(rate.max(1))))
}
