//! What callers get while targets are asked for more than they can do, with and
//! without openings that wait at the instances. `docs/measures/marks.md` has a run.

#[path = "../tests/overload.rs"]
mod overload;

use overload::{Got, Scene, play};

/// Over how many seeds the figures are means.
const SEEDS: u64 = 10;

fn main() {
    println!(
        "{:25} {:5} {:>7} {:>5} {:>7} {:>5}",
        "scene", "limit", "in time", "late", "refused", "%"
    );
    for (name, scene, span) in scenes() {
        for limited in [false, true] {
            let got = (1..=SEEDS).map(|seed| play(Scene { seed, ..scene }, limited));
            let got = got.map(|world| world.got(span.0, span.1));
            let got = got.fold(Got::default(), |sum, it| sum + it);
            let limit = if limited { "yes" } else { "no" };
            let mean = |count: u32| u64::from(count) / SEEDS;
            let (in_time, late, refused) = (mean(got.in_time), mean(got.late), mean(got.refused));
            let part = got.part() * 100.0;
            println!("{name:25} {limit:5} {in_time:7} {late:5} {refused:7} {part:5.1}");
        }
    }
}

fn scenes() -> Vec<(&'static str, Scene, (u64, u64))> {
    let alerts = Scene {
        instances: 7,
        targets: 14,
        left: 6,
        gone: (4_000, 9_000),
        slots: 2,
        queue: 8,
        requests: 83.0,
        feeds: 292.0,
        work: 32.0,
        goal: 150,
        outage: (0, 0),
        length: 14_000,
        seed: 5,
    };
    let booking = Scene {
        instances: 8,
        left: 14,
        slots: 3,
        queue: 12,
        work: 60.0,
        goal: 250,
        outage: (4_000, 5_700),
        ..alerts
    };
    vec![
        ("half of the targets gone", alerts, (4_000, 10_000)),
        (
            "a quarter more than that",
            Scene { requests: 104.0, feeds: 365.0, ..alerts },
            (4_000, 10_000),
        ),
        ("a crowd after an outage", booking, (4_000, 8_000)),
        ("an ordinary day", Scene { left: 14, ..alerts }, (0, 14_000)),
    ]
}
