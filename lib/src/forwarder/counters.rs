//! What a forwarder counts; the log has lines only for changes of state.

use crate::{packet::PacketError, question::QuestionError};

/// Counts since the process started.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams from the fabric.
    pub packets: u64,
    /// Packets sent to a target.
    pub forwarded: u64,
    /// Packets of known flows.
    pub hits: u64,
    /// Packets of unknown flows that went to the bucket's owner.
    pub misses: u64,
    /// Flows opened here.
    pub opened: u64,
    /// Flows turned away here.
    pub refused: u64,
    /// Packets dropped because there was no bundle yet.
    pub no_bundle: u64,
    /// Packets to an address and port of no service.
    pub no_service: u64,
    /// Packets of flows whose bucket has no owner.
    pub no_target: u64,
    /// Packets that were stopped on the way to another service's target.
    /// Anything but zero is a fault of ours.
    pub crossed: u64,
    /// Flows about which peers were asked.
    pub asked: u64,
    /// Of these, flows of which a peer knew the target.
    pub found: u64,
    /// Of these, flows that all who could know denied.
    pub denied: u64,
    /// Of these, flows that went to an earlier owner without certainty.
    pub guessed: u64,
    /// Packets dropped because too many were held.
    pub overflow: u64,
    /// Questions answered for peers.
    pub questions: u64,
    /// Adverts taken as a keeper.
    pub adverts: u64,
    /// Flows forgotten after silence or an end.
    pub expired: u64,
    /// Openings dropped because they carried data already.
    pub syn_with_data: u64,
    /// Openings dropped after a sleep; their callers repeat them.
    pub after_sleep: u64,
    /// How often instances came back that had been cut off.
    pub healed: u64,
    /// How often the process noticed that it had slept.
    pub slept: u64,
    /// Datagrams of peers that were refused by reason.
    pub refused_datagrams: [u64; QuestionError::ALL.len()],
    /// Malformed packets by reason.
    pub malformed: [u64; PacketError::ALL.len()],
}

impl Counters {
    /// Counts a malformed packet.
    pub fn malformed(&mut self, error: PacketError) {
        self.malformed[error as usize] += 1;
    }
}
