//! Tests that flows survive moves of their buckets, whichever instance gets their
//! packets.

use medlarspur_lib::{
    bundle::Protocol,
    ids::{InstanceName, TargetName},
    message::ServicePlan,
    packet::FlowKey,
    planner,
    time::Millis,
};
use medlarspur_testutils::{
    bundles::{FEEDS, REQUESTS, SiteBuilder, UPLOADS},
    fleet::{Fleet, Network},
    traffic::{Distribution, SegmentKind, Traffic, segment},
};

const KEEPALIVE: Millis = Millis::secs(30);

/// Starts eight instances in four failure domains.
fn fleet(site: &SiteBuilder) -> Fleet {
    Fleet::new(8, 4, &site.bundle(), Network::default())
}

/// Number of flows opened at the same time.
const BATCH: usize = 10;

/// Opens `count` flows in batches, one batch every 5 ms, and sends the second
/// packet of each flow 5 ms after its first.
fn open_flows(fleet: &mut Fleet, traffic: &mut Traffic, count: usize) {
    for first in (0..count).step_by(BATCH) {
        let numbers = first..(first + BATCH).min(count);
        let service = |number: usize| if number.is_multiple_of(5) { UPLOADS } else { FEEDS };
        let flows: Vec<_> = numbers.map(|n| traffic.open(fleet, service(n))).collect();
        fleet.advance(Millis(5));
        traffic.record_arrivals(fleet);
        for flow in flows {
            traffic.send(fleet, flow, SegmentKind::Continue);
        }
    }
    settle(fleet, traffic);
}

/// Sends a packet of every flow, spread over [`KEEPALIVE`].
fn keep_alive(fleet: &mut Fleet, traffic: &mut Traffic) {
    keep_all_alive(fleet, std::slice::from_mut(traffic));
    settle(fleet, traffic);
}

/// Sends a packet of every flow of several traffics, spread over [`KEEPALIVE`].
fn keep_all_alive(fleet: &mut Fleet, traffics: &mut [Traffic]) {
    let most = traffics.iter().map(|traffic| traffic.flows.len()).max().unwrap_or(0);
    let pause = Millis(KEEPALIVE.0 / most.max(1) as u64);
    for flow in 0..most {
        for traffic in traffics.iter_mut().filter(|traffic| flow < traffic.flows.len()) {
            traffic.send(fleet, flow, SegmentKind::Continue);
        }
        fleet.advance(pause);
    }
}

fn settle(fleet: &mut Fleet, traffic: &mut Traffic) {
    fleet.advance(Millis(100));
    traffic.record_arrivals(fleet);
}

/// Guards against feeds that break when a bundle drains their target. Packets of a
/// feed reach any instance, also instances that don't know the feed. If one sends a
/// packet to another target, the user gets a reset and loses alerts until it has
/// reconnected.
#[test]
fn a_leaving_target_keeps_its_flows() {
    for distribution in [Distribution::PerPacket, Distribution::PerFlow] {
        let site = SiteBuilder::new(14, 4);
        let mut fleet = fleet(&site);
        let mut traffic = Traffic::new(distribution, (0..8).collect());
        open_flows(&mut fleet, &mut traffic, 4000);

        fleet.publish(&site.leaving("alertdesk-3").bundle());
        open_flows(&mut fleet, &mut traffic, 4000);
        keep_alive(&mut fleet, &mut traffic);
        keep_alive(&mut fleet, &mut traffic);

        assert_eq!(traffic.count_broken(), 0, "{distribution:?}");
        let guessed: u64 = fleet.nodes.iter().map(|node| node.forwarder.counters().guessed).sum();
        assert_eq!(guessed, 0, "{distribution:?}");
    }
}

/// Guards against new flows at a target later than two seconds after the bundle in
/// which it leaves. Their work would be interrupted when its host goes down.
#[test]
fn a_leaving_target_gets_no_new_flow_after_two_seconds() {
    let site = SiteBuilder::new(14, 4);
    let leaving = site.bundle().services[0].targets[3].address;
    let mut fleet = fleet(&site);
    let mut traffic = Traffic::new(Distribution::PerPacket, (0..8).collect());

    fleet.publish(&site.leaving("alertdesk-3").bundle());
    fleet.advance(Millis::secs(2));
    open_flows(&mut fleet, &mut traffic, 4000);

    assert!(traffic.flows.iter().all(|flow| flow.target != Some(leaving)));
}

