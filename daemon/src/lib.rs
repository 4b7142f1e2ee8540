//! One instance: threads, one a duty, joined by bounded rings.
//!
//! | thread | duty |
//! |---|---|
//! | `packets` | callers' packets, peers' questions, the flow table |
//! | `control` | members, bundle, plans; publishes the view |
//! | `peers` | the control connections to other instances |
//! | `watch-…` | the platform's bundle and list, while it reads them |
//! | `operator` | HTTP for operators, reading only |
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
