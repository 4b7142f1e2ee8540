//! Output of the forwarder: packets, resets, probes, notes and times.

use crate::{FlowKey, Mark, Note, Target};
use medlarspur_lib::{bundle::Class, ids::ServiceName, time::Millis};
use medlarspur_load::priority::Level;

/// Receives the forwarder's decisions.
pub trait Output {
    /// Sends the packet to the target, with the mark written into it.
    fn forward(&mut self, target: &Target, mark: Mark, packet: &[u8]);
    /// Resets a flow towards its caller; `seq` is the next sequence number that the caller
    /// expects.
    fn reset(&mut self, flow: &FlowKey, seq: u32);
    /// Sends a health probe to a target.
    fn probe(&mut self, target: &Target, path: &str);
    /// Writes a decision or change of state to the log.
    fn note(&mut self, note: Note);
    /// Records a measured time of a class of a service.
    fn measure(&mut self, service: &ServiceName, class: Class, span: Span);
    /// Counts an event of a flow of a level of a service.
    fn count(&mut self, service: &ServiceName, level: Level, event: FlowEvent);
}

/// An event of a new flow that is counted by service and level.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FlowEvent {
    /// A target was chosen. Counts again when the flow moves to another target.
    Opened,
    /// The flow is held until its service has capacity.
    Held,
    /// The flow was reset because the service had no capacity in time or no target that can
    /// take it.
    Refused,
}

/// A measured time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Span {
    /// Time from an opening packet to the end of the handshake.
    Handshake(Millis),
    /// Time from a request to the acknowledgement of its first answer.
    Answer(Millis),
    /// Time from the opening of a flow to its end, if both were seen here.
    Length(Millis),
}

/// Reason of a reset. The log prints the variant names in lower case, with hyphens: `no-route`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// No route has the address and port. No packet was sent to a target.
    NoRoute,
    /// No target of the service can take the flow. No packet was sent to a target.
    NoTarget,
    /// All targets of the service that could take the flow are full: none accepted openings.
    Full,
    /// All targets of the service that could take the flow are in evacuated domains. No packet
    /// was sent to a target.
    Evacuated,
    /// All targets of the service that could take the flow are in slow start, and the service
    /// limits their rate of new flows. No packet was sent to a target.
    Warming,
    /// All targets of the service that could take the flow are outside the regions of the
    /// route. No packet was sent to a target.
    Away,
    /// The service had no capacity before an answer would have come too late. No packet was
    /// sent to a target.
    Busy,
    /// The flow could not have been opened in its time, at the rate at which flows of its level
    /// were being opened. No packet was sent to a target.
    Shed,
    /// The target no longer answers.
    TargetLost,
}

/// Reason why a packet is dropped without a reset. The log prints the variant names in lower
/// case, with hyphens: `unknown-mark`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Unroutable {
    /// The packet is in mid-flow and carries no mark.
    Unmarked,
    /// The mark belongs to no target that is known here.
    UnknownMark,
}
