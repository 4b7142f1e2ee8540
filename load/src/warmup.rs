//! Decides which instances may open flows at a target in slow start.
//!
//! Most targets of a service may be in slow start at once: after all were replaced, after
//! the return of a failure domain, or after a power outage. Until a target is warm, it can take
//! only a limited number of requests a second from all instances together, and no instance
//! sees what the others open there. Dividing the bound among the instances does not help:
//! the bound is a few requests a second and there are hundreds of instances. Without any
//! rule, targets in slow start get nothing, and where all are in slow start every caller is
//! refused until the first is warm.
//!
//! Each target in slow start therefore has one owner among the instances of its failure
//! domain. One reader of the domain gives each instance a [`Seat`], and the seat alone
//! determines which targets the instance owns. Instances may briefly disagree on seats,
//! when some come or go or two readers each act as the first. Up to [`MAX_OWNERS`]
//! instances may own a target at the same time without exceeding the bound; the fleet
//! tests simulate the events that cause several owners.

use crate::random::mix;
use medlarspur_lib::time::Millis;
use serde::{Deserialize, Serialize};

/// Maximum number of instances that may act as owners of one target at the same time.
pub const MAX_OWNERS: u32 = 3;
/// Divisor of the target's rate for one owner. The allowed rate is one and a half times
/// what a target can take, plus five. Three owners with one half each stay below it, plus
/// one opening each at the start of a second.
const SHARE_DIVISOR: u64 = 2;

/// The position of an instance among the instances of its failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    /// The position, from 0.
    pub position: u32,
    /// The number of instances.
    pub count: u32,
}

impl Seat {
    /// Returns whether the instance owns a target of its failure domain, by the target's
    /// number.
    pub fn owns(self, target: u64) -> bool {
        mix(target) % u64::from(self.count.max(1)) == u64::from(self.position)
    }
}

/// Returns the interval between two openings of an owner at a target in slow start that
/// can take `rate` requests a second.
pub fn opening_interval(rate: u32) -> Millis {
    Millis((SHARE_DIVISOR * 1_000).div_ceil(u64::from(rate.max(1))))
}
