//! Flows survive the moves of their buckets, whichever instance gets their
//! packets.

use medlarspur_lib::time::Millis;
use medlarspur_testutils::{
    bundles::{FEEDS, Site, UPLOADS},
    fleet::{Fleet, Network},
    traffic::{Part, Spread, Traffic},
};

const KEEPALIVE: Millis = Millis::secs(30);

/// Eight instances in four failure domains before the first site's targets.
fn fleet(site: &Site) -> Fleet {
    Fleet::new(8, 4, &site.bundle(), Network::default())
}

/// Opens `count` flows over some seconds, a second packet right after each.
fn open_flows(fleet: &mut Fleet, traffic: &mut Traffic, count: usize) {
    for number in 0..count {
        let service = if number % 5 == 0 { UPLOADS } else { FEEDS };
        let flow = traffic.open(fleet, service);
        fleet.advance(Millis(5));
        traffic.collect(fleet);
        traffic.send(fleet, flow, Part::Middle);
    }
    settle(fleet, traffic);
}

/// Sends a packet of every flow, spread over a keep-alive's time.
fn keep_alive(fleet: &mut Fleet, traffic: &mut Traffic) {
    let pause = Millis(KEEPALIVE.0 / traffic.flows.len() as u64);
    for flow in 0..traffic.flows.len() {
        traffic.send(fleet, flow, Part::Middle);
        fleet.advance(pause);
    }
    settle(fleet, traffic);
}

fn settle(fleet: &mut Fleet, traffic: &mut Traffic) {
    fleet.advance(Millis(100));
    traffic.collect(fleet);
}

/// A target is drained for maintenance by a new bundle. Its feeds go on, their
/// packets reaching any instance, also those that never saw them. A user whose
/// feed is sent to another target gets a reset and loses alerts until it has
/// connected again.
#[test]
fn a_leaving_target_keeps_its_flows() {
    for spread in [Spread::Packets, Spread::Flows] {
        let site = Site::new(14, 4);
        let mut fleet = fleet(&site);
        let mut traffic = Traffic::new(spread, (0..8).collect());
        open_flows(&mut fleet, &mut traffic, 700);

        fleet.publish(&site.leaving("alertdesk-3").bundle());
        open_flows(&mut fleet, &mut traffic, 700);
        keep_alive(&mut fleet, &mut traffic);
        keep_alive(&mut fleet, &mut traffic);

        assert_eq!(traffic.broken(), 0, "{spread:?}");
        let guessed: u64 = fleet.nodes.iter().map(|node| node.forwarder.counters().guessed).sum();
        assert_eq!(guessed, 0, "{spread:?}");
    }
}

/// Two seconds after the news that a target leaves, new flows still reach it.
/// Work that it takes on so late is cut when its host goes down.
#[test]
fn a_leaving_target_gets_nothing_new_after_two_seconds() {
    let site = Site::new(14, 4);
    let leaving = site.bundle().services[0].targets[3].address;
    let mut fleet = fleet(&site);
    let mut traffic = Traffic::new(Spread::Packets, (0..8).collect());

    fleet.publish(&site.leaving("alertdesk-3").bundle());
    fleet.advance(Millis::secs(2));
    open_flows(&mut fleet, &mut traffic, 500);

    assert!(traffic.flows.iter().all(|flow| flow.target != Some(leaving)));
}
