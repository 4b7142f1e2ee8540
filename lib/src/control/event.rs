//! The input and the output of a controller.

use crate::{
    ids::ServiceName,
    members::{Candidate, Member},
    message::{Message, ServicePlan},
    plan::Moves,
    spread::{SignedText, TextError},
    time::Millis,
};
use std::{net::SocketAddrV4, sync::Arc};

/// An input of the controller.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed; expected every [`super::TICK`].
    Tick,
    /// The platform returned this bundle.
    PlatformBundle(Arc<str>),
    /// The platform returned this list of instances.
    PlatformList(Vec<Candidate>),
    /// A peer sent a message.
    Peer(Message),
    /// This instance leaves.
    SetLeaving,
    /// The progress of the forwarder has changed.
    SetProgress {
        /// The stamp up to which all exceptions are advertised to keepers.
        advertised: u64,
        /// A digest over the bucket history.
        history: u64,
    },
    /// The planner wants these buckets of the service moved. Ignored if another
    /// instance plans for the service.
    Propose {
        /// The service of the buckets.
        service: ServiceName,
        /// All moved buckets of the service, not only the new ones.
        moves: Moves,
    },
}

/// An output of the controller, to be carried out.
#[derive(Debug)]
pub enum Action {
    /// Send a message. It may be lost.
    Send {
        /// The control address of the receiver.
        to: SocketAddrV4,
        /// The message to send.
        message: Message,
    },
    /// A bundle came into force.
    Accepted(Arc<SignedText>),
    /// A bundle was refused; the one in force stays.
    Refused {
        /// The reason.
        reason: TextError,
    },
    /// The members have changed; the list is complete and begins with this
    /// instance.
    Members(Vec<Member>),
    /// Follow a plan from now on.
    Plan(ServicePlan),
    /// Whether to watch the platform.
    ReadPlatform(bool),
    /// The instance may serve. Emitted once.
    Ready,
    /// This process slept: liveness, plans and load may be out of date. Known
    /// flows are still forwarded, but no new duty is taken until
    /// [`Action::Refreshed`].
    Slept {
        /// The duration of the sleep.
        gap: Millis,
    },
    /// The view is up to date again after a sleep.
    Refreshed,
    /// Pass a message to the forwarder.
    ToForwarder(Message),
    /// A peer has another bucket history, which can be requested at this
    /// address.
    HistoryDiffers(SocketAddrV4),
}
