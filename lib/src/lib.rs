//! The core of medlarspur: values, the bundle, tables, and the protocols
//! between instances. It does no I/O, starts no threads and reads no clock.
//!
//! Time is passed in as [`time::Millis`] and messages as values. Each state
//! machine returns values that say what to do; the other crates do the I/O.
//! `docs/architecture.md` follows a packet through the system.

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
