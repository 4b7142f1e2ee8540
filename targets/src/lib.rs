//! Active health checks of targets through their health and load endpoints.
//!
//! No part of the system runs on targets. An instance probes them over HTTP at `/health` (status
//! 200 means healthy) and `/load` (see [`LoadReport`]). Both endpoints lag or mislead, so their
//! answers are only hints: [`HealthTracker`] lets no single answer decide anything, and the package
//! `medlarspur-load` gives precedence to what an instance observes itself.
//!
//! Each target is probed by only a few instances; otherwise the number of probes would grow with
//! the product of instances and targets. See [`is_prober`].

mod assignment;
mod http;
mod prober;
mod schedule;
mod verdict;

pub use assignment::{PROBERS_PER_DOMAIN, is_prober};
pub use http::{Http, LoadReport};
pub use prober::{Counts, Event, Prober, ProberError};
pub use schedule::{INTERVAL, Job, Next, Schedule, VerdictChange};
pub use verdict::{HealthTracker, HealthVerdict, Outcome};

use std::time::Duration;

/// Result of one probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Answer of the health endpoint.
    pub outcome: Outcome,
    /// Answer of the load endpoint, if it could be parsed.
    pub report: Option<LoadReport>,
    /// Response time of the health endpoint.
    pub elapsed: Duration,
}

/// Probes a target: over HTTP in the product, scripted in tests.
pub trait Probe: Send + Sync + 'static {
    /// Makes one probe, with a timeout of its own.
    fn probe(&self, address: std::net::SocketAddrV4) -> Answer;
}
