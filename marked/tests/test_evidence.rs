//! Exchange of request outcomes between the instances of a failure domain.

use super::{
    fixtures::target,
    net::{Net, address},
};
use medlarspur_load::outlier::OutcomeCounts;
use medlarspur_marked::{
    Incarnation,
    message::{MAX_REPORTS, Message, TargetReport, decode, encode},
};
use std::net::SocketAddrV4;

fn counts(served: u16, bad: u16) -> OutcomeCounts {
    OutcomeCounts { served, bad }
}

fn settled_net(domains: u8, count: u8) -> Net {
    let mut net = Net::new(domains, count);
    net.run(8_000);
    net
}

fn desk() -> Incarnation {
    target(1, "desk").incarnation
}

/// Has an instance report outcomes at the target `desk`.
fn report(net: &mut Net, at: SocketAddrV4, it: OutcomeCounts) {
    let time = net.time();
    let instance = net.instances.get_mut(&at).expect("the instance exists");
    instance.fleet.send_reports(vec![(desk(), it)], time);
}

/// Delivers a report to an instance of domain 1 directly.
fn deliver(net: &mut Net, from: SocketAddrV4, number: u32, it: OutcomeCounts) {
    let time = net.time();
    let domain = net.instances[&from].fleet.domain();
    let instance = net.instances.get_mut(&address(1, 1)).expect("the instance exists");
    let reports = vec![TargetReport::new(&(desk(), it))];
    let message = Message::Evidence { domain, number, reports };
    assert!(instance.fleet.receive(from, message, &instance.catalog, time).is_none());
}

/// The reports on `desk` that an instance holds, if they have changed.
fn held(net: &mut Net, at: SocketAddrV4) -> Option<Vec<OutcomeCounts>> {
    let time = net.time();
    let instance = net.instances.get_mut(&at).expect("the instance exists");
    let mut reports = instance.fleet.take_reports(time)?;
    Some(reports.find(|(target, _)| *target == desk()).map_or(vec![], |(_, it)| it.collect()))
}

/// Guards against reports that cross failure domains: a fault may affect the callers of one only.
#[test]
fn reports_reach_the_instances_of_the_own_domain_only() {
    let mut net = settled_net(2, 4);

    report(&mut net, address(1, 3), counts(12, 25));
    net.run(50);

    for number in [1, 2, 4] {
        assert_eq!(held(&mut net, address(1, number)), Some(vec![counts(12, 25)]));
        assert_eq!(held(&mut net, address(2, number)), None);
    }
    deliver(&mut net, address(2, 1), 10, counts(0, 10));
    net.run(300);
    assert_eq!(held(&mut net, address(1, 1)), None);
}

/// Guards against failures that are counted again when a datagram is repeated, or reported by an
/// earlier datagram that arrives late.
#[test]
fn a_report_replaces_the_last_one_of_its_sender() {
    let mut net = settled_net(1, 3);
    let (one, other) = (address(1, 2), address(1, 3));

    deliver(&mut net, one, 10, counts(0, 10));
    deliver(&mut net, one, 10, counts(0, 10));
    deliver(&mut net, other, 5, counts(0, 20));
    deliver(&mut net, one, 20, counts(0, 30));
    deliver(&mut net, one, 19, counts(0, 90));

    assert_eq!(held(&mut net, address(1, 1)), Some(vec![counts(0, 30), counts(0, 20)]));
}

/// Guards against exclusions by the last words of an instance that is gone, frozen or cut off.
#[test]
fn reports_expire_also_if_their_datagram_is_repeated() {
    let mut net = settled_net(1, 3);
    deliver(&mut net, address(1, 2), 10, counts(0, 10));
    net.run(3_000);
    deliver(&mut net, address(1, 2), 10, counts(0, 10));
    assert_eq!(held(&mut net, address(1, 1)).map(|it| it.len()), Some(1));

    net.run(2_100);

    assert_eq!(held(&mut net, address(1, 1)), Some(vec![]));
}

/// Guards against old datagrams that wait in the socket of an instance that was frozen.
#[test]
fn an_instance_that_was_frozen_ignores_what_waited() {
    let mut net = settled_net(1, 3);
    net.now += 10_000;

    deliver(&mut net, address(1, 2), 10, counts(0, 10));

    assert_eq!(held(&mut net, address(1, 1)), None);
}

/// Guards against old datagrams of a pause that is too short to be noticed without being reported.
#[test]
fn an_instance_that_was_paused_ignores_what_waited() {
    let mut net = settled_net(1, 3);
    net.now += 1_000;
    net.instances.get_mut(&address(1, 1)).expect("the instance exists").fleet.resume();

    deliver(&mut net, address(1, 2), 10, counts(0, 10));
    net.run(20);
    deliver(&mut net, address(1, 3), 10, counts(0, 20));

    assert_eq!(held(&mut net, address(1, 1)), Some(vec![counts(0, 20)]));
}

/// Guards against memory that grows with the number of senders or of targets that don't exist.
#[test]
fn few_reports_are_held_for_a_target_and_none_for_unknown_ones() {
    let mut net = settled_net(1, 40);
    for number in 3..40 {
        deliver(&mut net, address(1, number), 10, counts(0, number.into()));
    }
    let most: Vec<OutcomeCounts> = held(&mut net, address(1, 1)).expect("changed");
    assert_eq!(most.len(), 8);
    assert!(most.iter().all(|it| it.bad >= 32), "those with the most outcomes stay: {most:?}");

    net.run(5_100);
    held(&mut net, address(1, 1));
    let time = net.time();
    let instance = net.instances.get_mut(&address(1, 2)).expect("the instance exists");
    instance.fleet.send_reports(vec![(Incarnation(1), counts(0, 10))], time);
    net.run(300);
    assert_eq!(held(&mut net, address(1, 1)), None);
}

/// Guards against control traffic beyond its limit while many targets fail, in domains of any
/// size, and against outcomes that reach no others.
#[test]
fn reports_of_many_targets_stay_within_the_traffic_limit() {
    let many = (0..200).map(|it| (target(it, "desk").incarnation, counts(100, 100)));
    for count in [17, 100] {
        let mut net = settled_net(1, count);
        let sender = address(1, 9);
        net.sent.clear();
        for _ in 0..100 {
            let time = net.time();
            let it = net.instances.get_mut(&sender).expect("the instance exists");
            if it.fleet.are_reports_due(time) {
                it.fleet.send_reports(many.clone().collect(), time);
            }
            net.run(100);
        }

        let rate = net.sent[&sender] / 10;
        assert!((1_500..4_000).contains(&rate), "{rate} bytes a second at {count} instances");
    }
}

/// Guards against counts that wrap around, and against more targets than a message may have.
#[test]
fn reports_fit_into_a_datagram() {
    let largest = TargetReport::new(&(Incarnation(u64::MAX), counts(1_020, 510)));
    assert_eq!(largest.counts(), counts(255, 127));
    let message = |count| Message::Evidence {
        domain: Net::new(1, 1).instances[&address(1, 1)].fleet.domain(),
        number: u32::MAX,
        reports: vec![largest; count],
    };

    let bytes = encode(&message(MAX_REPORTS)).expect("it fits");

    assert_eq!(decode(&bytes).expect("valid"), message(MAX_REPORTS));
    let bytes = encode(&message(MAX_REPORTS + 1)).expect("it fits");
    assert!(decode(&bytes).is_err());
}
