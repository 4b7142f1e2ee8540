//! Which targets of its failure domain an instance gives new flows first.
//!
//! Answers the pattern that hundreds of instances stand before thousands of targets, and each
//! opens a flow a second or fewer. An instance sees only its own work, and at nearly all
//! targets it has none, so each choice is a draw: some targets get five feeds while half have
//! none, and their feeds wait for each other for as long as they are open. One notices that
//! the busiest target has several times the mean work, the more the larger the fleet is.
//!
//! So the targets are dealt out: every instance has a part of its own, by its [`Seat`], and
//! sees all the work that is there. It takes others only when its own have work, so that no
//! caller waits for a target that idles.

use crate::{random::mix, warmup::Seat};
use std::ops::Range;

/// Into how many layers targets are cut, by their numbers, before they are dealt, if there are
/// enough for each instance to have one of each layer. The first by number are
/// [kept](crate::reserve) for requests, so every instance must have as many of them as others,
/// or its feeds pile up at the few others that it has.
const LAYERS: usize = 4;

/// The targets that an instance has, of all of its failure domain, which are given by their
/// numbers in ascending order. When a target comes or goes, few others move; when an instance
/// does, targets move to its neighbours. Where there are more instances than targets, several
/// have the same one.
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

/// The seat in a layer. Seats take turns at getting one target more than others.
fn rotated(seat: Seat, layer: usize) -> Seat {
    let count = u64::from(seat.count.max(1));
    let position = (u64::from(seat.position) + count * layer as u64 / LAYERS as u64) % count;
    Seat { position: position as u32, ..seat }
}

/// Which of `count` targets an instance has.
fn seat_range(seat: Seat, count: usize) -> Range<usize> {
    let (seats, targets) = (u64::from(seat.count.max(1)), count as u64);
    let position = u64::from(seat.position).min(seats - 1);
    let start = position * targets / seats;
    let end = ((position + 1) * targets / seats).max(start + 1).min(targets);
    start as usize..end as usize
}
