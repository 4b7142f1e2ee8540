//! The fabric as a peer: callers' packets come from it in UDP datagrams and
//! go on to targets in the same wrapping.
//!
//! At hundreds of thousands of packets a second a system call a packet costs
//! more than deciding where the packet goes, so everything here moves batches.
//! [`Wire`] is the boundary: the packet thread is written against it, and tests
//! and benchmarks put memory in the place of a socket. The reasons for passing
//! packets on instead of terminating connections are in `docs/design/edge.md`.

mod batch;
mod counts;
mod memory;
mod outbox;
mod ready;
mod socket;
pub mod stream;
mod wire;

pub use batch::{Batch, MAX_BATCH, MAX_DATAGRAM, Received};
pub use counts::Counts;
pub use memory::{MemoryError, MemoryWire};
pub use outbox::Outbox;
pub use ready::wait_readable;
pub use socket::{Listener, Socket, SocketError};
pub use wire::{Datagram, Wire};
