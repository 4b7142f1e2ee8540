//! The configuration of a target, and its counters.

use medlarspur_lib::{bundle::Class, collections::Map, time::Millis};
use std::net::Ipv4Addr;

/// Configuration of a target.
#[derive(Debug, Clone)]
pub struct Profile {
    /// Its name, which every answer contains.
    pub name: String,
    /// Name of its service, which every answer contains.
    pub service: String,
    /// The address of the service.
    pub address: Ipv4Addr,
    /// The ports of the service, each with the class of its flows.
    pub ports: Vec<(u16, Class)>,
    /// Number of requests and uploads processed at the same time.
    pub slots: usize,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Time between two lines of a feed.
    pub interval: Millis,
    /// Time that a request or upload occupies its slot.
    pub work_time: Millis,
    /// Time after its start in which requests and uploads take ten times as long.
    pub cold_time: Millis,
    /// Maximum number of requests and uploads that wait for a slot; it resets further ones.
    pub queue_limit: usize,
    /// Size in bytes of the answer to a request, without its first line.
    pub answer_size: usize,
}

impl Profile {
    /// Creates a profile with the slots and connections of the first sites' targets,
    /// and with short requests.
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

/// Counters of a target.
#[derive(Debug, Default, Clone, serde::Serialize)]
pub struct TargetCounts {
    /// Number of times that each request was started, by its id.
    pub runs: Map<String, u32>,
    /// Number of uploads that were completely received.
    pub stored: u64,
    /// Number of accepted connections.
    pub opened: u64,
    /// Number of requests and uploads that were reset because the queue was full.
    pub shed: u64,
    /// Number of SYNs that arrived while it was draining.
    pub late: u64,
    /// Number of packets for another service's address or port.
    pub strays: u64,
}
