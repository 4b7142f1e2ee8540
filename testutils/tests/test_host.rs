//! Tests of feeds, requests and uploads between two hosts in virtual time.

use medlarspur_lib::{bundle::Class, time::Millis};
use medlarspur_testutils::{
    client::{Client, Outcome, Timeouts},
    profile::Profile,
    server::Server,
    task::{BreakCause, End, Work},
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::net::{Ipv4Addr, SocketAddrV4};

const SERVICE: Ipv4Addr = Ipv4Addr::new(10, 90, 0, 1);
const CALLER: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);
const PORTS: [(u16, Class); 3] = [(1, Class::Feed), (2, Class::Request), (3, Class::Upload)];

pub fn server() -> Server {
    Server::new(Profile::new("a", "alertdesk", SERVICE, &PORTS))
}

pub fn client() -> Client {
    let timeouts = Timeouts { handshake: Millis::secs(100), idle: Millis::secs(100) };
    Client::new(CALLER, timeouts)
}

pub fn work(id: &str, class: Class) -> Work {
    let port = PORTS.iter().find(|&&(_, other)| other == class).map_or(9, |&(port, _)| port);
    let remote = SocketAddrV4::new(SERVICE, port);
    let hold = Millis::secs(20);
    Work { id: id.into(), service: "alertdesk".into(), class, remote, size: 60_000, hold }
}

/// Opens a feed and runs it for 100 ms.
fn feed(client: &mut Client, server: &mut Server) {
    client.open(Millis(0), work("f", Class::Feed));
    for step in 0..100 {
        client.poll(Millis(step)).iter().for_each(|packet| server.receive(packet));
        server.poll(Millis(step)).iter().for_each(|packet| client.receive(packet));
    }
}

/// Runs both ends until the caller has no work in progress. Drops packets with
/// the probability `loss`.
pub fn run(client: &mut Client, server: &mut Server, loss: f64, seed: u64) -> Vec<Outcome> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut now = Millis(100);
    while client.pending() > 0 && now < Millis::secs(2000) {
        for packet in client.poll(now) {
            if !rng.random_bool(loss) {
                server.receive(&packet);
            }
        }
        for packet in server.poll(now) {
            if !rng.random_bool(loss) {
                client.receive(&packet);
            }
        }
        now = now + Millis(1);
    }
    client.take_outcomes()
}

pub fn ends(outcomes: &[Outcome]) -> Vec<End> {
    outcomes.iter().map(|outcome| outcome.end).collect()
}

#[test]
fn all_classes_complete_without_loss() {
    let (mut client, mut server) = (client(), server());
    for class in [Class::Feed, Class::Request, Class::Upload] {
        client.open(Millis(0), work(&format!("{class:?}"), class));
    }

    let outcomes = run(&mut client, &mut server, 0.0, 1);

    assert_eq!(ends(&outcomes), [End::Completed; 3]);
    assert_eq!(server.counts.runs.get("Request"), Some(&1));
    assert_eq!((server.counts.stored, server.counts.strays), (1, 0));
}

#[test]
fn draining_target_refuses_openings_and_keeps_feeds() {
    let (mut client, mut server) = (client(), server());
    feed(&mut client, &mut server);
    server.draining = true;
    client.open(Millis(100), work("r", Class::Request));

    let outcomes = run(&mut client, &mut server, 0.0, 1);

    assert_eq!(ends(&outcomes), [End::Refused, End::Completed]);
    assert_eq!((server.counts.runs.len(), server.counts.late), (0, 1));
}

/// Guards against a caller that waits without end for a target that died while its
/// feed was open. The feed must be reported as broken.
#[test]
fn silent_target_breaks_its_feed() {
    let (mut client, mut server) = (client(), server());
    feed(&mut client, &mut server);

    let outcomes = run(&mut client, &mut server, 1.0, 1);

    assert_eq!(ends(&outcomes), [End::Broken(BreakCause::Silent)]);
}

/// Guards against repetitions of a request that are not noticed, because its first
/// run was interrupted by the death of its caller and not counted.
#[test]
fn interrupted_request_counts_as_run() {
    let (mut client, mut server) = (client(), server());
    server.profile.work_time = Millis::secs(10);
    client.open(Millis(0), work("r", Class::Request));
    for step in 0..100 {
        client.poll(Millis(step)).iter().for_each(|packet| server.receive(packet));
        server.poll(Millis(step)).iter().for_each(|packet| client.receive(packet));
    }

    let outcomes = run(&mut client, &mut server, 1.0, 1);

    assert_eq!(ends(&outcomes), [End::Broken(BreakCause::Silent)]);
    assert_eq!(server.counts.runs.get("r"), Some(&1));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn packet_loss_breaks_no_work(seed: u64, loss in 0.0..0.1f64) {
        let (mut client, mut server) = (client(), server());
        for class in [Class::Feed, Class::Request, Class::Upload] {
            client.open(Millis(0), work(&format!("{class:?}"), class));
        }

        let outcomes = run(&mut client, &mut server, loss, seed);

        prop_assert_eq!(ends(&outcomes), [End::Completed; 3]);
        prop_assert_eq!(server.counts.runs.get("Request"), Some(&1));
    }
}

/// Guards against work that breaks, or is delayed by other work, when packets of a
/// flow overtake each other in a fabric that sprays.
#[test]
fn reordered_packets_only_delay_work() {
    let (mut client, mut server) = (client(), server());
    for id in 0..40 {
        client.open(Millis(0), work(&format!("{id}"), Class::Upload));
    }

    let outcomes = run_reordered(&mut client, &mut server, 1);

    assert_eq!(ends(&outcomes), [End::Completed; 40]);
    let slowest = outcomes.iter().filter_map(|outcome| outcome.latency).max();
    assert!(slowest < Some(Millis::secs(20)), "{slowest:?}");
}

/// Runs both ends; each packet has a random delay.
fn run_reordered(client: &mut Client, server: &mut Server, seed: u64) -> Vec<Outcome> {
    let mut rng = StdRng::seed_from_u64(seed);
    let (mut inward, mut outward) = (Vec::new(), Vec::new());
    let mut now = Millis(0);
    while client.pending() > 0 && now < Millis::secs(2000) {
        let mut due = || now + Millis(rng.random_range(1..5));
        inward.extend(client.poll(now).into_iter().map(|packet| (due(), packet)));
        outward.extend(server.poll(now).into_iter().map(|packet| (due(), packet)));
        now = now + Millis(1);
        inward
            .extract_if(.., |(due, _)| *due <= now)
            .for_each(|(_, packet)| server.receive(&packet));
        outward
            .extract_if(.., |(due, _)| *due <= now)
            .for_each(|(_, packet)| client.receive(&packet));
    }
    client.take_outcomes()
}
