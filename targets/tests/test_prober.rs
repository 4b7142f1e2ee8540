//! The threads that probe targets.

use medlarspur_lib::{ids::TargetName, time::Millis};
use medlarspur_target::{Answer, Event, HealthVerdict, LoadReport, Outcome, Probe, Prober};
use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::mpsc::{RecvTimeoutError, sync_channel},
    thread,
    time::{Duration, Instant},
};

const INTERVAL: Millis = Millis(50);
const TIMEOUT: Duration = Duration::from_secs(20);

/// Answers according to the port that is probed.
struct Script;

impl Probe for Script {
    fn probe(&self, address: SocketAddrV4) -> Answer {
        let outcome = if address.port() == 1 { Outcome::Healthy } else { Outcome::Refused };
        let report = LoadReport { slots: 1, connections: 5, draining: false };
        let report = (outcome == Outcome::Healthy).then_some(report);
        Answer { outcome, report, elapsed: Duration::from_millis(3) }
    }
}

fn target(name: &str, port: u16) -> (TargetName, SocketAddrV4) {
    (TargetName::new(name), SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
}

#[test]
fn verdict_event_contains_the_load_report() {
    let (sender, events) = sync_channel(16);
    let prober = Prober::start(Script, INTERVAL, sender).unwrap();

    prober.set_targets(vec![target("good", 1), target("gone", 2)]);
    let first = events.recv_timeout(TIMEOUT).unwrap();
    let gone = events.iter().find(|it| it.target.as_str() == "gone").unwrap();

    let report = Some(LoadReport { slots: 1, connections: 5, draining: false });
    let elapsed = Duration::from_millis(3);
    let target = TargetName::new("good");
    assert_eq!(first, Event { target, verdict: HealthVerdict::Healthy, report, elapsed });
    assert_eq!((gone.verdict, gone.report), (HealthVerdict::Refused, None));
    assert!(prober.counts().refused >= 3);
}

/// Guards against stopping the probes of all targets while the thread that receives events is busy.
/// A dropped event is superseded by that of the next probe.
#[test]
fn full_channel_is_counted_and_stops_no_probe() {
    let (sender, _events) = sync_channel(1);
    let prober = Prober::start(Script, INTERVAL, sender).unwrap();
    let names: Vec<_> = (0..20).map(|ix| target(&format!("good-{ix}"), 1)).collect();

    prober.set_targets(names);
    let start = Instant::now();
    while prober.counts().healthy < 20 && start.elapsed() < TIMEOUT {
        thread::sleep(Duration::from_millis(5));
    }

    assert!(prober.counts().healthy >= 20);
    assert!(prober.counts().full >= 1);
}

#[test]
fn threads_end_when_the_prober_is_dropped() {
    let (sender, events) = sync_channel(16);
    let prober = Prober::start(Script, INTERVAL, sender).unwrap();

    drop(prober);

    assert_eq!(events.recv_timeout(TIMEOUT), Err(RecvTimeoutError::Disconnected));
}
