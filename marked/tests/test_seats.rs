//! Who owns slow targets, whatever instances believe of each other.

use super::{
    fixtures::config,
    net::{Net, address},
};
use medlarspur_lib::{ids::ServiceName, time::Millis};
use medlarspur_load::warmup::MAX_OWNERS;
use medlarspur_marked::{Content, Service, Warmup};
use proptest::prelude::*;
use std::{collections::BTreeMap, net::SocketAddrV4};

/// How many targets of each domain are looked at.
const TARGETS: u64 = 24;
/// Within which time owners count together, and some more.
const WINDOW: u64 = 1_100;

/// A fleet in which a service bounds what its slow targets get.
fn fleet(domains: u8, count: u8) -> Net {
    let mut net = Net::new(domains, count);
    let mut bounded = config(2);
    let warmup = Some(Warmup { span: Millis(2_000), rate: 4 });
    let name = ServiceName::new("desk");
    bounded.services = vec![Service { name, health: "/health".into(), warmup }];
    net.publish(Content::Config(bounded));
    net
}

/// When each instance owned a target of its domain last.
#[derive(Default)]
struct Owners {
    last: BTreeMap<(u8, u64), BTreeMap<SocketAddrV4, u64>>,
    most: usize,
    /// The owners at this moment, of all targets.
    now: usize,
}

impl Owners {
    /// Lets time pass and notes who owns what.
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
            self.most = self.most.max(owners.len());
        }
    }
}

#[test]
fn each_slow_target_has_one_owner_soon_after_the_start() {
    let mut net = fleet(4, 18);
    let mut owners = Owners::default();

    owners.watch(&mut net, 12_000);

    assert_eq!(owners.now, 4 * TARGETS as usize);
    assert!(owners.most <= MAX_OWNERS as usize, "{} owners of one target", owners.most);
}

/// News keeps coming, as while a whole service is replaced, which is when targets are slow.
/// Heartbeats stay out meanwhile, and with them seats would.
#[test]
fn seats_are_told_while_news_keeps_coming() {
    let mut net = fleet(1, 18);
    net.run(10_000);
    let mut owners = Owners::default();
    for number in 10..30 {
        net.list(number);
        owners.watch(&mut net, 300);
    }

    assert_eq!(owners.now, TARGETS as usize);
}

/// What may happen to a fleet.
#[derive(Debug, Clone, Copy)]
enum Event {
    Cut(u8),
    Join,
    /// The first readers of a domain are killed.
    KillReaders(u8),
    /// Some of a domain are killed, and start again.
    Restart(u8, u8),
    Loss(u64),
    News(u64),
    Unserved(u8),
}

fn event() -> impl Strategy<Value = Event> {
    let domain = 1..=2u8;
    prop_oneof![
        domain.clone().prop_map(Event::Cut),
        Just(Event::Join),
        domain.clone().prop_map(Event::KillReaders),
        (domain.clone(), 1..10u8).prop_map(|(domain, count)| Event::Restart(domain, count)),
        (0..150u64).prop_map(Event::Loss),
        (10..40u64).prop_map(Event::News),
        domain.prop_map(Event::Unserved),
    ]
}

fn apply(net: &mut Net, event: Event) {
    match event {
        Event::Cut(domain) => drop(net.cut.insert(domain)),
        Event::Join => {
            net.cut.clear();
            net.serve(1, true);
            net.serve(2, true);
        }
        Event::KillReaders(domain) => {
            for reader in net.readers(domain) {
                net.instances.get_mut(&reader).expect("it is there").up = false;
            }
        }
        Event::Restart(domain, count) => {
            (1..=count).for_each(|nth| net.start(address(domain, nth)))
        }
        Event::Loss(loss) => net.loss = loss,
        Event::News(number) => drop(net.list(number)),
        Event::Unserved(domain) => net.serve(domain, false),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, cases: 24, ..ProptestConfig::default()
    })]

    /// Domains are cut off, readers die, instances start in herds, messages get lost and news
    /// comes late. Whatever instances believe of each other meanwhile, no slow target has more
    /// owners within a second than its bound bears.
    #[test]
    fn no_slow_target_has_too_many_owners(
        events in proptest::collection::vec((event(), 1..30u64), 1..14)
    ) {
        let mut net = fleet(2, 12);
        let mut owners = Owners::default();
        owners.watch(&mut net, 8_000);
        for (event, pause) in events {
            apply(&mut net, event);
            owners.watch(&mut net, pause * 100);
        }

        prop_assert!(owners.most <= MAX_OWNERS as usize, "{} owners of one target", owners.most);
    }
}
