//! The moves that the author of a service's plan wants.
//!
//! A target that can't be reached or reports itself as unhealthy gets no new
//! flows although the bundle names it. Otherwise each new flow of its buckets
//! would wait for an answer that never comes, until operators publish a bundle.
//! The moves are a function of the bundle and of the health verdicts, so two
//! authors with the same view plan the same moves. See `docs/design/plan.md`.

use crate::{
    bundle::Service,
    collections::Set,
    ids::{Bucket, TargetName},
    plan::Moves,
    table,
};

/// Maximum percentage of a service's targets that may be avoided. If most seem
/// bad, it is more likely that the observer is partitioned or that a health
/// endpoint misleads; avoiding them all would send all flows to the few others
/// and overload those as well.
const MAX_BAD_PERCENT: usize = 50;

/// Returns the moves that keep new flows from the targets in `bad`, or `None`
/// if these are too many to be plausible. The previous plan then stays.
pub fn avoid_targets(service: &Service, bad: &Set<TargetName>) -> Option<Moves> {
    let eligible = service.targets.iter().filter(|target| table::takes_new_flows(target));
    let (total, avoided) = eligible.fold((0, 0), |(total, avoided), target| {
        (total + 1, avoided + usize::from(bad.contains(&target.name)))
    });
    if avoided == 0 {
        return Some(Vec::new());
    }
    if avoided * 100 > total * MAX_BAD_PERCENT {
        return None;
    }
    let assigned = table::assign_buckets(service)?;
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
    let reassigned = table::assign_buckets(&others)?;
    let name = |ix: crate::ids::TargetIx| &service.targets[usize::from(ix.0)].name;
    let moves = assigned
        .iter()
        .zip(&reassigned)
        .enumerate()
        .filter(|(_, (owner, _))| bad.contains(name(**owner)))
        .map(|(bucket, (_, other))| (Bucket(bucket as u16), name(*other).clone()))
        .collect();
    Some(moves)
}
