//! Owners of targets in slow start, whatever the instances know about each other.

use super::{
    fixtures::config,
    net::{Net, address},
};
use medlarspur_lib::{ids::ServiceName, time::Millis};
use medlarspur_load::warmup::MAX_OWNERS;
use medlarspur_marked::{Content, Service, Warmup};
use proptest::prelude::*;
use std::{collections::BTreeMap, net::SocketAddrV4};

/// Number of observed targets in each domain.
const TARGETS: u64 = 24;
/// Time in milliseconds within which owners count together, with a margin.
const WINDOW: u64 = 1_100;

/// A net in which a service limits the load on its targets in slow start.
fn net_with_slow_start(domains: u8, count: u8) -> Net {
    let mut net = Net::new(domains, count);
    let mut bounded = config(2);
    let warmup = Some(Warmup { span: Millis(2_000), rate: 4 });
    let name = ServiceName::new("desk");
    bounded.services = vec![Service { name, health: "/health".into(), warmup }];
    net.publish(Content::Config(bounded));
    net
}

/// Times at which each instance last owned a target of its domain.
#[derive(Default)]
struct Owners {
    last: BTreeMap<(u8, u64), BTreeMap<SocketAddrV4, u64>>,
    /// Maximum number of owners that one target had within the window.
    max: usize,
    /// Current number of owners of all targets together.
    now: usize,
}

impl Owners {
    /// Advances the time and records the owners.
    fn watch(&mut self, net: &mut Net, span: u64) {
        for _ in 0..span / 10 {
            net.run(10);
            self.note(net);
        }
    }

    fn note(&mut self, net: &Net) {
        self.now = 0;
        for (at, seat) in net.seats() {
            for target in (0..TARGETS).filter(|it| seat.owns(*it)) {
                let owners = self.last.entry((at.ip().octets()[1], target)).or_default();
                owners.insert(at, net.now);
                self.now += 1;
            }
        }
        for owners in self.last.values_mut() {
            owners.retain(|_, last| net.now - *last < WINDOW);
            self.max = self.max.max(owners.len());
        }
    }
}

#[test]
fn each_slow_target_has_one_owner_soon_after_the_start() {
    let mut net = net_with_slow_start(4, 18);
    let mut owners = Owners::default();

    owners.watch(&mut net, 12_000);

    assert_eq!(owners.now, 4 * TARGETS as usize);
    assert!(owners.max <= MAX_OWNERS as usize, "{} owners of one target", owners.max);
}

/// Guards against losing seats while updates keep coming, as when a whole service is replaced,
/// which is when targets are in slow start. Updates then replace the heartbeats that carry seats.
#[test]
fn seats_are_assigned_while_updates_keep_coming() {
    let mut net = net_with_slow_start(1, 18);
    net.run(10_000);
    let mut owners = Owners::default();
    for number in 10..30 {
        net.list_target(number);
        owners.watch(&mut net, 300);
    }

    assert_eq!(owners.now, TARGETS as usize);
}

/// Guards against two owners of a target in slow start: the first reader was frozen, another one
/// has taken its place, and the woken one goes on as if it had not.
#[test]
fn a_reader_that_was_frozen_has_no_seat_until_the_store_answers_it() {
    let mut net = net_with_slow_start(1, 6);
    net.run(10_000);
    let first = *net.readers(1).iter().min().expect("the domain has readers");
    net.instances.get_mut(&first).expect("the instance exists").up = false;
    net.run(3_000);

    net.instances.get_mut(&first).expect("the instance exists").up = true;

    assert!(net.seats().count() > 0, "another reader assigns seats");
    assert!(!net.seats().any(|(at, _)| at == first));
    net.run(500);
    assert!(net.seats().any(|(at, _)| at == first));
}

/// A change of the net.
#[derive(Debug, Clone, Copy)]
enum Event {
    Partition(u8),
    Heal,
    /// The current readers of a domain are killed.
    KillReaders(u8),
    /// Some instances of a domain are killed and start again.
    Restart(u8, u8),
    Loss(u64),
    Update(u64),
    StoreUnreachable(u8),
}

fn event() -> impl Strategy<Value = Event> {
    let domain = 1..=2u8;
    prop_oneof![
        domain.clone().prop_map(Event::Partition),
        Just(Event::Heal),
        domain.clone().prop_map(Event::KillReaders),
        (domain.clone(), 1..10u8).prop_map(|(domain, count)| Event::Restart(domain, count)),
        (0..150u64).prop_map(Event::Loss),
        (10..40u64).prop_map(Event::Update),
        domain.prop_map(Event::StoreUnreachable),
    ]
}

fn apply(net: &mut Net, event: Event) {
    match event {
        Event::Partition(domain) => drop(net.partitioned.insert(domain)),
        Event::Heal => {
            net.partitioned.clear();
            net.set_store_reachable(1, true);
            net.set_store_reachable(2, true);
        }
        Event::KillReaders(domain) => {
            for reader in net.readers(domain) {
                net.instances.get_mut(&reader).expect("the instance exists").up = false;
            }
        }
        Event::Restart(domain, count) => {
            (1..=count).for_each(|nth| net.start(address(domain, nth)))
        }
        Event::Loss(loss) => net.loss = loss,
        Event::Update(number) => drop(net.list_target(number)),
        Event::StoreUnreachable(domain) => net.set_store_reachable(domain, false),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, cases: 24, ..ProptestConfig::default()
    })]

    /// Guards against too many owners of a target in slow start, and so against more load than its
    /// limit, when domains are partitioned, readers die, many instances start at once, datagrams
    /// get lost and updates are late.
    #[test]
    fn no_slow_target_has_too_many_owners(
        events in proptest::collection::vec((event(), 1..30u64), 1..14)
    ) {
        let mut net = net_with_slow_start(2, 12);
        let mut owners = Owners::default();
        owners.watch(&mut net, 8_000);
        for (event, pause) in events {
            apply(&mut net, event);
            owners.watch(&mut net, pause * 100);
        }

        prop_assert!(owners.max <= MAX_OWNERS as usize, "{} owners of one target", owners.max);
    }
}
