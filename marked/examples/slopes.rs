//! Costs of forwarding by marks depending on size, in time and memory.
//!
//! Prints one row for each measure. `docs/measures/marks.md` shows the output of a run and its
//! consequences for the intended scale.

use medlarspur_lib::{
    bundle::Class,
    ids::{DomainName, ServiceName, TargetName, Version},
    settings::Capabilities,
    time::Millis,
};
use medlarspur_load::priority::Level;
use medlarspur_marked::{
    Catalog, Change, Config, Content, FlowEvent, FlowKey, Forwarder, ForwarderOptions, Incarnation,
    Kind, Mark, Note, Output, Revision, Route, Scope, Segment, Share, Span, Start, Target, Update,
    message,
};
use std::{fs, hint::black_box, net::SocketAddrV4, time::Instant};

/// Number of packets or openings that a mean time is taken over.
const ROUNDS: u32 = 200_000;

struct NoOutput;

impl Output for NoOutput {
    fn forward(&mut self, target: &Target, mark: Mark, packet: &[u8]) {
        black_box((target.address, mark, packet));
    }

    fn reset(&mut self, flow: &FlowKey, seq: u32) {
        black_box((flow, seq));
    }

    fn probe(&mut self, target: &Target, _path: &str) {
        black_box(target.address);
    }

    fn note(&mut self, note: Note) {
        black_box(note);
    }

    fn measure(&mut self, _service: &ServiceName, _class: Class, span: Span) {
        black_box(span);
    }

    fn count(&mut self, _service: &ServiceName, level: Level, event: FlowEvent) {
        black_box((level, event));
    }
}

fn main() {
    println!("{:52} {:>8} {:>12}", "measure", "size", "value");
    for targets in [150, 1_400, 5_600] {
        catalog(targets);
    }
    for flows in [300, 3_000, 18_000] {
        packets(flows);
    }
    for health in [false, true] {
        requests(3_000, health);
    }
    for targets in [4, 14, 120, 1_000] {
        openings(targets);
    }
}

fn row(measure: &str, size: usize, value: f64, unit: &str) {
    println!("{measure:52} {size:8} {value:12.1} {unit}");
}

fn address(net: u8, number: usize, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([net, 64, (number >> 8) as u8, number as u8].into(), port)
}

fn target(number: usize, service: usize) -> Target {
    let name = TargetName::new(&format!("i-{:08x}", 0x7000_0000 + number * 7919));
    let start = Start(1_700_000_000_000 + number as u64);
    Target {
        incarnation: Incarnation::new(&name, start),
        name,
        start,
        service: ServiceName::new(&format!("service-{service}")),
        address: address(10, number, 8080),
        domain: DomainName::new("north"),
        slots: 2,
        leaving: false,
        cold: Millis(0),
        writes: 1,
    }
}

/// A snapshot of a site with `targets` targets, which `services` services share, and 0.6 routes a
/// target, as at the intended scale.
fn site(targets: usize, services: usize) -> Update {
    let routes = (targets * 6 / 10).max(1);
    let route = |number: usize| Route {
        address: address(198, number, 8443),
        class: Class::Feed,
        priority: None,
        objective: Some(Millis(250)),
        shares: vec![Share {
            service: ServiceName::new(&format!("service-{}", number % services)),
            weight: 1,
        }],
        regions: Vec::new(),
    };
    let config = Config {
        version: Version(1),
        routes: (0..routes).map(route).collect(),
        services: Vec::new(),
        idle: Millis::secs(15),
        omitted: 0,
    };
    let mut changes =
        vec![Change { revision: Revision::new(0, 1), content: Content::Config(config) }];
    changes.extend((0..targets).map(|number| Change {
        revision: Revision::new(0, number as u64 + 2),
        content: Content::Target(target(number, number % services)),
    }));
    Update::new(Revision::new(0, targets as u64 + 2), Scope::Snapshot, changes)
}

/// Resident memory of this process in bytes.
fn resident() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or_default();
    pages * 4096.0
}

fn catalog(targets: usize) {
    let before = resident();
    let snapshot = site(targets, (targets / 8).max(2));
    let bytes = message::encode_update(&snapshot).map_or(0, |it| it.len());
    row("whole picture, bytes to another instance", targets, bytes as f64, "B");
    let mut catalog = Catalog::default();
    let start = Instant::now();
    catalog.merge(snapshot, Millis(0));
    row("whole picture, merged", targets, start.elapsed().as_secs_f64() * 1e6, "us");
    row("whole picture, resident", targets, (resident() - before) / 1024.0, "KiB");
    let change = |nth: u32| Update {
        revision: Revision::new(0, 1_000_000 + u64::from(nth)),
        scope: Scope::Incremental(Revision::new(0, 0)),
        changes: vec![Change {
            revision: Revision::new(0, 1_000_000 + u64::from(nth)),
            content: Content::Target(target(nth as usize % targets, 0)),
        }],
        unconfirmed: Vec::new(),
    };
    let start = Instant::now();
    for nth in 0..1_000 {
        catalog.merge(change(nth), Millis(0));
    }
    row("one change, merged", targets, start.elapsed().as_secs_f64() * 1e3, "us");
    let start = Instant::now();
    for nth in 0..100 {
        black_box(catalog.update_since(Revision::new(0, 1_000_990 + nth % 5), Millis(0)));
    }
    row("the last changes, gathered", targets, start.elapsed().as_secs_f64() * 1e4, "us");
    std::mem::forget(catalog);
}

