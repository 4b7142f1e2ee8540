//! Benchmarks of the packet path: in memory, and over loopback compared with a bare relay of
//! the same datagrams. `docs/MEASURES.md` explains the figures.
//!
//! ```text
//! cargo run --release -p medlarspur-daemon --example bench
//! cargo run --release -p medlarspur-daemon --example bench -- slope flow-memory 300000
//! ```

mod lines;
mod memory;
mod process;
mod relay;
mod site;
mod slopes;

use relay::RelayResult;

/// Number of flows that one instance must hold.
const FLOWS: usize = 300_000;
/// Sizes of packets on loopback, in bytes: an acknowledgement and a full upload segment.
const PACKET_SIZES: [usize; 2] = [60, 1400];

fn main() {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] => {
            print_memory();
            print_relay();
        }
        ["lines"] => print_lines(),
        ["memory"] => print_memory(),
        ["relay"] => print_relay(),
        ["slope", name, size] => print_slope(name, size),
        _ => eprintln!("usage: bench [lines | memory | relay | slope NAME SIZE]"),
    }
}

/// Prints the results on standard error, because standard output has the log lines.
fn print_lines() {
    let costs = lines::run();
    eprintln!("written line, deciding thread     {:6} ns", costs.written);
    eprintln!("written line, log thread          {:6} ns", costs.writer);
    eprintln!("line left out, deciding thread    {:6} ns", costs.left_out);
    eprintln!("lines lost, queue full            {:6}", costs.lost);
}

fn print_memory() {
    println!("{:<42} {:>12} {:>10}", "in memory", "packets/s", "ns/packet");
    for row in memory::run(FLOWS) {
        println!("{:<42} {:>12.0} {:>10.1}", row.name, 1e9 / row.nanos, row.nanos);
    }
}

fn print_relay() {
    let head = ["loopback", "packets/s", "cpu ns", "of bare", "by cpu"];
    println!("{:<42} {:>12} {:>10} {:>8} {:>8}", head[0], head[1], head[2], head[3], head[4]);
    for size in PACKET_SIZES {
        for rate in relay::run(FLOWS, size) {
            let name = format!("{size} bytes, {}", rate.name);
            let RelayResult { rate, nanos, ratio, cpu_ratio, .. } = rate;
            println!("{name:<42} {rate:>12.0} {nanos:>10.0} {ratio:>8.3} {cpu_ratio:>8.3}");
        }
    }
}

fn print_slope(name: &str, size: &str) {
    let value = size.parse().ok().and_then(|size| slopes::measure(name, size));
    match value {
        Some(value) => println!("{size}: {value:.0}"),
        None => eprintln!("no slope {name:?} at {size:?}"),
    }
}
