//! Schedule of probes, without a clock or threads.

use crate::verdict::{HealthTracker, HealthVerdict, Outcome};
use medlarspur_lib::{collections::Map, ids::TargetName, time::Millis};
use std::net::SocketAddrV4;

/// Default time between two probes of a target. Three bad answers then take at most six seconds.
pub const INTERVAL: Millis = Millis::secs(2);

/// A probe to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// The target.
    pub target: TargetName,
    /// Address of the target's endpoints.
    pub address: SocketAddrV4,
}

/// Next action of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Make this probe.
    Probe(Job),
    /// Wait for this time, then look again.
    Wait(Millis),
}

/// Targets to probe, with their due times and verdicts.
#[derive(Debug)]
pub struct Schedule {
    interval: Millis,
    entries: Map<TargetName, Entry>,
}

#[derive(Debug)]
struct Entry {
    address: SocketAddrV4,
    due: Millis,
    in_flight: bool,
    tracker: HealthTracker,
}

impl Schedule {
    /// Creates a schedule without targets. Each target is probed once per interval.
    pub fn new(interval: Millis) -> Self {
        Self { interval, entries: Map::default() }
    }

    /// Replaces the set of targets. Targets that remain keep their due time and verdict. The first
    /// probes of new targets are spread over the interval, so that a large bundle doesn't start all
    /// of them at once.
    pub fn set_targets(&mut self, targets: impl ExactSizeIterator<Item = Job>, now: Millis) {
        let step = self.interval.0 / (targets.len() as u64).max(1);
        let mut old = std::mem::take(&mut self.entries);
        for (ix, job) in targets.enumerate() {
            let existing = old.remove(&job.target).filter(|entry| entry.address == job.address);
            let due = now + Millis(step * ix as u64);
            let new_entry = || Entry {
                address: job.address,
                due,
                in_flight: false,
                tracker: HealthTracker::default(),
            };
            self.entries.insert(job.target, existing.unwrap_or_else(new_entry));
        }
    }

    /// Takes the target that has been due longest.
    pub fn take_next(&mut self, now: Millis) -> Next {
        let idle = self.entries.iter_mut().filter(|(_, entry)| !entry.in_flight);
        match idle.min_by_key(|(_, entry)| entry.due) {
            Some((target, entry)) if entry.due <= now => {
                entry.in_flight = true;
                entry.due = now + self.interval;
                Next::Probe(Job { target: target.clone(), address: entry.address })
            }
            Some((_, entry)) => Next::Wait(entry.due - now),
            None => Next::Wait(self.interval),
        }
    }

    /// Records the outcome of a probe and returns its effect. Returns `None` if the target was
    /// removed or moved to another address during the probe, since the outcome is then about a
    /// former address.
    pub fn record_outcome(&mut self, job: &Job, outcome: Outcome) -> Option<VerdictChange> {
        let entry =
            self.entries.get_mut(&job.target).filter(|entry| entry.address == job.address)?;
        entry.in_flight = false;
        let before = entry.tracker.verdict();
        let verdict = entry.tracker.record(outcome);
        Some(VerdictChange { before, verdict })
    }
}

/// Effect of an outcome on the verdict of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VerdictChange {
    /// Verdict before the outcome.
    pub before: Option<HealthVerdict>,
    /// Verdict that includes the outcome.
    pub verdict: Option<HealthVerdict>,
}
