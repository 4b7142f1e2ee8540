//! The neighbours of an instance: the bounded number of members to which it
//! sends heartbeats.
//!
//! If all sent to all, the control traffic of an instance would grow with the
//! fleet. If the neighbours were drawn at random alone, some member would have
//! no watcher, and its death would go unnoticed. So successors in two
//! rings come first, which give every member a watcher. The rest is chosen by
//! rendezvous hash, which keeps the paths short.

use super::{
    Member,
    rank::{rank, top},
};
use crate::ids::InstanceName;

/// Number of neighbours. A heartbeat and its answer are two calls of some 300
/// bytes, so each neighbour costs 0.6 KB/s of a node's 8 KB/s. Four leave half
/// of it for bundle, plans and adverts, and reach a thousand members in five
/// hops.
pub const NEIGHBOURS: usize = 4;
/// Successors in the ring of the own failure domain. With two, a member that
/// dies together with one watcher still has another.
const RING_NEAR: usize = 2;
/// Successors in the ring of all other failure domains.
const RING_FAR: usize = 1;

/// Chooses the members among `others` to which `me` sends heartbeats.
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
