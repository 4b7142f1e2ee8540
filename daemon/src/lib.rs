//! One load balancer instance: a thread for each task, connected by bounded queues.
//!
//! | thread | task |
//! |---|---|
//! | `packets` | forwards callers' packets, answers peers' questions, owns the flow table |
//! | `control` | maintains members, bundle and plans; publishes the view |
//! | `peers` | control connections to other instances |
//! | `watch-…` | watch the platform's bundle and instance list, while this instance reads them |
//! | `operator` | read-only HTTP interface for operators |
//!
//! See `docs/architecture.md`.

pub mod boot;
pub mod changes;
pub mod checker;
pub mod clock;
pub mod control;
pub mod gate;
pub mod life;
pub mod logs;
pub mod marked;
pub mod meters;
pub mod outbox;
pub mod packets;
pub mod sample;
pub mod shared;
pub mod sink;
pub mod status;
