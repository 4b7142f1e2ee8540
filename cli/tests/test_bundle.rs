//! The commands that check, sign, show and compare bundles.

use crate::fixtures::{BUNDLE, Folder, folder};
use expect_test::expect;

/// Creates a folder with a bundle.
fn with_bundle() -> Folder {
    let folder = folder();
    folder.write("site.yaml", BUNDLE);
    folder
}

/// Creates a folder with a bundle and two key pairs.
fn with_keys() -> Folder {
    let folder = with_bundle();
    folder.printed("key new --out site.key");
    folder.printed("key new --out other.key");
    folder
}

#[test]
fn check_summarizes_a_valid_bundle() {
    expect![[r#"
        exit code 0
        site.yaml: version 7 for sofia, 2 services, 3 targets, no faults
    "#]]
    .assert_eq(&with_bundle().run("bundle check site.yaml"));
}

#[test]
fn check_lists_every_fault() {
    let folder = folder();
    folder.write("bad.yaml", &BUNDLE.replace("7001", "0").replace("site: sofia", "sight: sofia"));

    expect![[r#"
        exit code 1
        bad.yaml:1: (top): the field `site` is missing; add `site:`
        bad.yaml:2: sight: unknown field; remove it, or use one of version, site, seed, services, limits, evacuated
        bad.yaml:7: services[0].ports[0].number: 0 is out of range; choose a value from 1 to 65535
        bad.yaml:13: services[1].ports[0].number: 0 is out of range; choose a value from 1 to 65535
    "#]]
    .assert_eq(&folder.run("bundle check bad.yaml"));
    expect![[r#"
        exit code 1
        [{"line":1,"path":"(top)","fault":"the field `site` is missing","advice":"add `site:`"},{"line":2,"path":"sight","fault":"unknown field","advice":"remove it, or use one of version, site, seed, services, limits, evacuated"},{"line":7,"path":"services[0].ports[0].number","fault":"0 is out of range","advice":"choose a value from 1 to 65535"},{"line":13,"path":"services[1].ports[0].number","fault":"0 is out of range","advice":"choose a value from 1 to 65535"}]
    "#]].assert_eq(&folder.run("bundle check bad.yaml --json"));
}

#[test]
fn check_trusts_what_sign_writes() {
    let folder = with_keys();

    let signed = folder.run("bundle sign site.yaml --key site.key --out signed.yaml");

    assert!(signed.starts_with("exit code 0\nsigned.yaml: version 7 signed by "), "{signed}");
    assert!(folder.read("signed.yaml").starts_with(BUNDLE));
    folder.printed("bundle check signed.yaml --trust site.key.pub");
    folder.printed("bundle check signed.yaml --trust other.key.pub --trust site.key.pub");
}

#[test]
fn sign_without_a_file_prints_the_signed_bundle() {
    let folder = with_keys();

    let printed = folder.printed("bundle sign site.yaml --key site.key");

    folder.write("signed.yaml", &printed);
    folder.printed("bundle check signed.yaml --trust site.key.pub");
}

/// Guards against publishing a bundle that instances refuse, because it is unsigned, signed by
/// an unknown key, or changed after it was signed.
#[test]
fn check_refuses_what_instances_would_refuse() {
    let folder = with_keys();
    folder.printed("bundle sign site.yaml --key other.key --out signed.yaml");
    folder.write("changed.yaml", &folder.read("signed.yaml").replace("7002", "7003"));
    let reason = |line: &str| {
        let printed = folder.run(line);
        assert!(printed.starts_with("exit code 1\n") && printed.contains("Hint:"), "{printed}");
        printed.lines().find(|line| line.starts_with("Caused by")).map(str::to_owned)
    };

    let unknown = reason("bundle check signed.yaml --trust site.key.pub").expect("a cause");
    let changed = reason("bundle check changed.yaml --trust other.key.pub").expect("a cause");
    let unsigned = reason("bundle check site.yaml --trust site.key.pub").expect("a cause");

    assert!(unknown.contains("unknown key"), "{unknown}");
    assert!(changed.contains("does not fit the text"), "{changed}");
    assert!(unsigned.contains("no signature"), "{unsigned}");
}

#[test]
fn a_bundle_with_faults_is_not_signed() {
    let folder = with_keys();
    folder.write("bad.yaml", &BUNDLE.replace("version: 7", "version: 0"));

    let printed = folder.run("bundle sign bad.yaml --key site.key --out signed.yaml");

    expect![[r#"
        exit code 1
        Error: bad.yaml has faults: 1
        Caused by: line 1: version: 0 is out of range; choose a value from 1 to 18446744073709551615
        Hint: fix the faults above; `medlarspur bundle check FILE` lists them again
    "#]]
    .assert_eq(&printed);
}

#[test]
fn show_fills_in_the_defaults() {
    expect![[r#"
        exit code 0
        version 7 for sofia
        seed 00112233445566778899aabbccddeeff
        limits: reserve -, caller -, network -, booking -, patience -, retries -

        alertdesk at 10.70.0.1: tcp/7001 feed, tcp/7002 request
          1024 buckets, keepalive 30s, balance 50, refusal -
          TARGET   ADDRESS        DOMAIN    STATE    WEIGHT  SLOTS  CONNECTIONS  PROBE
          alert-1  10.1.0.1:6080  lozenets  active   100     2      2000         10.1.0.1:8080
          alert-2  10.1.0.2:6080  druzhba   leaving  100     2      2000         -

        ingest at 10.70.0.2: tcp/7001 upload
          1024 buckets, keepalive 30s, balance 50, refusal "busy {seconds}"
          TARGET  ADDRESS        DOMAIN  STATE   WEIGHT  SLOTS  CONNECTIONS  PROBE
          in-1    10.1.0.3:6080  obelya  active  100     2      2000         -
    "#]]
    .assert_eq(&with_bundle().run("bundle show site.yaml"));
}

#[test]
fn show_prints_json() {
    let json = with_bundle().printed("bundle show site.yaml --json");

    let value: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(value["seed"], "00112233445566778899aabbccddeeff");
    assert_eq!(value["services"][0]["targets"][1]["state"], "leaving");
    assert_eq!(value["services"][1]["keepalive"], 30_000);
}

#[test]
fn diff_lists_changes_and_obstacles() {
    let folder = with_bundle();
    folder.write("next.yaml", &BUNDLE.replace("state: leaving", "weight: 50"));

    expect![[r#"
        exit code 1
        ~ alertdesk alert-2 weight: 100 -> 50
        ~ alertdesk alert-2 state: leaving -> active
        ! the version is not larger, so instances keep the earlier bundle
    "#]]
    .assert_eq(&folder.run("bundle diff site.yaml next.yaml"));
    expect![[r#"
        exit code 1
        {"changes":[{"service":"alertdesk","target":"alert-2","field":"weight","from":"100","to":"50"},{"service":"alertdesk","target":"alert-2","field":"state","from":"leaving","to":"active"}],"obstacles":["version"]}
    "#]].assert_eq(&folder.run("bundle diff site.yaml next.yaml --json"));
    expect![[r#"
        exit code 0
    "#]]
    .assert_eq(&folder.run("bundle diff site.yaml site.yaml"));
}
