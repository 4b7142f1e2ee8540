//! Measures in virtual time how the cost of the control path grows with the
//! number of instances and of services. See `docs/measures/fleet.md`.
//!
//! ```text
//! cargo run --release -p medlarspur-lib --example fleet_slopes [NODES SERVICES]
//! ```

#[path = "../tests/fleet/net.rs"]
#[allow(dead_code, reason = "shared with the tests")]
mod net;

use medlarspur_lib::{control::Event, ids::DomainName, members::MemberState, time::Millis};
use net::{Net, Traffic};
use std::{fmt::Write, fs, sync::Arc, time::Instant};

/// Bytes that gRPC and mutual TLS add to a call above TCP, from the example
/// `call_cost` of `medlarspur-peer` on the loopback interface.
const CALL_BYTES: u64 = 181;
/// Bytes per service in a bundle of one megabyte with 3,400 services.
const SERVICE_BYTES: usize = 300;

fn main() {
    println!("bytes: messages / with {CALL_BYTES} B a call; sent by a node, averaged over all");
    println!(
        "nodes  svcs |    steady B/s readers   us/s    KB |    change B mean ms  max ms | \
         join s dead s | cut B/s bundle s members s heal B/s"
    );
    // Memory figures are exact only if a single pair runs: otherwise they
    // include memory that the allocator retains from the previous pair.
    let given: Vec<usize> = std::env::args().skip(1).filter_map(|arg| arg.parse().ok()).collect();
    if let [nodes, services] = given[..] {
        return measure(nodes, services);
    }
    for services in [100, 400, 1600, 3400] {
        measure(32, services);
    }
    for nodes in [8, 64, 128, 256, 512] {
        measure(nodes, 100);
    }
}

fn measure(nodes: usize, services: usize) {
    let before = resident();
    let mut net = fleet(nodes, services);
    let joined = until(&mut net, 300, |net| all_know_all(net, nodes));
    // All instances start at once. This lasts until the resulting updates are no
    // longer propagated.
    net.run(Millis::secs(30 + nodes as u64 / 4));
    let memory = resident().saturating_sub(before) / nodes as u64;
    let steady = steady(&mut net, nodes);
    let change = change(&mut net, nodes, services);
    let failures = failures(&mut net, nodes, services);
    print!("{nodes:>5} {services:>5} | {} {:>7} ", steady.sent, steady.readers);
    print!("{:>6.0} {:>5} | {} ", steady.cpu, memory / 1024, change.sent);
    print!("{:>7} {:>7} | {joined:>6.1} {:>6.1} | ", change.mean, change.worst, failures.dead);
    println!(
        "{:>7} {:>8.1} {:>9.1} {:>8}",
        failures.cut, failures.bundle, failures.members, failures.heal
    );
}

/// Creates a fleet with four failure domains, or ten from 128 instances on.
fn fleet(nodes: usize, services: usize) -> Net {
    let domains = if nodes < 128 { 4 } else { 10 };
    let mut net = Net::new(nodes, domains, 7);
    net.list = net.nodes.iter().map(|n| n.candidate()).collect();
    net.platform = Some(bundle(1, services));
    net
}

fn bundle(version: u64, services: usize) -> Arc<str> {
    let mut text = format!("version: {version}\nsignature: {version:0128x}\nservices:\n");
    let changed = version as usize * 37 % services;
    for ix in 0..services {
        let start = text.len();
        let balance = if ix == changed { version } else { 0 };
        write!(text, "  - name: s{ix}\n    balance: {balance}\n    note: ")
            .expect("writing to a string succeeds");
        while text.len() < start + SERVICE_BYTES {
            text.push('x');
        }
        text.push('\n');
    }
    text.into()
}

struct Steady {
    sent: String,
    readers: usize,
    cpu: f64,
}

const STEADY_SECONDS: u64 = 30;

fn steady(net: &mut Net, nodes: usize) -> Steady {
    let (sent, clock) = (total(net), Instant::now());
    net.run(Millis::secs(STEADY_SECONDS));
    let cpu = clock.elapsed().as_micros() as f64 / (nodes as u64 * STEADY_SECONDS) as f64;
    Steady {
        sent: rate(sent, total(net), nodes as u64 * STEADY_SECONDS, 13),
        readers: net.nodes.iter().filter(|n| n.reading).count(),
        cpu,
    }
}

struct Change {
    sent: String,
    mean: u64,
    worst: u64,
}

