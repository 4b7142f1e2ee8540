//! Who is believed to be live.

use crate::net::{Net, member};
use medlarspur_lib::{
    control::Event,
    ids::DomainName,
    members::{Member, MemberState, NEIGHBOURS, neighbours},
    time::Millis,
};

/// An instance is killed. Its peers have to notice, or they would go on
/// sending it questions; callers would wait for each.
#[test]
fn killed_instance_is_found_dead() {
    let mut net = Net::new(8, 4, 1);
    net.run(Millis::secs(10));
    net.nodes[3].up = false;

    net.run(Millis::secs(12));

    for watcher in [0, 1, 2, 4, 5, 6, 7] {
        assert_eq!(net.seen(watcher, 3).map(|m| m.state), Some(MemberState::Dead));
    }
}

/// An instance is replaced under its old name, with an empty memory. The
/// belief that the old one is dead must not exclude the new one.
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

/// An instance is frozen for less than it takes to be buried, and for longer.
/// Woken up, it hears what the others believe of it and refutes; otherwise it
/// would be excluded for good.
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

/// An instance that slept finds all others silent, though the silence was its
/// own. If it believed that, it would take all duties at once.
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

/// The platform's list is empty for a while, or still names an instance that
/// is long gone. Neither may change what peers found out themselves.
#[test]
fn list_of_the_platform_is_only_a_hint() {
    let mut net = Net::new(8, 4, 1);
    net.list = net.nodes.iter().map(|n| n.candidate()).collect();
    net.run(Millis::secs(10));

    net.nodes[3].up = false;
    net.list.retain(|c| c.name != net.nodes[2].me.name);
    net.run(Millis::secs(15));

    assert_eq!(net.seen(0, 3).map(|m| m.state), Some(MemberState::Dead));
    assert_eq!(net.seen(0, 2).map(|m| m.state), Some(MemberState::Live));
}

/// A failure domain is cut off. Each side goes on with whom it reaches, and
/// after healing all see all again.
#[test]
fn cut_off_domain_is_dead_and_returns() {
    let mut net = Net::new(8, 4, 1);
    net.run(Millis::secs(10));
    net.cut.insert(DomainName::new("d1"));
    net.run(Millis::secs(20));
    assert_eq!(net.seen(0, 1).map(|m| m.state), Some(MemberState::Dead));
    assert_eq!(net.seen(1, 0).map(|m| m.state), Some(MemberState::Dead));
    assert_eq!(net.seen(1, 5).map(|m| m.state), Some(MemberState::Live));

    net.cut.clear();
    net.run(Millis::secs(10));

    assert!(net.all_live());
}

/// The instances that settings name as seeds are long replaced and the
/// platform's list is empty when a cut heals. Each side believes the other
/// dead, and unless the dead are asked too, it would do so for ever.
#[test]
fn sides_of_a_cut_find_each_other_without_seeds_and_list() {
    let mut net = Net::new(8, 4, 1);
    net.run(Millis::secs(10));
    net.nodes[0].up = false;
    net.nodes[1].up = false;
    net.cut.insert(DomainName::new("d3"));
    net.run(Millis::secs(30));
    assert_eq!(net.seen(2, 3).map(|m| m.state), Some(MemberState::Dead));

    net.cut.clear();
    net.run(Millis::secs(15));

    assert!(net.all_live());
}

/// An instance says that it leaves. If it were seen as live, it would be given
/// new duties that end with it a moment later.
#[test]
fn leaving_instance_is_seen_as_leaving_and_reads_no_more() {
    let mut net = Net::new(8, 4, 1);
    net.run(Millis::secs(10));

    net.event(3, Event::SetLeaving);
    net.run(Millis::secs(2));

    assert!((0..8).all(|ix| net.seen(ix, 3).map(|m| m.state) == Some(MemberState::Leaving)));
    assert!(!net.nodes[3].reading);
}

/// Heartbeats to everybody would make control bytes grow with the fleet; a
/// member that nobody watches would be believed live after its death.
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
