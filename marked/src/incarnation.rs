//! Identity of one start of a target.
//!
//! A target may restart under the same name. The new process has none of the old one's flows, may
//! serve another service at another address, and counts its writes from zero. If both shared one
//! identity, a late entry of the old process would bring its state back, and what was known about
//! the old process (lost, in slow start, leaving) would be applied to the new one. A target is
//! therefore identified by its name and its start time.

use medlarspur_lib::ids::TargetName;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::{fmt, hash::Hasher};

/// Keys of the hash, which must be the same on all instances. The hash does not have to resist
/// attacks: anyone who can write entries already decides where flows go.
const KEYS: (u64, u64) = (0x6d65_646c_6172_7370, 0x7572_7461_7267_6574);

/// Start time of a target by its own clock, in milliseconds since 1970; 0 if the platform doesn't
/// provide it. It is only used to order the starts of one target.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Start(pub u64);

/// Identifies one start of a target; marks in packets are keyed with it. A target that restarts, or
/// another target that takes over its address, has a different incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Derives the incarnation from the whole name and the start time. Among 12,000 targets, two
    /// collide in one of 10^11 fleets, and the [`Catalog`](crate::Catalog) rejects a target whose
    /// incarnation is in use.
    pub fn new(name: &TargetName, start: Start) -> Incarnation {
        let mut hasher = SipHasher13::new_with_keys(KEYS.0, KEYS.1);
        hasher.write_u64(start.0);
        hasher.write(name.as_str().as_bytes());
        Incarnation(hasher.finish())
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}
