//! HTTP server for operators: status, explanations and metrics of an instance, read-only.
//!
//! Operators change an instance only by publishing a bundle, so no route changes
//! anything. [`medlarspur_lib::status`] defines the JSON; `docs/metrics.md` describes the
//! metrics.

mod meters;
mod routes;
mod server;
mod source;

pub use self::{
    meters::{ClassMeters, Counter, Family, Gauge, LevelMeters, Meters, MetersError},
    server::{OperatorError, OperatorServer, SILENCED_LOG_TARGETS},
    source::{MarkedSource, Source},
};
