//! Control connections between the instances of a site, over gRPC.
//!
//! One thread with a runtime of its own runs both the server and the clients. Bounded
//! channels connect it to the control thread, which never waits for the network. If a
//! channel is full, the message is counted and dropped, since later heartbeats convey the
//! same information. See `docs/design/members.md`.

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

/// Maximum size of a received batch, in bytes. A batch can contain a bundle of one megabyte,
/// sent as a delta that shares nothing with its base, and other messages.
pub const MAX_BATCH_BYTES: usize = 2 << 20;
