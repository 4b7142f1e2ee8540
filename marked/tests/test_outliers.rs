//! Targets that fail more requests than the others of their service.

use super::{
    fixtures::{
        Decisions, FEED, Instance, flow, incremental, middle, millis, snapshot, started, target,
    },
    net::{Net, address},
};
use medlarspur_lib::{
    collections::Map, ids::DomainName, settings::Capabilities, status::TargetUse,
};
use medlarspur_load::{outlier::OutcomeCounts, warmup::Seat};
use medlarspur_marked::{
    Content, FlowKey, Forwarder, ForwarderOptions, Incarnation, Note, ProbeResult, Target,
};
use std::{collections::BTreeMap, net::SocketAddrV4, ops::Range};

/// Length of an answer by which a target fails a request.
const FAILURE: u32 = 213;
/// Length of a full answer.
const FULL: u32 = 840;
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

/// Sends a request on a flow and acknowledges its answer.
fn request(
    instance: &mut Instance,
    (key, at): (FlowKey, Incarnation),
    nth: u32,
    answer: u32,
    now: u64,
) {
    let (seq, ack) = (1001 + nth * 100, 500 + nth * FULL);
    instance.packet(middle(key, at, seq, ack, 100), now);
    instance.packet(middle(key, at, seq + 100, ack + answer, 0), now + 5);
}

/// Has enough requests served for failures to be told from full answers.
fn learn_lengths(instance: &mut Instance, now: u64) {
    let at = (flow(60_000, FEED), target(2, "desk").incarnation);
    (0..80).for_each(|nth| request(instance, at, nth, FULL, now + u64::from(nth)));
}

/// Opens flows and returns how many of them went to a target.
fn count_at(instance: &mut Instance, at: Incarnation, flows: Range<u16>, now: u64) -> usize {
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
    for number in 1..=8 {
        report(&mut instance, target(number, "desk").incarnation, FOUND + number * 250);
    }
    let excluded = instance.out.notes.iter().filter_map(|note| match note {
        Note::Excluded { target, .. } => Some(*target),
        _ => None,
    });
    let excluded: Vec<Incarnation> = excluded.collect();
    assert_eq!(excluded.len(), 8);
    instance.out = Decisions::default();

    instance.open(flow(0, FEED), FOUND + 2_100);

    let opened = instance.out.notes.iter().find_map(|note| match note {
        Note::Opened { candidates, .. } => Some(*candidates),
        _ => None,
    });
    assert!(opened.is_some_and(|count| count < 20), "{opened:?} candidates");
    let targets: Vec<_> = (1..80).map(|it| instance.open(flow(it, FEED), FOUND + 2_100)).collect();
    assert!(!targets.iter().any(|it| excluded.contains(it)));
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
    assert_eq!(instance.forwarder.count_excluded(), 0);

    let flows = count_at(&mut instance, restarted.incarnation, 0..40, FOUND + 200);

    assert!(flows > 0);
    assert_eq!(count_at(&mut instance, first(), 40..80, FOUND + 200), 0);
}

/// Guards against a target that serves again and gets nothing, and against several flows at once
/// at a target that may still fail.
#[test]
fn single_flows_try_an_excluded_target_after_its_pause() {
    for (answer, excluded) in [(FULL, 0), (FAILURE, 1)] {
        let mut instance = with_excluded_target(6);
        learn_lengths(&mut instance, FOUND);
        let now = FOUND + 9_000;
        let mut flows = (0..40).map(|number| flow(number, FEED));
        let key = flows.find(|key| instance.open(*key, now) == first()).expect("a trial");
        assert_eq!(count_at(&mut instance, first(), 40..80, now), 0);
        instance.packet(middle(key, first(), 1001, 500, 0), now);

        request(&mut instance, (key, first()), 0, answer, now);
        instance.tick(now + 500);

        assert_eq!(instance.forwarder.count_excluded(), excluded);
        let events: Vec<_> = instance.out.notes.iter().map(|it| it.event()).collect();
        assert_eq!(events.contains(&"target readmitted"), excluded == 0);
        assert_eq!(count_at(&mut instance, first(), 80..120, now + 600) == 0, excluded == 1);
    }
}

