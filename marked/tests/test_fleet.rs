//! Choice of readers, and the delay of updates until all instances have them.

use super::net::{Net, address};
use medlarspur_lib::ids::DomainName;
use medlarspur_marked::{
    Content,
    message::{MessageError, decode, encode},
};
use proptest::{collection::vec, prelude::*};

/// Limit in milliseconds until an update is in force: the required 3 s without half a second for
/// what the simulation leaves out.
const UPDATE_BOUND: u64 = 2_500;
/// Limit in milliseconds until an evacuation is in force everywhere. The requirement is 5 s.
const EVACUATION_LIMIT: u64 = 1_500;

fn settled_net(domains: u8, count: u8) -> Net {
    let mut net = Net::new(domains, count);
    net.run(8_000);
    net
}

#[test]
fn all_instances_know_all_changes_soon_after_the_start() {
    let mut net = Net::new(4, 17);

    net.run(300);

    assert_eq!(net.behind(), []);
}

#[test]
fn two_instances_of_each_domain_read_the_store() {
    let net = settled_net(4, 17);

    for domain in 1..=4 {
        assert_eq!(net.readers(domain), [address(domain, 1), address(domain, 2)]);
    }
}

#[test]
fn updates_reach_all_instances_within_the_bound() {
    let mut net = settled_net(4, 17);

    for number in 10..30 {
        net.list_target(number);
        net.run(130);
    }
    net.run(UPDATE_BOUND);

    assert_eq!(net.behind(), []);
}

/// Guards against new flows in a domain long after operators have evacuated it.
#[test]
fn an_evacuation_is_in_force_everywhere_soon() {
    for count in [18, 75] {
        let mut net = settled_net(4, count);
        for _ in 0..5 {
            net.publish(Content::Evacuated(DomainName::new("domain-2")));
            net.run(2_350);
            net.publish(Content::EvacuationEnded(DomainName::new("domain-2")));
            net.run(2_750);
        }

        assert!(net.lag <= EVACUATION_LIMIT, "{} ms with {count} a domain", net.lag);
        assert_eq!(net.behind(), []);
    }
}

/// Guards against instances of a domain without a connection to other domains and the store that
/// don't detect the beginning or the end of that state soon.
#[test]
fn instances_of_a_cut_off_domain_detect_it() {
    let mut net = settled_net(3, 12);
    let cut_off = |net: &Net, domain| net.cut_off(domain);
    assert_eq!((cut_off(&net, 1), cut_off(&net, 2)), (0, 0));

    net.partitioned.insert(2);
    net.set_store_reachable(2, false);
    net.run(3_500);
    assert_eq!((cut_off(&net, 1), cut_off(&net, 2)), (0, 12));

    net.partitioned.clear();
    net.set_store_reachable(2, true);
    net.run(1_500);
    assert_eq!((cut_off(&net, 1), cut_off(&net, 2)), (0, 0));
}

/// Guards against instances that assume to be cut off from the store while new readers replace
/// killed ones.
#[test]
fn a_domain_whose_readers_die_is_not_cut_off_for_long() {
    let mut net = settled_net(2, 12);
    let mut longest = 0;
    for _ in 0..4 {
        for reader in net.readers(2) {
            net.instances.get_mut(&reader).expect("the instance exists").up = false;
        }
        let mut span = 0;
        for _ in 0..400 {
            net.run(10);
            span = if net.cut_off(2) > 0 { span + 10 } else { 0 };
            longest = longest.max(span);
        }
    }

    assert!(longest <= 400, "{longest} ms");
}

/// Guards against updates that get lost along with 2 % of the datagrams.
#[test]
fn lost_datagrams_delay_updates_but_lose_none() {
    let mut net = settled_net(4, 17);
    net.loss = 20;

    for number in 10..40 {
        net.list_target(number);
        net.run(200);
    }
    net.run(UPDATE_BOUND);

    assert_eq!(net.behind(), []);
}

/// Guards against a catalog that stays outdated while updates keep coming. Updates are sent every
/// half second, and one gets lost. The next one shows the gap, but arrives through an unknown
/// listener, and the reader sends no heartbeats while it has updates. Without a pull from the
/// reader, callers would be sent to leaving targets and removed routes.
#[test]
fn frequent_updates_do_not_hide_a_lost_one() {
    let mut net = settled_net(2, 17);
    net.loss = 20;

    for number in 10..70 {
        net.list_target(number);
        net.run(500);
    }

    assert!(net.lag < UPDATE_BOUND, "an instance was {} ms behind", net.lag);
}

