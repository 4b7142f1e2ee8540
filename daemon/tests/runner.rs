//! Tests of the daemon as a process, beside stand-ins for its peers.

mod test_check;
mod test_checker;
mod test_gate;
mod test_limits;
mod test_logs;
mod test_operators;
