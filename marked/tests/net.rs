//! A fleet in virtual time: instances with their catalogs, datagrams that take
//! a millisecond or get lost, and a store that some instances may not reach.

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

/// How long a watch of the store waits.
const WATCH: u64 = 1_500;
/// How long a reader waits after news.
const GATHER: u64 = 600;
/// How many answers in a row must say an earlier era before the follower believes it.
const DOUBTS: u32 = 8;
/// How long a step of virtual time is.
const STEP: u64 = 10;

pub struct Instance {
    pub fleet: Fleet,
    pub catalog: Catalog,
    pub up: bool,
    /// Whether it reaches the store.
    pub served: bool,
    /// When its next call to the store is answered or made.
    call: u64,
    watching: Option<Revision>,
    /// How many answers have said an earlier era than this instance knows.
    doubted: u32,
}

/// All instances, by their addresses.
pub struct Net {
    pub now: u64,
    pub instances: BTreeMap<SocketAddrV4, Instance>,
    pub history: Vec<Change>,
    /// How often the store has come back from a copy.
    pub era: u32,
    /// Whole readings of the store.
    pub readings: u64,
    /// What was told in answers to questions, in bytes.
    pub told_bytes: u64,
    /// When each change after the first picture was published, by its revision.
    published: BTreeMap<u64, u64>,
    /// The longest time for which a live instance did not know a change.
    pub lag: u64,
    pub calls: u64,
    pub datagrams: u64,
    /// What each instance has sent, with 28 bytes of UDP and IP a datagram.
    pub sent: BTreeMap<SocketAddrV4, u64>,
    /// Questions for what was lacking.
    pub asked: u64,
    /// Whole pictures that each instance has told.
    pub told: BTreeMap<SocketAddrV4, u64>,
    /// How long it takes to tell one, and to how many at once an instance does.
    pub telling: (u64, usize),
    /// Of a thousand datagrams, how many get lost.
    pub loss: u64,
    /// Domains that are cut off from the others.
    pub cut: BTreeSet<u8>,
    flying: Vec<(u64, SocketAddrV4, SocketAddrV4, Vec<u8>)>,
    pulls: Vec<(u64, SocketAddrV4, SocketAddrV4, Revision)>,
    /// Who is told by whom, and until when.
    tellings: Vec<(u64, SocketAddrV4, SocketAddrV4, Revision)>,
    random: Random,
}

/// The address of instance `number` of a domain.
pub fn address(domain: u8, number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, domain, 0, number), 8166)
}

fn domain_of(address: SocketAddrV4) -> u8 {
    address.ip().octets()[1]
}

