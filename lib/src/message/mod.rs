//! What instances say to each other over the control connections.
//!
//! Every message is idempotent and its merge does not depend on order, because
//! messages are lost, repeated and overtaken. The wire form lives in the
//! package `medlarspur-peer`.

mod size;

use crate::{
    ids::{Bucket, FlowId, Incarnation, InstanceName, ServiceName, TargetName, Version},
    members::Member,
};
use std::{net::SocketAddrV4, sync::Arc};

/// The blake3 digest of a signed bundle or of a part of one.
pub type Digest = [u8; 32];

value! {
    /// Says that the sender lives and what it has; carries news of others.
    pub struct Heartbeat {
        /// The sender as it sees itself.
        pub sender: Member,
        /// Whether the sender waits for a heartbeat in return.
        pub probe: bool,
        /// The digest of the bundle that the sender has in force.
        pub digest: Digest,
        /// A digest over the members that the sender believes in.
        pub members: u64,
        /// A digest over the plans of all services that the sender follows.
        pub plans: u64,
        /// A digest over the bucket history that the sender knows.
        pub history: u64,
        /// Changes of other members that the sender learned lately.
        pub rumours: Vec<Member>,
    }

    /// Asks for the members about which the asker and the asked differ.
    pub struct MembersRequest {
        /// Where the answer goes.
        pub sender: SocketAddrV4,
        /// The asker's digests over its members, one a group of names.
        pub groups: Vec<u64>,
    }

    /// Members as the sender believes them to be.
    pub struct MembersAnswer {
        /// Some of those about which asker and asked differ.
        pub members: Vec<Member>,
    }

    /// Asks for the bundle in force, naming the text that the asker has.
    pub struct BundleRequest {
        /// Where the answer goes.
        pub sender: SocketAddrV4,
        /// The digest of the whole text that the asker has, if it has any.
        pub base: Option<Digest>,
    }

    /// A bundle as the difference to a text that the asker said that it has.
    pub struct BundleDelta {
        /// The version of the whole.
        pub version: Version,
        /// The digest of the whole signed text.
        pub digest: Digest,
        /// The digest of the text that [`Piece::Copy`] refers to.
        pub base: Digest,
        /// The signed text in pieces, in order.
        pub pieces: Vec<Piece>,
    }

    /// What a bundle's text consists of, for an asker whose text is none that
    /// the sender still has.
    pub struct BundleOutline {
        /// Whom to ask for the pieces.
        pub sender: SocketAddrV4,
        /// The version of the whole.
        pub version: Version,
        /// The digest of the whole signed text.
        pub digest: Digest,
        /// The short digests of its pieces, in order.
        pub pieces: Vec<u64>,
    }

    /// Asks for pieces of a bundle's text.
    pub struct PieceRequest {
        /// Where the answer goes.
        pub sender: SocketAddrV4,
        /// The digest of the whole signed text.
        pub digest: Digest,
        /// Runs of pieces: the position of the first, and how many.
        pub runs: Vec<(u32, u32)>,
    }

    /// Pieces of a bundle's text.
    pub struct Pieces {
        /// Who sends them.
        pub sender: SocketAddrV4,
        /// The digest of the whole signed text.
        pub digest: Digest,
        /// Pieces with their positions.
        pub pieces: Vec<(u32, Arc<str>)>,
    }

    /// Asks for the plans in which the asker and the asked differ.
    pub struct PlanRequest {
        /// Where the answers go.
        pub sender: SocketAddrV4,
        /// The asker's digests over its plans, one a group of services.
        pub groups: Vec<u64>,
    }

    /// Asks for the history of all services.
    pub struct HistoryRequest {
        /// Where the answers go.
        pub sender: SocketAddrV4,
    }

    /// The moved buckets of one service. The larger (sequence, author) wins.
    pub struct ServicePlan {
        /// The service that it is about.
        pub service: ServiceName,
        /// Counts the plans of the service.
        pub sequence: u64,
        /// The instance that made it.
        pub author: InstanceName,
        /// Where buckets go that do not go where the table says.
        pub moves: Vec<(Bucket, TargetName)>,
    }

    /// Flows that a keeper of their bucket has to know.
    pub struct Advert {
        /// The instance that tells.
        pub sender: InstanceName,
        /// The service of the flows.
        pub service: ServiceName,
        /// The flows, each with the target that it goes to.
        pub flows: Vec<(FlowId, TargetName)>,
        /// The table epoch up to which the sender has told all, once it has.
        pub advertised: Option<u64>,
    }

    /// That a target lost a bucket.
    pub struct HistoryEntry {
        /// The bucket.
        pub bucket: Bucket,
        /// The target that may still hold flows of it.
        pub target: TargetName,
        /// How many milliseconds ago that was.
        pub age: u64,
        /// Whether it was the owner, and not only about to become it.
        pub owned: bool,
    }

    /// Earlier owners of buckets that may still hold flows.
    pub struct History {
        /// The service of the buckets.
        pub service: ServiceName,
        /// The earlier owners, bucket by bucket.
        pub owners: Vec<HistoryEntry>,
    }

    /// Says that an instance leaves by plan and hands over.
    pub struct Leave {
        /// The instance that leaves.
        pub sender: InstanceName,
        /// Which of its lives this is about.
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
        /// How many pieces the run has.
        count: u32,
    },
    /// Text that the base lacks.
    Text(Arc<str>),
}

/// Any message on a control connection.
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
