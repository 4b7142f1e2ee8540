//! Who reads the platform: a few instances of each failure domain.
//!
//! If all watched it, its two thousand calls a second would be spent on a
//! thousand nodes. The choice comes from the live list, so the readers follow
//! deaths without a word between them; while views differ there may be one
//! more or one less for some seconds, which costs a few calls.

use crate::members::{Member, is_top};

/// Readers in each failure domain: two, so that one may die unnoticed.
pub const READERS_PER_DOMAIN: usize = 2;

/// Whether `me` is among the readers of its failure domain.
pub fn is_reader<'a>(me: &Member, members: impl Iterator<Item = &'a Member>) -> bool {
    let near = members.filter(|m| m.domain == me.domain && m.is_eligible());
    is_top("platform", READERS_PER_DOMAIN, me.name.as_str(), near.map(|m| m.name.as_str()))
}
