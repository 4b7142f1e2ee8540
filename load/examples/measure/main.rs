//! Prints what callers get under each load pattern, with this crate's decisions and with
//! the baselines: the table in `docs/measures/load.md`.
//!
//! `cargo run --release -p medlarspur-load --example measure [SCENE] [POLICY] [SEED]`

mod cost;
#[path = "../../tests/model/mod.rs"]
mod model;

use medlarspur_lib::bundle::Class;
use model::{
    Model,
    outcome::Outcome,
    scene::{Policy, Scene},
    scenes,
};

fn main() {
    let mut args = std::env::args().skip(1);
    let scene_filter = args.next().unwrap_or_default();
    let policy_filter = args.next().unwrap_or_default();
    let seed = args.next().and_then(|seed| seed.parse().ok()).unwrap_or(42);
    println!(
        "| scene | service | fabric | policy | goodput % | requests % | uploads % | feeds % | \
         others % | wait p50/p99 ms | refusal p99 ms | false | crossed | double | overrun | \
         max/mean | CV | normal s |"
    );
    println!("|{}", "---|".repeat(18));
    print_rows(&scene_filter, &policy_filter, seed);
    if scene_filter.is_empty() {
        cost::print();
    }
}

fn print_rows(scene_filter: &str, policy_filter: &str, seed: u64) {
    for scene in scenes::all().into_iter().filter(|s| s.name.contains(scene_filter)) {
        let scene = &Scene { seed, ..scene };
        for policy in Policy::ALL.into_iter().filter(|p| p.name().contains(policy_filter)) {
            print_row(scene, policy, &Model::play(scene, policy));
        }
    }
}

fn print_row(scene: &Scene, policy: Policy, outcome: &Outcome) {
    let part = |class| percent(outcome.fraction_done(scene, class, |_| true));
    let heavy = scenes::HEAVY_CALLER_NETWORK;
    let others =
        outcome.fraction_done(scene, Class::Request, |w| u32::from(w.caller) >> 24 != heavy);
    let class = scene.loads[0].class;
    let (most, spread) = outcome.imbalance(scene);
    println!(
        "| {} | {} | {} | {} | {:.1} | {} | {} | {} | {} | {}/{} | {} | {} | {} | {} | {} | {:.2} | \
         {:.3} | {} |",
        scene.name,
        scene.site.name,
        if scene.spray { "spray" } else { "hash" },
        policy.name(),
        outcome.goodput(scene) * 100.0,
        part(Class::Request),
        part(Class::Upload),
        part(Class::Feed),
        if scene.name.contains("callers") { percent(others) } else { "–".into() },
        outcome.wait(scene, class, 0.5),
        outcome.wait(scene, class, 0.99),
        outcome.refusal_time(0.99),
        outcome.false_refusals,
        outcome.crossed,
        outcome.double_runs,
        outcome.overrun,
        most,
        spread,
        outcome.recovery_seconds(scene).map_or("never".into(), |s| s.to_string()),
    );
}

fn percent(part: f64) -> String {
    if part.is_nan() { "–".into() } else { format!("{:.2}", part * 100.0) }
}
