//! Decoding of messages from their wire format, which refuses invalid ones.

use crate::{
    error::{MissingSnafu, TooLargeSnafu, TooLongSnafu, WireError},
    generated as wire,
};
use medlarspur_lib::{
    ids::{
        Bucket, DomainName, FlowId, Incarnation, InstanceName, ServiceName, TargetName, Version,
    },
    members::{Addresses, Member, MemberState},
    message::{self, Digest, Message},
};
use snafu::{OptionExt, ensure};
use std::net::{Ipv4Addr, SocketAddrV4};
use wire::envelope::Message as WireMessage;

/// Maximum length of a name, in bytes.
const MAX_NAME: usize = 255;
/// Maximum number of rumours in a heartbeat. Instances send only a few.
const MAX_RUMOURS: usize = 64;

type Decoded<T> = Result<T, WireError>;

/// Decodes the message in `envelope`.
pub fn decode(envelope: wire::Envelope) -> Decoded<Message> {
    Ok(match envelope.message.context(MissingSnafu { field: "message" })? {
        WireMessage::Heartbeat(m) => Message::Heartbeat(Box::new(heartbeat(m)?)),
        WireMessage::MembersRequest(m) => Message::MembersRequest(message::MembersRequest {
            sender: addr(m.sender)?,
            groups: m.groups,
        }),
        WireMessage::MembersAnswer(m) => Message::MembersAnswer(message::MembersAnswer {
            members: m.members.into_iter().map(member).collect::<Decoded<_>>()?,
        }),
        WireMessage::BundleRequest(m) => Message::BundleRequest(message::BundleRequest {
            sender: addr(m.sender)?,
            base: if m.base.is_empty() { None } else { Some(digest(&m.base)?) },
        }),
        WireMessage::BundleDelta(m) => Message::BundleDelta(message::BundleDelta {
            version: Version(m.version),
            digest: digest(&m.digest)?,
            base: digest(&m.base)?,
            pieces: m.pieces.into_iter().map(piece).collect(),
        }),
        WireMessage::BundleOutline(m) => Message::BundleOutline(message::BundleOutline {
            sender: addr(m.sender)?,
            version: Version(m.version),
            digest: digest(&m.digest)?,
            pieces: m.pieces,
        }),
        WireMessage::PieceRequest(m) => Message::PieceRequest(message::PieceRequest {
            sender: addr(m.sender)?,
            digest: digest(&m.digest)?,
            runs: m.runs.iter().map(|run| (run.first, run.count)).collect(),
        }),
        WireMessage::Pieces(m) => Message::Pieces(message::Pieces {
            sender: addr(m.sender)?,
            digest: digest(&m.digest)?,
            pieces: m.pieces.into_iter().map(|p| (p.at, p.text.into())).collect(),
        }),
        WireMessage::PlanRequest(m) => {
            Message::PlanRequest(message::PlanRequest { sender: addr(m.sender)?, groups: m.groups })
        }
        WireMessage::Plan(m) => Message::Plan(plan(&m)?),
        WireMessage::Advert(m) => Message::Advert(advert(&m)?),
        WireMessage::HistoryRequest(m) => {
            Message::HistoryRequest(message::HistoryRequest { sender: addr(m.sender)? })
        }
        WireMessage::History(m) => Message::History(history(&m)?),
        WireMessage::Leave(m) => Message::Leave(message::Leave {
            sender: InstanceName::new(checked_name("sender", &m.sender)?),
            incarnation: Incarnation(m.incarnation),
        }),
    })
}

fn checked_name<'a>(field: &'static str, text: &'a str) -> Decoded<&'a str> {
    ensure!(!text.is_empty(), MissingSnafu { field });
    ensure!(text.len() <= MAX_NAME, TooLongSnafu { field, len: text.len() });
    Ok(text)
}

fn digest(bytes: &[u8]) -> Decoded<Digest> {
    bytes.try_into().map_err(|_| WireError::DigestLength { len: bytes.len() })
}

