//! Instances that read a store, receive updates from each other and miss some, while the store is
//! restored from copies.

use super::fixtures::{config, millis, name, started};
use medlarspur_lib::{ids::DomainName, time::Millis};
use medlarspur_marked::{Catalog, Change, Content, Revision, Scope, Target, Update};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Time after which everything is written again and what the copy says takes effect.
const REWRITE_TIME: Millis = Millis(3_000);

fn at(era: u32, count: u64, content: Content) -> Change {
    Change { revision: Revision::new(era, count), content }
}

fn snapshot(era: u32, count: u64, changes: Vec<Change>) -> Update {
    Update::new(Revision::new(era, count), Scope::Snapshot, changes)
}

/// Contents of the store: targets by number, evacuated domains, and the version of the config, each
/// with its revision.
#[derive(Debug, Default, Clone)]
struct Items {
    targets: BTreeMap<u64, (u64, Target)>,
    domains: BTreeMap<&'static str, u64>,
    config: (u64, u64),
    count: u64,
}

/// A store, with the items that its writers intend it to contain.
#[derive(Debug, Default)]
struct Store {
    items: Items,
    wanted: Items,
    saved: Items,
    era: u32,
    history: Vec<Change>,
    starts: u64,
}

const DOMAINS: [&str; 2] = ["north", "south"];

impl Store {
    fn push(&mut self, content: Content) -> u64 {
        self.items.count += 1;
        self.history.push(at(self.era, self.items.count, content));
        self.items.count
    }

    /// A target starts or writes its entry, which only changes if it says something else. A leaving
    /// target stays leaving.
    fn write(&mut self, number: u64, leaving: bool) {
        let target = match self.wanted.targets.get(&number) {
            Some((_, it)) => {
                Target { writes: it.writes + 1, leaving: it.leaving || leaving, ..it.clone() }
            }
            None => {
                self.starts += 1;
                Target { leaving, ..started(number, "desk", self.starts) }
            }
        };
        self.wanted.targets.insert(number, (0, target.clone()));
        let known = self.items.targets.get(&number);
        if known.is_none_or(|(_, it)| (it.leaving, it.start) != (target.leaving, target.start)) {
            let count = self.push(Content::Target(target.clone()));
            self.items.targets.insert(number, (count, target));
        }
    }

    /// A target ends.
    fn remove(&mut self, number: u64) {
        self.wanted.targets.remove(&number);
        self.lapse(number);
    }

    /// An entry lapses, even if its target lives.
    fn lapse(&mut self, number: u64) {
        if self.items.targets.remove(&number).is_some() {
            self.push(Content::Removed(name(number)));
        }
    }

    fn evacuate(&mut self, domain: &'static str, holds: bool) {
        let content = DomainName::new(domain);
        if holds {
            self.wanted.domains.insert(domain, 0);
            if !self.items.domains.contains_key(domain) {
                let count = self.push(Content::Evacuated(content));
                self.items.domains.insert(domain, count);
            }
        } else {
            self.wanted.domains.remove(domain);
            if self.items.domains.remove(domain).is_some() {
                self.push(Content::EvacuationEnded(content));
            }
        }
    }

    fn publish(&mut self, version: u64) {
        self.wanted.config = (0, version);
        if self.items.config.1 != version {
            let count = self.push(Content::Config(config(version)));
            self.items.config = (count, version);
        }
    }

    fn restore(&mut self) {
        self.items = self.saved.clone();
        self.era += 1;
        self.history.clear();
    }

    /// All writers repeat what the copy lacks, and entries of ended targets lapse.
    fn rewrite(&mut self) {
        for number in self.items.targets.keys().copied().collect::<Vec<_>>() {
            if !self.wanted.targets.contains_key(&number) {
                self.remove(number);
            }
        }
        for (number, (_, target)) in self.wanted.targets.clone() {
            self.write(number, target.leaving);
        }
        for domain in DOMAINS {
            self.evacuate(domain, self.wanted.domains.contains_key(domain));
        }
        self.publish(self.wanted.config.1);
    }

    fn snapshot(&self) -> Update {
        let targets = self.items.targets.values();
        let targets = targets.map(|(count, it)| at(self.era, *count, Content::Target(it.clone())));
        let domains = self.items.domains.iter();
        let domains = domains
            .map(|(name, count)| at(self.era, *count, Content::Evacuated(DomainName::new(name))));
        let (count, version) = self.items.config;
        let config = at(self.era, count, Content::Config(config(version)));
        snapshot(self.era, self.items.count, targets.chain(domains).chain([config]).collect())
    }

