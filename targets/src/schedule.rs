//! When each target is probed, without a clock or a thread.

use crate::verdict::{HealthTracker, Outcome, Verdict};
use medlarspur_lib::{collections::Map, ids::TargetName, time::Millis};
use std::net::SocketAddrV4;

/// The time between two probes of one target, unless settings say otherwise:
/// three bad answers then show within six seconds.
pub const INTERVAL: Millis = Millis::secs(2);

/// One probe to be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// The target.
    pub target: TargetName,
    /// Where it is asked.
    pub address: SocketAddrV4,
}

/// What a worker does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Make this probe.
    Probe(Job),
    /// Wait this long, then ask again.
    Wait(Millis),
}

/// The targets to probe, when each is due and what is believed of it.
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
    /// A schedule without targets; each will be probed once an interval.
    pub fn new(interval: Millis) -> Self {
        Self { interval, entries: Map::default() }
    }

    /// Replaces the targets. Those that stay keep their place and verdict; new
    /// ones are spread over the interval, so that a large bundle does not start
    /// all its probes in one moment.
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

    /// Takes the target that is due for longest.
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

    /// Takes in how a probe ended. An answer for a target that has gone or has
    /// moved to another address meanwhile is about something else, and dropped.
    pub fn record_outcome(&mut self, job: &Job, outcome: Outcome) -> Option<VerdictChange> {
        let entry =
            self.entries.get_mut(&job.target).filter(|entry| entry.address == job.address)?;
        entry.in_flight = false;
        let before = entry.tracker.verdict();
        let verdict = entry.tracker.record(outcome);
        Some(VerdictChange { before, verdict })
    }
}

/// What an answer made of the verdict on its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VerdictChange {
    /// The verdict before it.
    pub before: Option<Verdict>,
    /// The verdict with it.
    pub verdict: Option<Verdict>,
}
