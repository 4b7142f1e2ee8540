//! The choice of the instances that read the platform, a few per failure
//! domain.
//!
//! If all instances watched the platform, its limit of two thousand calls a
//! second would be spent on a thousand nodes. The readers are chosen from the
//! live members, so they follow deaths without communication. While views
//! differ there may be one reader more or less for some seconds, which costs a
//! few calls.

use crate::members::{Member, is_top};

/// Number of readers in each failure domain; with two, one may die without
/// effect.
pub const READERS_PER_DOMAIN: usize = 2;

/// Whether `me` is among the readers of its failure domain.
pub fn is_reader<'a>(me: &Member, members: impl Iterator<Item = &'a Member>) -> bool {
    let near = members.filter(|m| m.domain == me.domain && m.is_eligible());
    is_top("platform", READERS_PER_DOMAIN, me.name.as_str(), near.map(|m| m.name.as_str()))
}
