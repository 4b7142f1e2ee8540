//! Whom an instance sends heartbeats: a bounded number of the members.
//!
//! If all sent to all, the control bytes of an instance would grow with the
//! fleet. If the few were drawn at random alone, some member would be watched
//! by nobody and its death would go unnoticed; so two rings come first, which
//! give everyone a watcher, and ranked choices keep the paths short.

use super::{
    Member,
    rank::{rank, top},
};
use crate::ids::InstanceName;

/// How many. A heartbeat and its answer are two calls of some 300 bytes, so
/// each neighbour costs 0.6 KB/s of a node's 8 KB/s; four leave half of it for
/// bundle, plan and adverts, and reach a thousand members in five hops.
pub const NEIGHBOURS: usize = 4;
/// Successors in the ring of the own failure domain: two, so that a member
/// that dies together with its watcher still has one.
const RING_NEAR: usize = 2;
/// Successors in the ring of the other failure domains.
const RING_FAR: usize = 1;

/// The members among `others` that `me` watches.
pub fn neighbours<'a>(me: &Member, others: impl Iterator<Item = &'a Member>) -> Vec<InstanceName> {
    let (near, far): (Vec<&Member>, Vec<&Member>) =
        others.filter(|m| m.is_present()).partition(|m| m.domain == me.domain);
    let mut chosen = successors(me, &near, RING_NEAR);
    chosen.extend(successors(me, &far, RING_FAR));
    let left = near.iter().chain(&far).map(|m| &m.name).filter(|name| !chosen.contains(name));
    let ranked = top(me.name.as_str(), NEIGHBOURS - chosen.len(), left, |name| name.as_str());
    let ranked: Vec<InstanceName> = ranked.into_iter().cloned().collect();
    chosen.extend(ranked);
    chosen
}

fn successors(me: &Member, others: &[&Member], n: usize) -> Vec<InstanceName> {
    let start = place(&me.name);
    let mut ahead: Vec<(u64, &InstanceName)> =
        others.iter().map(|m| (place(&m.name).wrapping_sub(start), &m.name)).collect();
    ahead.sort_unstable();
    ahead.into_iter().take(n).map(|(_, name)| name.clone()).collect()
}

fn place(name: &InstanceName) -> u64 {
    rank("ring", name.as_str())
}
