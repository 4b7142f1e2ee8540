//! Messages between instances: datagrams, and updates of any size for streams.

use crate::{Change, Incarnation, Revision, Update};
use medlarspur_load::{outlier::OutcomeCounts, warmup::Seat};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use std::net::SocketAddrV4;

/// Version of the messages. Instances of different versions ignore each other's messages and read
/// the store themselves.
const VERSION: u8 = 6;
/// Maximum size of a datagram between instances, in bytes. With all headers it stays below the
/// usual MTU of 1,500.
pub const MAX_DATAGRAM: usize = 1_200;
/// Maximum number of targets in [`Message::Evidence`].
pub const MAX_REPORTS: usize = 32;

/// Role of an instance in its failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Reads the store and propagates what it reads.
    Reader,
    /// Receives updates from readers.
    Listener,
}

/// 32-bit hash of a failure domain's name, which stands for the name in messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DomainId(pub u32);

/// Announces that an instance is alive and what it knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's failure domain.
    pub domain: DomainId,
    /// Whether the sender reads the store.
    pub role: Role,
    /// Milliseconds since the store last answered the sender; `None` if it has not answered, or too
    /// long ago to matter.
    pub answer_age: Option<u16>,
    /// Revision up to which the sender knows all changes.
    pub revision: Revision,
    /// Whether the sender wants a heartbeat in reply, to learn of other instances.
    pub wants_reply: bool,
    /// Control addresses of some other instances in the receiver's failure domain.
    pub contacts: Vec<SocketAddrV4>,
    /// The receiver's seat, if the sender assigns seats, which the first reader of a failure domain
    /// does.
    pub seat: Option<Seat>,
}

/// A datagram between instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Announces the sender.
    Heartbeat(Heartbeat),
    /// Carries an update that the receiver forwards. The list of receivers is part of the message
    /// because a listener knows only some instances of its domain, while the reader that sends the
    /// update knows all.
    Update {
        /// The reader that sent the update first. The store has just answered it.
        reader: SocketAddrV4,
        /// The update.
        update: Update,
        /// Control addresses of the instances that the receiver forwards the update to.
        to: Vec<SocketAddrV4>,
        /// The receiver's seat, if the reader assigns seats. The instances in `to` have the seats
        /// that follow.
        seat: Option<Seat>,
    },
    /// Reports recent outcomes of requests to other instances of the failure domain.
    Evidence {
        /// The sender's failure domain.
        domain: DomainId,
        /// Time of the message by the sender's clock, in milliseconds, which orders its messages.
        number: u32,
        /// The outcomes by target.
        reports: Vec<TargetReport>,
    },
}

/// Recent outcomes of requests at a target, in tenths since they decay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The target.
    pub target: Incarnation,
    /// Requests that were served.
    pub served: u8,
    /// Requests that failed or were left unanswered.
    pub bad: u8,
}

impl TargetReport {
    /// Creates a report. Larger counts than fit are reduced in proportion.
    pub fn new((target, counts): &(Incarnation, OutcomeCounts)) -> TargetReport {
        let most = counts.served.max(counts.bad).max(u8::MAX.into());
        let fit = |count: u16| (u32::from(count) * u32::from(u8::MAX) / u32::from(most)) as u8;
        TargetReport { target: *target, served: fit(counts.served), bad: fit(counts.bad) }
    }

    /// The reported counts.
    pub fn counts(&self) -> OutcomeCounts {
        OutcomeCounts { served: self.served.into(), bad: self.bad.into() }
    }
}

/// Reason why a message is rejected.
#[derive(Debug, Snafu)]
pub enum MessageError {
    /// The message is empty or of another version.
    #[snafu(display("the message is empty or not of version {VERSION}"))]
    Version,
    /// The message can't be decoded.
    #[snafu(display("the message can't be decoded"))]
    Decode {
        /// The cause.
        source: postcard::Error,
    },
    /// The message can't be encoded.
    #[snafu(display("the message can't be encoded"))]
    Encode {
        /// The cause.
        source: postcard::Error,
    },
    /// The message contains values that no instance sends.
    #[snafu(display("the message contains values out of range"))]
    Invalid,
    /// The message does not fit into a datagram.
    #[snafu(display("the message has {size} bytes, at most {MAX_DATAGRAM} fit into a datagram"))]
    Oversize {
        /// Size of the message in bytes.
        size: usize,
    },
}

/// Encodes a datagram.
///
/// # Errors
///
/// Fails if the message is larger than [`MAX_DATAGRAM`].
pub fn encode(message: &Message) -> Result<Vec<u8>, MessageError> {
    let bytes = postcard::to_extend(message, vec![VERSION]).context(EncodeSnafu)?;
    ensure!(bytes.len() <= MAX_DATAGRAM, OversizeSnafu { size: bytes.len() });
    Ok(bytes)
}

/// Decodes a datagram.
///
/// # Errors
///
/// Fails on anything that [`encode`] does not produce.
pub fn decode(bytes: &[u8]) -> Result<Message, MessageError> {
    let message = postcard::from_bytes(body(bytes)?).context(DecodeSnafu)?;
    match &message {
        Message::Heartbeat(_) => {}
        Message::Update { update, .. } => ensure!(update.is_valid(), InvalidSnafu),
        Message::Evidence { reports, .. } => ensure!(reports.len() <= MAX_REPORTS, InvalidSnafu),
    }
    Ok(message)
}

/// Encodes an update of any size, for a stream.
///
/// # Errors
///
/// Fails only if the encoder does.
pub fn encode_update(update: &Update) -> Result<Vec<u8>, MessageError> {
    postcard::to_extend(update, vec![VERSION]).context(EncodeSnafu)
}

/// Decodes an update from a stream.
///
/// # Errors
///
/// Fails on anything that [`encode_update`] does not produce.
pub fn decode_update(bytes: &[u8]) -> Result<Update, MessageError> {
    let update: Update = postcard::from_bytes(body(bytes)?).context(DecodeSnafu)?;
    ensure!(update.is_valid(), InvalidSnafu);
    Ok(update)
}

/// Size of a datagram in bytes. A message that can't be encoded counts as larger than any datagram.
pub(crate) fn size(message: &Message) -> usize {
    postcard::to_stdvec(message).map_or(usize::MAX / 2, |bytes| bytes.len() + 1)
}

/// Encoded size of a change in bytes. A change that can't be encoded counts as larger than any
/// datagram, so that sending it fails with the encoder's error.
pub(crate) fn change_size(change: &Change) -> usize {
    postcard::to_stdvec(change).map_or(usize::MAX, |bytes| bytes.len())
}

/// Encoded size of all changes of an update in bytes.
pub(crate) fn update_size(update: &Update) -> usize {
    update.changes.iter().chain(&update.unconfirmed).map(change_size).fold(0, usize::saturating_add)
}

fn body(bytes: &[u8]) -> Result<&[u8], MessageError> {
    match bytes {
        [VERSION, body @ ..] => Ok(body),
        _ => VersionSnafu.fail(),
    }
}
