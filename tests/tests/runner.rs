//! One runner, so that the integration tests link once.

mod test_changes;
mod test_moves;
mod test_processes;
mod test_refusals;
mod test_services;
mod test_udp;
