//! Log lines for changes of members, plans and bundles.

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

/// Logs a plan that has come into effect.
pub fn log_plan(plan: &ServicePlan) {
    log::info!(
        "plan service={} sequence={} author={} moves={}",
        plan.service,
        plan.sequence,
        plan.author,
        plan.moves.len(),
    );
}

/// Logs that two bundles with different contents were signed under one version. All
/// instances agree on the same one, but it may not be the intended one.
pub fn log_conflict(version: Version) {
    log::error!("bundle={version} conflict=true: two contents under one version");
}
