//! Measures the time of a decision and the cost of its state, on this machine.

use crate::model::site;
use medlarspur_lib::{
    bundle::Class,
    ids::{FlowId, ServiceIx, ServiceName, TargetIx},
    time::Millis,
};
use medlarspur_load::{Closing, Gate, Opening, ServiceSpec, Settings, random::Random};
use std::{hint::black_box, net::Ipv4Addr, time::Instant};

/// Openings of one measurement: 100 s of 10,000 a second.
const OPENINGS: u64 = 1_000_000;

/// Prints nanoseconds for an opening, its repetition and an end.
pub fn print() {
    let mut gate = Gate::new(Settings::default(), 1);
    gate.set_instances(8);
    gate.set_services(Millis(0), vec![site::alertdesk().service(true)]);
    let mut random = Random::new(7);
    let openings: Vec<Opening> = (0..OPENINGS).map(|_| opening(&mut random)).collect();
    let mut out = Vec::new();
    let open = time(&openings, |now, opening| {
        black_box(gate.open(now, opening));
    });
    let last = &openings[openings.len() - 100_000..];
    let again = time(last, |_, opening| {
        black_box(gate.open(Millis(OPENINGS / 10), opening));
    });
    let due = time(&openings, |now, _| {
        gate.collect_verdicts(now + Millis(OPENINGS / 10), &mut out);
        out.clear();
    });
    let end = time(last, |now, opening| {
        let Opening { flow, service, class, target, .. } = *opening;
        gate.record_closing(now, &Closing { flow, service, class, target });
    });
    let (install, tick) = fleet();
    println!("\n| step | ns |\n|---|---|");
    println!("| decide on an opening | {open:.0} |");
    println!("| answer a repeated opening | {again:.0} |");
    println!("| ask for due verdicts | {due:.0} |");
    println!("| take note of an end | {end:.0} |");
    println!("| take over a bundle of 3,400 services | {install:.0} |");
    println!("| renew the weights of 3,400 services, once a second | {tick:.0} |");
}

/// Returns the time to install a bundle and to update all weights at the target size: 3,400
/// services with 5,600 targets.
fn fleet() -> (f64, f64) {
    let mut gate = Gate::new(Settings::default(), 1);
    let services = || (0..3_400).map(fleet_service).collect();
    gate.set_services(Millis(0), services());
    let next = services();
    let start = Instant::now();
    gate.set_services(Millis(1), next);
    let install = start.elapsed().as_nanos() as f64;
    let start = Instant::now();
    gate.collect_verdicts(Millis(1), &mut Vec::new());
    (install, start.elapsed().as_nanos() as f64)
}

fn fleet_service(number: usize) -> ServiceSpec {
    let hosts = if number.is_multiple_of(3) { 1 } else { 2 };
    let service = site::Site { hosts, ..site::ingest() }.service(true);
    ServiceSpec { name: ServiceName::new(&format!("service-{number}")), ..service }
}

fn opening(random: &mut Random) -> Opening {
    let class = [Class::Feed, Class::Request, Class::Request, Class::Upload];
    Opening {
        flow: FlowId(random.draw()),
        caller: Ipv4Addr::from(0x0a00_0000 + (random.draw() as u32 & 0xffff)),
        service: ServiceIx(0),
        class: class[random.draw() as usize % class.len()],
        target: TargetIx((random.draw() % 14) as u16),
    }
}

fn time(openings: &[Opening], mut step: impl FnMut(Millis, &Opening)) -> f64 {
    let start = Instant::now();
    for (at, opening) in openings.iter().enumerate() {
        step(Millis(at as u64 / 10), opening);
    }
    start.elapsed().as_nanos() as f64 / openings.len() as f64
}