/// Guards against a feed that breaks right after it was opened, while a plan
/// spreads that moves the buckets of an unhealthy target. One instance gets the
/// plan 400 ms before another and opens a flow at the new owner. The next packet
/// reaches the other instance, which must not send it to the old owner.
#[test]
fn a_planned_move_breaks_no_flow_while_it_spreads() {
    let site = SiteBuilder::new(14, 4);
    let mut fleet = fleet(&site);
    let mut traffic = Traffic::new(Distribution::PerPacket, (0..8).collect());
    open_flows(&mut fleet, &mut traffic, 4000);

    let service = site.bundle().services[0].clone();
    let bad = [TargetName::new("alertdesk-5")].into_iter().collect();
    let moves =
        planner::avoid_targets(&service, &bad).expect("a single unhealthy target can be avoided");
    fleet.publish_plan(&ServicePlan {
        service: service.name.clone(),
        sequence: 1,
        author: InstanceName::new("i2"),
        moves,
    });
    open_flows(&mut fleet, &mut traffic, 4000);
    keep_alive(&mut fleet, &mut traffic);

    assert_eq!(traffic.count_broken(), 0);
}

/// Guards against feeds that break, although nothing failed, when an instance is
/// replaced while a target drains. The new instance has an empty flow table and
/// gets packets of unknown flows, and the old one stays in the fabric's list for a
/// while.
#[test]
fn replacing_an_instance_while_a_target_drains_breaks_no_flow() {
    for distribution in [Distribution::PerPacket, Distribution::PerFlow] {
        let site = SiteBuilder::new(14, 4);
        let mut fleet = fleet(&site);
        let mut traffic = Traffic::new(distribution, (0..8).collect());
        open_flows(&mut fleet, &mut traffic, 4000);

        fleet.publish(&site.leaving("alertdesk-3").bundle());
        fleet.advance(Millis(300));
        fleet.join();
        fleet.leave(2);
        open_flows(&mut fleet, &mut traffic, 3000);
        traffic.set_instances(vec![0, 1, 3, 4, 5, 6, 7, 8]);
        open_flows(&mut fleet, &mut traffic, 3000);
        fleet.retire(2);
        keep_alive(&mut fleet, &mut traffic);
        keep_alive(&mut fleet, &mut traffic);

        assert_eq!(traffic.count_broken(), 0, "{distribution:?}");
    }
}

/// Guards against packets sent to a target that does not know their flow. The host
/// of an instance suspends it, a target leaves meanwhile, and the instance wakes up
/// with queued packets and its old table. It must ask its peers before it uses that
/// table.
#[test]
fn an_instance_that_slept_asks_peers_before_it_forwards() {
    let site = SiteBuilder::new(14, 4);
    let mut fleet = fleet(&site);
    let mut traffic = Traffic::new(Distribution::PerPacket, (0..8).collect());
    open_flows(&mut fleet, &mut traffic, 4000);

    fleet.freeze(4, true);
    fleet.publish(&site.leaving("alertdesk-3").bundle());
    traffic.set_instances(vec![0, 1, 2, 3, 5, 6, 7]);
    fleet.advance(Millis::secs(8));
    open_flows(&mut fleet, &mut traffic, 4000);
    fleet.freeze(4, false);
    fleet.advance(Millis(5));
    traffic.set_instances((0..8).collect());
    for flow in 0..traffic.flows.len() {
        traffic.send(&mut fleet, flow, SegmentKind::Continue);
    }
    keep_alive(&mut fleet, &mut traffic);

    assert_eq!(traffic.count_broken(), 0);
}

