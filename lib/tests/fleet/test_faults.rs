//! Combinations of faults in any order.

use crate::net::{Faults, Net, member, text};
use medlarspur_lib::{
    control::Event,
    ids::{Bucket, DomainName, Incarnation, InstanceName, ServiceName, TargetName},
    members::{Member, MemberState, Roster},
    time::Millis,
};
use proptest::prelude::*;
use std::sync::Arc;

/// A fault or its end.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Publish(u64),
    Conflict(u64),
    Stale(u64),
    PlatformDown,
    Kill(usize),
    Restart(usize),
    Sleep(usize),
    Wake(usize),
    Cut(usize),
    Heal,
    Loss(u64),
    Plan(u8, u16),
}

const NODES: usize = 8;
const DOMAINS: usize = 4;

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (1u64..9).prop_map(Fault::Publish),
        (1u64..9).prop_map(Fault::Conflict),
        (1u64..9).prop_map(Fault::Stale),
        Just(Fault::PlatformDown),
        (0..NODES).prop_map(Fault::Kill),
        (0..NODES).prop_map(Fault::Restart),
        (0..NODES).prop_map(Fault::Sleep),
        (0..NODES).prop_map(Fault::Wake),
        (0..DOMAINS).prop_map(Fault::Cut),
        Just(Fault::Heal),
        (0u64..60).prop_map(Fault::Loss),
        (0u8..4, 0u16..4).prop_map(|(service, moves)| Fault::Plan(service, moves)),
    ]
}

fn apply(net: &mut Net, fault: Fault) {
    match fault {
        Fault::Publish(version) | Fault::Stale(version) => net.platform = Some(text(version, 4)),
        Fault::Conflict(version) => {
            let (a, b): (Arc<str>, Arc<str>) = (text(version, 5), text(version, 6));
            net.event(0, Event::PlatformBundle(a));
            net.event(1, Event::PlatformBundle(b));
        }
        Fault::PlatformDown => net.platform = None,
        Fault::Kill(ix) => net.nodes[ix].up = false,
        Fault::Restart(ix) => net.restart(ix),
        Fault::Sleep(ix) => net.nodes[ix].asleep = true,
        Fault::Wake(ix) => net.nodes[ix].asleep = false,
        Fault::Cut(d) => {
            net.partitioned.insert(DomainName::new(&format!("d{d}")));
        }
        Fault::Heal => net.partitioned.clear(),
        Fault::Plan(service, moves) => plan(net, service, moves),
        Fault::Loss(lost) => net.faults = Faults { lost, duplicated: 20, delay: 40 },
    }
}

/// Proposes moves at each instance; those that believe to be the author plan
/// them.
fn plan(net: &mut Net, service: u8, moves: u16) {
    for ix in 0..NODES {
        let target = |ix: usize| TargetName::new(&format!("t{ix}"));
        let moves = (0..moves).map(|b| (Bucket(b), target(ix))).collect();
        let service = ServiceName::new(&format!("s{service}"));
        net.event(ix, Event::Propose { service, moves });
    }
}

/// The highest bundle that any instance has in force.
fn highest_bundle(net: &Net) -> Option<Arc<str>> {
    let up = net.nodes.iter().filter_map(|n| n.controller.current());
    up.max_by_key(|t| t.order()).map(|t| t.text.clone())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against disagreement after any combination of faults: no instance
    /// may revert to an older bundle, and soon after the faults end, all must
    /// have the highest bundle, follow the same plans and see each other as
    /// live. Otherwise some callers would be sent by a withdrawn bundle, or two
    /// new flows of one bucket to two targets, without any sign of it.
    #[test]
    fn fleet_agrees_after_any_faults(
        seed in any::<u64>(),
        faults in proptest::collection::vec((fault(), 0u64..8), 1..12),
    ) {
        let mut net = Net::new(NODES, DOMAINS, seed);
        net.run(Millis::secs(6));
        for (fault, pause) in faults {
            apply(&mut net, fault);
            net.run(Millis::secs(pause));
        }

        net.faults = Faults { delay: 3, ..Faults::default() };
        net.partitioned.clear();
        for ix in 0..NODES {
            net.nodes[ix].asleep = false;
            if !net.nodes[ix].up {
                net.restart(ix);
            }
        }
        net.run(Millis::secs(25));

        let highest = highest_bundle(&net).expect("a bundle was in force");
        prop_assert!(net.all_have(&highest), "some instances lack the highest bundle");
        prop_assert!(net.never_reverted());
        prop_assert!(net.all_live(), "some instances are not seen as live");
        let plans = net.nodes.iter().map(|n| n.controller.plans().digest());
        prop_assert!(plans.clone().all(|digest| Some(digest) == plans.clone().next()), "plans differ");
    }

    /// Guards against instances with different views after the same updates of
    /// members arrived in different order, some repeatedly.
    #[test]
    fn merge_of_members_does_not_depend_on_order(
        updates in proptest::collection::vec((1usize..4, 1u64..4, 0usize..3), 1..20)
            .prop_flat_map(|updates| (Just(updates.clone()), Just(updates).prop_shuffle())),
    ) {
        let states = [MemberState::Live, MemberState::Suspect, MemberState::Leaving];
        let merged = |updates: &[(usize, u64, usize)]| {
            let mut roster = Roster::new(member(0, 1, 1));
            for (ix, incarnation, state) in updates {
                let belief = Member { state: states[*state], ..member(*ix, 1, *incarnation) };
                roster.merge(Millis(0), &belief);
            }
            roster
        };

        let (a, b) = (merged(&updates.0), merged(&updates.1));

        prop_assert!(a.members().eq(b.members()));
        prop_assert_eq!(a.digest(), b.digest());
    }
}

/// Guards against a dead member that is revived by a late update older than its
/// death. Duties would be assigned to it, and questions to it would time out.
#[test]
fn late_update_does_not_revive_a_dead_member() {
    let mut roster = Roster::new(member(0, 1, 1));
    let live = member(1, 1, 5);
    roster.merge(Millis(0), &live);
    roster.merge(Millis(1), &Member { state: MemberState::Dead, ..live.clone() });

    roster.merge(Millis(2), &live);
    roster.merge(Millis(3), &Member { incarnation: Incarnation(4), ..live.clone() });

    let state = |roster: &Roster| roster.get(&InstanceName::new("i1")).map(|m| m.state);
    assert_eq!(state(&roster), Some(MemberState::Dead));
    roster.merge(Millis(4), &Member { incarnation: Incarnation(6), ..live });
    assert_eq!(state(&roster), Some(MemberState::Live));
}
