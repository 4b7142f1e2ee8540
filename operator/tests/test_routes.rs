//! What each route answers.

use crate::fixtures::{get, start_server};
use expect_test::expect;
use medlarspur_lib::status::{Explanation, FlowStatus, Reason, Status};
use std::sync::atomic::Ordering;

#[test]
fn health_says_that_the_process_answers() {
    let (operator, ..) = start_server(false);

    assert_eq!(get(&operator, "/healthz"), (200, "ok\n".to_owned()));
}

/// An instance starts while the platform is down and no peer answers. If it
/// called itself ready, the fabric would send it packets that it must drop.
#[test]
fn an_instance_without_a_bundle_is_not_ready_and_says_why() {
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
fn explain_takes_the_text_of_a_flow() {
    let (operator, ..) = start_server(true);

    let (code, body) = get(&operator, "/explain?flow=tcp:10.9.0.1:4000:10.70.0.1:7001");

    let found: Explanation = serde_json::from_str(&body).expect("an explanation");
    assert_eq!((code, found.reason), (200, Reason::NoService));
    assert_eq!(found.flow.to_string(), "tcp:10.9.0.1:4000:10.70.0.1:7001");
}

#[test]
fn a_flow_that_is_none_is_a_bad_request() {
    let (operator, ..) = start_server(true);

    let (code, body) = get(&operator, "/explain?flow=tcp:nowhere");

    assert_eq!(code, 400);
    expect![[
        r#"{"error":"a flow is written tcp:CALLER-IP:PORT:SERVICE-IP:PORT, not \"tcp:nowhere\""}"#
    ]]
    .assert_eq(&body);
}

#[test]
fn flows_are_limited() {
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
fn another_path_is_not_found_and_names_those_that_are() {
    let (operator, ..) = start_server(true);

    let (code, body) = get(&operator, "/config");

    assert_eq!(code, 404);
    expect![[r#"{"error":"nothing at /config; there are /healthz, /readyz, /status, /explain?flow=, /flows?limit= and /metrics"}"#]].assert_eq(&body);
}

#[test]
fn nothing_can_be_changed() {
    let (operator, ..) = start_server(true);
    let url = format!("http://{}/status", operator.address());

    for method in ["POST", "PUT", "DELETE", "PATCH"] {
        let request = ureq::http::Request::builder().method(method).uri(&url).body(());
        let error = ureq::run(request.expect("a request")).expect_err("refused");

        assert_eq!(error.to_string(), "http status: 404", "{method}");
    }
}
