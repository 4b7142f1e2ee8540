//! Measures the effect of bucket moves on flows in virtual time, and compares it
//! with simpler load balancers on the same packets. Prints the tables of
//! `docs/measures/moves.md`. Optional arguments: the number of flows, and a seed.

#[path = "moves/baseline.rs"]
mod baseline;
#[path = "moves/run.rs"]
mod run;

use baseline::Baseline;
use medlarspur_lib::time::Millis;
use medlarspur_testutils::traffic::Distribution;
use run::Run;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Number of flows opened before the event.
const FLOWS: usize = 8_000;
/// Number of flows opened after the event, without those opened during the
/// fabric's lag.
const LATER: usize = 4_000;
/// Name and address of the target that leaves.
const LEAVING_TARGET: (&str, SocketAddrV4) =
    ("alertdesk-3", SocketAddrV4::new(Ipv4Addr::new(127, 8, 0, 3), 5555));

/// Numbers of instances and of failure domains of the two sites.
const SITES: [(usize, u64); 2] = [(8, 4), (7, 3)];

/// Header of a site's table.
const HEADER: &str = "\
| event | fabric | flows | broken | silent | max/mean | B/s before | B/s in event | worst second \
| last new, ms | modulo | consistent | history |
|---|---|---|---|---|---|---|---|---|---|---|---|---|";

/// Name of an event, and the function that makes it happen in a run.
type Event = (&'static str, fn(&mut Run));

const EVENTS: [Event; 13] = [
    ("nothing", |_| {}),
    ("instance leaves by plan", |run| run.leave(2)),
    ("instance killed", |run| {
        run.kill(6);
        run.unlist(6);
    }),
    ("instance joins", Run::join),
    ("two instances killed", |run| {
        run.kill(6);
        run.kill(1);
        run.unlist(6);
        run.unlist(1);
    }),
    ("instance killed, another leaves", |run| {
        run.kill(6);
        run.leave(2);
        run.unlist(6);
    }),
    ("target leaves", leave_target),
    ("target leaves, instance killed 0.5 s later", |run| {
        leave_target(run);
        run.open(LATER / 5);
        run.kill(6);
        run.unlist(6);
    }),
    ("target leaves, instance killed 3 s later", |run| {
        leave_target(run);
        run.open(LATER);
        run.advance(Millis(900));
        run.kill(6);
        run.unlist(6);
    }),
    ("target added to each service", |run| run.publish(|site| site.grown())),
    ("leaving called off after 0.7 s", |run| {
        leave_target(run);
        run.open(1_200);
        run.cancel_leaving(LEAVING_TARGET.0);
    }),
    ("domain cut off for a minute", |run| partition_domain(run, |_| {})),
    ("domain cut off, target leaves meanwhile", |run| partition_domain(run, leave_target)),
];

fn leave_target(run: &mut Run) {
    run.start_leaving(LEAVING_TARGET.0);
}

/// Cuts off the instances of the first failure domain from the others for a
/// minute; the fabric still reaches all.
fn partition_domain(run: &mut Run, event: fn(&mut Run)) {
    let domains = run.domains as usize;
    run.fleet.partition(|ix| u8::from(ix % domains == 0));
    run.advance(Millis::secs(5));
    event(run);
    run.open(LATER);
    run.keep_alive();
    run.advance(Millis::secs(22));
    run.fleet.partition(|_| 0);
}

fn main() {
    let argument = |place| std::env::args().nth(place).and_then(|text| text.parse().ok());
    let flows = argument(1).unwrap_or(FLOWS as u64) as usize;
    let seed = argument(2).unwrap_or(1);
    for (instances, domains) in SITES {
        println!("\n{instances} instances in {domains} failure domains:\n\n{HEADER}");
        for (name, event) in EVENTS {
            for distribution in [Distribution::PerPacket, Distribution::PerFlow] {
                let run = Run::new(instances, domains, distribution, seed);
                measure(run, flows, name, distribution, event);
            }
        }
    }
}

/// Makes an event happen in a run and prints its row of the table.
fn measure(
    mut run: Run,
    flows: usize,
    name: &str,
    distribution: Distribution,
    event: fn(&mut Run),
) {
    run.open(flows);
    run.keep_alive();
    let start = run.start_counting();
    run.keep_alive();
    let [before, _] = run.control_rates(start);
    let start = run.start_counting();
    event(&mut run);
    run.open(LATER);
    run.keep_alive();
    run.keep_alive();
    let [mean, peak] = run.control_rates(start);
    let (broken, ratio) = run.outcome();
    let others = [Baseline::Modulo, Baseline::Consistent, Baseline::History];
    let others = others.map(|baseline| run.baseline(baseline));
    let others = others.map(|(broken, ratio)| format!("{broken} ({ratio:.2})")).join(" | ");
    let fabric = if distribution == Distribution::PerPacket { "spray" } else { "hash" };
    let (count, silent) = (run.traffic.flows.len(), run.silent());
    let last = run
        .leaving_since
        .map_or("–".into(), |at| run.last_new(LEAVING_TARGET.1, at).0.to_string());
    println!(
        "| {name} | {fabric} | {count} | {broken} | {silent} | {ratio:.2} | {before} | {mean} | {peak} | {last} | {others} |"
    );
}
