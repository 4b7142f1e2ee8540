//! Who reads the store, and who hears of its news how soon.

use super::net::{Net, address};
use medlarspur_lib::ids::DomainName;
use medlarspur_marked::{
    Content,
    message::{MessageError, decode, encode},
};
use proptest::{collection::vec, prelude::*};

/// How long news may take to be in force, from the users' bound of 3 s with
/// half a second for what the model leaves out.
const BOUND: u64 = 2_500;
/// How soon an evacuation should be in force everywhere; the users' bound is 5 s.
const EVACUATION_AIM: u64 = 1_500;

fn settled(domains: u8, count: u8) -> Net {
    let mut net = Net::new(domains, count);
    net.run(8_000);
    net
}

#[test]
fn all_know_all_soon_after_they_start() {
    let mut net = Net::new(4, 17);

    net.run(300);

    assert_eq!(net.behind(), []);
}

#[test]
fn two_of_each_domain_read_the_store() {
    let net = settled(4, 17);

    for domain in 1..=4 {
        assert_eq!(net.readers(domain), [address(domain, 1), address(domain, 2)]);
    }
}

#[test]
fn news_reaches_all_within_the_bound() {
    let mut net = settled(4, 17);

    for number in 10..30 {
        net.list(number);
        net.run(130);
    }
    net.run(BOUND);

    assert_eq!(net.behind(), []);
}

/// Operators empty a failure domain and want nothing new there soon after.
#[test]
fn an_evacuation_is_in_force_everywhere_soon() {
    for count in [18, 75] {
        let mut net = settled(4, count);
        for _ in 0..5 {
            net.publish(Content::Evacuated(DomainName::new("domain-2")));
            net.run(2_350);
            net.publish(Content::EvacuationEnded(DomainName::new("domain-2")));
            net.run(2_750);
        }

        assert!(net.lag <= EVACUATION_AIM, "{} ms with {count} a domain", net.lag);
        assert_eq!(net.behind(), []);
    }
}

/// A domain is cut off, the store included. All its instances find that out soon, and that it
/// is over as soon.
#[test]
fn a_domain_that_is_cut_off_knows_it() {
    let mut net = settled(3, 12);
    let cut_off = |net: &Net, domain| net.cut_off(domain);
    assert_eq!((cut_off(&net, 1), cut_off(&net, 2)), (0, 0));

    net.cut.insert(2);
    net.serve(2, false);
    net.run(3_500);
    assert_eq!((cut_off(&net, 1), cut_off(&net, 2)), (0, 12));

    net.cut.clear();
    net.serve(2, true);
    net.run(1_500);
    assert_eq!((cut_off(&net, 1), cut_off(&net, 2)), (0, 0));
}

