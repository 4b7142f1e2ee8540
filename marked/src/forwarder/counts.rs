//! Counters of the forwarder.

use crate::{ProbeResult, Refusal};
use medlarspur_load::outcome::Outcome;

/// Counters since the start of the process. The log line "stop" prints the names of the fields.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Flows for which a target was chosen.
    pub opened: u64,
    /// Opening packets that were forwarded again.
    pub reopened: u64,
    /// Opening packets dropped because their callers had sent another copy or given up.
    pub superseded: u64,
    /// Packets that callers retransmitted because nothing had answered them.
    pub repeated: u64,
    /// Packets in mid-flow that were forwarded.
    pub passed: u64,
    /// Packets dropped because they carry no mark.
    pub unmarked: u64,
    /// Packets dropped because their mark is unknown.
    pub unknown: u64,
    /// Flows moved to another target before their handshake ended.
    pub moved: u64,
    /// Flows reset because they have no route.
    pub no_route: u64,
    /// Flows reset because no target can take them.
    pub no_target: u64,
    /// Flows reset because all targets that could take them are full.
    pub full: u64,
    /// Flows reset because all targets that could take them are in evacuated domains.
    pub evacuated: u64,
    /// Flows reset because all targets that could take them are in slow start.
    pub warming: u64,
    /// Flows reset because no target is in the regions of their route.
    pub away: u64,
    /// Flows opened while targets of their service were left out because of an evacuation.
    pub avoided: u64,
    /// Flows opened while targets of their service were left out because of slow start.
    pub spared: u64,
    /// Number of times that a target was found full.
    pub filled: u64,
    /// Number of times that a target was excluded because it fails more than its peers.
    pub excluded: u64,
    /// Number of times that such an exclusion ended.
    pub readmitted: u64,
    /// Openings held until their service had capacity.
    pub held: u64,
    /// Flows reset because their service had no capacity in time.
    pub busy: u64,
    /// Flows reset because they could not have been opened in their time.
    pub shed: u64,
    /// Attempts to open a flow that repeat one which failed or was refused a moment ago.
    pub retried: u64,
    /// Flows whose callers left them idle after a failed request.
    pub left_idle: u64,
    /// Requests that targets rejected in an overload.
    pub rejected: u64,
    /// Flows reset because their target is lost.
    pub lost: u64,
    /// Number of times that the store came back from a copy.
    pub restores: u64,
    /// Pauses in which the process did not run.
    pub pauses: u64,
    /// Probes sent to targets.
    pub asked: u64,
    /// Probe results, by kind.
    pub found: [u64; ProbeResult::ALL.len()],
    /// Requests that ended, by outcome, where outcomes are classified.
    pub requests: [u64; Outcome::ALL.len()],
}

impl Counts {
    /// Counts a flow that was reset.
    pub(super) fn refuse(&mut self, refusal: Refusal) {
        let count = match refusal {
            Refusal::NoRoute => &mut self.no_route,
            Refusal::NoTarget => &mut self.no_target,
            Refusal::Full => &mut self.full,
            Refusal::Evacuated => &mut self.evacuated,
            Refusal::Warming => &mut self.warming,
            Refusal::Away => &mut self.away,
            Refusal::Busy => &mut self.busy,
            Refusal::Shed => &mut self.shed,
            Refusal::TargetLost => &mut self.lost,
        };
        *count += 1;
    }
}
