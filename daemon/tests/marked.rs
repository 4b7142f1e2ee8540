//! Fixtures for sites whose fabric returns marks, with instances as processes.

use medlarspur_lib::{bundle::Class, time::Millis};
use medlarspur_standin::{
    caller::Outcome,
    routers::Hashing,
    site::{Site, Tally},
};
use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

/// Timeout of every wait; far longer than needed on a busy machine.
pub const TIMEOUT: Duration = Duration::from_secs(40);

/// Starts a site with these numbers of targets and of instances in rotation, without callers.
pub fn site(targets: usize, instances: usize) -> Site {
    let program = Path::new(env!("CARGO_BIN_EXE_medlarspurd"));
    let mut site = Site::start(program, targets, Hashing::Rendezvous, 5).expect("a site");
    // The time until an update is in force is checked elsewhere. Here a busy machine may
    // exceed the bounds.
    site.conditions.leaving_bound = Millis(u64::MAX);
    site.conditions.evacuation_bound = Millis(u64::MAX);
    for _ in 0..instances {
        site.add_instance().expect("an instance");
    }
    assert!(site.wait_for_rotation(instances, TIMEOUT), "the instances are ready");
    site
}

/// Adds callers of each class.
pub fn add_mixed_callers(site: &mut Site) {
    site.add_callers(Class::Feed, 12);
    site.add_callers(Class::Request, 5);
    site.add_callers(Class::Upload, 2);
}

/// Waits until a condition holds. If it never does, the test fails with the message `what`.
pub fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Waits until `count` more requests have been answered.
pub fn wait_for_answers(site: &Site, count: usize) {
    let answered = || {
        let finished = site.tally().finished;
        finished.iter().filter(|it| it.outcome == Outcome::Answered).count()
    };
    let before = answered();
    wait_until("requests are answered", || answered() >= before + count);
}

/// Stops the callers, checks that no guarantee was violated, and returns the results.
pub fn stop_callers(site: &Site) -> Tally {
    assert!(site.stop_callers(TIMEOUT), "all requests end");
    assert_eq!(site.violations(), []);
    site.tally()
}

/// Returns the number of requests that weren't answered, and prints each of them to explain a
/// failed test.
pub fn count_unanswered(tally: &Tally) -> usize {
    let others = tally.finished.iter().filter(|it| it.outcome != Outcome::Answered);
    for it in others {
        eprintln!("{} ms: {:?} of {:?} after {} ms", it.at, it.outcome, it.class, it.duration);
    }
    tally.finished.iter().filter(|it| it.outcome != Outcome::Answered).count()
}

/// Returns the log lines of all instances that contain all of these words.
pub fn lines_with(site: &Site, words: &[&str]) -> Vec<String> {
    let lines = site.instances.iter().flat_map(|it| it.lines());
    lines.filter(|line| words.iter().all(|word| line.contains(word))).collect()
}
