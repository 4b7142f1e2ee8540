//! What a forwarder counts.

use crate::{ProbeResult, Refusal};

/// Counts since the start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Flows that were given a target.
    pub opened: u64,
    /// Opening packets that were sent on again.
    pub reopened: u64,
    /// Packets that callers sent again, since nothing had answered them.
    pub repeated: u64,
    /// Packets in mid-flow that were sent on.
    pub passed: u64,
    /// Packets that went nowhere because they carry no mark.
    pub unmarked: u64,
    /// Packets that went nowhere because their mark is unknown.
    pub unknown: u64,
    /// Flows that were moved while they were being opened.
    pub moved: u64,
    /// Flows reset because they have no route.
    pub no_route: u64,
    /// Flows reset because no target can take them.
    pub no_target: u64,
    /// Flows reset because all targets that could take them are full.
    pub full: u64,
    /// Flows reset because operators have emptied the domains of all targets that could
    /// take them.
    pub evacuated: u64,
    /// Flows reset because all targets that could take them are slow after their start.
    pub warming: u64,
    /// Flows reset because no target is in the regions of their route.
    pub away: u64,
    /// Flows that went elsewhere while targets of their service were in an evacuated domain.
    pub avoided: u64,
    /// Flows that went elsewhere while targets of their service were slow after their start.
    pub spared: u64,
    /// How often a target was found full.
    pub filled: u64,
    /// Openings that had to wait for room at their service.
    pub held: u64,
    /// Flows reset because their service had no room within their goal.
    pub busy: u64,
    /// Flows reset because their target is lost.
    pub lost: u64,
    /// How often the source came back from a copy.
    pub restores: u64,
    /// Targets that were asked whether they answer.
    pub asked: u64,
    /// Targets that did, or did not.
    pub found: [u64; ProbeResult::ALL.len()],
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
            Refusal::TargetLost => &mut self.lost,
        };
        *count += 1;
    }
}
