//! Compares strategies for choosing the target of a new flow, in virtual time.
//!
//! Several instances place flows on the same targets, and each knows only the flows that
//! pass through it. Feeds stay where they are placed and send about one request a second;
//! requests open a flow each. Prints how long callers wait, by strategy and load.
//! `docs/measures/marks.md` has a run.

use medlarspur_lib::bundle::Class;
use medlarspur_load::{
    choice::{Candidate, Demand, Tier, choose},
    priority::Level,
    random::Random,
};
use std::{cmp::Reverse, collections::BinaryHeap};

/// Flows of a service whose routes have no priority.
const REQUEST: Demand = Demand { class: Class::Request, level: Level::nth(0, 2) };
const FEED: Demand = Demand { class: Class::Feed, level: Level::nth(1, 2) };
/// Numbers of instances, targets and slots per target, as at today's sites.
const INSTANCES: usize = 8;
const TARGETS: usize = 14;
const SLOTS: usize = 3;
/// Number of open feeds.
const FEEDS: usize = 300;
/// Mean work of a request, in milliseconds.
const WORK: f64 = 60.0;
/// Length of the simulation, in milliseconds.
const DURATION: u64 = 120_000;
/// Latency objective of the busier site, in milliseconds.
const OBJECTIVE: u64 = 250;

/// A strategy for choosing a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    /// Any target.
    Random,
    /// The targets in turn, for each instance separately.
    RoundRobin,
    /// Of two random targets, the one with less work of this instance.
    TwoChoices,
    /// The target with the least work of this instance, as in the product.
    LeastOwn,
    /// The target with the least work of all instances, which no instance can know.
    LeastOfAll,
}

const STRATEGIES: [Strategy; 5] = [
    Strategy::Random,
    Strategy::RoundRobin,
    Strategy::TwoChoices,
    Strategy::LeastOwn,
    Strategy::LeastOfAll,
];

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A feed sends a request.
    Feed(usize),
    /// A request arrives at an instance.
    Request(usize),
    /// A target has finished a request of an instance, of a feed or not.
    Done(usize, usize, bool),
}

struct Simulation {
    random: Random,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    /// Requests in flight, by instance and target.
    in_flight: Vec<[u32; TARGETS]>,
    /// Open feeds without a request in flight, by instance and target.
    idle: Vec<[u32; TARGETS]>,
    /// Requests at a target, waiting ones included: arrival time, instance, whether of a
    /// feed, and work.
    queues: Vec<Vec<(u64, usize, bool, u64)>>,
    turns: Vec<usize>,
    spans: Vec<u64>,
    served: [u32; TARGETS],
}

fn main() {
    println!(
        "{:12} {:>5} {:>6} {:>6} {:>8} {:>10}",
        "way", "load", "p50", "p99", "late %", "imbalance"
    );
    for load in [0.4, 0.57, 0.75] {
        for strategy in STRATEGIES {
            play(strategy, load);
        }
    }
}

fn play(strategy: Strategy, load: f64) {
    let mut simulation = Simulation {
        random: Random::new(9),
        events: BinaryHeap::new(),
        count: 0,
        in_flight: vec![[0; TARGETS]; INSTANCES],
        idle: vec![[0; TARGETS]; INSTANCES],
        queues: vec![Vec::new(); TARGETS],
        turns: (0..INSTANCES).collect(),
        spans: Vec::new(),
        served: [0; TARGETS],
    };
    let rate = load * (TARGETS * SLOTS) as f64 / WORK;
    // As at the sites, seven of nine requests come on feeds.
    let pause = FEEDS as f64 / (rate * 7.0 / 9.0);
    let mut feeds = Vec::new();
    for feed in 0..FEEDS {
        let instance = feed % INSTANCES;
        let target = simulation.choose(strategy, instance, FEED);
        simulation.idle[instance][target] += 1;
        feeds.push((instance, target));
        let at = simulation.exponential(pause);
        simulation.push(at, Event::Feed(feed));
    }
    for instance in 0..INSTANCES {
        let at = simulation.exponential(INSTANCES as f64 / (rate * 2.0 / 9.0));
        simulation.push(at, Event::Request(instance));
    }
    while let Some(Reverse((now, _, event))) = simulation.events.pop() {
        if now > DURATION {
            break;
        }
        match event {
            Event::Feed(feed) => {
                let (instance, target) = feeds[feed];
                simulation.begin(now, instance, target, true);
                let at = now + simulation.exponential(pause);
                simulation.push(at, Event::Feed(feed));
            }
            Event::Request(instance) => {
                let target = simulation.choose(strategy, instance, REQUEST);
                simulation.begin(now, instance, target, false);
                let at = now + simulation.exponential(INSTANCES as f64 / (rate * 2.0 / 9.0));
                simulation.push(at, Event::Request(instance));
            }
            Event::Done(target, instance, feed) => simulation.finish(now, target, instance, feed),
        }
    }
    simulation.report(strategy, load);
}

