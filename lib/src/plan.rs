//! Plans: buckets that are moved away from the target that the table assigns.
//!
//! The instance that ranks first for a service plans for it. Several may
//! believe at once that they rank first, and one that slept may still believe
//! it on waking. Plans are therefore ordered, and every instance follows the
//! highest. Two authors can thus make the balance worse, but break no flow. See
//! `docs/design/plan.md`.

use crate::{
    collections::Map,
    groups::Groups,
    ids::{InstanceName, ServiceName},
    members::{Member, is_top},
    message::ServicePlan,
};
use siphasher::sip::SipHasher13;
use std::{cmp::Ordering, hash::Hasher};

/// Whether `me` is the instance that plans for `service`.
pub fn is_author<'a>(
    me: &InstanceName,
    service: &ServiceName,
    members: impl Iterator<Item = &'a Member>,
) -> bool {
    let live = members.filter(|m| m.is_eligible()).map(|m| m.name.as_str());
    is_top(service.as_str(), 1, me.as_str(), live)
}

/// Compares two plans of one service. Moves are compared last: an author that
/// lost its memory may use a sequence twice, and even then all instances have
/// to agree.
pub fn compare(a: &ServicePlan, b: &ServicePlan) -> Ordering {
    (a.sequence, &a.author, &a.moves).cmp(&(b.sequence, &b.author, &b.moves))
}

/// The plans that one instance follows.
#[derive(Debug, Default, Clone)]
pub struct Plans {
    plans: Map<ServiceName, ServicePlan>,
    groups: Groups,
}

impl Plans {
    /// Creates an empty set of plans.
    pub fn new() -> Plans {
        Plans::default()
    }

    /// The plan of `service`.
    pub fn get(&self, service: &ServiceName) -> Option<&ServicePlan> {
        self.plans.get(service)
    }

    /// Follows `plan` if it is the higher one. Returns whether it is.
    pub fn merge(&mut self, plan: ServicePlan) -> bool {
        let held = self.plans.get(&plan.service);
        if held.is_some_and(|held| compare(&plan, held).is_le()) {
            return false;
        }
        self.groups.toggle(plan.service.as_str(), held.map_or(0, fingerprint) ^ fingerprint(&plan));
        self.plans.insert(plan.service.clone(), plan);
        true
    }

    /// Makes the plan that succeeds the one followed.
    pub fn next(&self, author: &InstanceName, service: &ServiceName, moves: Moves) -> ServicePlan {
        let sequence = self.get(service).map_or(0, |p| p.sequence).saturating_add(1);
        ServicePlan { service: service.clone(), sequence, author: author.clone(), moves }
    }

    /// All plans that are followed.
    pub fn iter(&self) -> impl Iterator<Item = &ServicePlan> {
        self.plans.values()
    }

    /// A digest over all plans. Equal plans have equal digests.
    pub fn digest(&self) -> u64 {
        self.groups.digest()
    }

    /// The digests of the groups of services.
    pub fn groups(&self) -> Vec<u64> {
        self.groups.to_vec()
    }

    /// The plans in groups whose digests differ from the requester's.
    pub fn differing<'a>(&'a self, groups: &'a [u64]) -> impl Iterator<Item = &'a ServicePlan> {
        self.plans.values().filter(|plan| self.groups.differs(groups, plan.service.as_str()))
    }
}

/// Buckets with the targets that they are moved to.
pub type Moves = Vec<(crate::ids::Bucket, crate::ids::TargetName)>;

fn fingerprint(plan: &ServicePlan) -> u64 {
    let mut h = SipHasher13::new();
    h.write(plan.service.as_str().as_bytes());
    h.write_u64(plan.sequence);
    h.write(plan.author.as_str().as_bytes());
    for (bucket, target) in &plan.moves {
        h.write_u16(bucket.0);
        h.write(target.as_str().as_bytes());
        h.write_u8(0xff);
    }
    h.finish()
}