/// Guards against ignoring a gap because the update arrived through an unknown listener, about
/// whose revision nothing is known. The reader that the update comes from has all changes.
#[test]
fn changes_missing_before_a_forwarded_update_are_pulled_from_its_reader() {
    let mut net = settled_net(1, 5);
    let (reader, listener, unknown) = (address(1, 1), address(1, 5), address(1, 77));
    let it = net.instances.get_mut(&listener).expect("the instance exists");
    let known = it.catalog.revision();
    let update = medlarspur_marked::Update {
        revision: medlarspur_marked::Revision::new(0, known.count + 2),
        scope: medlarspur_marked::Scope::Incremental(medlarspur_marked::Revision::new(
            0,
            known.count + 1,
        )),
        changes: Vec::new(),
        unconfirmed: Vec::new(),
    };
    let message =
        medlarspur_marked::message::Message::Update { reader, update, to: Vec::new(), seat: None };
    let now = super::fixtures::millis(2_000_000);

    it.fleet.receive(unknown, message, &it.catalog, now);

    let later = super::fixtures::millis(2_000_300);
    assert_eq!(it.fleet.take_pull(known, later), Some(reader));
}

/// Guards against listeners that forget each other, as they exchange heartbeats at the start only
/// and later send them to readers. Each would then overestimate its share of the targets.
#[test]
fn listeners_do_not_forget_each_other() {
    let mut net = settled_net(2, 12);

    for _ in 0..20 {
        net.run(1_000);
        let known: Vec<usize> = net.instances.values().map(|it| it.fleet.domain_size()).collect();
        assert_eq!(known, [12; 24], "{} ms", net.now);
    }
}

/// Guards against an instance that remains the only reader because it forgot the others. The
/// readers die while a partition separates the domain from the seeds.
#[test]
fn two_readers_follow_when_the_readers_die_during_a_partition() {
    let mut net = settled_net(2, 12);
    net.run(6_000);
    net.partitioned.insert(1);
    for reader in net.readers(2) {
        net.instances.get_mut(&reader).expect("the instance exists").up = false;
    }

    net.run(8_000);

    assert_eq!(net.readers(2).len(), 2);
}

/// Guards against outdated catalogs after both readers of a domain were killed and no updates
/// arrive any more.
#[test]
fn new_readers_follow_when_the_readers_are_gone() {
    let mut net = settled_net(3, 8);
    for reader in net.readers(1) {
        net.instances.get_mut(&reader).expect("the instance exists").up = false;
    }

    net.list_target(10);
    net.run(UPDATE_BOUND + 500);

    assert_eq!(net.behind(), []);
    net.run(8_000);
    assert_eq!(net.readers(1).len(), 2);
}

/// Guards against outdated catalogs when the store refuses some instances, including both readers
/// of a domain, and answers others.
#[test]
fn new_readers_follow_when_the_store_refuses_the_readers() {
    let mut net = settled_net(3, 8);
    for reader in net.readers(2) {
        net.instances.get_mut(&reader).expect("the instance exists").store_reachable = false;
    }
    net.run(1_600);

    net.list_target(10);
    net.run(UPDATE_BOUND);

    assert_eq!(net.behind(), []);
}

/// Guards against outdated catalogs in a domain whose instances are all refused by the store.
/// Updates reach it from other domains through the seeds.
#[test]
fn a_domain_without_the_store_learns_from_other_domains() {
    let mut net = settled_net(3, 4);
    for number in 1..=4 {
        net.instances.get_mut(&address(3, number)).expect("the instance exists").store_reachable =
            false;
    }
    net.run(3_000);

    net.list_target(10);
    net.run(3_500);

    assert_eq!(net.behind(), []);
}

