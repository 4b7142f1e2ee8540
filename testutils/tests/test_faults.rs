//! Tests of the faults that the stand-ins simulate.

use crate::{
    test_host::{client, ends, run, server, work},
    test_path::{call, relay, stream, targets},
};
use medlarspur_lib::{bundle::Class, time::Millis};
use medlarspur_testutils::{
    client::Timeouts,
    fabric::{self, Fabric},
    list::ListedState,
    spread::Mode,
    target::{Behaviour, RunningTarget},
    task::End,
};

/// Returns status and text of an endpoint of a target.
fn get(running: &RunningTarget, path: &str) -> (u16, String) {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().http_status_as_error(false).build().into();
    let mut answer = agent.get(format!("http://{}{path}", running.probe)).call().unwrap();
    (answer.status().as_u16(), answer.body_mut().read_to_string().unwrap())
}

fn short_timeouts() -> Timeouts {
    Timeouts { handshake: Millis::secs(2), ..Timeouts::default() }
}

#[test]
fn blocked_instance_gets_no_packet() {
    let fabric = Fabric::start(&fabric::Settings::new(Mode::Hash)).unwrap();
    let targets = targets(&fabric);
    fabric.set_list(vec![relay("x", &targets), relay("y", &targets)]);

    fabric.block(&["x"]);
    let one = call(&fabric, vec![stream(2, Class::Request, 20)], short_timeouts());
    fabric.block(&["x", "y"]);
    let none = call(&fabric, vec![stream(2, Class::Request, 20)], short_timeouts());

    let row = |report: &medlarspur_testutils::report::Report| {
        let (_, _, row) = report.iter().next().unwrap();
        (row.completed, row.unanswered)
    };
    assert_eq!((row(&one), row(&none)), ((20, 0), (0, 20)));
}

#[test]
fn leaving_instance_gets_no_packet_after_the_lag() {
    let mut settings = fabric::Settings::new(Mode::Spray);
    settings.lag = Millis(0);
    let fabric = Fabric::start(&settings).unwrap();
    let targets = targets(&fabric);
    let mut listed = relay("x", &targets);
    listed.state = ListedState::Leaving;
    fabric.set_list(vec![listed]);

    let report = call(&fabric, vec![stream(2, Class::Request, 20)], short_timeouts());

    let (_, _, row) = report.iter().next().unwrap();
    assert_eq!((row.completed, row.unanswered), (0, 20));
}

#[test]
fn endpoints_report_configured_values() {
    let fabric = Fabric::start(&fabric::Settings::new(Mode::Spray)).unwrap();
    let targets = targets(&fabric);
    let target = &targets.list[0];

    let actual = (get(target, "/health").0, get(target, "/load").1);
    target.set_behaviour(Behaviour { draining: true, ..Behaviour::default() });
    let draining = get(target, "/health").0;
    let overrides =
        Behaviour { health: Some(true), load: Some(0.9), dead: true, ..Behaviour::default() };
    target.set_behaviour(overrides);
    let overridden = (get(target, "/health").0, get(target, "/load").1);

    assert_eq!(actual, (200, r#"{"connections":0,"slots":0,"load":0.0}"#.into()));
    assert_eq!(draining, 503);
    assert_eq!(overridden, (200, r#"{"connections":0,"slots":0,"load":0.9}"#.into()));
}

/// Requests arrive faster than a target processes them. It resets those beyond its
/// queue, which the caller sees after its connection was established.
#[test]
fn target_sheds_requests_beyond_its_queue() {
    let (mut client, mut server) = (client(), server());
    (server.profile.slots, server.profile.queue_limit) = (1, 2);
    for id in 0..8 {
        client.open(Millis(0), work(&format!("{id}"), Class::Request));
    }

    let outcomes = run(&mut client, &mut server, 0.0, 1);

    let completed = ends(&outcomes).iter().filter(|&&end| end == End::Completed).count();
    assert_eq!((completed, server.counts.shed, server.counts.runs.len()), (3, 5, 3));
}

#[test]
fn cold_target_is_slow_at_first() {
    let latency = |cold| {
        let (mut client, mut server) = (client(), server());
        (server.profile.work_time, server.profile.cold_time) = (Millis(100), cold);
        client.open(Millis(100), work("r", Class::Request));
        run(&mut client, &mut server, 0.0, 1)[0].latency.unwrap()
    };

    let (warm, cold) = (latency(Millis(0)), latency(Millis::secs(10)));

    assert!(warm < Millis(200) && cold >= Millis(1000), "{warm} {cold}");
}

#[test]
fn full_target_refuses_connections() {
    let (mut client, mut server) = (client(), server());
    server.profile.connections = 2;
    for id in 0..3 {
        client.open(Millis(0), work(&format!("{id}"), Class::Feed));
        client.poll(Millis(id)).iter().for_each(|packet| server.receive(packet));
        server.poll(Millis(id)).iter().for_each(|packet| client.receive(packet));
        client.poll(Millis(id)).iter().for_each(|packet| server.receive(packet));
        server.poll(Millis(id));
    }

    let outcomes = run(&mut client, &mut server, 0.0, 1);

    assert_eq!(ends(&outcomes), [End::Refused, End::Completed, End::Completed]);
}
