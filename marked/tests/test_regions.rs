//! Routes whose requests must stay in certain regions.

use super::fixtures::{
    FEED, Instance, REQUEST, config, flow, incremental, middle, millis, segment, target,
};
use medlarspur_lib::{
    ids::{DomainName, RegionName},
    status::TargetUse,
};
use medlarspur_marked::{Config, Content, Incarnation, Kind, ProbeResult, Refusal, Target};

/// A target in a domain. The domains `north` and `centre` are in region `here`, `south` is in
/// `there`.
fn in_domain(number: u64, domain: &str) -> Target {
    Target { domain: DomainName::new(domain), ..target(number, "desk") }
}

/// A config that restricts requests, but not feeds, to a region.
fn bound(version: u64, region: &str) -> Config {
    let mut config = config(version);
    let route = config.routes.iter_mut().find(|it| it.address == REQUEST).expect("a route");
    route.regions = vec![RegionName::new(region)];
    config
}

/// An instance in `north` with one target in each of three domains: its own, another one of its
/// region, and one of the other region.
fn three_domains(region: &str) -> (Instance, [Incarnation; 3]) {
    let targets = [in_domain(1, "north"), in_domain(2, "centre"), in_domain(3, "south")];
    let mut instance = Instance::new(&targets);
    instance.learn(incremental(101, Content::Config(bound(2, region))), 0);
    (instance, targets.map(|it| it.incarnation))
}

fn open_many(instance: &mut Instance, count: u16, now: u64) -> Vec<Incarnation> {
    (0..count).map(|number| instance.open(flow(100 + number, REQUEST), now)).collect()
}

/// Guards against broken promises of operators about where data stays: one request opened elsewhere
/// is one too many, however busy the region is.
#[test]
fn requests_of_a_bound_route_stay_in_its_region() {
    let (mut instance, [.., south]) = three_domains("here");

    let targets = open_many(&mut instance, 60, 10);

    assert!(!targets.contains(&south));
    let other: Vec<_> = (0..60).map(|nth| instance.open(flow(nth, FEED), 10)).collect();
    assert!(other.contains(&south), "feeds go anywhere");
}

/// Guards against refusing callers because this instance is outside the region of the route.
#[test]
fn requests_of_a_bound_route_go_to_another_region() {
    let (mut instance, [.., south]) = three_domains("there");

    assert!(open_many(&mut instance, 20, 10).iter().all(|it| *it == south));
}

#[test]
fn callers_are_refused_at_once_if_the_region_has_no_target() {
    let (mut instance, _) = three_domains("nowhere");

    instance.packet(segment(flow(1, REQUEST), Kind::Open), 10);

    assert_eq!(instance.out.resets, [(flow(1, REQUEST), 0, Refusal::Away)]);
    assert!(instance.out.sent.is_empty());
}

/// Guards against using a new domain that the instance's settings don't assign to a region: it may
/// be anywhere.
#[test]
fn a_domain_of_unknown_region_belongs_to_no_region() {
    let (mut instance, _) = three_domains("here");
    let unknown = in_domain(4, "new");
    instance.learn(incremental(102, Content::Target(unknown.clone())), 5);

    let targets = open_many(&mut instance, 60, 10);

    assert!(!targets.contains(&unknown.incarnation));
}

/// Guards against leaving the region when a target dies and its unanswered openings are moved.
#[test]
fn moved_openings_stay_in_the_region() {
    let (mut instance, [north, _, south]) = three_domains("here");
    open_many(&mut instance, 20, 10);
    instance.out.sent.clear();

    instance.forwarder.handle_probe_result(north, ProbeResult::Gone, millis(40), &mut instance.out);

    assert!(!instance.out.sent.is_empty());
    assert!(instance.out.sent.iter().all(|(to, ..)| *to != south));
}

/// Guards against leaving the region when a route gets restricted before the caller retransmits an
/// opening.
#[test]
fn a_retransmitted_opening_stays_in_the_region() {
    let (mut instance, [.., south]) = three_domains("there");
    let key = flow(1, REQUEST);
    assert_eq!(instance.open(key, 10), south);

    instance.learn(incremental(102, Content::Config(bound(3, "here"))), 20);
    instance.packet(segment(key, Kind::Open), 210);

    assert_ne!(instance.last_target(), south);
}

/// Guards against breaking open flows when their route gets restricted.
#[test]
fn open_flows_stay_at_their_target_when_their_route_is_bound() {
    let (mut instance, [.., south]) = three_domains("there");
    let key = flow(1, REQUEST);
    instance.establish(key, 10);

    instance.learn(incremental(102, Content::Config(bound(3, "here"))), 20);
    instance.packet(middle(key, south, 1001, 500, 100), 30);

    assert_eq!(instance.last_target(), south);
    assert!(instance.out.resets.is_empty());
}

#[test]
fn operators_see_which_targets_are_in_other_regions() {
    let (instance, [north, _, south]) = three_domains("here");
    let usage = |at| instance.usage(flow(1, REQUEST), at, 10);

    assert_eq!((usage(north), usage(south)), (TargetUse::Good, TargetUse::Away));
}
