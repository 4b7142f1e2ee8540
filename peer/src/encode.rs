//! Encoding of messages into their wire format.

use crate::generated as wire;
use medlarspur_lib::{
    collections::Map,
    ids::TargetName,
    members::{Member, MemberState},
    message::{self, Message},
};
use std::net::SocketAddrV4;
use wire::envelope::Message as WireMessage;

/// Encodes `message`.
pub fn encode(message: &Message) -> wire::Envelope {
    let message = match message {
        Message::Heartbeat(m) => WireMessage::Heartbeat(heartbeat(m)),
        Message::MembersRequest(m) => WireMessage::MembersRequest(wire::MembersRequest {
            sender: addr(m.sender),
            groups: m.groups.clone(),
        }),
        Message::MembersAnswer(m) => WireMessage::MembersAnswer(wire::MembersAnswer {
            members: m.members.iter().map(member).collect(),
        }),
        Message::BundleRequest(m) => WireMessage::BundleRequest(wire::BundleRequest {
            sender: addr(m.sender),
            base: m.base.map(Vec::from).unwrap_or_default(),
        }),
        Message::BundleDelta(m) => WireMessage::BundleDelta(delta(m)),
        Message::BundleOutline(m) => WireMessage::BundleOutline(wire::BundleOutline {
            sender: addr(m.sender),
            version: m.version.0,
            digest: m.digest.into(),
            pieces: m.pieces.clone(),
        }),
        Message::PieceRequest(m) => WireMessage::PieceRequest(piece_request(m)),
        Message::Pieces(m) => WireMessage::Pieces(pieces(m)),
        Message::PlanRequest(m) => WireMessage::PlanRequest(wire::PlanRequest {
            sender: addr(m.sender),
            groups: m.groups.clone(),
        }),
        Message::Plan(m) => WireMessage::Plan(plan(m)),
        Message::Advert(m) => WireMessage::Advert(advert(m)),
        Message::HistoryRequest(m) => {
            WireMessage::HistoryRequest(wire::HistoryRequest { sender: addr(m.sender) })
        }
        Message::History(m) => WireMessage::History(history(m)),
        Message::Leave(m) => WireMessage::Leave(wire::Leave {
            sender: m.sender.to_string(),
            incarnation: m.incarnation.0,
        }),
    };
    wire::Envelope { message: Some(message) }
}

fn addr(addr: SocketAddrV4) -> Option<wire::Addr> {
    Some(wire::Addr { ip: addr.ip().to_bits(), port: addr.port().into() })
}

fn member(m: &Member) -> wire::Member {
    let state = match m.state {
        MemberState::Live => wire::State::Live,
        MemberState::Suspect => wire::State::Suspect,
        MemberState::Leaving => wire::State::Leaving,
        MemberState::Dead => wire::State::Dead,
    };
    wire::Member {
        name: m.name.to_string(),
        domain: m.domain.to_string(),
        incarnation: m.incarnation.0,
        state: state.into(),
        packets: addr(m.addresses.packets),
        questions: addr(m.addresses.questions),
        control: addr(m.addresses.control),
        version: m.version.0,
        told: m.advertised,
    }
}

fn heartbeat(m: &message::Heartbeat) -> wire::Heartbeat {
    wire::Heartbeat {
        sender: Some(member(&m.sender)),
        probe: m.probe,
        digest: m.digest.into(),
        members: m.members,
        plans: m.plans,
        history: m.history,
        rumours: m.rumours.iter().map(member).collect(),
    }
}

fn delta(m: &message::BundleDelta) -> wire::BundleDelta {
    let piece = |piece: &message::Piece| match piece {
        message::Piece::Copy { first, count } => {
            wire::Piece { first: *first, count: *count, text: String::new() }
        }
        message::Piece::Text(text) => wire::Piece { first: 0, count: 0, text: text.to_string() },
    };
    wire::BundleDelta {
        version: m.version.0,
        digest: m.digest.into(),
        base: m.base.into(),
        pieces: m.pieces.iter().map(piece).collect(),
    }
}

fn piece_request(m: &message::PieceRequest) -> wire::PieceRequest {
    let run = |&(first, count): &(u32, u32)| wire::Run { first, count };
    wire::PieceRequest {
        sender: addr(m.sender),
        digest: m.digest.into(),
        runs: m.runs.iter().map(run).collect(),
    }
}

fn pieces(m: &message::Pieces) -> wire::Pieces {
    let placed =
        m.pieces.iter().map(|(at, text)| wire::PlacedPiece { at: *at, text: text.to_string() });
    wire::Pieces { sender: addr(m.sender), digest: m.digest.into(), pieces: placed.collect() }
}

fn plan(m: &message::ServicePlan) -> wire::ServicePlan {
    let moves = m.moves.iter();
    wire::ServicePlan {
        service: m.service.to_string(),
        sequence: m.sequence,
        author: m.author.to_string(),
        moves: moves
            .map(|(b, t)| wire::Move { bucket: b.0.into(), target: t.to_string() })
            .collect(),
    }
}

/// Encodes an advert. Each target's name is sent once; flows refer to it by its position.
fn advert(m: &message::Advert) -> wire::Advert {
    let mut positions: Map<&TargetName, u32> = Map::default();
    let mut targets = Vec::new();
    let mut flows = Vec::with_capacity(m.flows.len());
    for (flow, target) in &m.flows {
        let position = *positions.entry(target).or_insert_with(|| {
            targets.push(target.to_string());
            targets.len() as u32 - 1
        });
        flows.push(wire::KnownFlow { flow: flow.0, target: position });
    }
    wire::Advert {
        sender: m.sender.to_string(),
        service: m.service.to_string(),
        targets,
        flows,
        told: m.advertised,
    }
}

fn history(m: &message::History) -> wire::History {
    let owners = m.owners.iter();
    let owner = |entry: &message::HistoryEntry| wire::Owner {
        bucket: entry.bucket.0.into(),
        target: entry.target.to_string(),
        age: entry.age,
        called_off: !entry.owned,
    };
    wire::History { service: m.service.to_string(), owners: owners.map(owner).collect() }
}
