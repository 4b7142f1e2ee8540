//! What instances tell each other, as datagrams and as whole pictures.

use crate::{Change, Revision, Update};
use medlarspur_load::warmup::Seat;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use std::net::SocketAddrV4;

/// The version of these messages; instances of different versions ignore each
/// other and read the store themselves.
const VERSION: u8 = 5;
/// The most bytes of a datagram between instances, below an ordinary network's
/// 1,500 with all headers.
pub const MAX_DATAGRAM: usize = 1_200;

/// One of the two domain-wide roles of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// It reads the store and passes on what it reads.
    Reader,
    /// It hears from readers.
    Listener,
}

/// The name of a failure domain as messages carry it: a hash of 32 bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DomainId(pub u32);

/// Says that an instance is there and what it knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it reads the store.
    pub role: Role,
    /// How long ago the store answered it last, in milliseconds; none if that
    /// was too long ago to matter.
    pub answer_age: Option<u16>,
    /// Up to which revision it knows all changes.
    pub revision: Revision,
    /// Whether an answer is wanted, to learn who else is there.
    pub wants_reply: bool,
    /// Control addresses of some others in the receiver's failure domain.
    pub contacts: Vec<SocketAddrV4>,
    /// The receiver's seat, from the first reader of its failure domain.
    pub seat: Option<Seat>,
}

/// A datagram between instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A sign of life.
    Heartbeat(Heartbeat),
    /// News that the receiver passes on. It is told to whom: a listener knows
    /// only some of its domain, and the reader that sends the news knows all.
    Update {
        /// The reader that it comes from, which the store has just answered.
        reader: SocketAddrV4,
        /// The news.
        update: Update,
        /// Control addresses of those to pass it on to.
        to: Vec<SocketAddrV4>,
        /// The receiver's seat, if the reader gives any; the seats of those in `to` follow.
        seat: Option<Seat>,
    },
}

/// Why a message is not taken.
#[derive(Debug, Snafu)]
pub enum MessageError {
    /// It is empty or of another version.
    #[snafu(display("the message is of another version"))]
    Version,
    /// It can't be decoded.
    #[snafu(display("the message can't be decoded"))]
    Decode {
        /// What is wrong.
        source: postcard::Error,
    },
    /// It can't be encoded.
    #[snafu(display("the message can't be encoded"))]
    Encode {
        /// What is wrong.
        source: postcard::Error,
    },
    /// It holds values that no instance sends.
    #[snafu(display("the message holds values out of range"))]
    Invalid,
    /// It does not fit into a datagram.
    #[snafu(display("the message has {size} bytes, {MAX_DATAGRAM} fit"))]
    Oversize {
        /// Its size.
        size: usize,
    },
}

/// Encodes a datagram.
///
/// # Errors
///
/// Fails if it is too large for one.
pub fn encode(message: &Message) -> Result<Vec<u8>, MessageError> {
    let bytes = postcard::to_extend(message, vec![VERSION]).context(EncodeSnafu)?;
    ensure!(bytes.len() <= MAX_DATAGRAM, OversizeSnafu { size: bytes.len() });
    Ok(bytes)
}

/// Decodes a datagram.
///
/// # Errors
///
/// Fails on anything that [`encode`] doesn't make.
pub fn decode(bytes: &[u8]) -> Result<Message, MessageError> {
    let message = postcard::from_bytes(body(bytes)?).context(DecodeSnafu)?;
    if let Message::Update { update, .. } = &message {
        ensure!(update.is_valid(), InvalidSnafu);
    }
    Ok(message)
}

/// Encodes a picture for a stream, of any size.
///
/// # Errors
///
/// Fails only if the encoder does.
pub fn encode_update(update: &Update) -> Result<Vec<u8>, MessageError> {
    postcard::to_extend(update, vec![VERSION]).context(EncodeSnafu)
}

/// Decodes a picture from a stream.
///
/// # Errors
///
/// Fails on anything that [`encode_update`] doesn't make.
pub fn decode_update(bytes: &[u8]) -> Result<Update, MessageError> {
    let update: Update = postcard::from_bytes(body(bytes)?).context(DecodeSnafu)?;
    ensure!(update.is_valid(), InvalidSnafu);
    Ok(update)
}

/// How many bytes a change takes in a message; more than any datagram has if it can't
/// be encoded, and whoever sends it is told why.
pub(crate) fn change_size(change: &Change) -> usize {
    postcard::to_stdvec(change).map_or(usize::MAX, |bytes| bytes.len())
}

/// The same of the changes of a piece of news.
pub(crate) fn update_size(update: &Update) -> usize {
    update.changes.iter().chain(&update.unconfirmed).map(change_size).fold(0, usize::saturating_add)
}

fn body(bytes: &[u8]) -> Result<&[u8], MessageError> {
    match bytes {
        [VERSION, body @ ..] => Ok(body),
        _ => VersionSnafu.fail(),
    }
}