/// Guards against failures that an instance sees itself and that change nothing.
#[test]
fn a_target_that_fails_the_requests_of_this_instance_is_excluded() {
    let mut instance = instance(6, true);
    learn_lengths(&mut instance, 0);
    for nth in 0..4 {
        request(&mut instance, (flow(nth, FEED), first()), 0, FAILURE, 10_000);
    }

    (10_000..11_000).step_by(50).for_each(|now| instance.tick(now));

    assert_eq!(instance.usage(flow(0, FEED), first(), 11_000), TargetUse::Excluded);
}

/// Instances of a net, with their forwarders.
struct Site {
    net: Net,
    instances: BTreeMap<SocketAddrV4, Instance>,
}

impl Site {
    /// Creates a site of two failure domains whose instances know the lengths of answers.
    fn new(count: u8) -> Site {
        let mut net = Net::new(2, count);
        targets(6).into_iter().for_each(|it| net.publish(Content::Target(it)));
        net.run(8_000);
        let addresses: Vec<_> = net.instances.keys().copied().collect();
        let now = net.time().0;
        let instances = addresses.into_iter().map(|at| {
            let mut it = instance(6, true);
            learn_lengths(&mut it, now - 8_000);
            (at, it)
        });
        Site { instances: instances.collect(), net }
    }

    /// Has the instances exchange their outcomes for some time.
    fn run(&mut self, span: u64) {
        for _ in 0..span / 50 {
            self.net.run(50);
            let time = self.net.time();
            for (at, it) in &mut self.instances {
                let fleet = &mut self.net.instances.get_mut(at).expect("the instance exists").fleet;
                if let Some(reports) = fleet.take_reports(time) {
                    it.forwarder.set_reports(reports);
                }
                if fleet.are_reports_due(time) {
                    fleet.send_reports(it.forwarder.reports(time), time);
                }
                it.tick(time.0);
            }
        }
    }

    /// Has one request of each instance of a domain fail at the first target, and some be served
    /// at each of the others.
    fn fail_once(&mut self, domain: u8, numbers: Range<u8>) {
        let now = self.net.time().0;
        for number in numbers {
            let it = self.instances.get_mut(&address(domain, number)).expect("it exists");
            request(it, (flow(number.into(), FEED), first()), 0, FAILURE, now);
            for other in 2..=6 {
                let key = flow(u16::from(number) * 100 + other as u16, FEED);
                let other = target(other, "desk").incarnation;
                (0..3).for_each(|nth| request(it, (key, other), nth, FULL, now));
            }
        }
    }

    /// The instances that have excluded a target.
    fn excluding(&self) -> Vec<SocketAddrV4> {
        let instances = self.instances.iter().filter(|(_, it)| it.forwarder.count_excluded() > 0);
        instances.map(|(at, _)| *at).collect()
    }
}

/// Guards against a fault that no instance sees often enough alone, and against exclusions in
/// the domains that it doesn't affect.
#[test]
fn the_instances_of_one_domain_exclude_a_target_that_fails_for_its_callers() {
    let mut site = Site::new(5);

    site.fail_once(1, 1..6);
    site.run(1_500);

    assert_eq!(site.excluding(), (1..6).map(|it| address(1, it)).collect::<Vec<_>>());
}

/// Guards against exclusions by reports of instances that were cut off since.
#[test]
fn instances_without_a_connection_decide_by_what_they_see() {
    let mut site = Site::new(6);
    site.net.isolated.extend([address(1, 5), address(1, 6)]);

    site.fail_once(1, 1..7);
    site.run(1_500);
    assert_eq!(site.excluding(), (1..5).map(|it| address(1, it)).collect::<Vec<_>>());

    site.run(5_000);
    site.net.isolated.clear();
    site.run(2_000);
    assert_eq!(site.excluding(), (1..5).map(|it| address(1, it)).collect::<Vec<_>>());
}
