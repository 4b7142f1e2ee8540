//! The control connections, alone and with real TCP and TLS.

mod fixtures;
mod test_connections;
mod test_fleet;
mod test_wire;
