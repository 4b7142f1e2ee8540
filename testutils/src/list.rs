//! The platform's list of instances, as it stands on the wire.

use std::net::SocketAddrV4;

/// One line of the list.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ListedInstance {
    /// The name of the instance.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Whether it is there to stay.
    pub state: ListedState,
    /// Where the fabric sends packets.
    pub packets: SocketAddrV4,
    /// Where peers send questions.
    pub questions: SocketAddrV4,
    /// Where peers reach it for control.
    pub control: SocketAddrV4,
}

/// What the list says of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// It takes packets.
    Live,
    /// It is being taken away; a fabric that lags still sends it packets.
    Leaving,
}
