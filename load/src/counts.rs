//! How often each outcome came about, and why openings were turned away.

use crate::state::{CLASSES, class_index};
use medlarspur_lib::bundle::Class;

/// How often each outcome came about, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Let in, by class: feed, request, upload.
    pub admitted: [u64; CLASSES],
    /// Held before the final verdict, by class.
    pub waited: [u64; CLASSES],
    /// Turned away, by class.
    pub refused: [u64; CLASSES],
    /// Turned away because the target is leaving or unknown.
    pub leaving: u64,
    /// Turned away for want of a connection.
    pub connections: u64,
    /// Turned away because the caller or its network takes too much.
    pub heavy: u64,
    /// Turned away because the caller came back early and the budget is spent.
    pub early: u64,
    /// Answered as before, because the opening was a repetition.
    pub repeated: u64,
}

/// Why an opening is turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reason {
    Leaving,
    Connections,
    Slots,
    Heavy,
    Early,
}

impl Counts {
    /// Counts an opening that was turned away.
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
