//! Which instances probe which targets.

use medlarspur_lib::{
    ids::{InstanceName, TargetName},
    members,
};

/// How many instances of each failure domain probe one target. One could sleep
/// or be cut off without noticing it; two cost twice the probes.
pub const PROBERS_PER_DOMAIN: usize = 2;

/// Whether `me` probes the target, given the live instances of its failure
/// domain. All compute the same, so no one assigns anything; while their views
/// differ a target is probed a little more or less often, which is harmless.
/// Each failure domain probes for itself, since only so is it known what is
/// reachable from there.
pub fn is_prober<'a>(
    me: &InstanceName,
    domain: impl Iterator<Item = &'a InstanceName>,
    target: &TargetName,
) -> bool {
    members::is_top(target.as_str(), PROBERS_PER_DOMAIN, me.as_str(), domain.map(|it| it.as_str()))
}
