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

/// Successors in the ring of the own failure domain: two, so that a member
/// that dies together with its watcher still has one.
const RING_NEAR: usize = 2;
/// Ranked choices in the own failure domain.
const RANKED_NEAR: usize = 1;
/// Successors in the ring of the other failure domains.
const RING_FAR: usize = 1;
/// Ranked choices in other failure domains.
const RANKED_FAR: usize = 2;

/// The members among `others` that `me` watches, at most six.
pub fn neighbours<'a>(me: &Member, others: impl Iterator<Item = &'a Member>) -> Vec<InstanceName> {
    let (near, far): (Vec<&Member>, Vec<&Member>) =
        others.filter(|m| m.present()).partition(|m| m.domain == me.domain);
    let mut chosen = successors(me, &near, RING_NEAR);
    chosen.extend(successors(me, &far, RING_FAR));
    chosen.extend(ranked(me, &near, RANKED_NEAR, &chosen));
    chosen.extend(ranked(me, &far, RANKED_FAR, &chosen));
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

fn ranked(me: &Member, others: &[&Member], n: usize, chosen: &[InstanceName]) -> Vec<InstanceName> {
    let left = others.iter().filter(|m| !chosen.contains(&m.name));
    let names = left.map(|m| m.name.clone());
    top(me.name.as_str(), n, names, |name| name.as_str())
}