    /// The update for a reader that has read up to a revision.
    fn read(&self, known: Revision) -> Update {
        if known.era != self.era || known.count < self.saved.count {
            return self.snapshot();
        }
        let changes = self.history.iter().filter(|it| it.revision > known).cloned().collect();
        Update {
            revision: Revision::new(self.era, self.items.count),
            scope: Scope::Incremental(known),
            changes,
            unconfirmed: Vec::new(),
        }
    }
}

/// An event.
#[derive(Debug, Clone)]
enum Step {
    Write { number: u64, leaving: bool },
    Remove { number: u64 },
    Lapse { number: u64 },
    Evacuate { domain: usize, holds: bool },
    Publish,
    Save,
    Restore,
    Read { by: usize },
    Tell { by: usize, to: usize },
    Start { nth: usize },
    Wait { millis: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (1..5u64, any::<bool>()).prop_map(|(number, leaving)| Step::Write { number, leaving }),
        2 => (1..5u64).prop_map(|number| Step::Remove { number }),
        1 => (1..5u64).prop_map(|number| Step::Lapse { number }),
        1 => (0..2usize, any::<bool>()).prop_map(|(domain, holds)| Step::Evacuate { domain, holds }),
        1 => Just(Step::Publish),
        1 => Just(Step::Save),
        1 => Just(Step::Restore),
        6 => (0..4usize).prop_map(|by| Step::Read { by }),
        6 => (0..4usize, 0..4usize).prop_map(|(by, to)| Step::Tell { by, to }),
        1 => (0..4usize).prop_map(|nth| Step::Start { nth }),
        2 => (0..2_000u64).prop_map(|millis| Step::Wait { millis }),
    ];
    proptest::collection::vec(step, 1..80)
}

/// The part of the catalog that decides about flows.
fn view(catalog: &Catalog) -> (Vec<(u64, bool)>, Vec<bool>, u64) {
    let listed = |number| catalog.latest(&name(number)).filter(|it| it.is_listed());
    let targets = (1..5).filter_map(|it| Some((it, listed(it)?.target.leaving))).collect();
    let domains = DOMAINS.iter().map(|it| catalog.is_evacuated(&DomainName::new(it))).collect();
    (targets, domains, catalog.config().map_or(0, |it| it.version.0))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 20_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against instances that keep different catalogs after restores.
    #[test]
    fn all_catalogs_converge_on_the_content_of_the_store(steps in steps()) {
        let mut store = Store::default();
        let mut instances: [(Catalog, Revision); 4] = Default::default();
        let (mut now, mut version) = (millis(1), 1);
        store.publish(version);
        for step in steps {
            match step {
                Step::Write { number, leaving } => store.write(number, leaving),
                Step::Remove { number } => store.remove(number),
                Step::Lapse { number } => store.lapse(number),
                Step::Evacuate { domain, holds } => store.evacuate(DOMAINS[domain], holds),
                Step::Publish => { version += 1; store.publish(version) }
                Step::Save => store.saved = store.items.clone(),
                Step::Restore => store.restore(),
                Step::Read { by } => {
                    let (catalog, known) = &mut instances[by];
                    let update = store.read(*known);
                    *known = update.revision;
                    let before = catalog.config().map_or(0, |it| it.version.0);
                    catalog.merge(update, now);
                    prop_assert!(catalog.config().map_or(0, |it| it.version.0) >= before);
                }
                Step::Tell { by, to } => {
                    let update = instances[by].0.update_since(instances[to].0.pull_base(), now);
                    if update.revision > instances[to].0.revision() {
                        instances[to].0.merge(update, now);
                    }
                }
                Step::Start { nth } => instances[nth] = Default::default(),
                Step::Wait { millis } => {
                    now = now + Millis(millis);
                    for (catalog, _) in &mut instances {
                        catalog.confirm(now);
                    }
                }
            }
        }

        store.rewrite();
        let update = store.read(instances[0].1);
        instances[0].0.merge(update, now);
        for nth in 1..4 {
            for _ in 0..2 {
                let update = instances[0].0.update_since(instances[nth].0.pull_base(), now);
                instances[nth].0.merge(update, now);
            }
        }
        now = now + REWRITE_TIME;
        let wanted = view(&{
            let mut fresh = Catalog::default();
            fresh.merge(store.snapshot(), now);
            fresh
        });
        for (nth, (catalog, _)) in instances.iter_mut().enumerate() {
            catalog.confirm(now);
            prop_assert_eq!(&view(catalog), &wanted, "instance {}", nth);
            prop_assert_eq!(catalog.revision(), Revision::new(store.era, store.items.count));
        }
    }
}
