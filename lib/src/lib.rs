//! The pure part of medlarspur: values, the bundle, the tables and the
//! protocols between instances, all without I/O, threads or a clock.
//!
//! Time enters as [`time::Millis`], messages enter as values, and every state
//! machine answers with values that say what to do. The crates around this one
//! do the I/O. See `docs/architecture.md` for the life of a packet.

#[macro_use]
mod derives;

pub mod bundle;
pub mod collections;
pub mod control;
pub mod document;
pub mod flows;
pub mod forwarder;
pub mod groups;
pub mod ids;
pub mod keepers;
pub mod members;
pub mod message;
pub mod packet;
pub mod plan;
pub mod planner;
pub mod question;
pub mod settings;
pub mod spread;
pub mod status;
pub mod table;
pub mod time;
pub mod view;