/// Guards against a domain that needs a restart to catch up after it was partitioned from the
/// others and from the store.
#[test]
fn a_domain_that_was_cut_off_catches_up() {
    let mut net = settled_net(3, 4);
    net.partitioned.insert(3);
    for number in 1..=4 {
        net.instances.get_mut(&address(3, number)).expect("the instance exists").store_reachable =
            false;
    }
    net.run(2_000);
    net.list_target(10);
    net.run(4_000);
    assert_eq!(net.behind().len(), 4);

    net.partitioned.clear();
    for number in 1..=4 {
        net.instances.get_mut(&address(3, number)).expect("the instance exists").store_reachable =
            true;
    }
    net.run(UPDATE_BOUND);

    assert_eq!(net.behind(), []);
}

/// Guards against an instance without a catalog that starts while no instance can reach the store.
/// The others still have snapshots.
#[test]
fn an_instance_that_starts_without_the_store_learns_from_others() {
    let mut net = settled_net(3, 4);
    for instance in net.instances.values_mut() {
        instance.store_reachable = false;
    }
    net.run(3_000);

    net.start(address(3, 9));
    net.instances.get_mut(&address(3, 9)).expect("the instance exists").store_reachable = false;
    net.run(100);

    assert_eq!(net.behind(), []);
}

/// Guards against heartbeats between all pairs, which would grow with the square of the fleet and
/// take up most of an instance's time at the intended scale.
#[test]
fn messages_of_an_instance_do_not_grow_with_the_fleet() {
    let per_instance = |count: u8| {
        let mut net = settled_net(3, count);
        net.datagrams = 0;
        for number in 10..20 {
            net.list_target(number);
            net.run(1_000);
        }
        net.datagrams as f64 / f64::from(count) / 3.0
    };

    let (small, large) = (per_instance(10), per_instance(100));

    assert!(large < small * 1.5, "{small} datagrams, then {large}");
}

/// Guards against pulls after every change, which need a connection each. In a large domain, the
/// two readers would do little else.
#[test]
fn no_pull_is_needed_while_no_datagram_is_lost() {
    let mut net = settled_net(2, 100);
    net.pull_count = 0;

    for number in 10..30 {
        net.list_target(number);
        net.run(700);
    }
    net.run(UPDATE_BOUND);

    assert_eq!((net.behind(), net.pull_count), (vec![], 0));
}

/// Guards against more control traffic than a node may use at the intended scale, 8 KB a second.
#[test]
fn no_instance_of_a_large_domain_exceeds_its_traffic_limit() {
    for pause in [1_000, 5_000] {
        let mut net = settled_net(1, 100);
        net.sent.clear();

        for number in 10..30 {
            net.list_target(number);
            net.run(pause);
        }

        let most = net.sent.values().max().expect("some were sent") * 1000 / (20 * pause);
        assert!(most < 8_000, "{most} bytes a second with an update every {pause} ms");
    }
}

/// Guards against a next step in the past while an instance that has just pulled learns of more
/// changes and must wait before the next pull. The main thread would spin, which costs a twentieth
/// of a core, instead of forwarding packets.
#[test]
fn an_instance_that_waits_for_its_next_pull_does_not_spin() {
    let mut net = settled_net(1, 5);
    let listener = address(1, 5);
    let reader = address(1, 1);
    let revision = medlarspur_marked::Revision::new(0, 1_000);
    let it = net.instances.get_mut(&listener).expect("the instance exists");
    let heartbeat = medlarspur_marked::message::Heartbeat {
        domain: it.fleet.domain(),
        role: medlarspur_marked::message::Role::Reader,
        answer_age: Some(0),
        revision,
        wants_reply: false,
        contacts: Vec::new(),
        seat: None,
    };
    let message = medlarspur_marked::message::Message::Heartbeat(heartbeat);
    let now = super::fixtures::millis(2_000_000);
    it.fleet.receive(reader, message, &it.catalog, now);
    it.fleet.catch_up();
    assert_eq!(it.fleet.take_pull(it.catalog.revision(), now), Some(reader));

    it.fleet.catch_up();

    assert_eq!(it.fleet.take_pull(it.catalog.revision(), now), None);
    assert!(it.fleet.deadline(now) > now);
}

