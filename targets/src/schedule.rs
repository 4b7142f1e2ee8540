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
    slots: Map<TargetName, Slot>,
}

#[derive(Debug)]
struct Slot {
    address: SocketAddrV4,
    due: Millis,
    busy: bool,
    tracker: HealthTracker,
}

impl Schedule {
    /// A schedule without targets; each will be probed once an interval.
    pub fn new(interval: Millis) -> Self {
        Self { interval, slots: Map::default() }
    }

    /// Replaces the targets. Those that stay keep their place and verdict; new
    /// ones are spread over the interval, so that a large bundle does not start
    /// all its probes in one moment.
    pub fn set_targets(&mut self, targets: impl ExactSizeIterator<Item = Job>, now: Millis) {
        let step = self.interval.0 / (targets.len() as u64).max(1);
        let mut old = std::mem::take(&mut self.slots);
        for (ix, job) in targets.enumerate() {
            let kept = old.remove(&job.target).filter(|slot| slot.address == job.address);
            let due = now + Millis(step * ix as u64);
            let fresh = || Slot {
                address: job.address,
                due,
                busy: false,
                tracker: HealthTracker::default(),
            };
            self.slots.insert(job.target, kept.unwrap_or_else(fresh));
        }
    }

    /// Takes the target that is due for longest.
    pub fn take_next(&mut self, now: Millis) -> Next {
        let idle = self.slots.iter_mut().filter(|(_, slot)| !slot.busy);
        match idle.min_by_key(|(_, slot)| slot.due) {
            Some((target, slot)) if slot.due <= now => {
                slot.busy = true;
                slot.due = now + self.interval;
                Next::Probe(Job { target: target.clone(), address: slot.address })
            }
            Some((_, slot)) => Next::Wait(slot.due - now),
            None => Next::Wait(self.interval),
        }
    }

    /// Takes in how a probe ended. An answer for a target that has gone or has
    /// moved to another address meanwhile is about something else, and dropped.
    pub fn record_outcome(&mut self, job: &Job, outcome: Outcome) -> Option<VerdictChange> {
        let slot = self.slots.get_mut(&job.target).filter(|slot| slot.address == job.address)?;
        slot.busy = false;
        let before = slot.tracker.verdict();
        let verdict = slot.tracker.record(outcome);
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
