//! A piece of work, and the flows that its caller opens for it.

use medlarspur_lib::bundle::Class;
use medlarspur_load::random::Random;
use std::net::Ipv4Addr;

/// A piece of work that a caller requests.
#[derive(Debug, Clone)]
pub struct Work {
    pub class: Class,
    pub caller: Ipv4Addr,
    pub start: u64,
    pub size: u64,
    pub tries: u32,
    pub runs: u32,
    pub state: State,
    /// Time at which its current connection was opened.
    pub last_try: u64,
    /// Whether that connection was neither answered nor given up.
    pub is_open: bool,
    /// Whether its opening reached a target.
    pub reached_target: bool,
    /// The target that the table last assigned to it.
    pub target: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    Trying,
    Done { wait: u64 },
    Failed,
}

/// Returns the id of a flow, from which the model finds the work again. The low bits select
/// the bucket, so they are random.
pub fn flow(work: usize, tries: u32) -> u64 {
    let spread = Random::new((work as u64) << 8 | u64::from(tries)).draw() & 0xffff;
    u64::from(tries) << 48 | (work as u64) << 16 | spread
}