fn to_u16(field: &'static str, number: u32) -> Decoded<u16> {
    u16::try_from(number).ok().context(TooLargeSnafu { field, number })
}

fn addr(addr: Option<wire::Addr>) -> Decoded<SocketAddrV4> {
    let addr = addr.context(MissingSnafu { field: "address" })?;
    Ok(SocketAddrV4::new(Ipv4Addr::from_bits(addr.ip), to_u16("port", addr.port)?))
}

fn member(m: wire::Member) -> Decoded<Member> {
    let state = match m.state() {
        wire::State::Live => MemberState::Live,
        wire::State::Suspect => MemberState::Suspect,
        wire::State::Leaving => MemberState::Leaving,
        wire::State::Dead => MemberState::Dead,
    };
    Ok(Member {
        name: InstanceName::new(checked_name("name", &m.name)?),
        domain: DomainName::new(checked_name("domain", &m.domain)?),
        incarnation: Incarnation(m.incarnation),
        state,
        addresses: Addresses {
            packets: addr(m.packets)?,
            questions: addr(m.questions)?,
            control: addr(m.control)?,
        },
        version: Version(m.version),
        advertised: m.told,
    })
}

fn heartbeat(m: wire::Heartbeat) -> Decoded<message::Heartbeat> {
    let len = m.rumours.len();
    ensure!(len <= MAX_RUMOURS, TooLongSnafu { field: "rumours", len });
    Ok(message::Heartbeat {
        sender: member(m.sender.context(MissingSnafu { field: "sender" })?)?,
        probe: m.probe,
        digest: digest(&m.digest)?,
        members: m.members,
        plans: m.plans,
        history: m.history,
        rumours: m.rumours.into_iter().map(member).collect::<Decoded<_>>()?,
    })
}

fn piece(p: wire::Piece) -> message::Piece {
    if p.text.is_empty() {
        message::Piece::Copy { first: p.first, count: p.count }
    } else {
        message::Piece::Text(p.text.into())
    }
}

fn plan(m: &wire::ServicePlan) -> Decoded<message::ServicePlan> {
    let moved = |m: &wire::Move| Ok((Bucket(to_u16("bucket", m.bucket)?), target(&m.target)?));
    Ok(message::ServicePlan {
        service: service(&m.service)?,
        sequence: m.sequence,
        author: InstanceName::new(checked_name("author", &m.author)?),
        moves: m.moves.iter().map(moved).collect::<Decoded<_>>()?,
    })
}

fn advert(m: &wire::Advert) -> Decoded<message::Advert> {
    let targets = m.targets.iter().map(|t| target(t)).collect::<Decoded<Vec<_>>>()?;
    let flow = |f: &wire::KnownFlow| {
        let target = targets.get(f.target as usize);
        let target = target.context(TooLargeSnafu { field: "target", number: f.target })?;
        Ok((FlowId(f.flow), target.clone()))
    };
    Ok(message::Advert {
        sender: InstanceName::new(checked_name("sender", &m.sender)?),
        service: service(&m.service)?,
        flows: m.flows.iter().map(flow).collect::<Decoded<_>>()?,
        advertised: m.told,
    })
}

fn history(m: &wire::History) -> Decoded<message::History> {
    let owner = |o: &wire::Owner| {
        let bucket = Bucket(to_u16("bucket", o.bucket)?);
        Ok(message::HistoryEntry {
            bucket,
            target: target(&o.target)?,
            age: o.age,
            owned: !o.called_off,
        })
    };
    Ok(message::History {
        service: service(&m.service)?,
        owners: m.owners.iter().map(owner).collect::<Decoded<_>>()?,
    })
}

fn service(text: &str) -> Decoded<ServiceName> {
    checked_name("service", text).map(ServiceName::new)
}

fn target(text: &str) -> Decoded<TargetName> {
    checked_name("target", text).map(TargetName::new)
}
