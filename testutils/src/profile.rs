//! What a target is, and what it has seen.

use medlarspur_lib::{bundle::Class, collections::Map, time::Millis};
use std::net::Ipv4Addr;

/// What a target is and how it behaves.
#[derive(Debug, Clone)]
pub struct Profile {
    /// Its name, which every answer tells.
    pub name: String,
    /// The service that it serves, which every answer tells.
    pub service: String,
    /// The address of the service.
    pub address: Ipv4Addr,
    /// The ports that it serves.
    pub ports: Vec<(u16, Class)>,
    /// How many requests and uploads it works on at once.
    pub slots: usize,
    /// How many connections it holds at once.
    pub connections: usize,
    /// The time between two lines of a feed.
    pub interval: Millis,
    /// How long a request takes once it has a slot.
    pub work_time: Millis,
    /// How long after its start a request takes ten times as long.
    pub cold_time: Millis,
    /// How many wait for a slot before it sheds the next one.
    pub queue_limit: usize,
    /// The bytes of the answer to a request after its first line.
    pub answer_size: usize,
}

impl Profile {
    /// A target with the sizes of the first sites and little work.
    pub fn new(name: &str, service: &str, address: Ipv4Addr, ports: &[(u16, Class)]) -> Self {
        Self {
            name: name.into(),
            service: service.into(),
            address,
            ports: ports.to_vec(),
            slots: 2,
            connections: 2000,
            interval: Millis(500),
            work_time: Millis(5),
            cold_time: Millis(0),
            queue_limit: 64,
            answer_size: 2000,
        }
    }
}

/// What a target has seen.
#[derive(Debug, Default, Clone, serde::Serialize)]
pub struct TargetCounts {
    /// How often each request id was started.
    pub runs: Map<String, u32>,
    /// How many uploads were stored whole.
    pub stored: u64,
    /// How many connections it accepted.
    pub opened: u64,
    /// How many it shed.
    pub shed: u64,
    /// Openings that arrived while it was leaving.
    pub late: u64,
    /// Packets for an address or port that is not its own.
    pub strays: u64,
}