/// Guards against openings that an instance holds while it is suspended and sends by
/// its old view when it resumes. They would reach a target that has left since.
#[test]
fn openings_held_during_a_sleep_reach_no_target_that_left_meanwhile() {
    let site = SiteBuilder::new(4, 4);
    let leaving = site.bundle().services[0].targets[3].address;
    let mut fleet = fleet(&site);
    let mut traffic = Traffic::new(Distribution::PerFlow, vec![4]);
    let now = fleet.now;
    fleet.nodes[4].forwarder.distrust(now);

    (0..50).for_each(|_| _ = traffic.open(&mut fleet, REQUESTS));
    fleet.freeze(4, true);
    fleet.publish(&site.leaving("alertdesk-3").bundle());
    fleet.advance(Millis::secs(8));
    fleet.freeze(4, false);
    settle(&mut fleet, &mut traffic);

    assert_eq!(traffic.flows.iter().filter(|flow| flow.target == Some(leaving)).count(), 0);
    assert_eq!(fleet.nodes[4].forwarder.counters().after_sleep, 50);
}

/// Guards against packets that an instance sends by its old view after it was
/// suspended, because its peers are slow to answer. Flows that were opened meanwhile
/// would be reset by a target that doesn't know them.
#[test]
fn after_a_sleep_no_unknown_flow_is_sent_on_a_guess() {
    let site = SiteBuilder::new(4, 4);
    let slow = Network { delay: Millis(15), ..Network::default() };
    let mut fleet = Fleet::new(8, 4, &site.bundle(), slow);
    let mut traffic = Traffic::new(Distribution::PerFlow, vec![0]);

    fleet.freeze(4, true);
    fleet.publish(&site.leaving("alertdesk-3").bundle());
    fleet.advance(Millis::secs(8));
    let flows: Vec<_> = (0..50).map(|_| traffic.open(&mut fleet, REQUESTS)).collect();
    settle(&mut fleet, &mut traffic);
    fleet.freeze(4, false);
    fleet.advance(Millis(5));
    traffic.set_instances(vec![4]);
    flows.iter().for_each(|flow| traffic.send(&mut fleet, *flow, SegmentKind::Continue));
    settle(&mut fleet, &mut traffic);

    assert!(traffic.flows.iter().all(|flow| flow.target.is_some()), "all flows are open");
    assert_eq!(traffic.count_broken(), 0);
}

/// Guards against an old opening that an instance reads after it was suspended and
/// sends to the target of a flow that it knows. If the target is leaving, it resets
/// the flow, which another instance may have opened meanwhile.
#[test]
fn after_a_sleep_no_old_opening_of_a_known_flow_is_sent() {
    let mut fleet = fleet(&SiteBuilder::new(4, 4));
    let mut traffic = Traffic::new(Distribution::PerFlow, vec![4]);
    let flow = traffic.open(&mut fleet, REQUESTS);
    settle(&mut fleet, &mut traffic);

    fleet.freeze(4, true);
    fleet.advance(Millis::secs(8));
    fleet.freeze(4, false);
    fleet.advance(Millis(5));
    fleet.receive(4, &segment(&traffic.flows[flow].key, SegmentKind::Open));

    assert!(traffic.flows[flow].target.is_some(), "the flow was opened");
    assert_eq!(fleet.packets, []);
}

/// Guards against flows that change their target when operators cancel the leaving
/// of a target soon after they published it. This concerns flows opened before and
/// after the cancellation.
#[test]
fn a_cancelled_move_breaks_no_flow() {
    for pause in [100, 700, 1500, 5000] {
        let site = SiteBuilder::new(14, 4);
        let mut fleet = fleet(&site);
        let mut traffic = Traffic::new(Distribution::PerPacket, (0..8).collect());
        open_flows(&mut fleet, &mut traffic, 3000);

        let leaving = site.leaving("alertdesk-3");
        fleet.publish(&leaving.bundle());
        fleet.advance(Millis(pause));
        fleet.publish(&leaving.returning("alertdesk-3").bundle());
        open_flows(&mut fleet, &mut traffic, 4000);
        keep_alive(&mut fleet, &mut traffic);

        assert_eq!(traffic.count_broken(), 0, "after {pause} ms");
    }
}

