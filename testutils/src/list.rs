//! The platform's list of instances in its JSON form.

use std::net::SocketAddrV4;

/// An entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Whether it is leaving.
    pub state: ListedState,
    /// Address for packets from the fabric.
    pub packets: SocketAddrV4,
    /// Address for peers' questions.
    pub questions: SocketAddrV4,
    /// Address for peers' control messages.
    pub control: SocketAddrV4,
}

/// State of an instance in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// It gets packets.
    Live,
    /// It is leaving; the fabric still sends it packets until its lag is over.
    Leaving,
}
