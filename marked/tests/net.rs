//! A simulated fleet in virtual time: instances with their catalogs, datagrams that take a
//! millisecond or get lost, and a store that some instances may not reach.
//!
//! All times are in milliseconds.

use super::fixtures::{change, millis, snapshot, target};
use medlarspur_lib::{ids::DomainName, time::Millis};
use medlarspur_load::{random::Random, warmup::Seat};
use medlarspur_marked::{
    Catalog, Change, Content, Fleet, Revision, Scope, Target, Update,
    message::{Message, decode, encode_update},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddrV4},
};

/// Duration of a watch of the store without changes.
const WATCH_TIME: u64 = 1_500;
/// Time that a reader waits after changes, to gather more.
const GATHER_TIME: u64 = 600;
/// Number of successive answers of an earlier era after which a reader accepts it.
const EARLIER_ERA_LIMIT: u32 = 8;
/// Length of a step of virtual time.
const STEP: u64 = 10;

pub struct Instance {
    pub fleet: Fleet,
    pub catalog: Catalog,
    pub up: bool,
    /// Whether the instance can reach the store.
    pub store_reachable: bool,
    /// Time at which the next call to the store is made or answered.
    next_call: u64,
    watching: Option<Revision>,
    /// Number of successive answers of an earlier era than the instance knows.
    earlier_era_answers: u32,
}

/// All instances, by address.
pub struct Net {
    pub now: u64,
    pub instances: BTreeMap<SocketAddrV4, Instance>,
    pub history: Vec<Change>,
    /// Number of times that the store was restored from a copy.
    pub era: u32,
    /// Number of full reads of the store.
    pub full_reads: u64,
    /// Bytes sent in answers to pulls.
    pub pulled_bytes: u64,
    /// Time at which each change after the first snapshot was published, by its revision.
    published: BTreeMap<u64, u64>,
    /// The longest time that a live instance lacked a published change.
    pub lag: u64,
    pub calls: u64,
    pub datagrams: u64,
    /// Bytes sent by each instance, including 28 bytes of UDP and IP headers a datagram.
    pub sent: BTreeMap<SocketAddrV4, u64>,
    /// Number of pulls.
    pub pull_count: u64,
    /// Number of snapshots sent by each instance.
    pub snapshots_sent: BTreeMap<SocketAddrV4, u64>,
    /// Duration of an answer to a pull, and the number of pulls that an instance serves
    /// concurrently.
    pub transfer_limits: (u64, usize),
    /// Number of datagrams lost of each thousand.
    pub loss: u64,
    /// Domains that are partitioned from all others.
    pub partitioned: BTreeSet<u8>,
    /// Instances that are partitioned from all others.
    pub isolated: BTreeSet<SocketAddrV4>,
    in_flight: Vec<(u64, SocketAddrV4, SocketAddrV4, Vec<u8>)>,
    pulls: Vec<(u64, SocketAddrV4, SocketAddrV4, Revision)>,
    /// Answers to pulls in flight: end, receiver, sender, and the receiver's revision.
    transfers: Vec<(u64, SocketAddrV4, SocketAddrV4, Revision)>,
    random: Random,
}

/// Address of instance `number` of a domain.
pub fn address(domain: u8, number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, domain, 0, number), 8166)
}

fn domain_of(address: SocketAddrV4) -> u8 {
    address.ip().octets()[1]
}

impl Net {
    /// Creates a net of `count` instances in each of `domains` domains, which all start now.
    pub fn new(domains: u8, count: u8) -> Net {
        let mut net = Net {
            now: 0,
            instances: BTreeMap::new(),
            history: snapshot(&[target(1, "desk"), target(2, "ingest")]).changes,
            era: 0,
            full_reads: 0,
            pulled_bytes: 0,
            published: BTreeMap::new(),
            lag: 0,
            calls: 0,
            datagrams: 0,
            sent: BTreeMap::new(),
            pull_count: 0,
            snapshots_sent: BTreeMap::new(),
            transfer_limits: (0, usize::MAX),
            loss: 0,
            partitioned: BTreeSet::new(),
            isolated: BTreeSet::new(),
            in_flight: Vec::new(),
            pulls: Vec::new(),
            transfers: Vec::new(),
            random: Random::new(11),
        };
        for domain in 1..=domains {
            for number in 1..=count {
                net.start(address(domain, number));
            }
        }
        net
    }

