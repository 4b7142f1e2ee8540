//! Targets that fail more requests than the others of their service.

use super::fixtures::{
    Decisions, FEED, Instance, flow, incremental, middle, millis, snapshot, started, target,
};
use medlarspur_lib::{
    collections::Map, ids::DomainName, settings::Capabilities, status::TargetUse,
};
use medlarspur_load::{outlier::OutcomeCounts, warmup::Seat};
use medlarspur_marked::{
    Content, Forwarder, ForwarderOptions, Incarnation, Note, ProbeResult, Target,
};

/// Time at which targets were compared and one was found to fail.
const FOUND: u64 = 1_000;

fn targets(count: u64) -> Vec<Target> {
    (1..=count).map(|number| target(number, "desk")).collect()
}

fn instance(count: u64, health: bool) -> Instance {
    let options = ForwarderOptions {
        domain: DomainName::new("north"),
        regions: Map::default(),
        capabilities: Capabilities { health, ..Capabilities::default() },
        seed: 7,
    };
    let mut instance = Instance { forwarder: Forwarder::new(options), out: Decisions::default() };
    instance.learn(snapshot(&targets(count)), 0);
    instance
}

/// Has three other instances report that a target fails all requests.
fn report(instance: &mut Instance, at: Incarnation, now: u64) {
    let bad = OutcomeCounts { served: 0, bad: 40 };
    instance.forwarder.set_reports([(at, [bad; 3].into_iter())].into_iter());
    instance.tick(now);
    instance.forwarder.set_reports([(at, [].into_iter())].into_iter());
}

fn first() -> Incarnation {
    target(1, "desk").incarnation
}

/// An instance that has excluded the first of several targets.
fn with_excluded_target(count: u64) -> Instance {
    let mut instance = instance(count, true);
    report(&mut instance, first(), FOUND);
    assert_eq!(instance.forwarder.count_excluded(), 1);
    instance
}

/// Opens flows and returns how many of them went to a target.
fn count_at(
    instance: &mut Instance,
    at: Incarnation,
    flows: std::ops::Range<u16>,
    now: u64,
) -> usize {
    let opened = flows.map(|number| instance.open(flow(number, FEED), now));
    opened.filter(|it| *it == at).count()
}

/// Guards against new flows at a target that fails its requests, and against a target that
/// operators find idle without a reason.
#[test]
fn an_excluded_target_gets_no_new_flows() {
    let mut instance = with_excluded_target(6);

    assert_eq!(count_at(&mut instance, first(), 0..40, FOUND + 100), 0);

    assert_eq!(instance.usage(flow(0, FEED), first(), FOUND + 100), TargetUse::Excluded);
    let note = instance.out.notes.iter().find(|it| it.event() == "target excluded");
    let fields = note.expect("it is logged").fields(|it| it.to_string());
    assert!(fields.contains(&("others", "0.0/12.0".to_owned())), "{fields:?}");
    assert!(fields.contains(&("reporters", "3".to_owned())), "{fields:?}");
    assert_eq!(instance.forwarder.counts().excluded, 1);
}

/// Guards against targets that are excluded although the settings don't ask for it.
#[test]
fn no_target_is_excluded_without_the_capability() {
    let mut instance = instance(6, false);

    report(&mut instance, first(), FOUND);

    assert_eq!(instance.forwarder.count_excluded(), 0);
    assert!(instance.forwarder.reports(millis(FOUND)).is_empty());
}

/// Guards against resets of flows whose target lives and may serve them.
#[test]
fn an_excluded_target_keeps_its_open_flows() {
    let mut instance = instance(6, true);
    let mut flows = (0..60).map(|number| flow(number, FEED));
    let key = flows.find(|key| instance.establish(*key, 0) == first()).expect("a flow is there");
    report(&mut instance, first(), FOUND);

    instance.packet(middle(key, first(), 1001, 500, 100), FOUND + 10);

    assert_eq!(instance.last_target(), first());
    assert_eq!(instance.out.resets, []);
}

/// Guards against an excluded target in the subset of an instance that makes each new flow
/// examine all targets of the service.
#[test]
fn flows_still_go_to_the_subset_first() {
    let mut instance = instance(40, true);
    instance.forwarder.set_seat(Some(Seat { position: 0, count: 4 }));
    for number in 1..=40 {
        report(&mut instance, target(number, "desk").incarnation, FOUND + number * 250);
    }
    assert_eq!(instance.forwarder.count_excluded(), 13);
    instance.out = Decisions::default();

    instance.open(flow(0, FEED), FOUND + 10_000);

    let opened = instance.out.notes.iter().find_map(|note| match note {
        Note::Opened { candidates, .. } => Some(*candidates),
        _ => None,
    });
    assert!(opened.is_some_and(|count| count < 20), "{opened:?} candidates");
}

/// Guards against refusals while an excluded target could serve some requests.
#[test]
fn an_excluded_target_takes_flows_that_no_other_can_take() {
    let mut instance = with_excluded_target(3);
    for number in [2, 3] {
        let other = target(number, "desk").incarnation;
        instance.forwarder.handle_probe_result(
            other,
            ProbeResult::Gone,
            millis(FOUND + 10),
            &mut instance.out,
        );
    }

    assert_eq!(instance.open(flow(0, FEED), FOUND + 20), first());

    assert_eq!(instance.out.resets, []);
}

/// Guards against a service of one or two targets that loses one, and against a single instance
/// whose reports exclude a target.
#[test]
fn few_targets_are_not_excluded() {
    for count in [1, 2] {
        let mut instance = instance(count, true);
        report(&mut instance, first(), FOUND);
        assert_eq!(instance.forwarder.count_excluded(), 0, "of {count} targets");
    }
}

/// Guards against a restarted target that has no new flows because of what its previous start
/// did, and against an exclusion that is counted for a target that is gone.
#[test]
fn a_restarted_target_is_not_excluded() {
    let mut instance = with_excluded_target(6);
    let restarted = started(1, "desk", 1_700_000_900_000);
    instance.learn(incremental(101, Content::Target(restarted.clone())), FOUND + 100);

    let flows = count_at(&mut instance, restarted.incarnation, 0..40, FOUND + 200);

    assert!(flows > 0);
    assert_eq!(count_at(&mut instance, first(), 40..80, FOUND + 200), 0);
}

/// Guards against a target that serves again and gets nothing, and against several flows at once
/// at a target that may still fail.
#[test]
fn single_flows_try_an_excluded_target_after_its_pause() {
    let mut instance = with_excluded_target(6);
    let mut now = FOUND + 3_000;
    for trial in 0..3 {
        let first_number = trial * 100;
        let mut flows = (first_number..first_number + 40).map(|number| flow(number, FEED));
        let key = flows.find(|key| instance.open(*key, now) == first()).expect("a trial");
        let others = first_number + 40..first_number + 80;
        assert_eq!(count_at(&mut instance, first(), others, now), 0);
        now += 10;
        instance.packet(middle(key, first(), 1001, 500, 0), now);
        instance.packet(middle(key, first(), 1001, 500, 100), now);
        now += 20;
        instance.packet(middle(key, first(), 1101, 1_300, 0), now);
        instance.tick(now);
    }

    assert_eq!(instance.forwarder.count_excluded(), 0);
    let readmitted = instance.out.notes.iter().filter(|it| it.event() == "target readmitted");
    assert_eq!(readmitted.count(), 1);
    assert_eq!(instance.forwarder.counts().readmitted, 1);
}
