//! Tests that failures can be explained from log lines, as `docs/OPERATIONS.md` describes, and
//! flows and state from operators' requests.

use crate::marked::{lines_with, site, wait_for_answers, wait_until};
use medlarspur_lib::{
    bundle::Class,
    packet::FlowKey,
    status::{MarkedExplanation, MarkedReason, MarkedStatus, TargetUse},
};
use medlarspur_standin::{caller::Outcome, site::Site};

/// Returns the value of a field of a line.
fn field<'a>(line: &'a str, name: &str) -> &'a str {
    let at = line.find(&format!(" {name}=")).unwrap_or_else(|| panic!("{name} in {line}"));
    line[at + name.len() + 2..].split(' ').next().expect("a value")
}

/// Guards against lines that don't explain a refused request. The caller's address and port lead
/// to the reset, whose reason is that no target accepts flows. The entries show that all of them
/// are leaving.
#[test]
fn a_refused_flow_is_explained_by_leaving_targets() {
    let mut site = site(4, 1);
    for host in 0..3 {
        site.drain(host);
    }
    wait_until("the leaving targets are logged", || {
        lines_with(&site, &["state=leaving"]).len() == 3
    });
    site.add_callers(Class::Request, 1);
    wait_until("the flow is refused", || site.tally().count(Class::Request, Outcome::Refused) > 0);
    let refused = site.tally().finished.into_iter().find(|it| it.outcome == Outcome::Refused);
    let flow = format!("flow={}>", refused.expect("a refused request").flow);

    wait_until("the reset is logged", || !lines_with(&site, &[&flow]).is_empty());
    let lines = lines_with(&site, &[&flow]);
    assert_eq!(field(&lines[0], "reason"), "no-target");
    let known: u64 = field(&lines[0], "known").parse().expect("a revision");
    let leaving = lines_with(&site, &["target entry", "state=leaving"]);
    assert!(leaving.iter().all(|line| field(line, "revision").parse::<u64>().unwrap() <= known));
}

/// Guards against lines that don't explain a feed that is reset in mid-flow. The caller's address
/// and port lead to the target and to the reset, and the target's lines to its probe's result.
#[test]
fn a_reset_feed_is_explained_by_a_lost_target() {
    let mut site = site(4, 1);
    site.add_callers(Class::Feed, 6);
    wait_for_answers(&site, 20);
    let dead = site.target(0).expect("a target").incarnation;
    let dead = format!("target=i-{dead:08x}");

    site.stop_target(0, false);
    let reset = ["flow reset", "reason=target-lost", &dead];
    wait_until("the target's flows are reset", || !lines_with(&site, &reset).is_empty());

    let line = lines_with(&site, &reset).remove(0);
    let opened = lines_with(&site, &["flow opened", &format!("flow={} ", field(&line, "flow"))]);
    assert_eq!(format!("target={}", field(&opened[0], "target")), dead);
    let lost = lines_with(&site, &["target lost", &dead]).remove(0);
    assert_eq!(field(&lost, "finding"), "gone");
    assert!(!lines_with(&site, &["target doubted", &dead]).is_empty());
}

/// Guards against lines that don't explain a flow to an address without a route. The reset has
/// the reason, and the revision that leads to the config in force.
#[test]
fn a_flow_that_never_opened_is_explained_by_the_config() {
    let mut site = site(4, 1);
    site.store.put_config(1_000, &[]);
    wait_until("the config is in force", || {
        !lines_with(&site, &["config in force", "version=1000"]).is_empty()
    });
    site.add_callers(Class::Upload, 1);
    wait_until("the flow is refused", || site.tally().count(Class::Upload, Outcome::Refused) > 0);
    let flow = format!("flow={}>", site.tally().finished[0].flow);

    wait_until("the reset is logged", || !lines_with(&site, &[&flow]).is_empty());
    let line = lines_with(&site, &[&flow]).remove(0);
    assert_eq!(field(&line, "reason"), "no-route");
    let config = lines_with(&site, &["config in force", "version=1000"]).remove(0);
    let (known, revision) = (field(&line, "known"), field(&config, "revision"));
    assert_eq!(known.parse::<u64>().unwrap(), revision.parse::<u64>().unwrap());
}

/// Sends a request to the only instance's operator interface.
fn get_json<T: serde::de::DeserializeOwned>(site: &Site, path: &str) -> T {
    let served = "operators: served";
    wait_until("operators are served", || !lines_with(site, &[served]).is_empty());
    let line = lines_with(site, &[served]).remove(0);
    let url = format!("http://{}{path}", field(&line, "address"));
    let text = ureq::get(&url).call().expect("an answer").into_body().read_to_string();
    serde_json::from_str(&text.expect("text")).expect("JSON")
}

/// Guards against an instance that can't explain one of its live flows, or a flow without a route.
#[test]
fn a_live_flow_is_explained_by_its_instance() {
    let mut site = site(4, 1);
    site.add_callers(Class::Feed, 3);
    wait_for_answers(&site, 10);
    let line = lines_with(&site, &["flow opened"]).remove(0);
    let flow: FlowKey = field(&line, "flow").parse().expect("a flow");
    let other: FlowKey = "127.0.0.1:1>198.18.9.9:9".parse().expect("a flow");

    let found: MarkedExplanation = get_json(&site, &format!("/explain?flow={flow}"));
    let unrouted: MarkedExplanation = get_json(&site, &format!("/explain?flow={other}"));

    assert_eq!(found.reason, MarkedReason::Known);
    assert_eq!(found.class, Some(Class::Feed));
    let target = found.target.expect("the flow has a target");
    assert_eq!(target.name.as_str(), field(&line, "target"));
    assert_eq!(target.usage, TargetUse::Good);
    assert!(found.candidates.contains(&target) || found.candidates.len() == 3);
    assert_eq!((unrouted.reason, unrouted.target), (MarkedReason::NoRoute, None));
}

#[test]
fn an_instance_reports_its_status() {
    let mut site = site(4, 1);
    site.drain(0);
    wait_until("the leaving targets are logged", || {
        !lines_with(&site, &["state=leaving"]).is_empty()
    });

    let status: MarkedStatus = get_json(&site, "/status");

    assert!(status.ready && status.reading);
    assert!(status.picture.version.is_some() && status.picture.age.is_some());
    let targets = status.services.iter().flat_map(|service| &service.targets);
    let leaving = targets.filter(|it| it.usage == TargetUse::Leaving).count();
    assert_eq!((status.services.len(), leaving), (2, 1));
}
