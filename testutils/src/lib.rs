//! Stand-ins for the systems around an instance, and fixtures for tests.

pub mod client;
pub mod host;
pub mod packet;
pub mod server;
