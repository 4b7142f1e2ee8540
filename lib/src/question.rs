//! The small question on the packet path: "where does this flow go?"
//!
//! An instance that never saw a flow asks those that may know it while it
//! holds the packet for some milliseconds. The exchange is one UDP datagram
//! each way with a keyed checksum, because a forged answer could send a
//! caller's packets to a target of the forger's choice. Nothing is repeated:
//! when an answer is lost, the time limit decides.

use crate::{
    ids::FlowId,
    settings::Secret,
    view::{ServiceKey, TargetKey},
};
use snafu::{Snafu, ensure};

value! {
    /// Asks where a flow goes.
    pub struct Question {
        /// The flow.
        pub flow: FlowId,
        /// Its service, so that a keeper can speak for flows it doesn't know.
        pub service: ServiceKey,
        /// Which of the asker's questions this is; the answer repeats it.
        pub nonce: u32,
    }

    /// Says where a flow goes.
    pub struct Answer {
        /// The flow.
        pub flow: FlowId,
        /// The number of the question.
        pub nonce: u32,
        /// What the answering instance knows.
        pub result: LookupResult,
    }
}

/// What an instance knows of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupResult {
    /// It goes to this target.
    Known(TargetKey),
    /// The instance never saw it and can't speak for others.
    Unknown,
    /// The instance keeps the bucket's exceptions, all of them, and this flow
    /// is none.
    NoException {
        /// Whether the bucket has no exceptions left at all, so that nobody
        /// need ask about it any more.
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

/// Why a datagram from a peer is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum QuestionError {
    /// Of another length than any message.
    #[snafu(display("the datagram has a length that no message has"))]
    Length,
    /// The checksum does not fit: altered, or from outside the site.
    #[snafu(display("the datagram's checksum is wrong"))]
    Checksum,
    /// A kind that this version does not know.
    #[snafu(display("the datagram is of an unknown kind"))]
    Kind,
}

impl QuestionError {
    /// All of them, in the order of their values.
    pub const ALL: [QuestionError; 3] =
        [QuestionError::Length, QuestionError::Checksum, QuestionError::Kind];

    /// The label under which it is counted.
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
const CHECKSUM: usize = 8;
const HEAD: usize = 1 + 4 + 8;
const SHORT: usize = HEAD + CHECKSUM;
const ASKING: usize = HEAD + 4 + CHECKSUM;
const LONG: usize = HEAD + 8 + CHECKSUM;

impl Datagram {
    /// The wire form.
    pub fn encode(&self, secret: &Secret) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(LONG);
        match self {
            Datagram::Question(q) => {
                head(&mut bytes, KIND_QUESTION, q.nonce, q.flow);
                bytes.extend(q.service.0.to_be_bytes());
            }
            Datagram::Answer(a) => {
                let kind = match a.result {
                    LookupResult::Known(_) => KIND_KNOWN,
                    LookupResult::Unknown => KIND_UNKNOWN,
                    LookupResult::NoException { empty: false } => KIND_NO_EXCEPTION,
                    LookupResult::NoException { empty: true } => KIND_EMPTY,
                };
                head(&mut bytes, kind, a.nonce, a.flow);
                if let LookupResult::Known(target) = a.result {
                    bytes.extend(target.0.to_be_bytes());
                }
            }
        }
        let sum = checksum(secret, &bytes);
        bytes.extend(sum);
        bytes
    }

    /// Reads a datagram from anybody.
    pub fn decode(bytes: &[u8], secret: &Secret) -> Result<Datagram, QuestionError> {
        ensure!([SHORT, ASKING, LONG].contains(&bytes.len()), LengthSnafu);
        let (body, sum) = bytes.split_at(bytes.len() - CHECKSUM);
        ensure!(checksum(secret, body) == sum, ChecksumSnafu);
        let nonce = u32::from_be_bytes(array(&body[1..5]));
        let flow = FlowId(u64::from_be_bytes(array(&body[5..HEAD])));
        let result = match (body[0], body.len()) {
            (KIND_QUESTION, length) if length == HEAD + 4 => {
                let service = ServiceKey(u32::from_be_bytes(array(&body[HEAD..])));
                return Ok(Datagram::Question(Question { flow, service, nonce }));
            }
            (KIND_UNKNOWN, HEAD) => LookupResult::Unknown,
            (KIND_NO_EXCEPTION, HEAD) => LookupResult::NoException { empty: false },
            (KIND_EMPTY, HEAD) => LookupResult::NoException { empty: true },
            (KIND_KNOWN, length) if length == HEAD + 8 => {
                LookupResult::Known(TargetKey(u64::from_be_bytes(array(&body[HEAD..]))))
            }
            _ => return KindSnafu.fail(),
        };
        Ok(Datagram::Answer(Answer { flow, nonce, result }))
    }
}

fn head(bytes: &mut Vec<u8>, kind: u8, nonce: u32, flow: FlowId) {
    bytes.push(kind);
    bytes.extend(nonce.to_be_bytes());
    bytes.extend(flow.0.to_be_bytes());
}

/// Copies a slice whose length was checked before.
fn array<const N: usize>(bytes: &[u8]) -> [u8; N] {
    let mut array = [0; N];
    array.copy_from_slice(bytes);
    array
}

fn checksum(secret: &Secret, bytes: &[u8]) -> [u8; CHECKSUM] {
    let hash = blake3::keyed_hash(&secret.0, bytes);
    array(&hash.as_bytes()[..CHECKSUM])
}