/// Guards against a few instances that serve snapshots to all others, which return together while
/// the store is unavailable.
#[test]
fn snapshots_are_served_by_all_instances_that_have_one() {
    let returned = |count: u8| {
        let mut net = settled_net(6, count);
        net.transfer_limits = (120, 4);
        (1..=6).for_each(|domain| net.set_store_reachable(domain, false));
        let lost = (1..=6).flat_map(|domain| (1..=count / 2 + 1).map(move |nth| (domain, nth)));
        for (domain, nth) in lost.clone() {
            net.instances.get_mut(&address(domain, nth)).expect("the instance exists").up = false;
        }
        net.run(2_000);
        for (domain, nth) in lost {
            net.start(address(domain, nth));
            net.instances
                .get_mut(&address(domain, nth))
                .expect("the instance exists")
                .store_reachable = false;
        }
        net.snapshots_sent.clear();
        let start = net.now;
        while !net.behind().is_empty() && net.now < start + 10_000 {
            net.run(50);
        }
        (net.now - start, net.snapshots_sent.values().copied().max().expect("some were sent"))
    };

    let (small, large) = (returned(10), returned(80));

    assert!(large.0 <= 2 * small.0 && large.1 <= 2 * small.1, "{small:?}, then {large:?}");
}

/// Guards against updates that don't fit into a datagram beside the addresses of a large domain.
#[test]
fn updates_fit_into_datagrams_in_domains_of_any_size() {
    for count in [100, 250] {
        let mut net = settled_net(1, count);
        net.run(4_000);
        net.pull_count = 0;

        for number in (10..130).step_by(30) {
            (number..number + 30).for_each(|number| drop(net.list_target(number)));
            net.run(1_200);
        }

        assert_eq!((net.behind(), net.pull_count), (vec![], 0), "{count} in a domain");
    }
}

/// Guards against a seed that leaves a starting instance without a reply because the fleet is
/// larger than its peer table.
#[test]
fn a_seed_with_a_full_peer_table_still_replies() {
    let mut net = settled_net(2, 12);
    let now = super::fixtures::millis(2_000_000);
    let heartbeat_from = |nth: u16, domain| {
        let [high, low] = nth.to_be_bytes();
        let at = std::net::SocketAddrV4::new([10, 9, high, low].into(), 8166);
        let heartbeat = medlarspur_marked::message::Heartbeat {
            domain,
            role: medlarspur_marked::message::Role::Listener,
            answer_age: None,
            revision: medlarspur_marked::Revision::new(0, 0),
            wants_reply: true,
            contacts: Vec::new(),
            seat: None,
        };
        (at, medlarspur_marked::message::Message::Heartbeat(heartbeat))
    };
    let seed = net.instances.get_mut(&address(1, 1)).expect("the instance exists");
    let (own, other) = (seed.fleet.domain(), medlarspur_marked::message::DomainId(7));

    for (count, domain) in [(1_200, other), (1_300, own)] {
        let (at, message) = heartbeat_from(count, domain);
        (0..count).for_each(|nth| {
            let (at, message) = heartbeat_from(nth, other);
            seed.fleet.receive(at, message, &seed.catalog, now);
        });
        seed.fleet.take_outgoing();
        let known = seed.fleet.domain_size();

        seed.fleet.receive(at, message, &seed.catalog, now);

        let answered = seed.fleet.take_outgoing().iter().any(|it| it.to == at);
        assert!(answered, "with {count} other instances");
        assert_eq!(seed.fleet.domain_size() - known, usize::from(domain == own));
    }
}

/// Guards against calls to the store, which cost money, that grow with the fleet, as with a watch
/// in every instance.
#[test]
fn calls_do_not_grow_with_the_fleet() {
    let calls = |count: u8| {
        let mut net = settled_net(3, count);
        // Instances that knew only one reader may continue reading for a few seconds.
        net.run(4_000);
        net.calls = 0;
        net.run(30_000);
        net.calls
    };

    assert_eq!(calls(60), calls(6));
}

/// Lists `count` targets, the last of which a restore will lose.
fn with_targets(net: &mut Net, count: u64) {
    (100..100 + count).for_each(|number| drop(net.list_target(number)));
    net.run(4_000);
}

/// Guards against updates that are lost or late because their counts were already used in an
/// earlier era.
#[test]
fn updates_after_a_restore_reach_all_instances_within_the_bound() {
    let mut net = settled_net(4, 17);
    with_targets(&mut net, 10);

    for _ in 0..3 {
        let lost = net.restore(4);
        lost.into_iter().for_each(|it| net.publish(it));
        net.run(UPDATE_BOUND);
        assert_eq!(net.behind(), []);
        net.list_target(300 + u64::from(net.era));
        net.run(UPDATE_BOUND);
        assert_eq!(net.behind(), []);
    }
}

