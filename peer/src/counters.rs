//! What the control connections have done, counted.

use crate::generated::{Envelope, envelope::Message};
use prost::Message as _;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// What a control message is for; bytes are counted for each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// Heartbeats and leaving.
    Members,
    /// Requests and answers about the bundle.
    Bundle,
    /// Plans and requests for them.
    Plan,
    /// Flows for keepers.
    Advert,
    /// Bucket history and requests for it.
    History,
}

impl MessageKind {
    /// All kinds, in the order of [`Counters`].
    pub const ALL: [MessageKind; 5] = [
        MessageKind::Members,
        MessageKind::Bundle,
        MessageKind::Plan,
        MessageKind::Advert,
        MessageKind::History,
    ];

    /// The name for metrics.
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

/// Messages and their encoded bytes, without what gRPC and TLS add.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Traffic {
    /// How many messages.
    pub messages: u64,
    /// How many bytes.
    pub bytes: u64,
}

/// The counters as they stood when asked for.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counters {
    /// What was handed to peers, by [`MessageKind::ALL`].
    pub sent: [Traffic; 5],
    /// What peers handed over, by [`MessageKind::ALL`].
    pub received: [Traffic; 5],
    /// Messages that found the channel to the network full.
    pub dropped: u64,
    /// Messages that found the channel from the network full.
    pub unread: u64,
    /// Batches that could not be handed over.
    pub failed: u64,
    /// Batches refused because they are of another site.
    pub foreign: u64,
    /// Batches refused because they are too large.
    pub oversize: u64,
    /// Batches refused because a message in them has no meaning.
    pub malformed: u64,
}

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
    pub(crate) fn sent(&self, envelope: &Envelope) {
        add_traffic(&self.sent, envelope);
    }

    pub(crate) fn received(&self, envelope: &Envelope) {
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
