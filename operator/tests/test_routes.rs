//! The responses of each route.

use crate::fixtures::{get, start_server};
use expect_test::expect;
use medlarspur_lib::status::{Explanation, FlowStatus, Reason, Status};
use std::sync::atomic::Ordering;

#[test]
fn health_is_ok_while_the_process_runs() {
    let (operator, ..) = start_server(false);

    assert_eq!(get(&operator, "/healthz"), (200, "ok\n".to_owned()));
}

/// Guards against an instance that is ready without a bundle because it started while neither
/// the platform nor a peer answered. The fabric would send it packets that it has to drop.
#[test]
fn an_instance_without_a_bundle_is_not_ready_and_reports_the_reason() {
    let (operator, instance, _) = start_server(false);

    let (code, body) = get(&operator, "/readyz");
    instance.ready.store(true, Ordering::Relaxed);
    let later = get(&operator, "/readyz");

    assert_eq!(code, 503);
    expect![[r#"
        no bundle in force: neither the platform nor a peer gave one yet
    "#]]
    .assert_eq(&body);
    assert_eq!(later, (200, "ready\n".to_owned()));
}

#[test]
fn status_is_json() {
    let (operator, ..) = start_server(true);

    let (code, body) = get(&operator, "/status");

    let status: Status = serde_json::from_str(&body).expect("a status");
    assert_eq!((code, status.name.as_str()), (200, "entry-1"));
    expect![[r#"{"site":"sofia","name":"entry-1","domain":"lozenets","incarnation":1,"life":"serving","uptime":5000,"bundle":{"version":7,"digest":"abababababababababababababababababababababababababababababababab","key":"cdcdcdcdcdcdcdcd","age":1000,"conflict":false},"unready":null,"flows":1000,"members":[],"services":[]}"#]].assert_eq(&body);
}

#[test]
fn explain_parses_the_flow() {
    let (operator, ..) = start_server(true);

    let (code, body) = get(&operator, "/explain?flow=tcp:10.9.0.1:4000:10.70.0.1:7001");

    let found: Explanation = serde_json::from_str(&body).expect("an explanation");
    assert_eq!((code, found.reason), (200, Reason::NoService));
    assert_eq!(found.flow.to_string(), "tcp:10.9.0.1:4000:10.70.0.1:7001");
}

#[test]
fn an_invalid_flow_is_a_bad_request() {
    let (operator, ..) = start_server(true);

    let (code, body) = get(&operator, "/explain?flow=tcp:nowhere");

    assert_eq!(code, 400);
    expect![[
        r#"{"error":"a flow is written tcp:CALLER-IP:PORT:SERVICE-IP:PORT, not \"tcp:nowhere\""}"#
    ]]
    .assert_eq(&body);
}

#[test]
fn the_number_of_flows_is_limited() {
    let (operator, ..) = start_server(true);
    let count = |path: &str| {
        let (_, body) = get(&operator, path);
        serde_json::from_str::<Vec<FlowStatus>>(&body).expect("flows").len()
    };

    assert_eq!(count("/flows"), 100);
    assert_eq!(count("/flows?limit=3"), 3);
    assert_eq!(count("/flows?limit=999999999"), 1000);
}

#[test]
fn an_unknown_path_is_not_found_and_the_response_lists_the_known_ones() {
    let (operator, ..) = start_server(true);

    let (code, body) = get(&operator, "/config");

    assert_eq!(code, 404);
    expect![[r#"{"error":"nothing at /config; there are /healthz, /readyz, /status, /explain?flow=, /flows?limit= and /metrics"}"#]].assert_eq(&body);
}

#[test]
fn methods_that_change_something_are_not_found() {
    let (operator, ..) = start_server(true);
    let url = format!("http://{}/status", operator.address());

    for method in ["POST", "PUT", "DELETE", "PATCH"] {
        let request = ureq::http::Request::builder().method(method).uri(&url).body(());
        let error = ureq::run(request.expect("a request")).expect_err("refused");

        assert_eq!(error.to_string(), "http status: 404", "{method}");
    }
}