/// Guards against outdated catalogs in a domain that was partitioned while the store was restored
/// twice.
#[test]
fn a_domain_that_was_cut_off_during_two_restores_catches_up() {
    let mut net = settled_net(3, 6);
    with_targets(&mut net, 10);
    net.partitioned.insert(3);
    net.set_store_reachable(3, false);
    net.run(2_000);

    for _ in 0..2 {
        net.restore(2);
        net.list_target(300 + u64::from(net.era));
        net.run(1_500);
    }
    assert_eq!(net.behind().len(), 6);
    net.partitioned.clear();
    net.set_store_reachable(3, true);
    net.run(UPDATE_BOUND + 500);

    assert_eq!(net.behind(), []);
    let known = |net: &Net| {
        let listed = |it: &super::net::Instance| {
            let entries = it.catalog.entries().filter(|it| it.is_listed());
            entries.map(|it| it.target.incarnation).collect::<std::collections::BTreeSet<_>>()
        };
        net.instances.values().map(listed).collect::<std::collections::BTreeSet<_>>()
    };
    net.run(4_000);
    assert_eq!(known(&net).len(), 1);
}

/// Guards against a restore after which every instance of a domain makes a full read or pulls a
/// snapshot.
#[test]
fn after_a_restore_only_readers_make_a_full_read() {
    let cost = |count: u8, targets: u64| {
        let mut net = settled_net(3, count);
        with_targets(&mut net, targets);
        (net.full_reads, net.calls, net.pulled_bytes) = (0, 0, 0);
        net.sent.clear();

        let lost = net.restore(3);
        lost.into_iter().for_each(|it| net.publish(it));
        net.run(5_000);

        assert_eq!(net.behind(), []);
        let sent: u64 = net.sent.values().sum();
        (net.full_reads, net.calls, net.pulled_bytes / u64::from(count), sent / u64::from(count))
    };

    let (small, large) = (cost(10, 60), cost(80, 240));
    eprintln!(
        "full reads, calls, and bytes pulled and sent per instance: {small:?}, then {large:?}"
    );

    assert_eq!((small.0, large.0), (6, 6));
    assert!(large.1 <= small.1 + 6, "calls {} and {}", small.1, large.1);
    assert!(large.2 <= small.2 + 200, "{} and {} bytes pulled", small.2, large.2);
    assert!(large.3 < small.3 * 2, "{} and {} bytes sent", small.3, large.3);
}

/// Guards against a message with a false, far later era, after which an instance would ignore all
/// true updates.
#[test]
fn a_false_era_does_not_last() {
    for era in [1, 2, 50, 4_000_000_000] {
        let mut net = settled_net(2, 6);
        let (forger, listener) = (address(1, 77), address(1, 6));
        let now = net.time();
        let it = net.instances.get_mut(&listener).expect("the instance exists");
        let known = it.catalog.revision();
        let update = medlarspur_marked::Update {
            revision: medlarspur_marked::Revision::new(era, 1_000_000),
            scope: medlarspur_marked::Scope::Incremental(known),
            changes: Vec::new(),
            unconfirmed: Vec::new(),
        };
        let message = medlarspur_marked::message::Message::Update {
            reader: forger,
            update,
            to: vec![],
            seat: None,
        };
        if let Some(update) = it.fleet.receive(forger, message, &it.catalog, now) {
            it.catalog.merge(update, now);
        }

        net.run(30_000);
        net.list_target(300);
        net.run(UPDATE_BOUND);

        let revision = net.instances[&listener].catalog.revision();
        assert_eq!(net.behind(), [], "era {era}");
        assert_eq!(revision.era, 0, "era {era}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against panics, as anything may be sent to the control address.
    #[test]
    fn any_bytes_decode_to_a_message_or_an_error(bytes in vec(any::<u8>(), 0..300)) {
        if let Ok(message) = decode(&bytes) {
            prop_assert!(encode(&message).is_ok());
        }
    }
}

#[test]
fn a_message_of_another_version_is_rejected() {
    assert!(matches!(decode(&[99, 0, 0]), Err(MessageError::Version)));
    assert!(matches!(decode(&[]), Err(MessageError::Version)));
}
