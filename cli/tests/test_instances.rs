//! The commands that query instances.

use crate::{
    fixtures::folder,
    instances::{start_instance, start_marked, start_marked_in_era, start_marked_with_waiting},
};
use expect_test::expect;

/// Removes ports from the output, since the system chooses them. The columns of tables stay
/// aligned, since all ports have five digits.
fn without_ports(printed: &str) -> String {
    let mut text = String::new();
    for part in printed.split_inclusive("127.0.0.1:") {
        text.push_str(part.trim_start_matches(|c: char| c.is_ascii_digit()));
    }
    text
}

#[test]
fn status_of_one_instance_is_detailed() {
    let one = start_instance("entry-1", Some(7));

    let printed = folder().run(&format!("status {}", one.address()));

    expect![[r#"
        exit code 0
        INSTANCE  ADDRESS          DOMAIN    LIFE     UPTIME  BUNDLE  DIGEST        FLOWS  LIVE  MOVING
        entry-1   127.0.0.1:  lozenets  serving  1h2m    7       070707070707  1200   1/2   12

        MEMBER   DOMAIN    STATE  BUNDLE
        entry-1  lozenets  live   7
        entry-2  lozenets  dead   7

        alertdesk: 1200 flows, 1024 buckets, 12 of them moving
          plan 3 by entry-1, 12 moves
          TARGET   DOMAIN    STATE    NEW FLOWS  FLOWS  BUCKETS
          alert-1  lozenets  active   yes        600    512
          alert-2  lozenets  leaving  no         600    512
    "#]].assert_eq(&without_ports(&printed));
}

/// Guards against a rollout that seems complete while instances have different bundles in
/// force, because an update reached some of them before the others.
#[test]
fn status_of_many_shows_that_bundles_differ() {
    let (one, two) = (start_instance("entry-1", Some(7)), start_instance("entry-2", Some(8)));
    let three = start_instance("entry-3", None);
    let addresses = format!("{} {} {}", one.address(), two.address(), three.address());

    let printed = folder().run(&format!("status {addresses}"));

    expect![[r#"
        exit code 1
        INSTANCE  ADDRESS          DOMAIN    LIFE      UPTIME  BUNDLE  DIGEST        FLOWS  LIVE  MOVING
        entry-1   127.0.0.1:  lozenets  serving   1h2m    7       070707070707  1200   1/2   12
        entry-2   127.0.0.1:  lozenets  serving   1h2m    8       080808080808  1200   1/2   12
        entry-3   127.0.0.1:  lozenets  starting  1h2m    -       -             1200   1/2   0
        ! the instances do not have the same bundle in force
        ! entry-3 is not ready: no bundle in force: neither the platform nor a peer gave one yet
          publish a signed bundle, or check `platform:` and `peers:` of its settings
    "#]].assert_eq(&without_ports(&printed));
}

/// Guards against a status that shows nothing because one instance is down.
#[test]
fn status_of_many_includes_one_that_is_down() {
    let (one, two) = (start_instance("entry-1", Some(7)), start_instance("entry-2", Some(7)));
    let addresses = format!("{} {}", two.address(), one.address());
    two.stop();

    let printed = folder().run(&format!("status {addresses}"));

    expect![[r#"
        exit code 4
        INSTANCE  ADDRESS          DOMAIN    LIFE     UPTIME  BUNDLE  DIGEST        FLOWS  LIVE  MOVING
        ?         127.0.0.1:  -         -        -       -       -             -      -     -
        entry-1   127.0.0.1:  lozenets  serving  1h2m    7       070707070707  1200   1/2   12
        ! the instance at 127.0.0.1: does not answer
    "#]].assert_eq(&without_ports(&printed));
}

#[test]
fn status_prints_json() {
    let one = start_instance("entry-1", Some(7));

    let json = folder().printed(&format!("status {} --json", one.address()));

    let value: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(value[0]["status"]["bundle"]["version"], 7);
    assert_eq!(value[0]["status"]["services"][0]["moving"], 12);
}

#[test]
fn explain_shows_the_target_and_the_reason() {
    let one = start_instance("entry-1", Some(7));
    let flow = "tcp:10.9.0.1:40000:10.70.0.1:7001";

    let printed = folder().run(&format!("explain {flow} --instance {}", one.address()));
    let json = folder().printed(&format!("explain {flow} --json --instance {}", one.address()));

    expect![[r#"
        exit code 0
        tcp:10.9.0.1:40000:10.70.0.1:7001 goes to alert-2: in doubt, a flow stays with the earlier owner of its bucket
        flow     0000000000000007
        service  alertdesk
        class    feed
        bucket   17
        bundle   version 7, digest 070707070707
        plan     number 3 by entry-1, 12 moves
        earlier  alert-2 until 1m30s ago
        keeper   entry-1
        keeper   entry-2
    "#]].assert_eq(&printed);
    let value: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(value["reason"], "history");
}

#[test]
fn flows_are_listed_up_to_the_limit() {
    let one = start_instance("entry-1", Some(7));

    let printed = folder().run(&format!("flows --limit 2 --instance {}", one.address()));

    expect![[r#"
        exit code 0
        FLOW              SERVICE    CLASS  TARGET   AGE   IDLE  EXCEPTION
        0000000000000000  alertdesk  feed   alert-1  2m5s  40ms  no
        0000000000000001  alertdesk  feed   alert-1  2m5s  40ms  yes
    "#]]
    .assert_eq(&printed);
}

#[test]
fn top_shows_rates_from_the_second_round_on() {
    let one = start_instance("entry-1", Some(7));

    let line = format!("top {} --rounds 2 --interval 0", one.address());
    let printed = folder().run(&line);
    let json = folder().printed(&format!("{line} --json"));

    expect![[r#"
        exit code 0
        INSTANCE  ADDRESS          LIFE     BUNDLE  FLOWS  PACKETS/S  FLOWS/S  DROPS/S
        entry-1   127.0.0.1:  serving  7       1200   -          -        -
        INSTANCE  ADDRESS          LIFE     BUNDLE  FLOWS  PACKETS/S  FLOWS/S  DROPS/S
        entry-1   127.0.0.1:  serving  7       1200   0          0        0
    "#]]
    .assert_eq(&without_ports(&printed));
    assert_eq!(json.lines().count(), 2);
    assert!(json.contains(r#""flows":1200,"packets":0,"#), "{json}");
}

/// Guards against revisions that seem to have decreased, after the platform was restored from
/// a copy.
#[test]
fn status_shows_the_era_of_a_platform_that_was_restored_from_a_copy() {
    let one = start_marked_in_era("edge-1", Some(9), 2);

    let printed = folder().run(&format!("status {}", one.address()));

    assert!(printed.contains("up to revision 2.41,"), "{printed}");
    assert!(printed.contains("9       2.41 "), "{printed}");
}

/// Guards against an overload in which operators can't see whose flows wait.
#[test]
fn status_shows_the_waiting_flows_by_level() {
    let one = start_marked_with_waiting("edge-1", vec![0, 3, 0, 40]);

    let printed = folder().run(&format!("status {}", one.address()));

    assert!(printed.contains("43 flows wait (3 of level 1, 40 of level 3)\n"), "{printed}");
}

#[test]
fn status_where_marks_are_used_shows_the_age_of_the_catalog() {
    let one = start_marked("edge-1", Some(9));

    let printed = folder().run(&format!("status {}", one.address()));

    expect![[r#"
        exit code 0
        INSTANCE  ADDRESS          DOMAIN    READY  READS  UPTIME  CONFIG  REVISION  AGE    FLOWS  MEMBERS
        edge-1    127.0.0.1:  lozenets  yes    yes    1m1s    9       41        350ms  12     3
        config   version 9
        picture  up to revision 41, confirmed 350ms ago
        routes   2 of the config can't be served
        domain   mladost evacuated since revision 40

        alertdesk: answers take 31 % of their goals, 0 flows wait
        TARGET    ADDRESS         DOMAIN   USE      WORK  FEEDS
        7f3a91c1  10.1.64.1:8080  druzhba  good     2     5
        7f3a91c2  10.1.64.2:8080  druzhba  leaving  2     5
    "#]].assert_eq(&without_ports(&printed));
}

/// Guards against a rollout that seems complete while instances have different configs in
/// force, because an update has not reached all of them.
#[test]
fn status_shows_that_configs_differ() {
    let (one, two) = (start_marked("edge-1", Some(9)), start_marked("edge-2", Some(8)));

    let printed = folder().run(&format!("status {} {}", one.address(), two.address()));

    expect![[r#"
        exit code 1
        INSTANCE  ADDRESS          DOMAIN    READY  READS  UPTIME  CONFIG  REVISION  AGE    FLOWS  MEMBERS
        edge-1    127.0.0.1:  lozenets  yes    yes    1m1s    9       41        350ms  12     3
        edge-2    127.0.0.1:  lozenets  yes    yes    1m1s    8       41        350ms  12     3
        ! the instances do not have the same config in force
    "#]].assert_eq(&without_ports(&printed));
}

#[test]
fn explain_accepts_a_flow_in_the_format_of_log_lines() {
    let one = start_marked("edge-1", Some(9));
    let flow = "100.64.0.7:2525>198.18.0.1:8443";

    let printed = folder().run(&format!("explain {flow} --instance {}", one.address()));
    let json = folder().printed(&format!("explain {flow} --json --instance {}", one.address()));

    expect![[r#"
        exit code 0
        tcp:100.64.0.7:2525:198.18.0.1:8443: this instance has a record of the flow
        class    feed
        config   version 9
        picture  up to revision 41, confirmed 350ms ago
        routes   2 of the config can't be served
        domain   mladost evacuated since revision 40
        target   7f3a91c2 at 10.1.64.2:8080
        CANDIDATE  ADDRESS         DOMAIN   USE      WORK  FEEDS
        7f3a91c1   10.1.64.1:8080  druzhba  good     2     5
        7f3a91c2   10.1.64.2:8080  druzhba  leaving  2     5
    "#]]
    .assert_eq(&printed);
    let value: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(value["reason"], "known");
}
