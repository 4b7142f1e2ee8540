//! Detection of live, leaving and dead members.

use crate::net::{Net, member};
use medlarspur_lib::{
    control::Event,
    ids::DomainName,
    members::{Member, MemberState, NEIGHBOURS, neighbours},
    time::Millis,
};

/// Guards against a killed instance that its peers don't notice. They would go
/// on sending it questions, and callers would wait for each.
#[test]
fn killed_instance_is_found_dead() {
    let mut net = Net::new(8, 4, 1);
    net.run(Millis::secs(10));
    net.nodes[3].up = false;

    net.run(Millis::secs(12));

    for watcher in [0, 1, 2, 4, 5, 6, 7] {
        assert_eq!(net.belief(watcher, 3).map(|m| m.state), Some(MemberState::Dead));
    }
}

/// Guards against excluding an instance that replaces a dead one under the same
/// name, with an empty memory.
#[test]
fn replaced_instance_is_live_again() {
    let mut net = Net::new(8, 4, 1);
    net.run(Millis::secs(10));
    net.nodes[3].up = false;
    net.run(Millis::secs(12));

    net.restart(3);
    net.run(Millis::secs(10));

    assert!(net.all_live());
    assert!(net.nodes[3].ready.is_some());
}

/// Guards against excluding a frozen instance permanently because it does not
/// refute its suspicion or death on waking. It is frozen once for less than the
/// time until it counts as dead and once for longer.
#[test]
fn frozen_instance_is_live_again_after_waking() {
    for frozen in [5, 40] {
        let mut net = Net::new(8, 4, 1);
        net.run(Millis::secs(10));
        net.nodes[3].asleep = true;
        net.run(Millis::secs(frozen));

        net.nodes[3].asleep = false;
        net.run(Millis::secs(10));

        assert!(net.all_live(), "frozen for {frozen} s");
        assert!(net.nodes[3].controller.roster().me().incarnation.0 > 1);
    }
}

/// Guards against an instance that takes all others for dead after a sleep,
/// since all seem silent to it, and takes over all duties at once.
#[test]
fn woken_instance_suspects_nobody() {
    let mut net = Net::new(8, 4, 1);
    net.run(Millis::secs(10));
    net.nodes[3].asleep = true;
    net.run(Millis::secs(40));

    net.nodes[3].asleep = false;
    net.run(Millis(200));

    let members = &net.nodes[3].members;
    assert!(members.iter().all(|m| m.state == MemberState::Live), "{members:?}");
    assert_eq!(net.nodes[3].slept, 1);
}

/// Guards against a platform's list that overrides what heartbeats have shown,
/// when it is empty for a while or still names an instance that is gone.
#[test]
fn platform_list_does_not_override_heartbeats() {
    let mut net = Net::new(8, 4, 1);
    net.list = net.nodes.iter().map(|n| n.candidate()).collect();
    net.run(Millis::secs(10));

    net.nodes[3].up = false;
    net.list.retain(|c| c.name != net.nodes[2].me.name);
    net.run(Millis::secs(15));

    assert_eq!(net.belief(0, 3).map(|m| m.state), Some(MemberState::Dead));
    assert_eq!(net.belief(0, 2).map(|m| m.state), Some(MemberState::Live));
}

/// Guards against a fleet that stops, or does not reunite, when a failure
/// domain is cut off and reachable again. Both sides have to go on alone, and
/// all instances have to see each other after healing.
#[test]
fn cut_off_domain_is_dead_and_returns() {
    let mut net = Net::new(8, 4, 1);
    net.run(Millis::secs(10));
    net.partitioned.insert(DomainName::new("d1"));
    net.run(Millis::secs(20));
    assert_eq!(net.belief(0, 1).map(|m| m.state), Some(MemberState::Dead));
    assert_eq!(net.belief(1, 0).map(|m| m.state), Some(MemberState::Dead));
    assert_eq!(net.belief(1, 5).map(|m| m.state), Some(MemberState::Live));

    net.partitioned.clear();
    net.run(Millis::secs(10));

    assert!(net.all_live());
}

/// Guards against sides of a partition that never find each other again. The
/// partition heals after the seeds of the settings were replaced and while the
/// platform's list is empty, and each side believes the other dead, so dead
/// members have to be probed too.
#[test]
fn sides_of_a_cut_find_each_other_without_seeds_and_list() {
    let mut net = Net::new(8, 4, 1);
    net.run(Millis::secs(10));
    net.nodes[0].up = false;
    net.nodes[1].up = false;
    net.partitioned.insert(DomainName::new("d3"));
    net.run(Millis::secs(30));
    assert_eq!(net.belief(2, 3).map(|m| m.state), Some(MemberState::Dead));

    net.partitioned.clear();
    net.run(Millis::secs(15));

    assert!(net.all_live());
}

/// Guards against a leaving instance that is seen as live. It would be given
/// new duties that end a moment later.
#[test]
fn leaving_instance_is_seen_as_leaving_and_reads_no_more() {
    let mut net = Net::new(8, 4, 1);
    net.run(Millis::secs(10));

    net.event(3, Event::SetLeaving);
    net.run(Millis::secs(2));

    assert!((0..8).all(|ix| net.belief(ix, 3).map(|m| m.state) == Some(MemberState::Leaving)));
    assert!(!net.nodes[3].reading);
}

/// Guards against control traffic that grows with the fleet, as with heartbeats
/// to all members, and against a member without a watcher, which would be
/// believed live after its death.
#[test]
fn neighbours_are_few_and_watch_everybody() {
    let members: Vec<Member> = (0..100).map(|ix| member(ix, 10, 1)).collect();
    let mut watchers = vec![0; members.len()];

    for me in &members {
        let chosen = neighbours(me, members.iter().filter(|m| m.name != me.name));
        assert!(chosen.len() <= NEIGHBOURS);
        for (ix, m) in members.iter().enumerate() {
            watchers[ix] += usize::from(chosen.contains(&m.name));
        }
    }

    assert!(watchers.iter().all(|n| *n >= 2), "{watchers:?}");
}
