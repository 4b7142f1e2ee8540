//! The documentation of the metrics is complete.

use medlarspur_lib::{bundle::Class, forwarder::Counters, ids::ServiceName};
use medlarspur_operator::{Family, Gauge, Meters};
use std::{fs, sync::Arc};

fn page() -> String {
    let path = format!("{}/../docs/metrics.md", env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(path).expect("the page")
}

/// Returns the value of the first label of a series, which is in quotes.
fn first_label(line: &str) -> Option<&str> {
    line.split('"').nth(1)
}

#[test]
fn every_metric_is_described() {
    let page = page();
    let counters = Family::ALL.map(|family| format!("`{}_total`", family.name()));
    let gauges = Gauge::ALL.map(|gauge| format!("`{}`", gauge.name()));

    for name in counters.iter().chain(&gauges) {
        assert!(page.contains(name), "{name}");
    }
}

#[test]
fn every_histogram_and_counter_of_the_packet_path_is_described() {
    let page = page();
    let meters = Meters::new().expect("metrics");
    meters.observe_forwarder(|| Arc::new(Counters::default()));
    meters.class(&ServiceName::new("alertdesk"), Class::Feed);

    let text = meters.text().expect("text");

    let histograms = text.lines().filter_map(|line| line.strip_suffix(" histogram"));
    for name in histograms.filter_map(|line| line.strip_prefix("# TYPE ")) {
        assert!(page.contains(&format!("`{name}`")), "{name}");
    }
    let series = text.lines().filter(|line| line.contains("_total{")).filter_map(first_label);
    for label in series {
        assert!(page.contains(&format!("`{label}`")), "{label}");
    }
}

/// Guards against counters of levels that operators find no description of.
#[test]
fn the_counters_of_levels_are_described() {
    let page = page();
    let meters = Meters::new().expect("metrics");
    meters.level(&ServiceName::new("alertdesk"), 0);

    let text = meters.text().expect("text");

    for name in ["opened", "held", "refused"].map(|it| format!("medlarspur_level_{it}_total")) {
        assert!(text.contains(&name) && page.contains(&format!("`{name}`")), "{name}");
    }
}
