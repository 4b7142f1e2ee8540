//! Log lines for what changes in the fleet as this instance sees it.

use medlarspur_lib::{
    ids::Version,
    members::{Member, MemberState},
    message::ServicePlan,
};

/// Logs the members whose state differs from that in `before`.
pub fn log_members(before: &[Member], now: &[Member]) {
    for member in now {
        let known = before.iter().find(|other| other.name == member.name);
        if known.map(|known| known.state) != Some(member.state) {
            log_member(member, member.state);
        }
    }
    let gone = |member: &&Member| now.iter().all(|other| other.name != member.name);
    for member in before.iter().filter(gone) {
        log::info!("member={} state=forgotten", member.name);
    }
}

fn log_member(member: &Member, state: MemberState) {
    let (name, domain) = (&member.name, &member.domain);
    log::info!("member={name} domain={domain} state={state} incarnation={}", member.incarnation);
}

/// Logs a plan that is followed from now on.
pub fn log_plan(plan: &ServicePlan) {
    log::info!(
        "plan service={} sequence={} author={} moves={}",
        plan.service,
        plan.sequence,
        plan.author,
        plan.moves.len(),
    );
}

/// Logs that a version was signed off with two contents. All instances come
/// to the same one, but perhaps not to the one that was meant.
pub fn log_conflict(version: Version) {
    log::error!("bundle={version} conflict=true: two contents under one version");
}
