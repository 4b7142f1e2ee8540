//! Tests of differences between bundles.

use super::fixtures::bundle_text;
use expect_test::expect;
use medlarspur_lib::bundle::{Bundle, Obstacle, diff, obstacles};

fn bundle(edits: &[(&str, &str)]) -> Bundle {
    let mut text = bundle_text();
    for (from, to) in edits {
        assert!(text.contains(from), "the fixture lost {from:?}");
        text = text.replacen(from, to, 1);
    }
    Bundle::parse(&text).expect("valid")
}

fn changes(old: &Bundle, new: &Bundle) -> String {
    diff(old, new).iter().map(|change| format!("{change}\n")).collect()
}

#[test]
fn the_same_bundle_has_no_differences() {
    assert_eq!(diff(&bundle(&[]), &bundle(&[])), []);
}

#[test]
fn each_difference_names_its_service_target_and_field() {
    let new = bundle(&[
        ("version: 7", "version: 8"),
        ("number: 7001, class: feed", "number: 7003, class: feed"),
        ("name: alert-1", "name: alert-3"),
        ("state: leaving", "state: active"),
        ("keepalive: 2m", "keepalive: 1500ms"),
        ("    refusal: \"busy {seconds}\"\n", ""),
        ("slots: 3", "slots: 4"),
        ("seed: 00", "limits: {patience: 1s}\nseed: 00"),
    ]);

    expect![[r#"
        ~ version: 7 -> 8
        ~ limits.patience: none -> 1s
        ~ alertdesk ports: 10.70.0.1 tcp/7001 feed udp/7002 request -> 10.70.0.1 tcp/7003 feed udp/7002 request
        - alertdesk alert-1 (10.1.0.1:6080)
        ~ alertdesk alert-2 state: leaving -> active
        + alertdesk alert-3 (10.1.0.1:6080)
        ~ ingest keepalive: 120s -> 1500ms
        ~ ingest refusal: "busy {seconds}" -> none
        ~ ingest in-1 slots: 3 -> 4
    "#]].assert_eq(&changes(&bundle(&[]), &new));
}

#[test]
fn a_renamed_service_is_one_removed_and_one_added() {
    let new = bundle(&[("name: ingest", "name: sensors")]);

    expect![[r#"
        - ingest (10.70.0.2 tcp/7001 upload, 1 targets)
        + sensors (10.70.0.2 tcp/7001 upload, 1 targets)
    "#]]
    .assert_eq(&changes(&bundle(&[]), &new));
}

#[test]
fn changes_that_instances_do_not_accept_are_named() {
    let old = bundle(&[]);
    let later = bundle(&[("version: 7", "version: 8")]);
    let other = bundle(&[("site: sofia", "site: varna"), ("seed: 00", "seed: 01")]);

    assert_eq!(obstacles(&old, &later), []);
    assert_eq!(obstacles(&old, &other), [Obstacle::Version, Obstacle::Site, Obstacle::Seed]);
}

#[test]
fn an_evacuation_is_a_difference_of_the_bundle_and_of_its_targets() {
    let new = bundle(&[("seed: 00", "evacuated: [lozenets]\nseed: 00")]);

    expect![[r#"
        ~ evacuated: none -> lozenets
        ~ alertdesk alert-1 state: active -> evacuated
    "#]]
    .assert_eq(&changes(&bundle(&[]), &new));
}
