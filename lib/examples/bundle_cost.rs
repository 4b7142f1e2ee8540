//! Measures what a bundle costs an instance: its size, and the time to check it
//! and to report its faults. `docs/MEASURES.md` explains the output.
//!
//! ```text
//! cargo run --release -p medlarspur-lib --example bundle_cost
//! ```

use medlarspur_lib::{
    bundle::{Bundle, MAX_BUNDLE_SIZE, SecretKey, SignedBundle, TrustedKeys, sign},
    ids::SiteName,
};
use std::{
    fmt::Write,
    time::{Duration, Instant},
};

/// Numbers of services. The last one is the largest that the design allows for,
/// with 5,600 targets.
const SIZES: [usize; 5] = [200, 400, 850, 1700, 3400];
/// Targets per service at the largest size.
const TARGETS: f64 = 5600.0 / 3400.0;
const REPEATS: usize = 9;

fn main() {
    let key = SecretKey::generate();
    let keys = TrustedKeys::new(vec![key.public()]);
    let site = SiteName::new("site");
    println!("services  targets     bytes  of limit  check ms  ns/byte  refuse ms  report ms");
    for services in SIZES {
        let targets = (services as f64 * TARGETS) as usize;
        let text = text(services, targets);
        let signed = sign(&text, &key);
        let check =
            median(|| drop(SignedBundle::check(signed.as_bytes(), &keys, &site).expect("valid")));
        let faulty = text.replace("class: feed", "class: feeds");
        let refuse = median(|| drop(Bundle::parse_without_lines(&faulty).expect_err("faulty")));
        let report = median(|| drop(Bundle::parse(&faulty).expect_err("faulty")));
        println!(
            "{services:8}  {targets:7}  {:8}  {:7.0}%  {:8.2}  {:7.1}  {:9.2}  {:9.1}",
            signed.len(),
            signed.len() as f64 * 100.0 / MAX_BUNDLE_SIZE as f64,
            millis(check),
            check.as_nanos() as f64 / signed.len() as f64,
            millis(refuse),
            millis(report),
        );
    }
}

/// Returns a bundle in the short form, without fields that have their default.
fn text(services: usize, targets: usize) -> String {
    let mut text =
        "version: 1\nsite: site\nseed: ab0123456789ab0123456789abcdefff\nservices:\n".to_owned();
    let mut target = 0;
    for service in 0..services {
        let address = format!("10.70.{}.{}", service / 250, service % 250 + 1);
        let _ = write!(
            text,
            "- {{name: service-{service}, address: {address}, ports: [{{number: 7001, class: feed}}], targets: ["
        );
        let until = (service + 1) * targets / services;
        while target < until {
            let (high, low) = (target / 250, target % 250 + 1);
            let domain = target % 10;
            let _ = write!(
                text,
                "{{name: host-{target}, address: 10.1.{high}.{low}:6080, domain: domain-{domain}}}, "
            );
            target += 1;
        }
        text.push_str("]}\n");
    }
    text
}

fn median(mut run: impl FnMut()) -> Duration {
    let mut times: Vec<Duration> = (0..REPEATS)
        .map(|_| {
            let start = Instant::now();
            run();
            start.elapsed()
        })
        .collect();
    times.sort();
    times[REPEATS / 2]
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
