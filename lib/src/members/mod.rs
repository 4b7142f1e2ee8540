//! Who takes part: the instances that this one believes to be live.
//!
//! Views differ between instances and processes wake up with old ones, so a
//! belief about a member is ordered by (incarnation, state) and merged by
//! taking the larger: the result does not depend on the order of messages.
//! See `docs/design/members.md`.

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
    /// Where an instance is reached.
    #[derive(Hash, serde::Serialize, serde::Deserialize)]
    pub struct Addresses {
        /// Where the fabric sends callers' packets, by UDP.
        pub packets: SocketAddrV4,
        /// Where peers send questions about flows, by UDP.
        pub questions: SocketAddrV4,
        /// Where peers exchange control messages, by gRPC.
        pub control: SocketAddrV4,
    }

    /// One instance as this one sees it.
    pub struct Member {
        /// Its name.
        pub name: InstanceName,
        /// Its failure domain.
        pub domain: DomainName,
        /// Which of its lives this is about.
        pub incarnation: Incarnation,
        /// What is believed of it.
        pub state: MemberState,
        /// Where it is reached.
        pub addresses: Addresses,
        /// The bundle version that it last said to have in force.
        pub version: Version,
        /// The table epoch up to which it has told keepers all its exceptions.
        pub advertised: u64,
    }

    /// One line of the platform's lagging list: a hint where to ask, no more.
    pub struct Candidate {
        /// Its name.
        pub name: InstanceName,
        /// Its failure domain.
        pub domain: DomainName,
        /// Where its control connections are accepted.
        pub control: SocketAddrV4,
        /// Whether the platform says that it leaves.
        pub leaving: bool,
    }
}

impl Member {
    /// What orders beliefs about one instance: the larger is the later one.
    pub fn order(&self) -> (Incarnation, MemberState) {
        (self.incarnation, self.state)
    }

    /// Whether it takes part, as far as is known.
    pub fn is_present(&self) -> bool {
        self.state != MemberState::Dead
    }

    /// Whether it may take new duties: to read the platform, to plan.
    pub fn is_eligible(&self) -> bool {
        self.state == MemberState::Live
    }
}

value! {
    /// What is believed of an instance.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum MemberState {
        /// It answers.
        Live,
        /// It has missed heartbeats and may refute that.
        Suspect,
        /// It hands over and takes no new duty.
        Leaving,
        /// It is gone; kept for a while, so that late news can't revive it.
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
