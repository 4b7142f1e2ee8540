//! Tests of the control connections, with real TCP and TLS where needed.

mod fixtures;
mod test_connections;
mod test_fleet;
mod test_wire;
