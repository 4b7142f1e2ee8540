//! Counters of a forwarder. The log has lines for changes of state only.

use crate::{packet::PacketError, question::QuestionError};

/// Counts since the process started.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams from the fabric.
    pub packets: u64,
    /// Packets sent to a target.
    pub forwarded: u64,
    /// Packets of flows that were known here.
    pub hits: u64,
    /// Packets of unknown flows that were sent to the bucket's owner.
    pub misses: u64,
    /// Flows opened here.
    pub opened: u64,
    /// Flows refused here.
    pub refused: u64,
    /// Packets dropped because there was no bundle yet.
    pub no_bundle: u64,
    /// Packets to an address and port that no service has.
    pub no_service: u64,
    /// Packets of flows whose bucket has no owner.
    pub no_target: u64,
    /// Packets dropped because their target belongs to another service. Any
    /// value but zero is a bug.
    pub crossed: u64,
    /// Flows that peers were asked about.
    pub asked: u64,
    /// Of the flows asked about, those whose target a peer knew.
    pub found: u64,
    /// Of the flows asked about, those that a keeper reported as no exception
    /// and no other instance that was asked knew.
    pub denied: u64,
    /// Of the flows asked about, those sent to an earlier owner on a guess.
    pub guessed: u64,
    /// Packets dropped or sent on a guess because too many were held.
    pub overflow: u64,
    /// Questions answered for peers.
    pub questions: u64,
    /// Adverts received as a keeper.
    pub adverts: u64,
    /// Flows forgotten after silence or after their end.
    pub expired: u64,
    /// SYNs dropped because they carried data.
    pub syn_with_data: u64,
    /// Openings, held packets and packets of unknown flows dropped after a sleep;
    /// their callers retransmit them.
    pub after_sleep: u64,
    /// Number of times that instances came back after a partition.
    pub healed: u64,
    /// Times that the process detected that it had slept.
    pub slept: u64,
    /// Datagrams of peers that were refused, by reason.
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
