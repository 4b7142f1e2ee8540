//! Packet I/O between an instance and the fabric. Callers' packets arrive from the fabric in UDP
//! datagrams and are sent to targets in the same encapsulation.
//!
//! At hundreds of thousands of packets per second, one system call per packet would cost more than
//! choosing the packet's target, so datagrams are received and sent in batches. The packet thread
//! uses the trait [`Wire`]; tests and benchmarks replace the socket by memory.
//! `docs/design/edge.md` gives the reasons for forwarding packets instead of terminating
//! connections.

mod age;
mod batch;
mod counts;
mod memory;
mod outbox;
mod ready;
mod socket;
pub mod stream;
mod wire;

pub use age::{Clocks, QueueAges, boot_time};
pub use batch::{Batch, MAX_BATCH, MAX_DATAGRAM, Received};
pub use counts::Counts;
pub use memory::{MemoryError, MemoryWire};
pub use outbox::Outbox;
pub use ready::wait_readable;
pub use socket::{Listener, Socket, SocketError};
pub use wire::{Datagram, Wire};
