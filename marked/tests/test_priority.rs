//! Order of flows by the priorities of their routes.

use super::{
    fixtures::{
        COPIES, FEED, Instance, REQUEST, UPLOAD, config, copy, flow, incremental, route, segment,
        target,
    },
    test_waiting::{busy_instance_with, end_requests, open_until_held, opened},
};
use medlarspur_lib::{bundle::Class, collections::Map, time::Millis};
use medlarspur_marked::{Config, Content, FlowEvent, Incarnation, Kind, Note, Priority, Refusal};

/// A config in which requests and other flows have the given priorities.
fn prioritized(version: u64, request: Option<u8>, others: Option<u8>) -> Config {
    let mut config = config(version);
    for route in &mut config.routes {
        let priority = if route.class == Class::Request { request } else { others };
        route.priority = priority.map(Priority);
        route.objective = Some(Millis(150));
    }
    config
}

/// Holds one flow of each kind and more of both, until the capacity is back.
fn play_overload(config: Config) -> Instance {
    let mut instance = busy_instance_with(config, 140);
    instance.out = Default::default();
    let held = open_until_held(&mut instance, REQUEST, 500);
    let keys = (300..310).flat_map(|number| [FEED, REQUEST].map(|route| flow(number, route)));
    let keys: Vec<_> = keys.collect();
    for key in &keys {
        instance.packet(segment(*key, Kind::Open), 505);
    }
    end_requests(&mut instance, held, 560);
    for now in 560..1_200 {
        if now == 505 + COPIES[1] {
            keys.iter().for_each(|key| instance.packet(copy(*key, 1), now));
        }
        instance.tick(now);
    }
    instance
}

/// Guards against a change for deployments that set no priorities, or the ones that the class
/// stood for.
#[test]
fn priorities_that_follow_the_class_change_no_decision() {
    let [none, by_class] = [(None, None), (Some(1), Some(2))]
        .map(|(request, others)| play_overload(prioritized(2, request, others)));

    assert_eq!(none.out.sent, by_class.out.sent);
    assert_eq!(none.out.notes, by_class.out.notes);
    assert!(none.forwarder.counts().held > 5 && none.forwarder.counts().busy > 0);
}

/// Guards against feeds that are no longer restricted because of a route without traffic.
#[test]
fn routes_without_traffic_change_no_decision() {
    let with_unused = |priority| {
        let mut config = prioritized(2, Some(1), Some(2));
        let mut unused = route(UPLOAD, Class::Request, "desk");
        unused.priority = Some(Priority(priority));
        config.routes.retain(|route| route.address != UPLOAD);
        config.routes.push(unused);
        play_overload(config)
    };

    let without = play_overload(prioritized(2, Some(1), Some(2)));
    for instance in [0, 9].map(with_unused) {
        assert_eq!(opened(&instance), opened(&without));
        assert_eq!(instance.out.sent, without.out.sent);
        assert_eq!(instance.out.resets, without.out.resets);
    }
}

/// Guards against a priority inversion: requests of a low priority pass held feeds.
#[test]
fn feeds_of_a_higher_priority_go_before_requests() {
    let mut instance = busy_instance_with(prioritized(2, Some(4), Some(0)), 140);
    let held = flow(900, REQUEST);
    instance.packet(segment(held, Kind::Open), 500);
    assert!(opened(&instance).is_empty(), "the request is held");

    instance.packet(segment(flow(901, FEED), Kind::Open), 500);

    assert_eq!(opened(&instance), [flow(901, FEED)]);
    let counted = instance.out.counted.iter().rev().take(2).map(|(_, rank, it)| (*rank, *it));
    assert_eq!(counted.collect::<Vec<_>>(), [(0, FlowEvent::Opened), (1, FlowEvent::Held)]);
}

/// Guards against held flows that wait in the order of an earlier config.
#[test]
fn a_change_of_priorities_applies_to_held_flows() {
    let mut instance = busy_instance_with(prioritized(2, Some(1), Some(2)), 140);
    let held = open_until_held(&mut instance, REQUEST, 500);
    let feed = flow(901, FEED);
    instance.packet(segment(feed, Kind::Open), 500);
    instance.out.notes.clear();

    instance.learn(incremental(201, Content::Config(prioritized(3, Some(2), Some(1)))), 510);
    end_requests(&mut instance, held, 560);
    instance.tick(560);

    assert_eq!(opened(&instance).first(), Some(&feed));
}

/// Guards against flows of a high priority that are refused while lower ones are held.
#[test]
fn a_held_flow_gives_way_to_a_higher_priority_if_the_backlog_is_full() {
    let mut instance = busy_instance_with(prioritized(2, Some(1), Some(2)), 140);
    let first = open_until_held(&mut instance, FEED, 500);
    (1_000..2_100).for_each(|it| instance.packet(segment(flow(it, FEED), Kind::Open), 501));
    instance.out.resets.clear();

    let held = open_until_held(&mut instance, REQUEST, 502);

    assert_eq!(instance.out.resets, [(first, 0, Refusal::Busy)]);
    let counted = instance.out.counted.iter().rev().take(2).map(|(_, rank, it)| (*rank, *it));
    assert_eq!(counted.collect::<Vec<_>>(), [(0, FlowEvent::Held), (1, FlowEvent::Refused)]);
    let desk = instance.forwarder.services(Millis(502)).remove(0);
    assert_eq!(desk.waiting_by_level, [1, 1_023]);
    let last = &instance.out.notes[instance.out.notes.len() - 2..];
    let lines = last.iter().map(|note| note.fields(|it| format!("{it:?}")));
    let levels = lines.flatten().filter(|(name, _)| *name == "level").map(|(_, value)| value);
    assert_eq!(levels.collect::<Vec<_>>(), ["1", "0"]);
    assert!(matches!(last[1], Note::Held { flow, .. } if flow == held));
}

/// Guards against idle targets in a service where no flow has a use for a reserve.
#[test]
fn a_service_with_one_level_has_no_reserve() {
    let targets = [1, 2, 3, 4].map(|number| target(number, "desk"));
    let mut instance = Instance::new(&targets);
    let mut config = prioritized(2, None, None);
    config.routes.retain(|route| route.class == Class::Feed);
    instance.learn(incremental(200, Content::Config(config)), 0);

    let mut flows: Map<Incarnation, usize> = Map::default();
    for number in 0..40 {
        *flows.entry(instance.establish(flow(1 + number, FEED), 0)).or_default() += 1;
    }

    assert_eq!(flows.into_values().collect::<Vec<_>>(), [10; 4]);
}
