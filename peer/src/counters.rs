//! Counters of the control connections.

use crate::generated::{Envelope, envelope::Message};
use prost::Message as _;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Purpose of a control message. Messages and bytes are counted for each kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// Heartbeats, lists of members and requests for them, and leaving.
    Members,
    /// Parts of the bundle and requests for them.
    Bundle,
    /// Plans and requests for them.
    Plan,
    /// Adverts of flows to their keepers.
    Advert,
    /// Histories of buckets and requests for them.
    History,
}

impl MessageKind {
    /// Every kind, in the order of the arrays in [`Counters`].
    pub const ALL: [MessageKind; 5] = [
        MessageKind::Members,
        MessageKind::Bundle,
        MessageKind::Plan,
        MessageKind::Advert,
        MessageKind::History,
    ];

    /// Returns the label in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            MessageKind::Members => "members",
            MessageKind::Bundle => "bundle",
            MessageKind::Plan => "plan",
            MessageKind::Advert => "advert",
            MessageKind::History => "history",
        }
    }

    fn of_envelope(envelope: &Envelope) -> Option<MessageKind> {
        Some(match envelope.message.as_ref()? {
            Message::Heartbeat(_)
            | Message::Leave(_)
            | Message::MembersRequest(_)
            | Message::MembersAnswer(_) => MessageKind::Members,
            Message::BundleRequest(_)
            | Message::BundleDelta(_)
            | Message::BundleOutline(_)
            | Message::PieceRequest(_)
            | Message::Pieces(_) => MessageKind::Bundle,
            Message::PlanRequest(_) | Message::Plan(_) => MessageKind::Plan,
            Message::Advert(_) => MessageKind::Advert,
            Message::HistoryRequest(_) | Message::History(_) => MessageKind::History,
        })
    }
}

/// Numbers of messages and of their encoded bytes, without the overhead of gRPC and TLS.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Traffic {
    /// Number of messages.
    pub messages: u64,
    /// Number of bytes.
    pub bytes: u64,
}

/// Copy of the counters at one moment.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counters {
    /// Messages sent, in the order of [`MessageKind::ALL`].
    pub sent: [Traffic; 5],
    /// Messages received, in the order of [`MessageKind::ALL`].
    pub received: [Traffic; 5],
    /// Messages dropped because the channel to the network or the queue of a peer was full.
    pub dropped: u64,
    /// Messages dropped because the channel from the network was full.
    pub unread: u64,
    /// Batches that could not be sent, and connections that could not be set up.
    pub failed: u64,
    /// Batches refused because they are from another site.
    pub foreign: u64,
    /// Batches refused because they are too large.
    pub oversize: u64,
    /// Batches refused because of an invalid message.
    pub malformed: u64,
}

/// The counters, shared between threads.
#[derive(Debug, Default)]
pub(crate) struct LiveCounters {
    sent: [LiveTraffic; 5],
    received: [LiveTraffic; 5],
    pub(crate) dropped: AtomicU64,
    pub(crate) unread: AtomicU64,
    pub(crate) failed: AtomicU64,
    pub(crate) foreign: AtomicU64,
    pub(crate) oversize: AtomicU64,
    pub(crate) malformed: AtomicU64,
}

#[derive(Debug, Default)]
struct LiveTraffic {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl LiveTraffic {
    fn add(&self, bytes: usize) {
        self.messages.fetch_add(1, Relaxed);
        self.bytes.fetch_add(bytes as u64, Relaxed);
    }

    fn read(&self) -> Traffic {
        Traffic { messages: self.messages.load(Relaxed), bytes: self.bytes.load(Relaxed) }
    }
}

impl LiveCounters {
    pub(crate) fn count_sent(&self, envelope: &Envelope) {
        add_traffic(&self.sent, envelope);
    }

    pub(crate) fn count_received(&self, envelope: &Envelope) {
        add_traffic(&self.received, envelope);
    }

    pub(crate) fn read(&self) -> Counters {
        Counters {
            sent: std::array::from_fn(|ix| self.sent[ix].read()),
            received: std::array::from_fn(|ix| self.received[ix].read()),
            dropped: self.dropped.load(Relaxed),
            unread: self.unread.load(Relaxed),
            failed: self.failed.load(Relaxed),
            foreign: self.foreign.load(Relaxed),
            oversize: self.oversize.load(Relaxed),
            malformed: self.malformed.load(Relaxed),
        }
    }
}

fn add_traffic(traffic: &[LiveTraffic; 5], envelope: &Envelope) {
    if let Some(kind) = MessageKind::of_envelope(envelope) {
        traffic[kind as usize].add(envelope.encoded_len());
    }
}

pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Relaxed);
}
