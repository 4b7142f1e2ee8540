//! Counts of decisions, and the reasons of refusals.

use super::state::{CLASSES, class_index};
use medlarspur_lib::bundle::Class;

/// Number of decisions by outcome, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Admitted openings by class: feed, request, upload.
    pub admitted: [u64; CLASSES],
    /// Openings that waited before the final verdict, by class.
    pub waited: [u64; CLASSES],
    /// Refused openings by class.
    pub refused: [u64; CLASSES],
    /// Refused because the target is leaving or unknown.
    pub leaving: u64,
    /// Refused because the target has no free connection.
    pub connections: u64,
    /// Refused because the caller or its network exceeds its share.
    pub heavy: u64,
    /// Refused because the caller retried early and the retry budget is spent.
    pub early: u64,
    /// Repeated openings, answered with the earlier decision.
    pub repeated: u64,
}

/// Reason of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reason {
    Leaving,
    Connections,
    Slots,
    Heavy,
    Early,
}

impl Counts {
    /// Counts a refused opening.
    pub(crate) fn refuse(&mut self, class: Class, reason: Reason) {
        self.refused[class_index(class)] += 1;
        match reason {
            Reason::Leaving => self.leaving += 1,
            Reason::Connections => self.connections += 1,
            Reason::Heavy => self.heavy += 1,
            Reason::Early => self.early += 1,
            Reason::Slots => {}
        }
    }
}
