//! Questions on the packet path about the target of a flow.
//!
//! An instance that does not know a flow asks those that may know it, while it
//! holds the packet for some milliseconds. The exchange is one UDP datagram in
//! each direction. Each has a keyed checksum, because a forged answer could
//! send a caller's packets to a target of the forger's choice. Nothing is
//! retransmitted: if an answer is lost, the timeout decides.

use crate::{
    ids::FlowId,
    settings::Secret,
    view::{ServiceKey, TargetKey},
};
use snafu::{Snafu, ensure};

value! {
    /// A question about a flow's target.
    pub struct Question {
        /// The flow.
        pub flow: FlowId,
        /// The flow's service, so that a keeper can answer for a flow that it
        /// doesn't know.
        pub service: ServiceKey,
        /// Number of the question at the instance that asks; repeated in the
        /// answer.
        pub nonce: u32,
    }

    /// An answer about a flow's target.
    pub struct Answer {
        /// The flow.
        pub flow: FlowId,
        /// The nonce of the question.
        pub nonce: u32,
        /// The answering instance's knowledge of the flow.
        pub result: LookupResult,
    }
}

/// The knowledge of an instance about a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupResult {
    /// The flow goes to this target.
    Known(TargetKey),
    /// The instance does not know the flow and can't rule out that others do.
    Unknown,
    /// The instance is a keeper that knows all exceptions of the bucket, and
    /// this flow is none of them.
    NoException {
        /// Whether the bucket has no exceptions left at all, so that no
        /// instance needs to ask about it any more.
        empty: bool,
    },
}

/// A datagram between instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Datagram {
    /// See [`Question`].
    Question(Question),
    /// See [`Answer`].
    Answer(Answer),
}

/// The reason for which a datagram of a peer is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum QuestionError {
    /// No message has the length of the datagram.
    #[snafu(display("the datagram has a length that no message has"))]
    Length,
    /// The checksum does not match: the datagram was altered or comes from
    /// outside the site.
    #[snafu(display("the datagram's checksum is wrong"))]
    Checksum,
    /// The kind is unknown to this version.
    #[snafu(display("the datagram is of an unknown kind"))]
    Kind,
}

impl QuestionError {
    /// All errors, in the order of their values.
    pub const ALL: [QuestionError; 3] =
        [QuestionError::Length, QuestionError::Checksum, QuestionError::Kind];

    /// The metric label of the error.
    pub fn label(self) -> &'static str {
        match self {
            QuestionError::Length => "length",
            QuestionError::Checksum => "checksum",
            QuestionError::Kind => "kind",
        }
    }
}

const KIND_QUESTION: u8 = 1;
const KIND_KNOWN: u8 = 2;
const KIND_UNKNOWN: u8 = 3;
const KIND_NO_EXCEPTION: u8 = 4;
const KIND_EMPTY: u8 = 5;
const CHECKSUM_LENGTH: usize = 8;
const HEAD_LENGTH: usize = 1 + 4 + 8;
const PLAIN_LENGTH: usize = HEAD_LENGTH + CHECKSUM_LENGTH;
const QUESTION_LENGTH: usize = HEAD_LENGTH + 4 + CHECKSUM_LENGTH;
const KNOWN_LENGTH: usize = HEAD_LENGTH + 8 + CHECKSUM_LENGTH;

impl Datagram {
    /// Encodes the datagram for the wire.
    pub fn encode(&self, secret: &Secret) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(KNOWN_LENGTH);
        match self {
            Datagram::Question(q) => {
                write_head(&mut bytes, KIND_QUESTION, q.nonce, q.flow);
                bytes.extend(q.service.0.to_be_bytes());
            }
            Datagram::Answer(a) => {
                let kind = match a.result {
                    LookupResult::Known(_) => KIND_KNOWN,
                    LookupResult::Unknown => KIND_UNKNOWN,
                    LookupResult::NoException { empty: false } => KIND_NO_EXCEPTION,
                    LookupResult::NoException { empty: true } => KIND_EMPTY,
                };
                write_head(&mut bytes, kind, a.nonce, a.flow);
                if let LookupResult::Known(target) = a.result {
                    bytes.extend(target.0.to_be_bytes());
                }
            }
        }
        let sum = checksum(secret, &bytes);
        bytes.extend(sum);
        bytes
    }

    /// Decodes a datagram from an untrusted source.
    pub fn decode(bytes: &[u8], secret: &Secret) -> Result<Datagram, QuestionError> {
        ensure!([PLAIN_LENGTH, QUESTION_LENGTH, KNOWN_LENGTH].contains(&bytes.len()), LengthSnafu);
        let (body, sum) = bytes.split_at(bytes.len() - CHECKSUM_LENGTH);
        ensure!(checksum(secret, body) == sum, ChecksumSnafu);
        let nonce = u32::from_be_bytes(array(&body[1..5]));
        let flow = FlowId(u64::from_be_bytes(array(&body[5..HEAD_LENGTH])));
        let result = match (body[0], body.len()) {
            (KIND_QUESTION, length) if length == HEAD_LENGTH + 4 => {
                let service = ServiceKey(u32::from_be_bytes(array(&body[HEAD_LENGTH..])));
                return Ok(Datagram::Question(Question { flow, service, nonce }));
            }
            (KIND_UNKNOWN, HEAD_LENGTH) => LookupResult::Unknown,
            (KIND_NO_EXCEPTION, HEAD_LENGTH) => LookupResult::NoException { empty: false },
            (KIND_EMPTY, HEAD_LENGTH) => LookupResult::NoException { empty: true },
            (KIND_KNOWN, length) if length == HEAD_LENGTH + 8 => {
                LookupResult::Known(TargetKey(u64::from_be_bytes(array(&body[HEAD_LENGTH..]))))
            }
            _ => return KindSnafu.fail(),
        };
        Ok(Datagram::Answer(Answer { flow, nonce, result }))
    }
}

fn write_head(bytes: &mut Vec<u8>, kind: u8, nonce: u32, flow: FlowId) {
    bytes.push(kind);
    bytes.extend(nonce.to_be_bytes());
    bytes.extend(flow.0.to_be_bytes());
}

/// Copies a slice whose length has been checked.
fn array<const N: usize>(bytes: &[u8]) -> [u8; N] {
    let mut array = [0; N];
    array.copy_from_slice(bytes);
    array
}

fn checksum(secret: &Secret, bytes: &[u8]) -> [u8; CHECKSUM_LENGTH] {
    let hash = blake3::keyed_hash(&secret.0, bytes);
    array(&hash.as_bytes()[..CHECKSUM_LENGTH])
}
