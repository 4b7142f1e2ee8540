//! Plans across the fleet.

use crate::net::{Net, member};
use medlarspur_lib::{
    control::Event,
    ids::{Bucket, DomainName, InstanceName, ServiceName, TargetName},
    members::Member,
    message::ServicePlan,
    plan::{Moves, Plans, is_author},
    time::Millis,
};
use proptest::prelude::*;

fn service(n: u8) -> ServiceName {
    ServiceName::new(&format!("s{n}"))
}

fn moves(n: u16) -> Moves {
    (0..n).map(|b| (Bucket(b), TargetName::new("t1"))).collect()
}

fn plan(service_n: u8, sequence: u64, author: u8, n: u16) -> ServicePlan {
    let author = InstanceName::new(&format!("i{author}"));
    ServicePlan { service: service(service_n), sequence, author, moves: moves(n) }
}

fn propose_at_all(net: &mut Net, service_n: u8, n: u16) {
    for ix in 0..net.nodes.len() {
        net.event(ix, Event::Propose { service: service(service_n), moves: moves(n) });
    }
}

fn settled() -> Net {
    let mut net = Net::new(8, 4, 1);
    net.run(Millis::secs(10));
    net
}

fn all_follow_one(net: &Net, service_n: u8) -> bool {
    let first = net.nodes[0].controller.plans().get(&service(service_n));
    first.is_some()
        && net.nodes.iter().all(|n| n.controller.plans().get(&service(service_n)) == first)
}

#[test]
fn one_instance_plans_for_a_service() {
    let members: Vec<Member> = (0..8).map(|ix| member(ix, 4, 1)).collect();

    let planners =
        members.iter().filter(|m| is_author(&m.name, &service(0), members.iter())).count();

    assert_eq!(planners, 1);
}

#[test]
fn plan_of_the_author_is_followed_by_all() {
    let mut net = settled();

    propose_at_all(&mut net, 0, 3);
    net.run(Millis::secs(1));

    assert!(all_follow_one(&net, 0));
    let plan = net.nodes[0].controller.plans().get(&service(0)).expect("the plan is followed");
    assert_eq!((plan.sequence, plan.moves.len()), (1, 3));
}

/// Guards against two plans that remain after a partition in which each side
/// had its own author. Two instances would send the same new flow to different
/// targets.
#[test]
fn plans_of_both_sides_of_a_cut_merge_to_one() {
    let mut net = settled();
    net.partitioned.insert(DomainName::new("d1"));
    net.run(Millis::secs(30));
    for n in 0..40 {
        propose_at_all(&mut net, n, 1 + u16::from(n) % 5);
    }
    net.run(Millis::secs(5));

    net.partitioned.clear();
    net.run(Millis::secs(15));

    assert!((0..40).all(|n| all_follow_one(&net, n)));
}

/// Guards against a plan made by a stale view. The author is frozen, another
/// instance takes its place and plans, and on waking the old author still
/// believes that it plans.
#[test]
fn woken_author_yields() {
    let mut net = settled();
    let members: Vec<Member> = net.nodes.iter().map(|n| n.me.clone()).collect();
    let old = members.iter().position(|m| is_author(&m.name, &service(0), members.iter()));
    let old = old.expect("one instance plans");
    propose_at_all(&mut net, 0, 1);
    net.run(Millis::secs(1));
    net.nodes[old].asleep = true;
    net.run(Millis::secs(15));
    propose_at_all(&mut net, 0, 2);
    propose_at_all(&mut net, 0, 3);
    net.run(Millis::secs(1));

    net.nodes[old].asleep = false;
    net.event(old, Event::Tick);
    net.event(old, Event::Propose { service: service(0), moves: moves(9) });
    net.run(Millis::secs(6));

    assert!(all_follow_one(&net, 0));
    let plan = net.nodes[old].controller.plans().get(&service(0)).expect("the plan is followed");
    assert_eq!((plan.sequence, plan.moves.len()), (3, 3));
}

/// Guards against a plan made from stale loads and members by an author that
/// was frozen while no other instance planned. It would be the highest plan,
/// and all would follow it.
#[test]
fn woken_author_plans_nothing_until_refreshed() {
    let mut net = settled();
    let members: Vec<Member> = net.nodes.iter().map(|n| n.me.clone()).collect();
    let author = members.iter().position(|m| is_author(&m.name, &service(0), members.iter()));
    let author = author.expect("one instance plans");
    net.nodes[author].asleep = true;
    net.run(Millis::secs(4));
    net.nodes[author].asleep = false;
    net.event(author, Event::Tick);

    propose_at_all(&mut net, 0, 3);

    let planned = |net: &Net| net.nodes[author].controller.plans().get(&service(0)).is_some();
    assert!(!planned(&net));
    net.run(Millis::secs(6));
    propose_at_all(&mut net, 0, 3);
    assert!(planned(&net));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against instances that follow different plans after the same
    /// plans of several authors arrived in different order, some repeatedly.
    /// Some authors lost their memory and use a sequence twice.
    #[test]
    fn merge_does_not_depend_on_order(
        plans in proptest::collection::vec((0u8..3, 0u64..4, 0u8..3, 0u16..3), 1..20)
            .prop_flat_map(|plans| (Just(plans.clone()), Just(plans).prop_shuffle())),
    ) {
        let merged = |plans: &[(u8, u64, u8, u16)]| {
            let mut all = Plans::new();
            for (s, sequence, author, n) in plans.iter().chain(plans) {
                all.merge(plan(*s, *sequence, *author, *n));
            }
            all
        };

        let (a, b) = (merged(&plans.0), merged(&plans.1));

        prop_assert_eq!(a.digest(), b.digest());
        for s in 0..3 {
            prop_assert_eq!(a.get(&service(s)), b.get(&service(s)));
        }
    }
}
