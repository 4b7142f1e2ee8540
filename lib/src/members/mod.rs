//! Membership: the instances that this one believes to be live.
//!
//! Views differ between instances, and processes wake up with old ones. A
//! belief about a member is therefore ordered by (incarnation, state) and
//! merged by taking the larger one, so the result does not depend on the order
//! of messages. See `docs/design/members.md`.

mod neighbours;
mod rank;
mod roster;
mod rumours;

pub use self::{
    neighbours::{NEIGHBOURS, neighbours},
    rank::{is_top, rank, top},
    roster::{ACK_TIMEOUT, Roster, TOMBSTONE_TIME, suspicion_timeout},
    rumours::MAX_RUMOURS,
};
use crate::ids::{DomainName, Incarnation, InstanceName, Version};
use std::{fmt, net::SocketAddrV4};

value! {
    /// The addresses of an instance.
    #[derive(Hash, serde::Serialize, serde::Deserialize)]
    pub struct Addresses {
        /// Receives callers' packets from the fabric, by UDP.
        pub packets: SocketAddrV4,
        /// Receives peers' questions about flows, by UDP.
        pub questions: SocketAddrV4,
        /// Accepts control connections of peers, by gRPC.
        pub control: SocketAddrV4,
    }

    /// An instance as seen by this one.
    pub struct Member {
        /// Its name.
        pub name: InstanceName,
        /// Its failure domain.
        pub domain: DomainName,
        /// The incarnation that this belief is about.
        pub incarnation: Incarnation,
        /// The believed state.
        pub state: MemberState,
        /// Its addresses.
        pub addresses: Addresses,
        /// The bundle version that it last reported to have in force.
        pub version: Version,
        /// The stamp up to which it has advertised all its exceptions to
        /// keepers.
        pub advertised: u64,
    }

    /// An entry of the platform's list of instances. The list lags, so it is
    /// only used to choose instances to probe.
    pub struct Candidate {
        /// Its name.
        pub name: InstanceName,
        /// Its failure domain.
        pub domain: DomainName,
        /// The address of its control connections.
        pub control: SocketAddrV4,
        /// Whether the platform lists it as leaving.
        pub leaving: bool,
    }
}

impl Member {
    /// The order of beliefs about one instance: the larger is the later one.
    pub fn order(&self) -> (Incarnation, MemberState) {
        (self.incarnation, self.state)
    }

    /// Whether it is not believed dead.
    pub fn is_present(&self) -> bool {
        self.state != MemberState::Dead
    }

    /// Whether it may take new duties: reading the platform or planning.
    pub fn is_eligible(&self) -> bool {
        self.state == MemberState::Live
    }
}

value! {
    /// The believed state of an instance.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum MemberState {
        /// It answers heartbeats.
        Live,
        /// It has missed heartbeats and may refute the suspicion.
        Suspect,
        /// It hands over its duties and takes no new ones.
        Leaving,
        /// It is gone. Remembered for a while, so that late updates can't
        /// revive it.
        Dead,
    }
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            MemberState::Live => "live",
            MemberState::Suspect => "suspect",
            MemberState::Leaving => "leaving",
            MemberState::Dead => "dead",
        })
    }
}
