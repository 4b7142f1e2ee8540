//! What leaves a forwarder: packets, resets, questions, notes and times.

use crate::{FlowKey, Mark, Note, Target};
use medlarspur_lib::{bundle::Class, ids::ServiceName, time::Millis};

/// Where decisions go.
pub trait Output {
    /// Sends the packet to the target, with the mark written into it.
    fn forward(&mut self, target: &Target, mark: Mark, packet: &[u8]);
    /// Resets a flow towards its caller; `seq` is the number that the caller
    /// expects next.
    fn reset(&mut self, flow: &FlowKey, seq: u32);
    /// Asks a target whether it answers.
    fn probe(&mut self, target: &Target, path: &str);
    /// Writes down what was decided or is believed anew.
    fn note(&mut self, note: Note);
    /// Records a measured time of a class of a service.
    fn measure(&mut self, service: &ServiceName, class: Class, span: Span);
}

/// A measured time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Span {
    /// From an opening packet to the end of the handshake.
    Handshake(Millis),
    /// From a request to the acknowledgement of its first answer.
    Answer(Millis),
    /// From the opening of a flow to its end, if both were seen here.
    Length(Millis),
}

/// Why a flow is reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// No route has its address and port. No packet went to a target.
    NoRoute,
    /// No target of its service can take it. No packet went to a target.
    NoTarget,
    /// All targets of its service that could take it are full: none answered openings.
    Full,
    /// All targets of its service that could take it are in failure domains that
    /// operators have emptied. No packet went to a target.
    Evacuated,
    /// All targets of its service that could take it are slow after their start, and the
    /// service bounds what they get. No packet went to a target.
    Warming,
    /// All targets of its service that could take it are outside of the regions in which
    /// its route must stay. No packet went to a target.
    Away,
    /// Its service had no room until an answer would have come too late. No packet
    /// went to a target.
    Busy,
    /// Its target does not answer any more.
    TargetLost,
}

/// Why a packet goes nowhere and nobody is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Unroutable {
    /// It is in mid-flow and carries no mark.
    Unmarked,
    /// Its mark means no target that is known here.
    UnknownMark,
}
