//! The table: which target owns which bucket of a service.
//!
//! It is a pure function of the bundle, so that instances which never spoke
//! agree on it. Buckets are dealt by the Maglev method (Eisenbud et al., NSDI
//! 2016): each target has its own random order of the buckets and the targets
//! take turns, as often as their weight says. That keeps the shares within one
//! bucket of the weights, which plain rendezvous hashing does not, and moves
//! few buckets beyond those of a target that comes or goes. See
//! `docs/design/table.md`.

use crate::{
    bundle::{Service, Target, TargetState},
    ids::TargetIx,
};
use siphasher::sip::SipHasher13;
use std::hash::Hasher as _;

/// Deals the buckets of a service to the targets that take new flows. `None`
/// if there is none: then nothing can be opened.
pub fn assign_buckets(service: &Service) -> Option<Vec<TargetIx>> {
    let mut seats = seats(service);
    let heaviest = seats.iter().map(|seat| seat.weight).max()?;
    let size = usize::from(service.buckets);
    let mut owners = vec![None; size];
    let mut left = size;
    while left > 0 {
        for seat in &mut seats {
            if left > 0 && seat.has_turn(heaviest) {
                let bucket = seat.take(&owners);
                owners[bucket] = Some(seat.target);
                left -= 1;
            }
        }
    }
    owners.into_iter().collect()
}

/// One target at the deal.
struct Seat {
    target: TargetIx,
    weight: u32,
    credit: u32,
    next: usize,
    skip: usize,
}

impl Seat {
    fn new(service: &Service, (position, target): (usize, &Target)) -> Seat {
        let mask = usize::from(service.buckets) - 1;
        let hash = place(service, target);
        // An odd skip visits every bucket, since their number is a power of two.
        let skip = (hash >> 32) as usize & mask | 1;
        let target_ix = TargetIx(position as u16);
        let next = hash as usize & mask;
        Seat { target: target_ix, weight: u32::from(target.weight), credit: 0, next, skip }
    }

    fn has_turn(&mut self, heaviest: u32) -> bool {
        self.credit += self.weight;
        if self.credit < heaviest {
            return false;
        }
        self.credit -= heaviest;
        true
    }

    /// The first free bucket in the target's own order.
    fn take(&mut self, owners: &[Option<TargetIx>]) -> usize {
        loop {
            let bucket = self.next;
            self.next = (self.next + self.skip) & (owners.len() - 1);
            if owners[bucket].is_none() {
                return bucket;
            }
        }
    }
}

/// The targets that take part, ordered by name, so that the order of lines in
/// the bundle moves no bucket.
fn seats(service: &Service) -> Vec<Seat> {
    let mut takers: Vec<_> =
        service.targets.iter().enumerate().filter(|(_, target)| takes_new_flows(target)).collect();
    takers.sort_by(|(_, a), (_, b)| a.name.cmp(&b.name));
    takers.into_iter().map(|taker| Seat::new(service, taker)).collect()
}

/// Whether a target is dealt buckets.
pub(crate) fn takes_new_flows(target: &Target) -> bool {
    target.state == TargetState::Active && target.weight > 0
}

/// Where a target's own order of the buckets starts and how it goes on.
fn place(service: &Service, target: &Target) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(service.name.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(target.name.as_str().as_bytes());
    hasher.finish()
}
