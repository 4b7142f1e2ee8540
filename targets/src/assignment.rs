//! Assignment of targets to the instances that probe them.

use medlarspur_lib::{
    ids::{InstanceName, TargetName},
    members,
};

/// Number of instances in each failure domain that probe one target. A single instance could be
/// asleep or partitioned without noticing it. The second one doubles the probes.
pub const PROBERS_PER_DOMAIN: usize = 2;

/// Whether the instance `me` probes the target, given the live instances of its failure domain.
///
/// All instances compute the same assignment by rendezvous hashing, so none has to coordinate it.
/// While their views differ, a target is probed somewhat more or less often, which is harmless.
/// Each failure domain probes all targets, because only its own probes show what is reachable from
/// there.
pub fn is_prober<'a>(
    me: &InstanceName,
    domain: impl Iterator<Item = &'a InstanceName>,
    target: &TargetName,
) -> bool {
    members::is_top(target.as_str(), PROBERS_PER_DOMAIN, me.as_str(), domain.map(|it| it.as_str()))
}