    pub fn start(&mut self, at: SocketAddrV4) {
        let seeds = [address(1, 1), address(2, 2), address(1, 3)];
        let domain = DomainName::new(&format!("domain-{}", domain_of(at)));
        let fleet = Fleet::new(at, &domain, &seeds, self.random.draw(), self.time());
        let next_call = self.now + self.random.draw() % 40;
        let catalog = Catalog::default();
        let instance = Instance {
            fleet,
            catalog,
            up: true,
            store_reachable: true,
            next_call,
            watching: None,
            earlier_era_answers: 0,
        };
        self.instances.insert(at, instance);
    }

    pub fn time(&self) -> Millis {
        // The clock of the daemon does not start at zero either.
        millis(1_000_000 + self.now)
    }

    fn revision(&self) -> u64 {
        self.history.last().expect("a change").revision.count
    }

    /// Makes a change in the store.
    pub fn publish(&mut self, content: Content) {
        let revision = self.revision() + 1;
        self.history.push(change(revision, content));
        self.published.insert(revision, self.now);
    }

    /// Restores the store from a copy that lacks the last `lost` changes. Returns the lost changes.
    pub fn restore(&mut self, lost: usize) -> Vec<Content> {
        let kept = self.history.len() - lost;
        let lost = self.history.split_off(kept);
        self.era += 1;
        self.published.split_off(&(self.revision() + 1));
        lost.into_iter().map(|it| it.content).collect()
    }

