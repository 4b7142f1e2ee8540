//! Tests of the operators' interface of running instances.

use medlarspur_lib::{
    bundle::{Class, SecretKey},
    status::{Explanation, Reason, Status},
};
use medlarspur_testutils::{
    caller::{Callers, Settings, Stream},
    site::{Site, site_services},
    spread::Mode,
    web,
};
use std::{
    net::SocketAddrV4,
    path::Path,
    thread,
    time::{Duration, Instant},
};

/// Timeout of every wait; far longer than needed on a busy machine.
const LIMIT: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(50);

fn site(instances: usize) -> Site {
    web::silence_logs();
    let program = Path::new(env!("CARGO_BIN_EXE_medlarspurd"));
    let mut site = Site::start(program, Mode::Hash, &site_services(2, 1)).expect("the site starts");
    for _ in 0..instances {
        site.join().expect("an instance joins");
    }
    site
}

fn get(operator: SocketAddrV4, path: &str) -> String {
    let url = format!("http://{operator}{path}");
    let mut answer = ureq::get(url).call().expect("an answer");
    answer.body_mut().read_to_string().expect("text")
}

/// Returns the sum of the series that begin with `start`.
fn metric(operator: SocketAddrV4, start: &str) -> f64 {
    let text = get(operator, "/metrics");
    let series = text.lines().filter(|line| line.starts_with(start));
    series.filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok()).sum()
}

fn await_that(what: &str, holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < LIMIT, "timeout: {what}");
        thread::sleep(PAUSE);
    }
}

fn stream(service: &str, class: Class, remote: &str) -> Stream {
    let remote = remote.parse().expect("an address");
    Stream { service: service.into(), class, remote, rate: 20.0, total: 0, size: 5000, hold: 200 }
}

#[test]
fn histograms_have_samples_for_each_service_and_class() {
    let site = site(1);
    let operator = site.instances[0].operator;
    let streams = vec![
        stream("alertdesk", Class::Feed, "10.70.0.1:7001"),
        stream("alertdesk", Class::Request, "10.70.0.1:7002"),
        stream("ingest", Class::Upload, "10.70.0.2:7003"),
    ];

    let callers = Callers::start(Settings::new(site.fabric.callers), streams).expect("callers");

    let classes = [("feed", "alertdesk"), ("request", "alertdesk"), ("upload", "ingest")];
    for name in ["forward", "wait", "handshake", "flow"] {
        for (class, service) in classes {
            let count = format!(
                "medlarspur_{name}_seconds_count{{class=\"{class}\",service=\"{service}\"}}"
            );
            await_that(&count, || metric(operator, &count) > 0.0);
        }
    }
    assert!(metric(operator, "medlarspur_packets_total{event=\"forwarded\"}") > 0.0);
    assert_eq!(metric(operator, "medlarspur_drops_total{reason=\"crossed\"}"), 0.0);
    callers.stop(Duration::ZERO);
}

/// Guards against accepting a bundle that is signed with the key of another site, and against
/// refusing it without counting the reason.
#[test]
fn a_refused_bundle_is_counted_and_the_one_in_force_stays() {
    let mut site = site(2);
    let operators: Vec<_> = site.instances.iter().map(|instance| instance.operator).collect();
    site.layout.version = 9;
    let foreign = site.layout.signed(&SecretKey::generate());

    site.platform.publish(&foreign);

    let refused = "medlarspur_bundles_total{outcome=\"unknown-key\"}";
    await_that(refused, || operators.iter().any(|operator| metric(*operator, refused) > 0.0));
    for operator in operators {
        let status: Status = serde_json::from_str(&get(operator, "/status")).expect("a status");
        assert_eq!(status.bundle.expect("in force").version.0, 1);
        assert_eq!(metric(operator, "medlarspur_bundle_version"), 1.0);
    }
}

#[test]
fn two_instances_explain_a_flow_alike() {
    let site = site(2);
    let path = "/explain?flow=tcp:10.64.0.9:4000:10.70.0.1:7001";
    let explain = |ix: usize| -> Explanation {
        serde_json::from_str(&get(site.instances[ix].operator, path)).expect("an explanation")
    };

    let (one, two) = (explain(0), explain(1));

    assert_eq!(one.reason, Reason::Table);
    assert_eq!((&one.target, one.bucket), (&two.target, two.bucket));
    assert!(one.target.is_some());
}

/// Guards against series and labels that the documentation doesn't describe.
#[test]
fn every_series_of_an_instance_is_described() {
    let site = site(1);
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/metrics.md");
    let page = std::fs::read_to_string(page).expect("the page");

    let text = get(site.instances[0].operator, "/metrics");

    let described = |word: &str| page.contains(&format!("`{word}`"));
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        let (series, _) = line.rsplit_once(' ').expect("a value");
        match series.split_once('{') {
            None => assert!(described(series), "{series}"),
            Some((_, labels)) if labels.contains("service=") => {}
            Some((name, labels)) => {
                assert!(described(name), "{name}");
                let label = labels.split('"').nth(1).expect("a label");
                assert!(described(label), "{series}");
            }
        }
    }
}
