//! What the instance that plans for a service wants moved.
//!
//! A target that can't be reached or says that it is ill gets no new flows
//! although the bundle names it: without that, each new flow of its buckets
//! would wait for an answer that never comes, until operators publish a bundle.
//! The moves are a function of the bundle and of the verdicts, so that two
//! authors with the same picture want the same. See `docs/design/plan.md`.

use crate::{
    bundle::Service,
    collections::Set,
    ids::{Bucket, TargetName},
    plan::Moves,
    table,
};

/// Which part of a service's targets may be taken out at most, in percent.
/// When most look bad, it is more likely that the one who looks is cut off or
/// that an endpoint misleads; taking them all out would send everything to the
/// few others and overrun them as well.
const MOST_BAD: usize = 50;

/// The moves that keep new flows from the targets in `bad`. `None` where these
/// are too many to be believed: then what was planned before stays.
pub fn avoid_targets(service: &Service, bad: &Set<TargetName>) -> Option<Moves> {
    let takers = service.targets.iter().filter(|target| table::takes_new_flows(target));
    let (all, out) = takers.fold((0, 0), |(all, out), target| {
        (all + 1, out + usize::from(bad.contains(&target.name)))
    });
    if out == 0 {
        return Some(Vec::new());
    }
    if out * 100 > all * MOST_BAD {
        return None;
    }
    let dealt = table::assign_buckets(service)?;
    let others = Service {
        targets: service
            .targets
            .iter()
            .map(|target| {
                let weight = if bad.contains(&target.name) { 0 } else { target.weight };
                crate::bundle::Target { weight, ..target.clone() }
            })
            .collect(),
        ..service.clone()
    };
    let evading = table::assign_buckets(&others)?;
    let name = |ix: crate::ids::TargetIx| &service.targets[usize::from(ix.0)].name;
    let moves = dealt
        .iter()
        .zip(&evading)
        .enumerate()
        .filter(|(_, (owner, _))| bad.contains(name(**owner)))
        .map(|(bucket, (_, other))| (Bucket(bucket as u16), name(*other).clone()))
        .collect();
    Some(moves)
}
