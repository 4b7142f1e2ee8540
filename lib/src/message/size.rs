//! Estimated sizes of messages on the wire, so that pacing and simulation need
//! no encoder. A test of `medlarspur-peer` compares them with the encoder.

use super::{Advert, BundleDelta, Heartbeat, Message, Piece, ServicePlan};
use crate::{collections::Set, members::Member};

/// Bytes of a tag and a short length or number.
const FIELD: usize = 2;
/// Bytes of a fixed 64-bit number with its tag.
const FIXED: usize = 9;
/// Bytes of a digest with its tag and length.
const DIGEST: usize = 34;
/// Bytes of an address with its tag and length.
const ADDR: usize = 11;
/// Bytes of the tags and lengths of a message and of its envelope.
const ENVELOPE: usize = 6;

impl Message {
    /// Estimated number of bytes on the wire, without transport.
    pub fn size(&self) -> usize {
        let body = match self {
            Message::Heartbeat(m) => heartbeat(m),
            Message::MembersRequest(m) => ADDR + 8 * m.groups.len(),
            Message::MembersAnswer(m) => m.members.iter().map(member).sum(),
            Message::BundleRequest(m) => ADDR + m.base.map_or(0, |_| DIGEST),
            Message::BundleDelta(m) => delta(m),
            Message::BundleOutline(m) => ADDR + FIELD + DIGEST + 8 * m.pieces.len(),
            Message::PieceRequest(m) => ADDR + DIGEST + 7 * m.runs.len(),
            Message::Pieces(m) => {
                ADDR + DIGEST + m.pieces.iter().map(|(_, text)| text.len() + 9).sum::<usize>()
            }
            Message::PlanRequest(m) => ADDR + 8 * m.groups.len(),
            Message::Plan(m) => m.size(),
            Message::Advert(m) => advert(m),
            Message::HistoryRequest(_) => ADDR,
            Message::History(m) => {
                let owners = m.owners.iter().map(|loss| loss.target.as_str().len() + 12);
                m.service.as_str().len() + FIELD + owners.sum::<usize>()
            }
            Message::Leave(m) => m.sender.as_str().len() + FIELD + number(m.incarnation.0),
        };
        ENVELOPE + body
    }
}

impl ServicePlan {
    /// Estimated number of bytes on the wire.
    pub fn size(&self) -> usize {
        let moves: usize = self.moves.iter().map(|(_, target)| target.as_str().len() + 7).sum();
        let names = self.service.as_str().len() + self.author.as_str().len();
        names + 2 * FIELD + number(self.sequence) + moves
    }
}

fn heartbeat(m: &Heartbeat) -> usize {
    let rumours: usize = m.rumours.iter().map(member).sum();
    member(&m.sender) + FIELD + DIGEST + 3 * FIXED + rumours
}

impl Member {
    /// Estimated number of bytes on the wire.
    pub fn size(&self) -> usize {
        member(self)
    }
}

fn member(m: &Member) -> usize {
    let names = m.name.as_str().len() + m.domain.as_str().len() + 2 * FIELD;
    let numbers = number(m.incarnation.0) + number(m.version.0) + number(m.advertised);
    FIELD + names + numbers + FIELD + 3 * ADDR
}

/// The name of a target is sent once per advert and not once per flow.
fn advert(m: &Advert) -> usize {
    let targets: Set<&str> = m.flows.iter().map(|(_, target)| target.as_str()).collect();
    let names: usize = targets.iter().map(|name| name.len() + FIELD).sum();
    m.sender.as_str().len() + m.service.as_str().len() + 8 + names + 13 * m.flows.len()
}

fn delta(m: &BundleDelta) -> usize {
    let pieces = m.pieces.iter().map(|piece| match piece {
        Piece::Copy { .. } => 8,
        Piece::Text(text) => text.len() + 6,
    });
    number(m.version.0) + 2 * DIGEST + pieces.sum::<usize>()
}

/// A varint holds seven bits a byte; zero is left out.
fn number(n: u64) -> usize {
    if n == 0 { 0 } else { 2 + n.ilog2() as usize / 7 }
}