impl Simulation {
    /// Returns a random span with an exponential distribution.
    fn exponential(&mut self, mean: f64) -> u64 {
        (-mean * (1.0 - self.random.fraction()).ln()) as u64
    }

    fn push(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    fn choose(&mut self, strategy: Strategy, instance: usize, demand: Demand) -> usize {
        let draw = self.random.draw();
        match strategy {
            Strategy::Random => (draw % TARGETS as u64) as usize,
            Strategy::RoundRobin => {
                self.turns[instance] = (self.turns[instance] + 1) % TARGETS;
                self.turns[instance]
            }
            Strategy::TwoChoices => {
                let (a, b) = (draw as usize % TARGETS, (draw >> 32) as usize % TARGETS);
                let load = |it: usize| (self.in_flight[instance][it], self.idle[instance][it]);
                if load(a) <= load(b) { a } else { b }
            }
            Strategy::LeastOwn => {
                let candidates: Vec<_> =
                    (0..TARGETS).map(|it| self.candidate(&[instance], it)).collect();
                choose(&candidates, demand, draw).unwrap_or_default()
            }
            Strategy::LeastOfAll => {
                let all: Vec<usize> = (0..INSTANCES).collect();
                let candidates: Vec<_> = (0..TARGETS).map(|it| self.candidate(&all, it)).collect();
                choose(&candidates, demand, draw).unwrap_or_default()
            }
        }
    }

    fn candidate(&self, instances: &[usize], target: usize) -> Candidate {
        Candidate {
            tier: Tier::Good,
            slots: SLOTS as u32,
            in_flight: instances.iter().map(|it| self.in_flight[*it][target]).sum(),
            opening: 0,
            idle_feeds: instances.iter().map(|it| self.idle[*it][target]).sum(),
            cold: false,
            same_domain: true,
            reserved: false,
            outside_subset: false,
        }
    }

    fn begin(&mut self, now: u64, instance: usize, target: usize, feed: bool) {
        self.in_flight[instance][target] += 1;
        if feed {
            self.idle[instance][target] = self.idle[instance][target].saturating_sub(1);
        }
        let work = 10 + self.exponential(WORK - 10.0);
        self.queues[target].push((now, instance, feed, work));
        if self.queues[target].len() <= SLOTS {
            self.push(now + work, Event::Done(target, instance, feed));
        }
    }

    fn finish(&mut self, now: u64, target: usize, instance: usize, feed: bool) {
        self.in_flight[instance][target] -= 1;
        if feed {
            self.idle[instance][target] += 1;
        }
        let is_finished = |it: &(u64, usize, bool, u64)| it.1 == instance && it.2 == feed;
        let Some(at) = self.queues[target].iter().take(SLOTS).position(is_finished) else { return };
        let (since, ..) = self.queues[target].remove(at);
        self.spans.push(now - since);
        self.served[target] += 1;
        if let Some(&(_, instance, feed, work)) = self.queues[target].get(SLOTS - 1) {
            self.push(now + work, Event::Done(target, instance, feed));
        }
    }

    fn report(&mut self, strategy: Strategy, load: f64) {
        self.spans.sort_unstable();
        let part = |part: f64| self.spans[(self.spans.len() as f64 * part) as usize];
        let late = self.spans.iter().filter(|span| **span > OBJECTIVE).count();
        let late = late as f64 * 100.0 / self.spans.len() as f64;
        let mean = self.served.iter().sum::<u32>() as f64 / TARGETS as f64;
        let most = self.served.iter().copied().max().unwrap_or_default();
        let imbalance = f64::from(most) / mean;
        let (p50, p99) = (part(0.5), part(0.99));
        let strategy = format!("{strategy:?}");
        println!("{strategy:12} {load:5.2} {p50:6} {p99:6} {late:8.2} {imbalance:10.2}");
    }
}
