//! Compares the assignment of buckets with weighted rendezvous hashing: how far
//! the shares are from the weights, and how many more buckets move than
//! necessary when a target leaves. `docs/design/table.md` explains the output.
//!
//! ```text
//! cargo run --release -p medlarspur-lib --example table_cost
//! ```

use medlarspur_lib::{
    bundle::{Service, Target, TargetState},
    ids::{DomainName, ServiceName, TargetName},
    table,
    time::Millis,
};
use siphasher::sip::SipHasher13;
use std::{
    hash::Hasher,
    net::{Ipv4Addr, SocketAddrV4},
};

const SIZES: [usize; 3] = [4, 14, 30];
const BUCKETS: u16 = 1024;
const WEIGHT: u16 = 100;

fn main() {
    println!("method      targets  max/mean  moved % (needed)  largest moved %");
    for size in SIZES {
        row("maglev", size, maglev);
        row("rendezvous", size, rendezvous);
    }
}

/// Prints the figures of one method and size. Each target leaves in turn.
fn row(method: &str, size: usize, assign: fn(&Service) -> Vec<usize>) {
    let service = service(size);
    let before = assign(&service);
    let mut moved = Vec::new();
    for leaver in 0..size {
        let mut reduced = service.clone();
        reduced.targets[leaver].state = TargetState::Leaving;
        let after = assign(&reduced);
        moved.push(before.iter().zip(&after).filter(|(a, b)| a != b).count());
    }
    let share = |count: usize| count as f64 * 100.0 / f64::from(BUCKETS);
    let most = (0..size).map(|ix| before.iter().filter(|owner| **owner == ix).count()).max();
    let ratio = most.unwrap_or(0) as f64 * size as f64 / f64::from(BUCKETS);
    let mean = moved.iter().map(|count| share(*count)).sum::<f64>() / size as f64;
    let largest = share(moved.iter().copied().max().unwrap_or(0));
    let needed = 100.0 / size as f64;
    println!("{method:10}  {size:7}  {ratio:8.3}  {mean:6.2} ({needed:5.2})    {largest:15.2}");
}

fn maglev(service: &Service) -> Vec<usize> {
    let assigned = table::assign_buckets(service).unwrap_or_default();
    assigned.into_iter().map(|target| usize::from(target.0)).collect()
}

/// Assigns each bucket to the target with the highest score, which is the
/// logarithm of a hash scaled by the weight.
fn rendezvous(service: &Service) -> Vec<usize> {
    let best = |bucket: u16| {
        let eligible = service.targets.iter().enumerate();
        let eligible = eligible.filter(|(_, target)| target.state == TargetState::Active);
        let scored = eligible.map(|(ix, target)| (score(bucket, target), ix));
        scored.max_by(|a, b| a.0.total_cmp(&b.0)).map_or(0, |(_, ix)| ix)
    };
    (0..BUCKETS).map(best).collect()
}

fn score(bucket: u16, target: &Target) -> f64 {
    let mut hasher = SipHasher13::new();
    hasher.write(target.name.as_str().as_bytes());
    hasher.write_u16(bucket);
    let uniform = (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64;
    -f64::from(target.weight) / uniform.ln()
}

fn service(size: usize) -> Service {
    Service {
        name: ServiceName::new("alertdesk"),
        address: Ipv4Addr::new(10, 70, 0, 1),
        ports: Vec::new(),
        buckets: BUCKETS,
        keepalive: Millis::secs(30),
        refusal: None,
        balance: 50,
        targets: (0..size).map(target).collect(),
    }
}

fn target(ix: usize) -> Target {
    Target {
        name: TargetName::new(&format!("alertdesk-{ix}")),
        address: SocketAddrV4::new(Ipv4Addr::new(127, 8, 0, ix as u8), 5555),
        domain: DomainName::new("lozenets"),
        weight: WEIGHT,
        slots: 2,
        connections: 2000,
        state: TargetState::Active,
        probe: None,
    }
}
