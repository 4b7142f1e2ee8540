use medlarspur_lib::{ids::TargetName, time::Millis};
use medlarspur_target::{INTERVAL, Job, Next, Outcome, Schedule, Verdict};
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

/// A target hangs longer than the interval. Probing it again meanwhile would
/// tie up one worker after the other, until none is left for the good ones.
#[test]
fn a_target_under_probe_is_not_probed_again() {
    let mut schedule = schedule(&[job("a", 1)]);
    schedule.take_next(Millis(0));

    assert_eq!(schedule.take_next(Millis::secs(60)), Next::Wait(INTERVAL));

    schedule.record_outcome(&job("a", 1), Outcome::Healthy).unwrap();
    assert_eq!(schedule.take_next(Millis::secs(60)), Next::Probe(job("a", 1)));
}

#[test]
fn a_target_that_stays_keeps_its_verdict() {
    let mut schedule = schedule(&[job("a", 1)]);
    schedule.record_outcome(&job("a", 1), Outcome::Healthy);

    schedule.set_targets([job("b", 2), job("a", 1)].into_iter(), Millis(5));
    let change = schedule.record_outcome(&job("a", 1), Outcome::Refused).unwrap();

    assert_eq!(change.before, Some(Verdict::Healthy));
    assert_eq!(change.verdict, Some(Verdict::Healthy));
}

/// A target moves to another address while a probe of the old one hangs. The
/// late answer would put the fault of the old host on the new one.
#[test]
fn a_late_answer_from_an_old_address_is_dropped() {
    let mut schedule = schedule(&[job("a", 1)]);
    schedule.take_next(Millis(0));

    schedule.set_targets([job("a", 9)].into_iter(), Millis(5));

    assert_eq!(schedule.record_outcome(&job("a", 1), Outcome::Refused), None);
    assert_eq!(schedule.take_next(Millis(5)), Next::Probe(job("a", 9)));
}
