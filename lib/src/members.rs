//! Who takes part: the instances that this one believes to be live.

use crate::ids::{DomainName, Incarnation, InstanceName, Version};
use std::net::SocketAddrV4;

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
        pub told: u64,
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
