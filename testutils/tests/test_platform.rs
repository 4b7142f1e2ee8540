//! Tests of the platform's reads, watches and faults.

use medlarspur_testutils::platform::{Fault, Platform};
use std::{
    net::{Ipv4Addr, SocketAddrV4},
    thread,
    time::{Duration, Instant},
};

fn platform(text: &str) -> Platform {
    let platform = Platform::start(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).unwrap();
    platform.publish(text);
    platform
}

/// Returns status, entity tag without quotes, and text of an answer.
fn get(platform: &Platform, path: &str) -> (u16, String, String) {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().http_status_as_error(false).build().into();
    let mut answer = agent.get(format!("http://{}{path}", platform.addr)).call().unwrap();
    let tag = answer.headers().get("etag").map_or("", |tag| tag.to_str().unwrap());
    let tag = tag.trim_matches('"').to_owned();
    (answer.status().as_u16(), tag, answer.body_mut().read_to_string().unwrap())
}

#[test]
fn watch_answers_when_the_bundle_changes() {
    let platform = platform("one");
    let (_, tag, _) = get(&platform, "/bundle");
    let path = format!("/bundle?after={tag}&wait=30");

    let answer = thread::scope(|scope| {
        let watch = scope.spawn(|| get(&platform, &path));
        let start = Instant::now();
        while platform.calls().bundle < 2 && start.elapsed() < Duration::from_secs(20) {
            thread::sleep(Duration::from_millis(5));
        }
        platform.publish("two");
        watch.join().unwrap()
    });

    assert_eq!((answer.0, answer.2.as_str()), (200, "two"));
    assert_eq!(platform.calls().bundle, 2);
}

#[test]
fn watch_of_an_unchanged_bundle_ends_without_text() {
    let platform = platform("one");
    let (_, tag, _) = get(&platform, "/bundle");

    for mark in [tag.clone(), format!("%22{tag}%22")] {
        let answer = get(&platform, &format!("/bundle?after={mark}&wait=1"));

        assert_eq!(answer, (204, String::new(), String::new()));
    }
}

#[test]
fn readers_see_each_fault() {
    let platform = platform("one");

    platform.set_fault(Fault { down: true, ..Fault::default() });
    assert_eq!(get(&platform, "/bundle").0, 503);

    platform.set_fault(Fault { stale: true, ..Fault::default() });
    platform.publish("two");
    assert_eq!(get(&platform, "/bundle").2, "one");

    platform.set_fault(Fault { second: Some("three".into()), ..Fault::default() });
    let mut texts = [get(&platform, "/bundle").2, get(&platform, "/bundle").2];
    texts.sort();
    assert_eq!(texts, ["three", "two"]);
}
