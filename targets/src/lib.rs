//! Targets as a peer: what their health and load endpoints say.
//!
//! Nothing of the system runs on targets; an instance asks them over HTTP, at
//! `/health` (status 200 is healthy) and `/load` (see [`LoadReport`]). Both lag or
//! mislead, so what is read here is one hint among others: [`HealthTracker`] keeps a
//! single answer from deciding anything, and the package `medlarspur-load`
//! lets what an instance sees itself outweigh it.
//!
//! Not every instance asks every target, or the probes would grow with the
//! product of both: see [`is_prober`].

mod assignment;
mod http;
mod prober;
mod schedule;
mod verdict;

pub use assignment::{PROBERS_PER_DOMAIN, is_prober};
pub use http::{Http, LoadReport};
pub use prober::{Counts, Event, Prober, ProberError};
pub use schedule::{INTERVAL, Job, Next, Schedule, VerdictChange};
pub use verdict::{HealthTracker, Outcome, Verdict};

use std::time::Duration;

/// What one probe brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// How the health endpoint answered.
    pub outcome: Outcome,
    /// What the load endpoint said, if it could be understood.
    pub report: Option<LoadReport>,
    /// How long the health endpoint took to answer.
    pub elapsed: Duration,
}

/// Asks a target; HTTP for the product, a script in tests.
pub trait Probe: Send + Sync + 'static {
    /// Asks once and gives up after a time limit of its own.
    fn probe(&self, address: std::net::SocketAddrV4) -> Answer;
}
