//! Counters, gauges and histograms, as a scrape returns them.

use crate::fixtures::{get, start_server};
use expect_test::expect;
use medlarspur_lib::{bundle::Class, forwarder::Counters, ids::ServiceName};
use medlarspur_operator::{Family, Gauge, Meters};
use std::{sync::Arc, thread, time::Duration};

/// Returns the exported lines that contain `part`.
fn metric_lines(meters: &Meters, part: &str) -> String {
    let text = meters.text().expect("text");
    text.lines().filter(|line| line.contains(part)).map(|line| format!("{line}\n")).collect()
}

#[test]
fn a_new_counter_is_exported_as_zero() {
    let meters = Meters::new().expect("metrics");

    let _count = meters.counter(Family::Bundles, "bad-signature");

    expect![[r##"
        # HELP medlarspur_bundles_total Bundles that were offered, by what became of them.
        # TYPE medlarspur_bundles_total counter
        medlarspur_bundles_total{outcome="bad-signature"} 0
    "##]]
    .assert_eq(&metric_lines(&meters, "medlarspur_bundles"));
}

#[test]
fn threads_share_a_series() {
    let meters = Meters::new().expect("metrics");
    let count = meters.counter(Family::Drops, "malformed");

    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| (0..1000).for_each(|_| count.add(2)));
        }
    });

    expect![[r#"
        medlarspur_drops_total{reason="malformed"} 8000
    "#]]
    .assert_eq(&metric_lines(&meters, "medlarspur_drops_total{"));
}

#[test]
fn the_same_label_gives_the_same_series() {
    let meters = Meters::new().expect("metrics");

    meters.counter(Family::Platform, "ok").add(1);
    meters.counter(Family::Platform, "ok").add(1);

    expect![[r#"
        medlarspur_platform_calls_total{result="ok"} 2
    "#]]
    .assert_eq(&metric_lines(&meters, "medlarspur_platform_calls_total{"));
}

#[test]
fn counters_of_the_packet_path_are_exported() {
    let meters = Meters::new().expect("metrics");
    let counters = Counters { packets: 9, forwarded: 7, ..Counters::default() };
    let counters = Arc::new(counters);

    meters.observe_forwarder(move || counters.clone());

    expect![[r##"
        # HELP medlarspur_drops_total Packets and datagrams that were dropped.
        # TYPE medlarspur_drops_total counter
        medlarspur_drops_total{reason="after-sleep"} 0
        medlarspur_drops_total{reason="crossed"} 0
        medlarspur_drops_total{reason="flags"} 0
        medlarspur_drops_total{reason="fragment"} 0
        medlarspur_drops_total{reason="no-bundle"} 0
        medlarspur_drops_total{reason="no-service"} 0
        medlarspur_drops_total{reason="no-target"} 0
        medlarspur_drops_total{reason="not-ipv4"} 0
        medlarspur_drops_total{reason="overflow"} 0
        medlarspur_drops_total{reason="question-checksum"} 0
        medlarspur_drops_total{reason="question-kind"} 0
        medlarspur_drops_total{reason="question-length"} 0
        medlarspur_drops_total{reason="syn-with-data"} 0
        medlarspur_drops_total{reason="transport"} 0
        medlarspur_drops_total{reason="truncated"} 0
        # HELP medlarspur_flows_total Flows, by event.
        # TYPE medlarspur_flows_total counter
        medlarspur_flows_total{event="expired"} 0
        medlarspur_flows_total{event="opened"} 0
        medlarspur_flows_total{event="refused"} 0
        # HELP medlarspur_messages_total Control messages of peers, by event.
        # TYPE medlarspur_messages_total counter
        medlarspur_messages_total{event="advert-taken"} 0
        # HELP medlarspur_packets_total Packets of callers, by event.
        # TYPE medlarspur_packets_total counter
        medlarspur_packets_total{event="forwarded"} 7
        medlarspur_packets_total{event="known"} 0
        medlarspur_packets_total{event="received"} 9
        medlarspur_packets_total{event="unknown"} 0
        # HELP medlarspur_pauses_total Pauses of the process.
        # TYPE medlarspur_pauses_total counter
        medlarspur_pauses_total{event="healed"} 0
        medlarspur_pauses_total{event="slept"} 0
        # HELP medlarspur_questions_total Questions to peers about flows, by answer.
        # TYPE medlarspur_questions_total counter
        medlarspur_questions_total{answer="answered"} 0
        medlarspur_questions_total{answer="asked"} 0
        medlarspur_questions_total{answer="denied"} 0
        medlarspur_questions_total{answer="found"} 0
        medlarspur_questions_total{answer="guessed"} 0
    "##]]
    .assert_eq(&metric_lines(&meters, "medlarspur_"));
}

#[test]
fn a_gauge_is_read_at_each_scrape() {
    let (operator, _, meters) = start_server(true);
    meters.observe_gauge(Gauge::FlowsHeld, || 42);

    let (code, body) = get(&operator, "/metrics");

    assert_eq!(code, 200);
    assert!(body.contains("\nmedlarspur_flows_held 42\n"), "{body}");
}

#[test]
fn services_and_classes_have_separate_histograms() {
    let meters = Meters::new().expect("metrics");
    let service = ServiceName::new("alertdesk");
    let feed = meters.class(&service, Class::Feed);
    let request = meters.class(&service, Class::Request);

    feed.record_forward(Duration::from_micros(30));
    meters.class(&service, Class::Feed).record_forward(Duration::from_micros(30));
    request.record_wait(Duration::from_millis(2));

    expect![[r##"
        # HELP medlarspur_forward_seconds Time from a packet's arrival to its way on; sampled.
        # TYPE medlarspur_forward_seconds histogram
        medlarspur_forward_seconds_bucket{class="feed",service="alertdesk",le="0.000005"} 0
        medlarspur_forward_seconds_bucket{class="feed",service="alertdesk",le="0.00001"} 0
        medlarspur_forward_seconds_bucket{class="feed",service="alertdesk",le="0.00002"} 0
        medlarspur_forward_seconds_bucket{class="feed",service="alertdesk",le="0.00005"} 2
        medlarspur_forward_seconds_bucket{class="feed",service="alertdesk",le="0.0001"} 2
        medlarspur_forward_seconds_bucket{class="feed",service="alertdesk",le="0.00025"} 2
        medlarspur_forward_seconds_bucket{class="feed",service="alertdesk",le="0.001"} 2
        medlarspur_forward_seconds_bucket{class="feed",service="alertdesk",le="0.0025"} 2
        medlarspur_forward_seconds_bucket{class="feed",service="alertdesk",le="0.005"} 2
        medlarspur_forward_seconds_bucket{class="feed",service="alertdesk",le="0.01"} 2
        medlarspur_forward_seconds_bucket{class="feed",service="alertdesk",le="0.05"} 2
        medlarspur_forward_seconds_bucket{class="feed",service="alertdesk",le="+Inf"} 2
        medlarspur_forward_seconds_sum{class="feed",service="alertdesk"} 0.00006
        medlarspur_forward_seconds_count{class="feed",service="alertdesk"} 2
        medlarspur_forward_seconds_bucket{class="request",service="alertdesk",le="0.000005"} 0
        medlarspur_forward_seconds_bucket{class="request",service="alertdesk",le="0.00001"} 0
        medlarspur_forward_seconds_bucket{class="request",service="alertdesk",le="0.00002"} 0
        medlarspur_forward_seconds_bucket{class="request",service="alertdesk",le="0.00005"} 0
        medlarspur_forward_seconds_bucket{class="request",service="alertdesk",le="0.0001"} 0
        medlarspur_forward_seconds_bucket{class="request",service="alertdesk",le="0.00025"} 0
        medlarspur_forward_seconds_bucket{class="request",service="alertdesk",le="0.001"} 0
        medlarspur_forward_seconds_bucket{class="request",service="alertdesk",le="0.0025"} 0
        medlarspur_forward_seconds_bucket{class="request",service="alertdesk",le="0.005"} 0
        medlarspur_forward_seconds_bucket{class="request",service="alertdesk",le="0.01"} 0
        medlarspur_forward_seconds_bucket{class="request",service="alertdesk",le="0.05"} 0
        medlarspur_forward_seconds_bucket{class="request",service="alertdesk",le="+Inf"} 0
        medlarspur_forward_seconds_sum{class="request",service="alertdesk"} 0
        medlarspur_forward_seconds_count{class="request",service="alertdesk"} 0
    "##]]
    .assert_eq(&metric_lines(&meters, "medlarspur_forward_seconds"));
    expect![[r#"
        medlarspur_wait_seconds_sum{class="feed",service="alertdesk"} 0
        medlarspur_wait_seconds_sum{class="request",service="alertdesk"} 0.002
    "#]]
    .assert_eq(&metric_lines(&meters, "medlarspur_wait_seconds_sum"));
}

/// Guards against services without a series of their own. By default, the library merges
/// those beyond 2,000 into one unnamed series; the design allows for 3,400 services.
#[test]
fn thousands_of_services_have_their_own_series() {
    let meters = Meters::new().expect("metrics");

    for ix in 0..4000 {
        let service = ServiceName::new(&format!("s{ix}"));
        meters.class(&service, Class::Feed).record_lifetime(Duration::from_secs(1));
    }

    let counts = metric_lines(&meters, "medlarspur_flow_seconds_count");
    assert_eq!(counts.lines().count(), 4000);
    assert!(!counts.contains("overflow"));
}

/// Guards against flows of several levels or services that are counted as one.
#[test]
fn levels_of_services_have_separate_counters() {
    let meters = Meters::new().expect("metrics");
    let (desk, feed) = (ServiceName::new("alertdesk"), ServiceName::new("alertfeed"));

    meters.level(&desk, 0).refused.add(1);
    meters.level(&desk, 1).refused.add(4);
    meters.level(&feed, 0).held.add(2);
    meters.level(&desk, 1).refused.add(3);

    expect![[r#"
        medlarspur_level_refused_total{level="0",service="alertdesk"} 1
        medlarspur_level_refused_total{level="0",service="alertfeed"} 0
        medlarspur_level_refused_total{level="1",service="alertdesk"} 7
    "#]]
    .assert_eq(&metric_lines(&meters, "medlarspur_level_refused_total{"));
}
