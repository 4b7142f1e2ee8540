//! Prints what callers get from overloaded targets, with and without openings that wait at
//! the instances. `docs/measures/marks.md` has a run.

#[path = "../tests/overload.rs"]
mod overload;

use overload::{Scene, Tally, play};

/// Number of seeds over which the figures are averaged.
const SEEDS: u64 = 10;

fn main() {
    println!(
        "{:25} {:5} {:>7} {:>5} {:>7} {:>5}",
        "scene", "limit", "in time", "late", "refused", "%"
    );
    for (name, scene, span) in SCENES {
        for is_limited in [false, true] {
            let tally = (1..=SEEDS).map(|seed| play(scene(seed), is_limited));
            let tally = tally.map(|simulation| simulation.tally(span.0, span.1));
            let tally = tally.fold(Tally::default(), |sum, it| sum + it);
            let limit = if is_limited { "yes" } else { "no" };
            let mean = |count: u32| u64::from(count) / SEEDS;
            let (in_time, late, refused) =
                (mean(tally.in_time), mean(tally.late), mean(tally.refused));
            let part = tally.fraction_in_time() * 100.0;
            println!("{name:25} {limit:5} {in_time:7} {late:5} {refused:7} {part:5.1}");
        }
    }
}

/// A name, a scene by seed, and the span whose requests are counted.
type Played = (&'static str, fn(u64) -> Scene, (u64, u64));

const SCENES: [Played; 5] = [
    ("half of the targets gone", Scene::half_gone, (4_000, 10_000)),
    ("a quarter more than that", Scene::more_requests, (4_000, 10_000)),
    ("a crowd after an outage", Scene::outage, (4_000, 8_000)),
    ("an ordinary day", Scene::site, (0, 14_000)),
    ("work of 2/3 of the goal", Scene::slow, (3_000, 14_000)),
];
