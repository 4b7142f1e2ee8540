//! Work of an instance for one flow or one update, which must not grow with the number of targets.

use super::fixtures::{FEED, Instance, REQUEST, change, flow, middle, target, update};
use medlarspur_load::warmup::Seat;
use medlarspur_marked::{Content, Incarnation, Note, Revision, Scope, Target};
use std::collections::BTreeMap;

fn targets(count: u64) -> Vec<Target> {
    (1..=count).map(|number| target(number, "desk")).collect()
}

/// An update that removes all of the targets.
fn removal(targets: &[Target]) -> medlarspur_marked::Update {
    let changes = targets.iter().zip(200_000..);
    let changes =
        changes.map(|(it, revision)| change(revision, Content::Removed(it.name.clone()))).collect();
    update(300_000, Scope::Incremental(Revision::new(0, 100)), changes)
}

/// Guards against a number of probes that is the product of instances and targets when all entries
/// of a domain lapse at once.
#[test]
fn probes_of_removed_targets_do_not_grow_with_the_targets() {
    let probed = |count: u64| {
        let targets = targets(count);
        let mut instance = Instance::new(&targets);
        let with_flow: Vec<Incarnation> =
            (0..6).map(|nth| instance.establish(flow(1_000 + nth, FEED), 0)).collect();
        instance.out.probed.clear();

        instance.learn(removal(&targets), 1_000);

        assert!(with_flow.iter().all(|it| instance.out.probed.contains(it)), "with {count}");
        instance.out.probed.len()
    };

    assert_eq!(probed(1_000), probed(100));
}

/// Guards against the same, and against targets without a probe, for all instances together.
#[test]
fn each_removed_target_is_probed_by_one_instance() {
    for (count, instances) in [(80, 10), (400, 50)] {
        let targets = targets(count);
        let mut probed: Vec<Incarnation> = Vec::new();
        for position in 0..instances {
            let mut instance = Instance::new(&targets);
            instance.forwarder.set_seat(Some(Seat { position, count: instances }));

            instance.learn(removal(&targets), 1_000);

            probed.append(&mut instance.out.probed);
        }

        probed.sort_unstable();
        let mut all: Vec<Incarnation> = targets.iter().map(|it| it.incarnation).collect();
        all.sort_unstable();
        assert_eq!(probed, all);
    }
}

/// Guards against a flow from another instance that hangs at a removed target that was not probed
/// here.
#[test]
fn a_removed_target_is_probed_when_a_flow_arrives() {
    let targets = targets(100);
    let mut instance = Instance::new(&targets);
    instance.learn(removal(&targets), 1_000);
    let mut unprobed = targets.iter().map(|it| it.incarnation);
    let unprobed = unprobed.rfind(|it| !instance.out.probed.contains(it)).expect("one");
    instance.out.probed.clear();

    instance.packet(middle(flow(1, FEED), unprobed, 1001, 500, 100), 1_100);
    instance.packet(middle(flow(2, FEED), unprobed, 1001, 500, 100), 1_100);

    assert_eq!(instance.out.probed, [unprobed]);
}

/// Guards against work for one flow that grows with the number of targets.
#[test]
fn the_number_of_candidates_of_a_flow_does_not_grow_with_the_targets() {
    let max_candidates = |count: u64, instances: u32| {
        let mut instance = Instance::new(&targets(count));
        instance.forwarder.set_seat(Some(Seat { position: instances / 2, count: instances }));
        for nth in 0..6 {
            instance.establish(flow(1_000 + nth, FEED), 0);
            instance.establish(flow(2_000 + nth, REQUEST), 0);
        }
        let candidates = instance.out.notes.iter().filter_map(|note| match note {
            Note::Opened { candidates, .. } => Some(*candidates),
            _ => None,
        });
        candidates.max().expect("flows were opened")
    };

    assert_eq!((max_candidates(80, 10), max_candidates(1_600, 200)), (8, 8));
}

/// Returns the ratio of the busiest target's load to the mean load, with `count` instances that
/// open seven feeds each, and eight targets an instance.
fn imbalance(count: u32, is_seated: bool) -> f64 {
    let targets = targets(u64::from(count) * 8);
    let mut feeds: BTreeMap<Incarnation, u32> = BTreeMap::new();
    let mut opened = 0;
    for position in 0..count {
        let mut instance = Instance::with_seed(&targets, u64::from(position) * 77);
        if is_seated {
            instance.forwarder.set_seat(Some(Seat { position, count }));
        }
        for nth in 0..7 {
            let at = instance.establish(flow(1_000 + nth, FEED), u64::from(nth) * 100);
            *feeds.entry(at).or_default() += 1;
            opened += 1;
        }
    }
    let most = feeds.values().copied().max().expect("flows");
    f64::from(most) / (f64::from(opened) / targets.len() as f64)
}

/// Guards against feeds that accumulate at a few of many targets.
#[test]
fn feeds_spread_evenly_over_assigned_targets() {
    let (small, large) = (imbalance(8, true), imbalance(60, true));

    assert!(small <= 2.4 && large <= 2.4, "{small} and {large} times the mean");
    assert!(imbalance(60, false) > 3.0, "without seats, feeds accumulate");
}

/// Guards against flows that wait for an instance's assigned targets while other targets are idle.
#[test]
fn an_instance_uses_unassigned_targets_before_any_flow_waits() {
    let mut instance = Instance::new(&targets(8));
    instance.forwarder.set_seat(Some(Seat { position: 0, count: 4 }));

    let mut used: Vec<Incarnation> = Vec::new();
    for nth in 0..8 {
        let key = flow(1_000 + nth, REQUEST);
        let at = instance.establish(key, 0);
        instance.packet(middle(key, at, 1001, 500, 100), 0);
        used.push(at);
    }

    used.sort_unstable();
    used.dedup();
    assert_eq!(used.len(), 8);
}
