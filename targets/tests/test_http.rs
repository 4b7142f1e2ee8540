//! Probes over HTTP.

use medlarspur_target::{Http, LoadReport, Outcome, Probe};
use std::{
    io::{BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    thread,
};

/// Starts a target that answers `/health` and `/load` as given.
fn target(health: &'static str, load: &'static str) -> SocketAddrV4 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            answer(stream, health, load);
        }
    });
    address
}

fn answer(mut stream: TcpStream, health: &str, load: &str) {
    let mut lines = BufReader::new(stream.try_clone().unwrap()).lines().map_while(Result::ok);
    let first = lines.next().unwrap_or_default();
    lines.find(String::is_empty);
    let (status, body) = if first.contains("/health") { (health, "") } else { ("200 OK", load) };
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n");
    let _ = write!(stream, "{head}connection: close\r\n\r\n{body}");
}

#[test]
fn healthy_target_reports_its_load() {
    let address = target("200 OK", r#"{"slots":2,"connections":1999,"more":1}"#);

    let answer = Http::new().probe(address);

    assert_eq!(answer.outcome, Outcome::Healthy);
    assert_eq!(answer.report, Some(LoadReport { slots: 2, connections: 1999, draining: false }));
}

#[test]
fn draining_target_reports_draining() {
    let address = target("503 Draining", r#"{"slots":1,"connections":7,"draining":true}"#);

    let answer = Http::new().probe(address);

    assert_eq!(answer.outcome, Outcome::Unhealthy);
    assert!(answer.report.is_some_and(|report| report.draining));
}

/// Guards against a broken or nonsensical load report making a working target look dead: the health
/// answer still counts.
#[test]
fn invalid_load_report_is_ignored() {
    let address = target("200 OK", r#"{"slots":-1}"#);

    let answer = Http::new().probe(address);

    assert_eq!((answer.outcome, answer.report), (Outcome::Healthy, None));
}

#[test]
fn closed_port_is_refused() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
    drop(listener);

    assert_eq!(Http::new().probe(address).outcome, Outcome::Refused);
}

/// Guards against a probe that blocks its thread forever because the target's process hangs while
/// its kernel still accepts connections.
#[test]
fn target_that_never_answers_is_unreachable() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };

    assert_eq!(Http::new().probe(address).outcome, Outcome::Unreachable);
}
