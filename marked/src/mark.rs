//! The mark that a flow's packets carry: which target they belong to.
//!
//! A mark has two parts. The upper [`INDEX_BITS`] bits are a hash of the
//! target's incarnation and find the few targets that may be meant; the lower
//! ones are a hash of the flow's addresses and ports, keyed by the incarnation.
//! So every instance makes the same mark without asking another, a mark that a
//! caller copies to another flow doesn't hold there, and a target that takes
//! over the address of an earlier one is never taken for it.
//!
//! Incarnations are known to the instances and the targets only, which makes
//! them usable as keys. A guessed mark holds by chance once in four million
//! (2^22) times the number of targets that share its index.

use crate::{FlowKey, Incarnation};
use siphasher::sip::SipHasher13;
use std::{
    hash::{Hash, Hasher},
    num::NonZeroU32,
};

/// How many bits of a mark find the candidates. At 5,600 targets and as many
/// that went lately, 1,024 indexes leave some eleven candidates to check.
const INDEX_BITS: u32 = 10;
/// How many bits of a mark check the flow.
const CHECK_BITS: u32 = 32 - INDEX_BITS;
const CHECK_MASK: u32 = (1 << CHECK_BITS) - 1;
/// Tells the hash that makes the index from the one that makes the check.
const INDEX_SALT: u64 = 0x6d61_726b;

/// A mark as packets carry it; never 0, which stands for none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Mark(NonZeroU32);

impl Mark {
    /// The mark of a flow at a target.
    pub fn new(incarnation: Incarnation, flow: &FlowKey) -> Mark {
        let index = u32::from(Index::of(incarnation).0) << CHECK_BITS;
        let check = check(incarnation, flow) & CHECK_MASK;
        // Of all marks only one would be 0; it takes the place of its
        // neighbour, which costs a 2^-22 part of the check.
        Mark(NonZeroU32::new(index | check).unwrap_or(NonZeroU32::MIN))
    }

    /// Reads a mark from a packet; 0 is none.
    pub fn from_wire(value: u32) -> Option<Mark> {
        NonZeroU32::new(value).map(Mark)
    }

    /// The mark as packets carry it.
    pub fn to_wire(self) -> u32 {
        self.0.get()
    }

    /// Finds the targets that the mark may mean.
    pub(crate) fn index(self) -> Index {
        Index((self.0.get() >> CHECK_BITS) as u16)
    }

    /// Whether this is the mark of the flow at that target.
    pub fn matches(self, incarnation: Incarnation, flow: &FlowKey) -> bool {
        self == Mark::new(incarnation, flow)
    }
}

/// The part of a mark that depends on the target only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Index(u16);

impl Index {
    pub(crate) fn of(incarnation: Incarnation) -> Index {
        let mut hasher = SipHasher13::new_with_keys(incarnation.0, INDEX_SALT);
        INDEX_SALT.hash(&mut hasher);
        Index((hasher.finish() >> (64 - INDEX_BITS)) as u16)
    }
}

fn check(incarnation: Incarnation, flow: &FlowKey) -> u32 {
    let mut hasher = SipHasher13::new_with_keys(incarnation.0, !incarnation.0);
    u32::from(*flow.caller.ip()).hash(&mut hasher);
    u32::from(*flow.service.ip()).hash(&mut hasher);
    (u32::from(flow.caller.port()) << 16 | u32::from(flow.service.port())).hash(&mut hasher);
    (hasher.finish() >> 32) as u32
}
