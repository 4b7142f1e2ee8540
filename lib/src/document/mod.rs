//! Parsing and checking of YAML documents, for the bundle and the settings.
//!
//! A document is first parsed into plain YAML values and then read field by
//! field. Parsing continues after a fault, so that one [`Report`] lists all
//! faults and the author doesn't have to fix them one run at a time.

mod fault;
mod locate;
mod path;
mod reader;

pub use self::{
    fault::{Fault, Problem, Report},
    path::{Path, Step},
    reader::{Fields, Lines, Node, Sink, read},
};