/// Guards against the loss of the flows of a killed instance. Under a fabric that
/// sprays packets other instances know them. Under one that hashes flows their
/// target is the owner of their bucket, as long as the bucket has not moved.
#[test]
fn a_killed_instance_breaks_no_flow_while_no_bucket_moves() {
    for distribution in [Distribution::PerPacket, Distribution::PerFlow] {
        let site = SiteBuilder::new(14, 4);
        let mut fleet = fleet(&site);
        let mut traffic = Traffic::new(distribution, (0..8).collect());
        open_flows(&mut fleet, &mut traffic, 4000);

        fleet.kill(6);
        traffic.set_instances(vec![0, 1, 2, 3, 4, 5, 7]);
        open_flows(&mut fleet, &mut traffic, 2000);
        keep_alive(&mut fleet, &mut traffic);

        assert_eq!(traffic.count_broken(), 0, "{distribution:?}");
    }
}

/// Guards against feeds sent to another target after a network partition has
/// healed. Two of four failure domains are separated for a minute, and only one
/// side receives the bundles in which a target leaves and becomes active again. The
/// other side never learns of the move, and after the partition a packet of a feed
/// that was opened during the move may reach it.
#[test]
fn a_healed_partition_breaks_no_flow() {
    let sides = [vec![0, 1, 4, 5], vec![2, 3, 6, 7]];
    let site = SiteBuilder::new(14, 4);
    let mut fleet = fleet(&site);
    let mut number = 0;
    let mut traffic = sides.clone().map(|list| {
        number += 1;
        Traffic::new(Distribution::PerPacket, list).with_subnet(number)
    });
    for traffic in &mut traffic {
        open_flows(&mut fleet, traffic, 1000);
    }

    fleet.partition(|ix| u8::from(sides[1].contains(&ix)));
    fleet.advance(Millis::secs(15));
    let leaving = site.leaving("alertdesk-3");
    fleet.publish_on(0, &leaving.bundle());
    for traffic in &mut traffic {
        open_flows(&mut fleet, traffic, 4000);
    }
    let returned = leaving.returning("alertdesk-3").bundle();
    fleet.publish_on(0, &returned);
    keep_all_alive(&mut fleet, &mut traffic);
    fleet.heal();
    fleet.publish(&returned);
    fleet.advance(Millis(450));
    for traffic in &mut traffic {
        traffic.set_instances((0..8).collect());
    }
    for traffic in &mut traffic {
        for flow in 0..traffic.flows.len() {
            traffic.send(&mut fleet, flow, SegmentKind::Continue);
        }
    }
    keep_all_alive(&mut fleet, &mut traffic);

    assert_eq!(traffic.map(|traffic| traffic.count_broken()), [0, 0]);
}

/// Guards against a request that runs twice, such as a booking. A caller uses TCP
/// Fast Open, which sends its request with the SYN. If the answer is lost and the
/// SYN is retransmitted while its bucket moves, a second target would get it.
#[test]
fn a_syn_with_data_reaches_no_target() {
    let site = SiteBuilder::new(14, 4);
    let mut fleet = fleet(&site);
    let caller = "10.0.0.1:40000".parse().expect("an address");
    let key = FlowKey { protocol: Protocol::Tcp, caller, service: REQUESTS };
    let mut packet = segment(&key, SegmentKind::Open);
    packet.extend(b"REQ 1");
    packet[3] = packet.len() as u8;

    fleet.receive(0, &packet);
    fleet.advance(Millis::secs(1));

    assert!(fleet.packets.is_empty());
    assert_eq!(fleet.nodes[0].forwarder.counters().syn_with_data, 1);
}

/// Guards against keepers that forget flows and then deny them. A target began to
/// leave some minutes ago and nothing has changed since, so each feed that stays
/// with it is known to one instance and to its keepers only. When that instance
/// dies, denied feeds would be sent to the present owner of their bucket, which
/// breaks them.
#[test]
fn keepers_remember_flows_while_nothing_changes() {
    let site = SiteBuilder::new(14, 4);
    let mut fleet = fleet(&site);
    let mut traffic = Traffic::new(Distribution::PerFlow, (0..8).collect());
    open_flows(&mut fleet, &mut traffic, 2000);

    fleet.publish(&site.leaving("alertdesk-3").bundle());
    for _ in 0..6 {
        keep_alive(&mut fleet, &mut traffic);
    }
    fleet.kill(6);
    traffic.set_instances(vec![0, 1, 2, 3, 4, 5, 7]);
    keep_alive(&mut fleet, &mut traffic);
    keep_alive(&mut fleet, &mut traffic);

    assert_eq!(traffic.count_broken(), 0);
}
