//! The subset of its failure domain's targets that an instance uses first.
//!
//! Handles hundreds of instances in front of thousands of targets, where each instance
//! opens a flow a second or fewer. An instance sees only its own work and has none at
//! nearly all targets, so each choice is random: some targets get five feeds while half
//! have none, and the feeds of a target wait for each other as long as they are open. The
//! busiest target has several times the mean work, the more so the larger the fleet is.
//!
//! The targets are therefore split among the instances by [`Seat`]: each has its own subset
//! and sees all the work there. It uses other targets only when its own have work, so no
//! caller waits while a target is idle.

use crate::{random::mix, warmup::Seat};
use std::ops::Range;

/// Number of layers into which the targets, ordered by number, are cut before each layer is
/// split, if there are enough for each instance to have one of each layer. The targets with
/// the lowest numbers are [reserved](crate::reserve) for requests. Each instance must have
/// as many of them as others, or its feeds would pile up at its few other targets.
const LAYERS: usize = 4;

/// Returns the targets of an instance. `targets` are the numbers of all targets of its
/// failure domain, in ascending order.
///
/// When a target comes or goes, few others change their instance. When an instance comes or
/// goes, targets move to its neighbours. With more instances than targets, several
/// instances share a target.
pub fn assigned_targets(seat: Seat, targets: &[u64]) -> Vec<u64> {
    let layers = if targets.len() / LAYERS >= seat.count as usize { LAYERS } else { 1 };
    let mut own = Vec::new();
    for nth in 0..layers {
        let layer_start = |nth: usize| nth * targets.len() / layers;
        let mut layer = targets[layer_start(nth)..layer_start(nth + 1)].to_vec();
        layer.sort_unstable_by_key(|target| mix(*target));
        own.extend(&layer[seat_range(rotated(seat, nth), layer.len())]);
    }
    own.sort_unstable();
    own
}

/// Returns the seat for a layer. Seats are rotated, so that they take turns at getting one
/// target more than others.
fn rotated(seat: Seat, layer: usize) -> Seat {
    let count = u64::from(seat.count.max(1));
    let position = (u64::from(seat.position) + count * layer as u64 / LAYERS as u64) % count;
    Seat { position: position as u32, ..seat }
}

/// Returns the range of `count` targets that belong to a seat.
fn seat_range(seat: Seat, count: usize) -> Range<usize> {
    let (seats, targets) = (u64::from(seat.count.max(1)), count as u64);
    let position = u64::from(seat.position).min(seats - 1);
    let start = position * targets / seats;
    let end = ((position + 1) * targets / seats).max(start + 1).min(targets);
    start as usize..end as usize
}
