//! The mark in a flow's packets, which identifies their target.
//!
//! A mark has two parts. The upper [`INDEX_BITS`] bits are a hash of the target's incarnation
//! and select the few targets that may be meant. The lower bits are a hash of the flow's
//! addresses and ports, keyed by the incarnation. Thus all instances compute the same mark
//! without communicating, a mark that a caller copies to another flow is invalid there, and a
//! target is never mistaken for an earlier one with the same address.
//!
//! Only instances and targets know incarnations, so they can serve as keys. A guessed mark is
//! valid by chance once in four million (2^22) tries, multiplied by the number of targets that
//! share its index.

use crate::{FlowKey, Incarnation};
use siphasher::sip::SipHasher13;
use std::{
    hash::{Hash, Hasher},
    num::NonZeroU32,
};

/// Number of bits that select the candidate targets. With 5,600 targets and as many that left
/// recently, 1,024 indexes leave some eleven candidates to check.
const INDEX_BITS: u32 = 10;
/// Number of bits that verify the flow.
const CHECK_BITS: u32 = 32 - INDEX_BITS;
const CHECK_MASK: u32 = (1 << CHECK_BITS) - 1;
/// Separates the hash of the index from that of the check.
const INDEX_SALT: u64 = 0x6d61_726b;

/// A mark as carried in packets; never 0, which stands for no mark.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Mark(NonZeroU32);

impl Mark {
    /// Returns the mark of a flow at a target.
    pub fn new(incarnation: Incarnation, flow: &FlowKey) -> Mark {
        let index = u32::from(Index::of(incarnation).0) << CHECK_BITS;
        let check = check(incarnation, flow) & CHECK_MASK;
        // Exactly one combination would be 0. It shares the value of its neighbour, which
        // weakens the check by a 2^-22 part.
        Mark(NonZeroU32::new(index | check).unwrap_or(NonZeroU32::MIN))
    }

    /// Reads a mark from a packet; 0 means none.
    pub fn from_wire(value: u32) -> Option<Mark> {
        NonZeroU32::new(value).map(Mark)
    }

    /// The value carried in packets.
    pub fn to_wire(self) -> u32 {
        self.0.get()
    }

    /// The index that selects the targets that may be meant.
    pub(crate) fn index(self) -> Index {
        Index((self.0.get() >> CHECK_BITS) as u16)
    }

    /// Whether this is the mark of the flow at the target.
    pub fn matches(self, incarnation: Incarnation, flow: &FlowKey) -> bool {
        self == Mark::new(incarnation, flow)
    }
}

/// The part of a mark that depends only on the target.
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
