//! What goes into a controller and what comes out.

use crate::{
    ids::ServiceName,
    members::{Candidate, Member},
    message::{Message, ServicePlan},
    plan::Moves,
    spread::{Refusal, SignedText},
    time::Millis,
};
use std::{net::SocketAddrV4, sync::Arc};

/// What happens to an instance.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time passes; expected every [`super::TICK`].
    Tick,
    /// The platform answered with this bundle.
    PlatformBundle(Arc<str>),
    /// The platform answered with this list of instances.
    PlatformList(Vec<Candidate>),
    /// A peer sent a message.
    Peer(Message),
    /// This instance was told to leave.
    SetLeaving,
    /// What the packet side has told keepers and knows of history.
    SetProgress {
        /// The table epoch up to which keepers were told all.
        advertised: u64,
        /// The digest over the bucket history.
        history: u64,
    },
    /// The planner wants these buckets of the service moved. Dropped without
    /// harm where another instance plans for the service.
    Propose {
        /// The service of the buckets.
        service: ServiceName,
        /// All its moved buckets, not only the new ones.
        moves: Moves,
    },
}

/// What an instance has to do.
#[derive(Debug)]
pub enum Action {
    /// Send a message. It may be lost.
    Send {
        /// The control address of the receiver.
        to: SocketAddrV4,
        /// What to send.
        message: Message,
    },
    /// A bundle came into force.
    Accepted(Arc<SignedText>),
    /// A bundle was refused; the one in force stays.
    Refused {
        /// Why.
        reason: Refusal,
    },
    /// The members changed; these are all that are known, this one first.
    Members(Vec<Member>),
    /// A plan came to be followed.
    Plan(ServicePlan),
    /// Whether to hold the platform's watch.
    ReadPlatform(bool),
    /// The instance may serve. Said once.
    Ready,
    /// This process slept: liveness, plan and load may be old. Keep forwarding
    /// what is known and take no new duty until [`Action::Refreshed`].
    Slept {
        /// For how long.
        gap: Millis,
    },
    /// The view is fresh again after a sleep.
    Refreshed,
    /// A message for the packet side.
    ToForwarder(Message),
    /// A peer's history differs; it can be asked at this address.
    HistoryDiffers(SocketAddrV4),
}
