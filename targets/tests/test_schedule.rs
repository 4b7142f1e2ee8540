//! The schedule of probes.

use medlarspur_lib::{ids::TargetName, time::Millis};
use medlarspur_target::{HealthVerdict, INTERVAL, Job, Next, Outcome, Schedule};
use std::net::{Ipv4Addr, SocketAddrV4};

fn job(name: &str, port: u16) -> Job {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    Job { target: TargetName::new(name), address }
}

fn schedule(jobs: &[Job]) -> Schedule {
    let mut schedule = Schedule::new(INTERVAL);
    schedule.set_targets(jobs.iter().cloned(), Millis(0));
    schedule
}

#[test]
fn first_probes_are_spread_over_the_interval() {
    let mut schedule = schedule(&[job("a", 1), job("b", 2)]);

    assert_eq!(schedule.take_next(Millis(0)), Next::Probe(job("a", 1)));
    assert_eq!(schedule.take_next(Millis(0)), Next::Wait(Millis(INTERVAL.0 / 2)));
    assert_eq!(schedule.take_next(Millis(INTERVAL.0 / 2)), Next::Probe(job("b", 2)));
}

/// Guards against blocking all workers: probing a target again while its probe lasts longer than
/// the interval would occupy one worker after the other.
#[test]
fn target_with_a_probe_in_flight_is_not_probed_again() {
    let mut schedule = schedule(&[job("a", 1)]);
    schedule.take_next(Millis(0));

    assert_eq!(schedule.take_next(Millis::secs(60)), Next::Wait(INTERVAL));

    schedule.record_outcome(&job("a", 1), Outcome::Healthy).unwrap();
    assert_eq!(schedule.take_next(Millis::secs(60)), Next::Probe(job("a", 1)));
}

#[test]
fn remaining_target_keeps_its_verdict() {
    let mut schedule = schedule(&[job("a", 1)]);
    schedule.record_outcome(&job("a", 1), Outcome::Healthy);

    schedule.set_targets([job("b", 2), job("a", 1)].into_iter(), Millis(5));
    let change = schedule.record_outcome(&job("a", 1), Outcome::Refused).unwrap();

    assert_eq!(change.before, Some(HealthVerdict::Healthy));
    assert_eq!(change.verdict, Some(HealthVerdict::Healthy));
}

/// Guards against attributing a failure of the old host to the new one: the target moves to another
/// address while a probe of the old address is in flight.
#[test]
fn late_answer_from_a_former_address_is_dropped() {
    let mut schedule = schedule(&[job("a", 1)]);
    schedule.take_next(Millis(0));

    schedule.set_targets([job("a", 9)].into_iter(), Millis(5));

    assert_eq!(schedule.record_outcome(&job("a", 1), Outcome::Refused), None);
    assert_eq!(schedule.take_next(Millis(5)), Next::Probe(job("a", 9)));
}
