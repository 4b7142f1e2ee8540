//! The table that assigns the buckets of a service to targets.
//!
//! It is a pure function of the bundle, so instances that never communicated
//! agree on it. Buckets are assigned by the Maglev method (Eisenbud et al.,
//! NSDI 2016): each target has its own permutation of the buckets, and the
//! targets take turns, as often as their weight says. This keeps the shares
//! within one bucket of the weights, which plain rendezvous hashing does not,
//! and moves few buckets besides those of a target that is added or removed.
//! See `docs/design/table.md`.

use crate::{
    bundle::{Service, Target, TargetState},
    ids::TargetIx,
};
use siphasher::sip::SipHasher13;
use std::hash::Hasher as _;

/// Assigns the buckets of a service to the targets that take new flows. Returns
/// `None` if there are none; then no flow can be opened.
pub fn assign_buckets(service: &Service) -> Option<Vec<TargetIx>> {
    let mut permutations = permutations(service);
    let heaviest = permutations.iter().map(|permutation| permutation.weight).max()?;
    let size = usize::from(service.buckets);
    let mut owners = vec![None; size];
    let mut left = size;
    while left > 0 {
        for permutation in &mut permutations {
            if left > 0 && permutation.has_turn(heaviest) {
                let bucket = permutation.take_bucket(&owners);
                owners[bucket] = Some(permutation.target);
                left -= 1;
            }
        }
    }
    owners.into_iter().collect()
}

/// A target with its permutation of the buckets.
struct Permutation {
    target: TargetIx,
    weight: u32,
    credit: u32,
    next: usize,
    step: usize,
}

impl Permutation {
    fn new(service: &Service, (position, target): (usize, &Target)) -> Permutation {
        let mask = usize::from(service.buckets) - 1;
        let hash = permutation_hash(service, target);
        // An odd step visits every bucket, since their number is a power of
        // two.
        let step = (hash >> 32) as usize & mask | 1;
        let target_ix = TargetIx(position as u16);
        let next = hash as usize & mask;
        Permutation { target: target_ix, weight: u32::from(target.weight), credit: 0, next, step }
    }

    fn has_turn(&mut self, heaviest: u32) -> bool {
        self.credit += self.weight;
        if self.credit < heaviest {
            return false;
        }
        self.credit -= heaviest;
        true
    }

    /// Takes the first free bucket in the target's permutation.
    fn take_bucket(&mut self, owners: &[Option<TargetIx>]) -> usize {
        loop {
            let bucket = self.next;
            self.next = (self.next + self.step) & (owners.len() - 1);
            if owners[bucket].is_none() {
                return bucket;
            }
        }
    }
}

/// The targets that take new flows, ordered by name, so that the order of
/// targets in the bundle has no effect on the table.
fn permutations(service: &Service) -> Vec<Permutation> {
    let mut eligible: Vec<_> =
        service.targets.iter().enumerate().filter(|(_, target)| takes_new_flows(target)).collect();
    eligible.sort_by(|(_, a), (_, b)| a.name.cmp(&b.name));
    eligible.into_iter().map(|entry| Permutation::new(service, entry)).collect()
}

/// Whether a target takes new flows, so that buckets are assigned to it.
pub(crate) fn takes_new_flows(target: &Target) -> bool {
    target.state == TargetState::Active && target.weight > 0
}

/// Hash that determines the start and the step of a target's permutation.
fn permutation_hash(service: &Service, target: &Target) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(service.name.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(target.name.as_str().as_bytes());
    hasher.finish()
}
