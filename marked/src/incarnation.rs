//! Which start of which target is meant.
//!
//! A target may start again under the name that it had. The new process holds
//! none of the flows of the old one, may serve another service at another
//! address, and counts from zero. If both were one target here, a late entry of
//! the old process would bring back its state, and what was believed of the old
//! one (lost, slow after its start, leaving) would be held against the new one.
//! So a target is told by its name together with the moment of its start.

use medlarspur_lib::ids::TargetName;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::{fmt, hash::Hasher};

/// The keys of the hash; any fixed ones, the same on all instances. The hash need
/// not resist an attacker: whoever writes entries decides where flows go anyway.
const KEYS: (u64, u64) = (0x6d65_646c_6172_7370, 0x7572_7461_7267_6574);

/// When a target started by its own clock, in milliseconds since 1970; 0 where the
/// platform doesn't say. It only orders the starts of one target.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Start(pub u64);

/// One start of a target, as a number that packets' marks are keyed with. A target
/// that restarts, and another one that takes over its address, is a different
/// incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The number of a target's start, made from all of its name: two of 12,000
    /// have the same one once in 10^11 fleets, and the
    /// [`Catalog`](crate::Catalog) takes no target whose number is in use.
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
