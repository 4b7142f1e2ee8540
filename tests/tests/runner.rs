//! All integration tests in one binary, so that they are linked only once.

mod test_changes;
mod test_moves;
mod test_processes;
mod test_refusals;
mod test_services;
mod test_udp;
