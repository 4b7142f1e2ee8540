//! Stand-ins for the systems around an instance (platform, fabric, targets and callers), and
//! fixtures for tests.

pub mod bundles;
pub mod caller;
pub mod client;
pub mod clock;
pub mod content;
pub mod fabric;
pub mod fleet;
pub mod host;
pub mod layout;
mod link;
pub mod list;
pub mod packet;
pub mod platform;
pub mod process;
pub mod profile;
pub mod report;
pub mod server;
mod session;
pub mod site;
pub mod spread;
pub mod target;
pub mod task;
pub mod traffic;
pub mod udp;
pub mod web;
