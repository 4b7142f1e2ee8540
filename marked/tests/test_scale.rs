//! What an instance does for one flow or one piece of news, before few targets and many.

use super::fixtures::{FEED, Instance, REQUEST, change, flow, middle, target, update};
use medlarspur_load::warmup::Seat;
use medlarspur_marked::{Content, Incarnation, Note, Revision, Scope, Target};
use std::collections::BTreeMap;

fn targets(count: u64) -> Vec<Target> {
    (1..=count).map(|number| target(number, "desk")).collect()
}

/// News that the entries of all these targets have gone.
fn removal(targets: &[Target]) -> medlarspur_marked::Update {
    let changes = targets.iter().zip(200_000..);
    let changes =
        changes.map(|(it, revision)| change(revision, Content::Removed(it.name.clone()))).collect();
    update(300_000, Scope::Incremental(Revision::new(0, 100)), changes)
}

/// Guards against instances times targets questions when a domain's entries go in one moment.
#[test]
fn questions_about_entries_that_went_do_not_grow_with_the_targets() {
    let asked = |count: u64| {
        let targets = targets(count);
        let mut instance = Instance::new(&targets);
        let with_flow: Vec<Incarnation> =
            (0..6).map(|nth| instance.establish(flow(1_000 + nth, FEED), 0)).collect();
        instance.out.probed.clear();

        instance.learn(removal(&targets), 1_000);

        assert!(with_flow.iter().all(|it| instance.out.probed.contains(it)), "with {count}");
        instance.out.probed.len()
    };

    assert_eq!(asked(1_000), asked(100));
}

/// Guards against the same, of all instances together.
#[test]
fn each_target_whose_entry_went_is_asked_by_one_instance() {
    for (count, instances) in [(80, 10), (400, 50)] {
        let targets = targets(count);
        let mut asked: Vec<Incarnation> = Vec::new();
        for position in 0..instances {
            let mut instance = Instance::new(&targets);
            instance.forwarder.set_seat(Some(Seat { position, count: instances }));

            instance.learn(removal(&targets), 1_000);

            asked.append(&mut instance.out.probed);
        }

        asked.sort_unstable();
        let mut all: Vec<Incarnation> = targets.iter().map(|it| it.incarnation).collect();
        all.sort_unstable();
        assert_eq!(asked, all);
    }
}

/// Guards against a flow from another instance that hangs at a target that nobody here has asked.
#[test]
fn a_target_whose_entry_went_is_asked_once_a_flow_comes() {
    let targets = targets(100);
    let mut instance = Instance::new(&targets);
    instance.learn(removal(&targets), 1_000);
    let mut unasked = targets.iter().map(|it| it.incarnation);
    let unasked = unasked.rfind(|it| !instance.out.probed.contains(it)).expect("one");
    instance.out.probed.clear();

    instance.packet(middle(flow(1, FEED), unasked, 1001, 500, 100), 1_100);
    instance.packet(middle(flow(2, FEED), unasked, 1001, 500, 100), 1_100);

    assert_eq!(instance.out.probed, [unasked]);
}

/// Guards against work for one flow that grows with the targets.
#[test]
fn few_targets_are_looked_at_for_a_flow_however_many_there_are() {
    let looked_at = |count: u64, instances: u32| {
        let mut instance = Instance::new(&targets(count));
        instance.forwarder.set_seat(Some(Seat { position: instances / 2, count: instances }));
        for nth in 0..6 {
            instance.establish(flow(1_000 + nth, FEED), 0);
            instance.establish(flow(2_000 + nth, REQUEST), 0);
        }
        let looked = instance.out.notes.iter().filter_map(|note| match note {
            Note::Opened { candidates, .. } => Some(*candidates),
            _ => None,
        });
        looked.max().expect("flows were opened")
    };

    assert_eq!((looked_at(80, 10), looked_at(1_600, 200)), (8, 8));
}

/// How many times the mean the busiest target has, where `count` instances open seven feeds each
/// before eight targets each.
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

/// Guards against feeds that pile up at some of many targets.
#[test]
fn feeds_spread_evenly_over_targets_that_are_dealt() {
    let (small, large) = (imbalance(8, true), imbalance(60, true));

    assert!(small <= 2.4 && large <= 2.4, "{small} and {large} times the mean");
    assert!(imbalance(60, false) > 3.0, "what is guarded against shows without it");
}

/// Guards against callers who wait at an instance's part while other targets idle.
#[test]
fn an_instance_goes_beyond_its_part_before_anybody_waits() {
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