/// Publishes changes of one service and measures the time from the first node
/// that has a change to each of the others.
fn change(net: &mut Net, nodes: usize, services: usize) -> Change {
    const CHANGES: u64 = 5;
    let (mut mean, mut worst) = (0, 0);
    let quiet = total(net);
    net.run(Millis::secs(5));
    let base = total(net);
    let idle =
        Traffic { messages: base.messages - quiet.messages, bytes: base.bytes - quiet.bytes };
    for version in 2..2 + CHANGES {
        net.platform = Some(bundle(version, services));
        net.run(Millis::secs(5));
        assert!(net.all_have(&bundle(version, services)), "it is in force everywhere");
        let times =
            net.nodes.iter().filter(|n| n.up).filter_map(|n| n.accepted.last()).map(|(t, _)| *t);
        let first = times.clone().min().unwrap_or_default();
        let delays: Vec<u64> = times.map(|t| t.since(first).0).collect();
        mean += delays.iter().sum::<u64>() / (nodes as u64 * CHANGES);
        worst = worst.max(delays.into_iter().max().unwrap_or(0));
    }
    let end = total(net);
    let extra = Traffic {
        messages: (end.messages - base.messages).saturating_sub(CHANGES * idle.messages),
        bytes: (end.bytes - base.bytes).saturating_sub(CHANGES * idle.bytes),
    };
    Change { sent: rate(Traffic::default(), extra, nodes as u64 * CHANGES, 11), mean, worst }
}

struct Failures {
    dead: f64,
    cut: u64,
    bundle: f64,
    members: f64,
    heal: u64,
}

/// Stops one node, then partitions a failure domain off for a minute. Meanwhile
/// a bundle is published that the domain doesn't receive.
fn failures(net: &mut Net, nodes: usize, services: usize) -> Failures {
    const PARTITION_SECONDS: u64 = 60;
    net.nodes[5].up = false;
    let dead = until(net, 60, |net| all_see_dead(net, 5));
    net.partitioned.insert(DomainName::new("d1"));
    net.platform = None;
    let text = bundle(100, services);
    net.event(0, Event::PlatformBundle(text.clone()));
    let before = total(net);
    net.run(Millis::secs(PARTITION_SECONDS));
    let cut = bytes_per_second(before, total(net), PARTITION_SECONDS as f64, nodes);

    net.partitioned.clear();
    let (before, healed) = (total(net), net.now);
    let bundle = until(net, 60, |net| net.all_have(&text));
    let members = bundle + until(net, 300, |net| all_know_all(net, nodes - 1));
    let heal = bytes_per_second(before, total(net), net.now.since(healed).0 as f64 / 1000.0, nodes);
    Failures { dead, cut, bundle, members, heal }
}

fn bytes_per_second(from: Traffic, to: Traffic, secs: f64, nodes: usize) -> u64 {
    let bytes = to.bytes - from.bytes + CALL_BYTES * (to.messages - from.messages);
    (bytes as f64 / secs / nodes as f64) as u64
}

fn all_see_dead(net: &Net, ix: usize) -> bool {
    let name = &net.nodes[ix].me.name;
    let others = net.nodes.iter().enumerate().filter(|(other, _)| *other != ix);
    let dead = |n: &net::Node| {
        n.controller.roster().get(name).is_some_and(|m| m.state == MemberState::Dead)
    };
    others.into_iter().all(|(_, n)| dead(n))
}

fn all_know_all(net: &Net, count: usize) -> bool {
    let live = |n: &net::Node| n.members.iter().filter(|m| m.state == MemberState::Live).count();
    net.nodes.iter().filter(|n| n.up).all(|n| live(n) == count)
}

/// Runs until `done`, checked ten times a second, and returns the elapsed
/// seconds, or infinity after `limit` seconds.
fn until(net: &mut Net, limit: u64, done: impl Fn(&Net) -> bool) -> f64 {
    let start = net.now;
    while !done(net) {
        if net.now.since(start) >= Millis::secs(limit) {
            return f64::INFINITY;
        }
        net.run(Millis(100));
    }
    net.now.since(start).0 as f64 / 1000.0
}

fn total(net: &Net) -> Traffic {
    net.nodes.iter().fold(Traffic::default(), |sum, n| Traffic {
        messages: sum.messages + n.sent.messages,
        bytes: sum.bytes + n.sent.bytes,
    })
}

fn rate(from: Traffic, to: Traffic, by: u64, width: usize) -> String {
    let bytes = to.bytes - from.bytes;
    let with_overhead = bytes + CALL_BYTES * (to.messages - from.messages);
    format!("{:>width$}", format!("{}/{}", bytes / by, with_overhead / by))
}

/// Returns the resident memory of this process in bytes.
fn resident() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096
}
