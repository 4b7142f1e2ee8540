//! Admission, waiting, refusal and placement of flows under load.
//!
//! Nothing here does I/O, starts a thread or reads a clock. Time and randomness are
//! arguments, so that tests can simulate every load pattern. Each module makes one decision
//! and names the load patterns that it handles. The alternatives are discussed in
//! `docs/design/load.md` and `docs/design/refusals.md`; `docs/measures/load.md` has the
//! figures.
//!
//! Two forwarders use this package. The modules of [`gate`] serve the forwarder of fabrics
//! that return nothing; [`Gate`] combines them for its packet path. [`backlog`], [`choice`],
//! [`estimate`], [`fairness`], [`limit`], [`outcome`], [`outlier`], [`priority`],
//! [`reserve`], [`shedding`], [`subset`], [`vacancy`] and [`warmup`] serve the forwarder of
//! fabrics that return marks, which calls each where it decides. [`callers`],
//! [`lines`] and [`random`] serve both.

pub mod backlog;
pub mod callers;
pub mod choice;
pub mod estimate;
pub mod fairness;
pub mod gate;
pub mod limit;
pub mod lines;
pub mod outcome;
pub mod outlier;
pub mod priority;
pub mod random;
pub mod reserve;
pub mod shedding;
pub mod subset;
pub mod vacancy;
pub mod warmup;

pub use crate::gate::{
    Closing, Counts, Gate, LoadReport, Opening, ServiceSpec, Settings, Signal, TargetSpec, Verdict,
};
