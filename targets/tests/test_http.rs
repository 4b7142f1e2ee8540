use medlarspur_target::{Http, LoadReport, Outcome, Probe};
use std::{
    io::{BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    thread,
};

/// A target that answers `/health` and `/load` as given.
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
fn a_healthy_target_tells_its_load() {
    let address = target("200 OK", r#"{"slots":2,"connections":1999,"more":1}"#);

    let answer = Http::new().probe(address);

    assert_eq!(answer.outcome, Outcome::Healthy);
    assert_eq!(answer.report, Some(LoadReport { slots: 2, connections: 1999, draining: false }));
}

#[test]
fn a_draining_target_says_so() {
    let address = target("503 Draining", r#"{"slots":1,"connections":7,"draining":true}"#);

    let answer = Http::new().probe(address);

    assert_eq!(answer.outcome, Outcome::Unhealthy);
    assert!(answer.report.is_some_and(|report| report.draining));
}

/// A target's load endpoint is broken or lies without sense. Its health still
/// counts; a failed parse must not make a working target look dead.
#[test]
fn a_senseless_load_report_is_passed_over() {
    let address = target("200 OK", r#"{"slots":-1}"#);

    let answer = Http::new().probe(address);

    assert_eq!((answer.outcome, answer.report), (Outcome::Healthy, None));
}

#[test]
fn a_closed_port_is_refused() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
    drop(listener);

    assert_eq!(Http::new().probe(address).outcome, Outcome::Refused);
}

/// A target's process hangs while its kernel still takes connections. Without
/// a time limit the probe would hold its thread for ever.
#[test]
fn a_target_that_never_answers_is_unreachable() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };

    assert_eq!(Http::new().probe(address).outcome, Outcome::Unreachable);
}