impl Net {
    /// `count` instances in each of `domains` domains, which all start now.
    pub fn new(domains: u8, count: u8) -> Net {
        let mut net = Net {
            now: 0,
            instances: BTreeMap::new(),
            history: snapshot(&[target(1, "desk"), target(2, "ingest")]).changes,
            era: 0,
            readings: 0,
            told_bytes: 0,
            published: BTreeMap::new(),
            lag: 0,
            calls: 0,
            datagrams: 0,
            sent: BTreeMap::new(),
            asked: 0,
            told: BTreeMap::new(),
            telling: (0, usize::MAX),
            loss: 0,
            cut: BTreeSet::new(),
            flying: Vec::new(),
            pulls: Vec::new(),
            tellings: Vec::new(),
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
        let call = self.now + self.random.draw() % 40;
        let catalog = Catalog::default();
        let instance =
            Instance { fleet, catalog, up: true, served: true, call, watching: None, doubted: 0 };
        self.instances.insert(at, instance);
    }

    pub fn time(&self) -> Millis {
        // The daemon's clock does not start at zero either.
        millis(1_000_000 + self.now)
    }

    fn revision(&self) -> u64 {
        self.history.last().expect("a change").revision.count
    }

    /// Changes something in the store.
    pub fn publish(&mut self, content: Content) {
        let revision = self.revision() + 1;
        self.history.push(change(revision, content));
        self.published.insert(revision, self.now);
    }

    /// The store comes back from a copy that lacks the last `lost` changes.
    pub fn restore(&mut self, lost: usize) -> Vec<Content> {
        let kept = self.history.len() - lost;
        let lost = self.history.split_off(kept);
        self.era += 1;
        self.published.split_off(&(self.revision() + 1));
        lost.into_iter().map(|it| it.content).collect()
    }

    pub fn list(&mut self, number: u64) -> Target {
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
                self.act(at);
            }
            self.lag = self.lag.max(self.present_lag());
        }
    }

    /// How long the live instance that is furthest behind has lacked a change.
    fn present_lag(&self) -> u64 {
        let live = self.instances.values().filter(|it| it.up);
        let era = self.era;
        let known = live.map(|it| it.catalog.revision()).min().unwrap_or_default();
        let known = if known.era < era { 0 } else { known.count };
        let lacking = self.published.range(known + 1..).next();
        lacking.map_or(0, |(_, at)| self.now - at)
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.flying.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, from, to, bytes) in due {
            let time = self.time();
            let Some(it) = self.instances.get_mut(&to).filter(|it| it.up) else { continue };
            let message: Message = decode(&bytes).expect("sound messages");
            if let Some(update) = it.fleet.receive(from, message, &it.catalog, time) {
                it.catalog.merge(update, time);
            }
            self.post(to);
        }
    }

    fn answer_pulls(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.pulls.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, asker, asked, known) in due {
            let (span, most) = self.telling;
            let told = self.instances.get(&asked).filter(|it| it.up);
            let has_any = told.is_some_and(|it| it.catalog.revision() > Revision::default());
            let busy = self.tellings.iter().filter(|(_, _, by, _)| *by == asked).count();
            if has_any && busy < most && self.reaches(asker, asked) {
                self.tellings.push((now + span, asker, asked, known));
            } else if let Some(it) = self.instances.get_mut(&asker).filter(|it| it.up) {
                let known = it.catalog.revision();
                it.fleet.pull_failed(asked, known, millis(1_000_000 + now));
            }
        }
        let done: Vec<_> = self.tellings.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, asker, asked, known) in done {
            let time = self.time();
            let Some(told) = self.instances.get(&asked).filter(|it| it.up) else { continue };
            let update = told.catalog.update_since(known, time);
            *self.told.entry(asked).or_default() += u64::from(known == Revision::default());
            self.told_bytes += encode_update(&update).expect("sound news").len() as u64;
            let asker = self.instances.get_mut(&asker).expect("it is there");
            asker.catalog.merge(update, time);
        }
    }

    fn act(&mut self, at: SocketAddrV4) {
        let (now, time, revision) = (self.now, self.time(), self.revision());
        let Some(it) = self.instances.get_mut(&at).filter(|it| it.up) else { return };
        if !it.fleet.is_reading() {
            it.watching = None;
            it.call = now;
        } else if it.call <= now {
            let known = it.watching.unwrap_or(it.catalog.revision());
            let is_here = known.era == self.era && known.count > 0;
            let has_news = !is_here || revision > known.count;
            self.calls += 1;
            let is_ahead = it.catalog.revision().era > self.era;
            it.doubted = if is_ahead { it.doubted + 1 } else { 0 };
            if it.doubted == DOUBTS {
                it.catalog.reset_revisions();
            }
            if it.served && (!is_ahead || it.doubted == DOUBTS) {
                let scope = if is_here { Scope::Incremental(known) } else { Scope::Snapshot };
                self.readings += u64::from(!is_here);
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
                it.call = now + if has_news { GATHER } else { WATCH };
            } else {
                it.fleet.store_failed(&it.catalog, time);
                it.call = now + 700;
            }
        } else if it.watching.is_some_and(|at| at < Revision::new(self.era, revision)) && it.served
        {
            // A watch ends with the first news, but not before the gathering.
            it.call = it.call.min(now.next_multiple_of(GATHER));
        }
        it.catalog.confirm(time);
        it.fleet.tick(&it.catalog, time);
        let known = it.catalog.revision();
        if let Some(from) = it.fleet.take_pull(known, time) {
            self.pulls.push((now + 5, at, from, it.catalog.pull_base()));
            self.asked += 1;
        }
        self.post(at);
    }

    fn post(&mut self, from: SocketAddrV4) {
        let it = self.instances.get_mut(&from).expect("it is there");
        for outgoing in it.fleet.take_outgoing() {
            self.datagrams += 1;
            *self.sent.entry(from).or_default() += outgoing.bytes.len() as u64 + 28;
            let is_lost = self.random.draw() % 1000 < self.loss;
            if !is_lost && self.reaches(from, outgoing.to) {
                self.flying.push((self.now + 1, from, outgoing.to, outgoing.bytes));
            }
        }
    }

    fn reaches(&self, from: SocketAddrV4, to: SocketAddrV4) -> bool {
        let (from, to) = (domain_of(from), domain_of(to));
        from == to || !self.cut.contains(&from) && !self.cut.contains(&to)
    }

    /// The live readers of a domain.
    pub fn readers(&self, domain: u8) -> Vec<SocketAddrV4> {
        let instances = self.instances.iter();
        let readers = instances
            .filter(|(at, it)| domain_of(**at) == domain && it.up && it.fleet.is_reading());
        readers.map(|(at, _)| *at).collect()
    }

    /// Has the store serve a domain, or not.
    pub fn serve(&mut self, domain: u8, served: bool) {
        let instances = self.instances.iter_mut().filter(|(at, _)| domain_of(**at) == domain);
        instances.for_each(|(_, it)| it.served = served);
    }

    /// The seats that live instances take themselves to have.
    pub fn seats(&self) -> impl Iterator<Item = (SocketAddrV4, Seat)> {
        let live = self.instances.iter().filter(|(_, it)| it.up);
        live.filter_map(|(at, it)| Some((*at, it.fleet.seat(self.time())?)))
    }

    /// How many live instances of a domain take themselves for cut off from the store.
    pub fn cut_off(&self, domain: u8) -> usize {
        let instances = self.instances.iter();
        let live = instances.filter(|(at, it)| domain_of(**at) == domain && it.up);
        live.filter(|(_, it)| it.fleet.is_cut_off(self.time())).count()
    }

    /// The live instances that don't know all changes.
    pub fn behind(&self) -> Vec<SocketAddrV4> {
        let revision = Revision::new(self.era, self.revision());
        let instances = self.instances.iter();
        let behind = instances.filter(|(_, it)| it.up && it.catalog.revision() < revision);
        behind.map(|(at, _)| *at).collect()
    }
}
