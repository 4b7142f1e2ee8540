//! Tests of the format of log lines.

use expect_test::expect;
use medlarspur_daemon::logs::one_line;

#[test]
fn an_error_and_its_causes_stay_on_one_line() {
    let text = "the platform cannot be reached\n\nCaused by this error:\n  1: refused\n";

    expect!["the platform cannot be reached Caused by this error: 1: refused"]
        .assert_eq(&one_line(text));
}