/// Readers are killed, again and again. The others take their places before they take
/// themselves for cut off for longer than a moment.
#[test]
fn a_domain_whose_readers_die_is_not_cut_off_for_long() {
    let mut net = settled(2, 12);
    let mut longest = 0;
    for _ in 0..4 {
        for reader in net.readers(2) {
            net.instances.get_mut(&reader).expect("it is there").up = false;
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

/// Two datagrams of a hundred get lost between instances. News must not be
/// lost with them.
#[test]
fn lost_datagrams_delay_news_but_do_not_lose_it() {
    let mut net = settled(4, 17);
    net.loss = 20;

    for number in 10..40 {
        net.list(number);
        net.run(200);
    }
    net.run(BOUND);

    assert_eq!(net.behind(), []);
}

/// News comes every half second and some datagrams get lost. The next news says
/// that something is lacking, and it comes by way of a listener that is not known
/// here. Unless the reader is asked then, the instance goes on with an old
/// picture as long as news keeps coming, since a reader with news sends no
/// heartbeats: callers are sent to targets that leave, and to routes that are gone.
#[test]
fn news_that_keeps_coming_does_not_hide_what_was_lost() {
    let mut net = settled(2, 17);
    net.loss = 20;

    for number in 10..70 {
        net.list(number);
        net.run(500);
    }

    assert!(net.lag < BOUND, "an instance was {} ms behind", net.lag);
}

/// An instance that lacks something hears that from a listener which it does not
/// know. What that one knows was never told, so it must not be taken for
/// nothing: the reader that the news comes from has it all.
#[test]
fn the_reader_is_asked_for_what_an_unknown_listener_shows_to_be_lacking() {
    let mut net = settled(1, 5);
    let (reader, listener, unknown) = (address(1, 1), address(1, 5), address(1, 77));
    let it = net.instances.get_mut(&listener).expect("it is there");
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

/// Instances that only listen hear each other at the start and not again: they tell their
/// readers that they are there. An instance that forgot the others took its part of the targets
/// for far larger than it is.
#[test]
fn listeners_go_on_knowing_each_other() {
    let mut net = settled(2, 12);

    for _ in 0..20 {
        net.run(1_000);
        let known: Vec<usize> = net.instances.values().map(|it| it.fleet.domain_size()).collect();
        assert_eq!(known, [12; 24], "{} ms", net.now);
    }
}

/// The readers of a domain die while it is cut off from the seeds. Whoever has forgotten the
/// others takes itself for the only one and reads for as long as the cut lasts.
#[test]
fn two_read_again_when_the_readers_die_during_a_cut() {
    let mut net = settled(2, 12);
    net.run(6_000);
    net.cut.insert(1);
    for reader in net.readers(2) {
        net.instances.get_mut(&reader).expect("it is there").up = false;
    }

    net.run(8_000);

    assert_eq!(net.readers(2).len(), 2);
}

/// Both readers of a domain are killed. The others hear nothing any more and
/// must not go on with an old picture.
#[test]
fn others_read_when_the_readers_are_gone() {
    let mut net = settled(3, 8);
    for reader in net.readers(1) {
        net.instances.get_mut(&reader).expect("it is there").up = false;
    }

    net.list(10);
    net.run(BOUND + 500);

    assert_eq!(net.behind(), []);
    net.run(8_000);
    assert_eq!(net.readers(1).len(), 2);
}

/// The store turns some instances away and serves the others, among the former
/// both readers of a domain. They say so, and others take over.
#[test]
fn others_read_when_the_store_turns_the_readers_away() {
    let mut net = settled(3, 8);
    for reader in net.readers(2) {
        net.instances.get_mut(&reader).expect("it is there").served = false;
    }
    net.run(1_600);

    net.list(10);
    net.run(BOUND);

    assert_eq!(net.behind(), []);
}

/// A whole domain is turned away by the store. It hears of news from other
/// domains, through the seeds.
#[test]
fn a_domain_without_the_store_hears_from_others() {
    let mut net = settled(3, 4);
    for number in 1..=4 {
        net.instances.get_mut(&address(3, number)).expect("it is there").served = false;
    }
    net.run(3_000);

    net.list(10);
    net.run(3_500);

    assert_eq!(net.behind(), []);
}

/// A domain is cut off from the others and from the store. When the cut heals,
/// it must catch up without a restart.
#[test]
fn a_domain_that_was_cut_off_catches_up() {
    let mut net = settled(3, 4);
    net.cut.insert(3);
    for number in 1..=4 {
        net.instances.get_mut(&address(3, number)).expect("it is there").served = false;
    }
    net.run(2_000);
    net.list(10);
    net.run(4_000);
    assert_eq!(net.behind().len(), 4);

    net.cut.clear();
    for number in 1..=4 {
        net.instances.get_mut(&address(3, number)).expect("it is there").served = true;
    }
    net.run(BOUND);

    assert_eq!(net.behind(), []);
}

/// An instance starts while the store is away for all. It needs the picture
/// that the others still have.
#[test]
fn an_instance_that_starts_without_the_store_learns_from_others() {
    let mut net = settled(3, 4);
    for instance in net.instances.values_mut() {
        instance.served = false;
    }
    net.run(3_000);

    net.start(address(3, 9));
    net.instances.get_mut(&address(3, 9)).expect("it is there").served = false;
    net.run(100);

    assert_eq!(net.behind(), []);
}

/// Messages between all pairs would grow with the square of the fleet. At the
/// size aimed for, an instance would do little else.
#[test]
fn messages_of_an_instance_do_not_grow_with_the_fleet() {
    let per_instance = |count: u8| {
        let mut net = settled(3, count);
        net.datagrams = 0;
        for number in 10..20 {
            net.list(number);
            net.run(1_000);
        }
        net.datagrams as f64 / f64::from(count) / 3.0
    };

    let (small, large) = (per_instance(10), per_instance(100));

    assert!(large < small * 1.5, "{small} datagrams, then {large}");
}

/// Whoever lacks something asks for it by a connection. If most of a large domain
/// had to ask after each change, its two readers would do little else.
#[test]
fn nobody_has_to_ask_while_no_datagram_is_lost() {
    let mut net = settled(2, 100);
    net.asked = 0;

    for number in 10..30 {
        net.list(number);
        net.run(700);
    }
    net.run(BOUND);

    assert_eq!((net.behind(), net.asked), (vec![], 0));
}

/// What an instance sends must fit into what a node may spend for control at the
/// size aimed for, 8 KB a second.
#[test]
fn no_instance_of_a_large_domain_exceeds_its_traffic() {
    for pause in [1_000, 5_000] {
        let mut net = settled(1, 100);
        net.sent.clear();

        for number in 10..30 {
            net.list(number);
            net.run(pause);
        }

        let most = net.sent.values().max().expect("somebody sends") * 1000 / (20 * pause);
        assert!(most < 8_000, "{most} bytes a second with news every {pause} ms");
    }
}

/// Whoever has just asked for news hears of more and must wait before it asks
/// again. If its next step lay in the past until then, the main thread would
/// spin, on a twentieth of a core, instead of passing packets on.
#[test]
fn an_instance_that_waits_to_ask_again_does_not_spin() {
    let mut net = settled(1, 5);
    let listener = address(1, 5);
    let reader = address(1, 1);
    let revision = medlarspur_marked::Revision::new(0, 1_000);
    let it = net.instances.get_mut(&listener).expect("it is there");
    let beat = medlarspur_marked::message::Heartbeat {
        domain: it.fleet.domain(),
        role: medlarspur_marked::message::Role::Reader,
        answer_age: Some(0),
        revision,
        wants_reply: false,
        contacts: Vec::new(),
        seat: None,
    };
    let message = medlarspur_marked::message::Message::Heartbeat(beat);
    let now = super::fixtures::millis(2_000_000);
    it.fleet.receive(reader, message, &it.catalog, now);
    it.fleet.catch_up();
    assert_eq!(it.fleet.take_pull(it.catalog.revision(), now), Some(reader));

    it.fleet.catch_up();

    assert_eq!(it.fleet.take_pull(it.catalog.revision(), now), None);
    assert!(it.fleet.deadline(now) > now);
}

/// Guards against a few instances that tell all who return together while the store is silent.
#[test]
fn pictures_are_told_by_all_who_have_them() {
    let returned = |count: u8| {
        let mut net = settled(6, count);
        net.telling = (120, 4);
        (1..=6).for_each(|domain| net.serve(domain, false));
        let lost = (1..=6).flat_map(|domain| (1..=count / 2 + 1).map(move |nth| (domain, nth)));
        for (domain, nth) in lost.clone() {
            net.instances.get_mut(&address(domain, nth)).expect("it is there").up = false;
        }
        net.run(2_000);
        for (domain, nth) in lost {
            net.start(address(domain, nth));
            net.instances.get_mut(&address(domain, nth)).expect("it is there").served = false;
        }
        net.told.clear();
        let start = net.now;
        while !net.behind().is_empty() && net.now < start + 10_000 {
            net.run(50);
        }
        (net.now - start, net.told.values().copied().max().expect("somebody tells"))
    };

    let (small, large) = (returned(10), returned(80));

    assert!(large.0 <= 2 * small.0 && large.1 <= 2 * small.1, "{small:?}, then {large:?}");
}

/// Guards against news that a large domain's addresses leave no room for in a datagram.
#[test]
fn news_fits_into_datagrams_whatever_the_size_of_the_domain() {
    for count in [100, 250] {
        let mut net = settled(1, count);
        net.run(4_000);
        net.asked = 0;

        for number in (10..130).step_by(30) {
            (number..number + 30).for_each(|number| drop(net.list(number)));
            net.run(1_200);
        }

        assert_eq!((net.behind(), net.asked), (vec![], 0), "{count} in a domain");
    }
}

/// Guards against turning away whoever starts in a fleet of more instances than are remembered.
#[test]
fn a_seed_answers_whoever_asks_however_many_it_knows() {
    let mut net = settled(2, 12);
    let now = super::fixtures::millis(2_000_000);
    let stranger = |nth: u16, domain| {
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
    let seed = net.instances.get_mut(&address(1, 1)).expect("it is there");
    let (own, other) = (seed.fleet.domain(), medlarspur_marked::message::DomainId(7));

    for (count, domain) in [(1_200, other), (1_300, own)] {
        let (at, message) = stranger(count, domain);
        (0..count).for_each(|nth| {
            let (at, message) = stranger(nth, other);
            seed.fleet.receive(at, message, &seed.catalog, now);
        });
        seed.fleet.take_outgoing();
        let known = seed.fleet.domain_size();

        seed.fleet.receive(at, message, &seed.catalog, now);

        let answered = seed.fleet.take_outgoing().iter().any(|it| it.to == at);
        assert!(answered, "{count} others");
        assert_eq!(seed.fleet.domain_size() - known, usize::from(domain == own));
    }
}

/// Each call is priced. With a watch on every instance, calls would grow with
/// the fleet.
#[test]
fn calls_do_not_grow_with_the_fleet() {
    let calls = |count: u8| {
        let mut net = settled(3, count);
        // Some that heard of one reader only read for a few seconds more.
        net.run(4_000);
        net.calls = 0;
        net.run(30_000);
        net.calls
    };

    assert_eq!(calls(60), calls(6));
}

/// A domain and more of targets, of which the last ones came in the seconds that get lost.
fn with_targets(net: &mut Net, count: u64) {
    (100..100 + count).for_each(|number| drop(net.list(number)));
    net.run(4_000);
}

/// Guards against news that is lost or late since its revision was given out before.
#[test]
fn news_after_a_restore_reaches_all_within_the_bound() {
    let mut net = settled(4, 17);
    with_targets(&mut net, 10);

    for _ in 0..3 {
        let lost = net.restore(4);
        lost.into_iter().for_each(|it| net.publish(it));
        net.run(BOUND);
        assert_eq!(net.behind(), []);
        net.list(300 + u64::from(net.era));
        net.run(BOUND);
        assert_eq!(net.behind(), []);
    }
}

/// Guards against instances of a domain that is cut off while the store comes back twice.
#[test]
fn a_domain_that_was_cut_off_during_two_restores_catches_up() {
    let mut net = settled(3, 6);
    with_targets(&mut net, 10);
    net.cut.insert(3);
    net.serve(3, false);
    net.run(2_000);

    for _ in 0..2 {
        net.restore(2);
        net.list(300 + u64::from(net.era));
        net.run(1_500);
    }
    assert_eq!(net.behind().len(), 6);
    net.cut.clear();
    net.serve(3, true);
    net.run(BOUND + 500);

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

/// Guards against a restore for which each instance of a domain reads or asks for all.
#[test]
fn a_restore_costs_a_whole_reading_for_each_reader_only() {
    let cost = |count: u8, targets: u64| {
        let mut net = settled(3, count);
        with_targets(&mut net, targets);
        (net.readings, net.calls, net.told_bytes) = (0, 0, 0);
        net.sent.clear();

        let lost = net.restore(3);
        lost.into_iter().for_each(|it| net.publish(it));
        net.run(5_000);

        assert_eq!(net.behind(), []);
        let sent: u64 = net.sent.values().sum();
        (net.readings, net.calls, net.told_bytes / u64::from(count), sent / u64::from(count))
    };

    let (small, large) = (cost(10, 60), cost(80, 240));
    eprintln!("readings, calls, bytes told and sent an instance: {small:?}, then {large:?}");

    assert_eq!((small.0, large.0), (6, 6));
    assert!(large.1 <= small.1 + 6, "calls {} and {}", small.1, large.1);
    assert!(large.2 <= small.2 + 200, "{} and {} bytes told", small.2, large.2);
    assert!(large.3 < small.3 * 2, "{} and {} bytes sent", small.3, large.3);
}

/// Guards against a message of a far era that puts an instance beyond the reach of honest news.
#[test]
fn a_liar_about_the_era_is_outlived() {
    for era in [1, 2, 50, 4_000_000_000] {
        let mut net = settled(2, 6);
        let (liar, listener) = (address(1, 77), address(1, 6));
        let now = net.time();
        let it = net.instances.get_mut(&listener).expect("it is there");
        let known = it.catalog.revision();
        let update = medlarspur_marked::Update {
            revision: medlarspur_marked::Revision::new(era, 1_000_000),
            scope: medlarspur_marked::Scope::Incremental(known),
            changes: Vec::new(),
            unconfirmed: Vec::new(),
        };
        let message = medlarspur_marked::message::Message::Update {
            reader: liar,
            update,
            to: vec![],
            seat: None,
        };
        if let Some(update) = it.fleet.receive(liar, message, &it.catalog, now) {
            it.catalog.merge(update, now);
        }

        net.run(30_000);
        net.list(300);
        net.run(BOUND);

        let revision = net.instances[&listener].catalog.revision();
        assert_eq!(net.behind(), [], "era {era}");
        assert_eq!(revision.era, 0, "era {era}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Anybody may send anything to the address for messages.
    #[test]
    fn any_bytes_are_a_message_or_a_typed_error(bytes in vec(any::<u8>(), 0..300)) {
        if let Ok(message) = decode(&bytes) {
            prop_assert!(encode(&message).is_ok());
        }
    }
}

#[test]
fn a_message_of_another_version_is_not_taken() {
    assert!(matches!(decode(&[99, 0, 0]), Err(MessageError::Version)));
    assert!(matches!(decode(&[]), Err(MessageError::Version)));
}
