//! Tests of `--check`, which validates the settings without starting an instance.

use expect_test::{Expect, expect};
use std::{fs, process::Command};

const VALID: &str = "\
site: sofia
name: entry-1
domain: lozenets
packets: 127.0.0.1:0
questions: 127.0.0.1:0
control: 127.0.0.1:0
operator: 127.0.0.1:0
fabric: 127.0.0.1:4000
platform: 127.0.0.1:4001
keys: [bf1419ce57c5be9b297ef51fd8e1fc823e82a3b8a0901b9f65f2e7cd9d6316a8]
secret: 0f1e2d3c4b5a69788796a5b4c3d2e1f00f1e2d3c4b5a69788796a5b4c3d2e1f0
";

#[allow(clippy::disallowed_methods, reason = "a test starts the program that it tests")]
fn check(settings: &str, expected: Expect) {
    let folder = tempfile::tempdir().expect("a folder");
    fs::write(folder.path().join("entry.yaml"), settings).expect("the file is written");

    let output = Command::new(env!("CARGO_BIN_EXE_medlarspurd"))
        .args(["--settings", "entry.yaml", "--check"])
        .current_dir(folder.path())
        .output()
        .expect("the daemon runs");

    let code = output.status.code().expect("an exit code");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let (out, err) = (text(&output.stdout), text(&output.stderr));
    expected.assert_eq(&format!("exit code {code}\n{out}{err}"));
}

#[test]
fn valid_settings_pass_the_check() {
    check(
        VALID,
        expect![[r#"
        exit code 0
        entry.yaml: the settings hold
    "#]],
    );
}

/// Guards against reporting only the first fault, which costs operators one run for each
/// fault of settings copied by hand.
#[test]
fn every_fault_is_reported_at_once() {
    let faulty = VALID.replace("domain: lozenets\n", "zone: lozenets\n").replace(":4001", "");
    check(
        &faulty,
        expect![[r#"
        exit code 2
        error: entry.yaml does not hold
        line 1: (top): the field `domain` is missing; add `domain:`
        line 3: zone: unknown field; remove it, or use one of site, name, domain, packets, questions, control, operator, fabric, platform, keys, peers, secret, tls, log
        line 9: platform: `127.0.0.1` does not fit; write an IPv4 address and a port other than 0, such as 10.0.0.1:6080
    "#]],
    );
}