    pub fn list_target(&mut self, number: u64) -> Target {
        let it = target(number, "desk");
        self.publish(Content::Target(it.clone()));
        it
    }

    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            self.answer_pulls();
            let addresses: Vec<_> = self.instances.keys().copied().collect();
            for at in addresses {
                self.step(at);
            }
            self.lag = self.lag.max(self.current_lag());
        }
    }

    /// Time for which the live instance that is furthest behind has lacked a change.
    fn current_lag(&self) -> u64 {
        let live = self.instances.values().filter(|it| it.up);
        let era = self.era;
        let known = live.map(|it| it.catalog.revision()).min().unwrap_or_default();
        let known = if known.era < era { 0 } else { known.count };
        let lacking = self.published.range(known + 1..).next();
        lacking.map_or(0, |(_, at)| self.now - at)
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.in_flight.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, from, to, bytes) in due {
            let time = self.time();
            let Some(it) = self.instances.get_mut(&to).filter(|it| it.up) else { continue };
            let message: Message = decode(&bytes).expect("the message is valid");
            if let Some(update) = it.fleet.receive(from, message, &it.catalog, time) {
                it.catalog.merge(update, time);
            }
            self.send(to);
        }
    }

    fn answer_pulls(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.pulls.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, requester, provider, known) in due {
            let (span, max) = self.transfer_limits;
            let source = self.instances.get(&provider).filter(|it| it.up);
            let has_snapshot = source.is_some_and(|it| it.catalog.revision() > Revision::default());
            let busy = self.transfers.iter().filter(|(_, _, by, _)| *by == provider).count();
            if has_snapshot && busy < max && self.is_connected(requester, provider) {
                self.transfers.push((now + span, requester, provider, known));
            } else if let Some(it) = self.instances.get_mut(&requester).filter(|it| it.up) {
                let known = it.catalog.revision();
                it.fleet.pull_failed(provider, known, millis(1_000_000 + now));
            }
        }
        let done: Vec<_> = self.transfers.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, requester, provider, known) in done {
            let time = self.time();
            let Some(source) = self.instances.get(&provider).filter(|it| it.up) else { continue };
            let update = source.catalog.update_since(known, time);
            *self.snapshots_sent.entry(provider).or_default() +=
                u64::from(known == Revision::default());
            self.pulled_bytes += encode_update(&update).expect("the update is valid").len() as u64;
            let requester = self.instances.get_mut(&requester).expect("the instance exists");
            requester.catalog.merge(update, time);
        }
    }

    fn step(&mut self, at: SocketAddrV4) {
        let (now, time, revision) = (self.now, self.time(), self.revision());
        let Some(it) = self.instances.get_mut(&at).filter(|it| it.up) else { return };
        if !it.fleet.is_reading() {
            it.watching = None;
            it.next_call = now;
        } else if it.next_call <= now {
            let known = it.watching.unwrap_or(it.catalog.revision());
            let is_here = known.era == self.era && known.count > 0;
            let has_changes = !is_here || revision > known.count;
            self.calls += 1;
            let is_ahead = it.catalog.revision().era > self.era;
            it.earlier_era_answers = if is_ahead { it.earlier_era_answers + 1 } else { 0 };
            if it.earlier_era_answers == EARLIER_ERA_LIMIT {
                it.catalog.reset_revisions();
            }
            if it.store_reachable && (!is_ahead || it.earlier_era_answers == EARLIER_ERA_LIMIT) {
                let scope = if is_here { Scope::Incremental(known) } else { Scope::Snapshot };
                self.full_reads += u64::from(!is_here);
                let is_new = |it: &&Change| !is_here || it.revision.count > known.count;
                let changes = self.history.iter().filter(is_new).map(|it| Change {
                    revision: Revision::new(self.era, it.revision.count),
                    content: it.content.clone(),
                });
                let changes = changes.collect();
                let read = Revision::new(self.era, revision);
                it.catalog.merge(Update::new(read, scope, changes), time);
                it.fleet.store_answered(&it.catalog, time);
                it.watching = Some(read);
                it.next_call = now + if has_changes { GATHER_TIME } else { WATCH_TIME };
            } else {
                it.fleet.store_failed(&it.catalog, time);
                it.next_call = now + 700;
            }
        } else if it.watching.is_some_and(|at| at < Revision::new(self.era, revision))
            && it.store_reachable
        {
            // A watch ends with the first change, but not before the gathering time is over.
            it.next_call = it.next_call.min(now.next_multiple_of(GATHER_TIME));
        }
        it.catalog.confirm(time);
        it.fleet.tick(&it.catalog, time);
        let known = it.catalog.revision();
        if let Some(from) = it.fleet.take_pull(known, time) {
            self.pulls.push((now + 5, at, from, it.catalog.pull_base()));
            self.pull_count += 1;
        }
        self.send(at);
    }

    fn send(&mut self, from: SocketAddrV4) {
        let it = self.instances.get_mut(&from).expect("the instance exists");
        for outgoing in it.fleet.take_outgoing() {
            self.datagrams += 1;
            *self.sent.entry(from).or_default() += outgoing.bytes.len() as u64 + 28;
            let is_lost = self.random.draw() % 1000 < self.loss;
            if !is_lost && self.is_connected(from, outgoing.to) {
                self.in_flight.push((self.now + 1, from, outgoing.to, outgoing.bytes));
            }
        }
    }

    fn is_connected(&self, from: SocketAddrV4, to: SocketAddrV4) -> bool {
        if self.isolated.contains(&from) || self.isolated.contains(&to) {
            return false;
        }
        let (from, to) = (domain_of(from), domain_of(to));
        from == to || !self.partitioned.contains(&from) && !self.partitioned.contains(&to)
    }

    /// The live readers of a domain.
    pub fn readers(&self, domain: u8) -> Vec<SocketAddrV4> {
        let instances = self.instances.iter();
        let readers = instances
            .filter(|(at, it)| domain_of(**at) == domain && it.up && it.fleet.is_reading());
        readers.map(|(at, _)| *at).collect()
    }

    /// Sets whether the instances of a domain can reach the store.
    pub fn set_store_reachable(&mut self, domain: u8, store_reachable: bool) {
        let instances = self.instances.iter_mut().filter(|(at, _)| domain_of(**at) == domain);
        instances.for_each(|(_, it)| it.store_reachable = store_reachable);
    }

    /// The seats that live instances assume to have.
    pub fn seats(&self) -> impl Iterator<Item = (SocketAddrV4, Seat)> {
        let live = self.instances.iter().filter(|(_, it)| it.up);
        live.filter_map(|(at, it)| Some((*at, it.fleet.seat(self.time())?)))
    }

    /// Number of live instances of a domain that assume to be cut off from the store.
    pub fn cut_off(&self, domain: u8) -> usize {
        let instances = self.instances.iter();
        let live = instances.filter(|(at, it)| domain_of(**at) == domain && it.up);
        live.filter(|(_, it)| it.fleet.is_cut_off(self.time())).count()
    }

    /// The live instances that lack changes.
    pub fn behind(&self) -> Vec<SocketAddrV4> {
        let revision = Revision::new(self.era, self.revision());
        let instances = self.instances.iter();
        let behind = instances.filter(|(_, it)| it.up && it.catalog.revision() < revision);
        behind.map(|(at, _)| *at).collect()
    }
}
