//! The operators' side of an instance: status, explanations and metrics over
//! HTTP, for reading only.
//!
//! Operators change an instance by publishing a bundle and in no other way, so
//! there is no route here that changes anything. The JSON is that of
//! [`medlarspur_lib::status`]; the metrics are described in `docs/metrics.md`.

mod meters;
mod routes;
mod server;
mod source;

pub use self::{
    meters::{ClassMeters, Counter, Family, Gauge, Meters, MetersError},
    server::{OperatorError, OperatorServer, SILENCED_LOG_TARGETS},
    source::{MarkedSource, Source},
};
