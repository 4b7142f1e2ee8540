//! Sites whose fabric returns marks, with the daemon as processes.

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

/// How long anything is waited for; far more than it takes on a busy machine.
pub const TIMEOUT: Duration = Duration::from_secs(40);

/// A site with that many targets and instances in rotation, and no callers.
pub fn site(targets: usize, instances: usize) -> Site {
    let program = Path::new(env!("CARGO_BIN_EXE_medlarspurd"));
    let mut site = Site::start(program, targets, Hashing::Steady, 5).expect("a site");
    // How soon news is in force is measured elsewhere: here a busy machine may
    // be late.
    site.terms.bound = Millis(u64::MAX);
    site.terms.evacuated = Millis(u64::MAX);
    for _ in 0..instances {
        site.add_instance().expect("an instance");
    }
    assert!(site.wait_for_rotation(instances, TIMEOUT), "the instances are ready");
    site
}

/// Has some callers of each class come.
pub fn add_mixed_callers(site: &mut Site) {
    site.add_callers(Class::Feed, 12);
    site.add_callers(Class::Request, 5);
    site.add_callers(Class::Upload, 2);
}

/// Waits until something holds.
pub fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Waits until that many more requests have been answered.
pub fn wait_for_answers(site: &Site, count: usize) {
    let answered = || {
        let finished = site.tally().finished;
        finished.iter().filter(|it| it.outcome == Outcome::Answered).count()
    };
    let before = answered();
    wait_until("requests are answered", || answered() >= before + count);
}

/// Ends the callers; answers what they got, once nothing is violated.
pub fn stop_callers(site: &Site) -> Tally {
    assert!(site.stop_callers(TIMEOUT), "all requests end");
    assert_eq!(site.violations(), []);
    site.tally()
}

/// How many requests ended in another way than answered; says which, for whoever reads why a
/// test failed.
pub fn count_unanswered(tally: &Tally) -> usize {
    let others = tally.finished.iter().filter(|it| it.outcome != Outcome::Answered);
    for it in others {
        eprintln!("{} ms: {:?} of {:?} after {} ms", it.at, it.outcome, it.class, it.span);
    }
    tally.finished.iter().filter(|it| it.outcome != Outcome::Answered).count()
}

/// The lines of all instances that hold all of these words.
pub fn lines_with(site: &Site, words: &[&str]) -> Vec<String> {
    let lines = site.instances.iter().flat_map(|it| it.lines());
    lines.filter(|line| words.iter().all(|word| line.contains(word))).collect()
}
