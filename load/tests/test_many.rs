//! Tests the choice of targets by many instances that each see a small part of the
//! requests.

use medlarspur_lib::{bundle::Class, time::Millis};

/// A request to a service that also has feeds.
const REQUEST: Demand = Demand { class: Class::Request, level: Level::nth(0, 2) };
use medlarspur_load::{
    choice::{Candidate, Demand, Tier, choose},
    priority::Level,
    random::Random,
};

const INSTANCES: usize = 71;
/// Number of targets in a failure domain, with one slot each.
const TARGETS: usize = 30;
/// Number of targets reserved for requests, now and when the feeds were opened.
const RESERVED: usize = 16;
const INITIALLY_RESERVED: usize = 10;
/// Requests per second, and the duration of one.
const REQUESTS_PER_SECOND: u64 = 146;
const WORK: Millis = Millis(72);
const DURATION: Millis = Millis::secs(20);
const OBJECTIVE: Millis = Millis(600);

/// A request at a target, the instance that sent it, and when it ends.
struct Sent {
    target: usize,
    instance: usize,
    end: Millis,
}

/// Simulates requests that each instance places by what it sees itself, with one open feed
/// at each target that was not reserved at first. Returns the percentage answered in time.
fn percent_in_time(seed: u64) -> usize {
    let mut random = Random::new(seed);
    let mut free_at = [Millis(0); TARGETS];
    let mut sent: Vec<Sent> = Vec::new();
    let (mut all, mut in_time) = (0, 0);
    for now in (0..DURATION.0).map(Millis) {
        sent.retain(|it| it.end > now);
        if random.draw() % 1_000 >= REQUESTS_PER_SECOND {
            continue;
        }
        let instance = random.draw() as usize % INSTANCES;
        let candidate = |target: usize| {
            let own = sent.iter().filter(|it| it.instance == instance && it.target == target);
            Candidate {
                tier: Tier::Good,
                slots: 1,
                in_flight: own.count() as u32,
                opening: 0,
                idle_feeds: u32::from(target >= INITIALLY_RESERVED),
                cold: false,
                same_domain: true,
                reserved: target < RESERVED,
                outside_subset: false,
            }
        };
        let candidates: Vec<Candidate> = (0..TARGETS).map(candidate).collect();
        let target = choose(&candidates, REQUEST, random.draw()).expect("a target");
        let end = free_at[target].max(now) + WORK;
        free_at[target] = end;
        sent.push(Sent { target, instance, end });
        all += 1;
        in_time += usize::from(end.since(now) <= OBJECTIVE);
    }
    100 * in_time / all
}

/// Guards against requests that all go to the few targets at which an instance has no feed.
#[test]
fn requests_use_all_targets_that_are_reserved_for_them() {
    for seed in 1..=3 {
        assert!(percent_in_time(seed) >= 95, "{} of 100", percent_in_time(seed));
    }
}
