//! The messages that instances exchange over control connections.
//!
//! Every message is idempotent and its merge does not depend on order, because
//! messages are lost, duplicated and reordered. The wire format is defined in
//! the package `medlarspur-peer`.

mod size;

use crate::{
    ids::{Bucket, FlowId, Incarnation, InstanceName, ServiceName, TargetName, Version},
    members::Member,
};
use std::{net::SocketAddrV4, sync::Arc};

/// The blake3 digest of a signed bundle or of a part of one.
pub type Digest = [u8; 32];

value! {
    /// Reports that the sender is live, digests of its state, and updates of
    /// other members.
    pub struct Heartbeat {
        /// The sender's own entry.
        pub sender: Member,
        /// Whether the sender expects a heartbeat in return.
        pub probe: bool,
        /// The digest of the bundle that the sender has in force.
        pub digest: Digest,
        /// A digest over the members known to the sender.
        pub members: u64,
        /// A digest over the plans that the sender follows, of all services.
        pub plans: u64,
        /// A digest over the bucket history known to the sender.
        pub history: u64,
        /// Updates of other members that the sender received lately.
        pub rumours: Vec<Member>,
    }

    /// Requests the members on which requester and receiver differ.
    pub struct MembersRequest {
        /// The address for the answer.
        pub sender: SocketAddrV4,
        /// The requester's digests over its members, one per group of names.
        pub groups: Vec<u64>,
    }

    /// Members as known to the sender.
    pub struct MembersAnswer {
        /// Some of the members on which requester and sender differ.
        pub members: Vec<Member>,
    }

    /// Requests the bundle in force.
    pub struct BundleRequest {
        /// The address for the answer.
        pub sender: SocketAddrV4,
        /// The digest of the text that the requester has, if any, as a base for
        /// a delta.
        pub base: Option<Digest>,
    }

    /// A bundle as the delta to a text that the requester has.
    pub struct BundleDelta {
        /// The version of the bundle.
        pub version: Version,
        /// The digest of the whole signed text.
        pub digest: Digest,
        /// The digest of the text that [`Piece::Copy`] refers to.
        pub base: Digest,
        /// The signed text in pieces, in order.
        pub pieces: Vec<Piece>,
    }

    /// The list of pieces of a bundle's text, for a requester whose text the
    /// sender does not hold.
    pub struct BundleOutline {
        /// The address to request pieces from.
        pub sender: SocketAddrV4,
        /// The version of the bundle.
        pub version: Version,
        /// The digest of the whole signed text.
        pub digest: Digest,
        /// The short digests of its pieces, in order.
        pub pieces: Vec<u64>,
    }

    /// Requests pieces of a bundle's text.
    pub struct PieceRequest {
        /// The address for the answer.
        pub sender: SocketAddrV4,
        /// The digest of the whole signed text.
        pub digest: Digest,
        /// Runs of pieces: the position of the first, and their number.
        pub runs: Vec<(u32, u32)>,
    }

    /// Pieces of a bundle's text.
    pub struct Pieces {
        /// The address of the sender.
        pub sender: SocketAddrV4,
        /// The digest of the whole signed text.
        pub digest: Digest,
        /// Pieces with their positions.
        pub pieces: Vec<(u32, Arc<str>)>,
    }

    /// Requests the plans in which requester and receiver differ.
    pub struct PlanRequest {
        /// The address for the answers.
        pub sender: SocketAddrV4,
        /// The requester's digests over its plans, one per group of services.
        pub groups: Vec<u64>,
    }

    /// Requests the bucket history of all services.
    pub struct HistoryRequest {
        /// The address for the answers.
        pub sender: SocketAddrV4,
    }

    /// The moved buckets of one service. The plan with the larger (sequence,
    /// author) wins.
    pub struct ServicePlan {
        /// The service of the buckets.
        pub service: ServiceName,
        /// Number of the plan, counted per service.
        pub sequence: u64,
        /// The instance that made it.
        pub author: InstanceName,
        /// The buckets that go to another target than by the table.
        pub moves: Vec<(Bucket, TargetName)>,
    }

    /// Flows for a keeper of their bucket.
    pub struct Advert {
        /// The instance that sends the advert.
        pub sender: InstanceName,
        /// The service of the flows.
        pub service: ServiceName,
        /// The flows, each with its target.
        pub flows: Vec<(FlowId, TargetName)>,
        /// The stamp up to which the sender has now advertised all its
        /// exceptions, if it has.
        pub advertised: Option<u64>,
    }

    /// An earlier owner of a bucket.
    pub struct HistoryEntry {
        /// The bucket.
        pub bucket: Bucket,
        /// The target that lost the bucket and may still hold flows of it.
        pub target: TargetName,
        /// Time since the loss, in milliseconds.
        pub age: u64,
        /// Whether the target was the owner, and not only about to become it.
        pub owned: bool,
    }

    /// Earlier owners of buckets that may still hold flows.
    pub struct History {
        /// The service of the buckets.
        pub service: ServiceName,
        /// The earlier owners, in the order of the buckets.
        pub owners: Vec<HistoryEntry>,
    }

    /// Announces a planned departure; the instance hands over its duties.
    pub struct Leave {
        /// The instance that leaves.
        pub sender: InstanceName,
        /// The incarnation that leaves.
        pub incarnation: Incarnation,
    }
}

/// A part of a bundle's text in a [`BundleDelta`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Piece {
    /// A run of the pieces of the base.
    Copy {
        /// The position of the first piece of the run.
        first: u32,
        /// The number of pieces in the run.
        count: u32,
    },
    /// Text that the base lacks.
    Text(Arc<str>),
}

/// A message on a control connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// See [`Heartbeat`].
    Heartbeat(Box<Heartbeat>),
    /// See [`MembersRequest`].
    MembersRequest(MembersRequest),
    /// See [`MembersAnswer`].
    MembersAnswer(MembersAnswer),
    /// See [`BundleRequest`].
    BundleRequest(BundleRequest),
    /// See [`BundleDelta`].
    BundleDelta(BundleDelta),
    /// See [`BundleOutline`].
    BundleOutline(BundleOutline),
    /// See [`PieceRequest`].
    PieceRequest(PieceRequest),
    /// See [`Pieces`].
    Pieces(Pieces),
    /// See [`PlanRequest`].
    PlanRequest(PlanRequest),
    /// See [`ServicePlan`].
    Plan(ServicePlan),
    /// See [`Advert`].
    Advert(Advert),
    /// See [`HistoryRequest`].
    HistoryRequest(HistoryRequest),
    /// See [`History`].
    History(History),
    /// See [`Leave`].
    Leave(Leave),
}
