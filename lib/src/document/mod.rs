//! Checked reading of YAML documents, for the bundle and the settings.
//!
//! A document is first read into plain values and then walked field by field.
//! The walk goes on after a fault, so that an author sees all of them in one
//! [`Report`] and does not mend a file one run at a time.

mod fault;
mod locate;
mod path;
mod reader;

pub use self::{
    fault::{Fault, Problem, Report},
    path::{Path, Step},
    reader::{Fields, Lines, Node, Sink, read},
};
