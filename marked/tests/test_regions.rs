//! Routes whose requests must stay in some regions.

use super::fixtures::{
    FEED, Instance, REQUEST, config, flow, incremental, middle, millis, segment, target,
};
use medlarspur_lib::{
    ids::{DomainName, RegionName},
    status::TargetUse,
};
use medlarspur_marked::{Config, Content, Incarnation, Kind, ProbeResult, Refusal, Target};

/// A target in a domain; `north` and `centre` are in `here`, `south` is in `there`.
fn in_domain(number: u64, domain: &str) -> Target {
    Target { domain: DomainName::new(domain), ..target(number, "desk") }
}

/// A config in which requests must stay in a region, and feeds need not.
fn bound(version: u64, region: &str) -> Config {
    let mut config = config(version);
    let route = config.routes.iter_mut().find(|it| it.address == REQUEST).expect("a route");
    route.regions = vec![RegionName::new(region)];
    config
}

/// One target in each of three domains: of this instance, of its region, of the other one.
fn three(region: &str) -> (Instance, [Incarnation; 3]) {
    let targets = [in_domain(1, "north"), in_domain(2, "centre"), in_domain(3, "south")];
    let mut instance = Instance::new(&targets);
    instance.learn(incremental(101, Content::Config(bound(2, region))), 0);
    (instance, targets.map(|it| it.incarnation))
}

fn opened(instance: &mut Instance, count: u16, now: u64) -> Vec<Incarnation> {
    (0..count).map(|number| instance.open(flow(100 + number, REQUEST), now)).collect()
}

/// Operators promise that some data stays in a region. One request that is opened elsewhere
/// breaks the promise, however busy the region is.
#[test]
fn requests_of_a_bound_route_stay_in_its_region() {
    let (mut instance, [.., south]) = three("here");

    let targets = opened(&mut instance, 60, 10);

    assert!(!targets.contains(&south));
    let other: Vec<_> = (0..60).map(|nth| instance.open(flow(nth, FEED), 10)).collect();
    assert!(other.contains(&south), "feeds go anywhere");
}

/// This instance is not in the region. Its callers are served there all the same.
#[test]
fn requests_of_a_bound_route_go_to_a_region_that_is_far() {
    let (mut instance, [.., south]) = three("there");

    assert!(opened(&mut instance, 20, 10).iter().all(|it| *it == south));
}

#[test]
fn callers_are_refused_at_once_where_no_target_is_in_the_region() {
    let (mut instance, _) = three("nowhere");

    instance.packet(segment(flow(1, REQUEST), Kind::Open), 10);

    assert_eq!(instance.out.resets, [(flow(1, REQUEST), 0, Refusal::Away)]);
    assert!(instance.out.sent.is_empty());
}

/// A domain is added, and this instance's settings don't say where it is. It may be
/// anywhere.
#[test]
fn a_domain_of_unknown_region_is_in_none() {
    let (mut instance, _) = three("here");
    let unknown = in_domain(4, "new");
    instance.learn(incremental(102, Content::Target(unknown.clone())), 5);

    let targets = opened(&mut instance, 60, 10);

    assert!(!targets.contains(&unknown.incarnation));
}

/// A target dies, and what was being opened there moves.
#[test]
fn moved_openings_stay_in_the_region() {
    let (mut instance, [north, _, south]) = three("here");
    opened(&mut instance, 20, 10);
    instance.out.sent.clear();

    instance.forwarder.answer(north, ProbeResult::Gone, millis(40), &mut instance.out);

    assert!(!instance.out.sent.is_empty());
    assert!(instance.out.sent.iter().all(|(to, ..)| *to != south));
}

/// The route is bound while an opening is unanswered, and its caller sends it again.
#[test]
fn the_copy_of_an_unanswered_opening_stays_in_the_region() {
    let (mut instance, [.., south]) = three("there");
    let key = flow(1, REQUEST);
    assert_eq!(instance.open(key, 10), south);

    instance.learn(incremental(102, Content::Config(bound(3, "here"))), 20);
    instance.packet(segment(key, Kind::Open), 210);

    assert_ne!(instance.last_target(), south);
}

/// A flow that is open stays where it is: to end it would break it.
#[test]
fn open_flows_stay_where_they_are_when_their_route_is_bound() {
    let (mut instance, [.., south]) = three("there");
    let key = flow(1, REQUEST);
    instance.establish(key, 10);

    instance.learn(incremental(102, Content::Config(bound(3, "here"))), 20);
    instance.packet(middle(key, south, 1001, 500, 100), 30);

    assert_eq!(instance.last_target(), south);
    assert!(instance.out.resets.is_empty());
}

#[test]
fn operators_see_which_targets_are_in_other_regions() {
    let (instance, [north, _, south]) = three("here");
    let usage = |at| instance.usage(flow(1, REQUEST), at, 10);

    assert_eq!((usage(north), usage(south)), (TargetUse::Good, TargetUse::Away));
}
