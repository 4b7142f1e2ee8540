//! Admission, waiting, refusal and placement of flows under load.
//!
//! Nothing here does I/O, starts a thread or reads a clock. Time and randomness are
//! arguments, so that tests can simulate every load pattern. Each module makes one decision
//! and names the load patterns that it handles. [`Gate`] combines the modules for the
//! packet path. The alternatives are discussed in `docs/design/load.md` and
//! `docs/design/refusals.md`; `docs/measures/load.md` has the figures.

pub mod admission;
pub mod backlog;
pub mod callers;
pub mod choice;
mod counts;
pub mod estimate;
mod gate;
pub mod limit;
pub mod lines;
mod opening;
pub mod placement;
pub mod queue;
pub mod random;
pub mod refusal;
pub mod reserve;
pub mod retry;
mod settings;
pub mod shares;
mod state;
pub mod subset;
pub mod vacancy;
pub mod warmup;

pub use crate::{
    counts::Counts,
    gate::Gate,
    opening::{Closing, LoadReport, Opening, ServiceSpec, Signal, TargetSpec, Verdict},
    settings::Settings,
};
