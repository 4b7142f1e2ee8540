//! The control connections to the other instances of a site.
//!
//! One runtime in a thread of its own serves and calls; bounded channels join
//! it to the control thread, which never waits for the network. A message
//! that finds a channel full is counted and dropped: whatever a message says
//! is said again by later heartbeats. See `docs/design/members.md`.

mod client;
mod counters;
mod decode;
mod encode;
mod error;
#[allow(clippy::all, missing_docs, reason = "written by examples/generate.rs")]
#[rustfmt::skip]
pub mod generated;
mod server;
mod settings;
mod start;

pub use self::{
    counters::{Counters, MessageKind, Traffic},
    decode::decode,
    encode::encode,
    error::{BatchError, PeerError, WireError},
    settings::{PeerSettings, PeerTls},
    start::{PeerHandle, Peers},
};

/// The largest batch that is looked at: a bundle's megabyte as one difference
/// that shares nothing with its base, and room for its neighbours.
pub const MAX_BATCH_BYTES: usize = 2 << 20;