fn options() -> ForwarderOptions {
    ForwarderOptions {
        domain: DomainName::new("north"),
        regions: Default::default(),
        capabilities: Default::default(),
        seed: 1,
    }
}

fn forwarder(targets: usize, services: usize) -> Forwarder {
    let mut forwarder = Forwarder::new(options());
    forwarder.apply_update(site(targets, services), Millis(0), &mut NoOutput);
    forwarder
}

fn flow(number: usize, routes: usize) -> FlowKey {
    let caller = SocketAddrV4::new([100, 64, (number >> 8) as u8, number as u8].into(), 40_000);
    FlowKey { caller, service: address(198, number % routes, 8443) }
}

fn packets(flows: usize) {
    let targets = 5_600;
    let before = resident();
    let mut forwarder = forwarder(targets, 700);
    let base = resident();
    let segment = |nth: usize, round: u32| {
        let key = flow(nth, 700);
        let at = target(nth % 700 + 700 * (nth % 8), 0).incarnation;
        let mark = Some(Mark::new(at, &key));
        let seq = 1_000 + round * 100;
        let repeated_after = Millis(0);
        Segment { key, kind: Kind::Continue, seq, ack: 1, len: 100, mark, repeated_after }
    };
    let all: Vec<Segment> = (0..flows).map(|nth| segment(nth, 0)).collect();
    for segment in &all {
        forwarder.handle_packet(segment, &[0; 134], Millis(0), Millis(1), &mut NoOutput);
    }
    let held = (resident() - base) / flows as f64;
    row("a flow, resident (upper bound)", flows, held, "B");
    let rounds = ROUNDS as usize / flows * flows;
    let start = Instant::now();
    for nth in 0..rounds.max(flows) {
        let known = all[nth % flows];
        let seq = known.seq + (nth / flows) as u32 * 100 + 100;
        let segment = Segment { seq, ..known };
        forwarder.handle_packet(&segment, &[0; 134], Millis(0), Millis(2), &mut NoOutput);
    }
    let nanos = start.elapsed().as_nanos() as f64 / rounds.max(flows) as f64;
    row("a packet in mid-flow, 5,600 targets", flows, nanos, "ns");
    black_box(before);
}

/// Requests with answers on open flows; `health` turns the classification of outcomes on.
fn requests(flows: usize, health: bool) {
    let mut forwarder = forwarder(5_600, 700);
    if health {
        let capabilities = Capabilities { health, pressure: false };
        forwarder = Forwarder::new(ForwarderOptions { capabilities, ..options() });
        forwarder.apply_update(site(5_600, 700), Millis(0), &mut NoOutput);
    }
    let marks = |nth: usize| {
        let key = flow(nth, 700);
        (key, Some(Mark::new(target(nth % 700 + 700 * (nth % 8), 0).incarnation, &key)))
    };
    let marks: Vec<_> = (0..flows).map(marks).collect();
    let mut packet = |nth: usize, round: u32, len: u16, is_answered: bool, now: Millis| {
        let (key, mark) = marks[nth];
        let seq = round * 100 + if len == 0 { 100 } else { 0 };
        let ack = 1 + 840 * (round + u32::from(is_answered));
        let repeated_after = Millis(0);
        let kind = Kind::Continue;
        let segment = Segment { key, kind, seq, ack, len, mark, repeated_after };
        forwarder.handle_packet(&segment, &[0; 134], Millis(0), now, &mut NoOutput);
        if nth.is_multiple_of(50) {
            forwarder.tick(now, &mut NoOutput);
        }
    };
    let start = Instant::now();
    let rounds = ROUNDS / flows as u32;
    for round in 0..rounds {
        let now = Millis(u64::from(round) * 1_000);
        for nth in 0..flows {
            packet(nth, round, 100, false, now + Millis(nth as u64 / 10));
        }
        for nth in 0..flows {
            packet(nth, round, 0, true, now + Millis(300 + nth as u64 / 10));
        }
    }
    let nanos = start.elapsed().as_nanos() as f64 / (2 * rounds as usize * flows) as f64;
    let measure = if health { "outcomes classified" } else { "outcomes off" };
    row(&format!("a packet of a request or answer, {measure}"), flows, nanos, "ns");
}

fn openings(targets: usize) {
    let mut forwarder = forwarder(targets, 1);
    let count = 20_000;
    let start = Instant::now();
    for nth in 0..count {
        let key = flow(nth, 1);
        let repeated_after = Millis(200);
        let kind = Kind::Open;
        let open = Segment { key, kind, seq: 1, ack: 0, len: 0, mark: None, repeated_after };
        forwarder.handle_packet(&open, &[0; 34], Millis(0), Millis(nth as u64 / 50), &mut NoOutput);
    }
    let nanos = start.elapsed().as_nanos() as f64 / count as f64;
    row("an opening, targets of its service", targets, nanos, "ns");
}
