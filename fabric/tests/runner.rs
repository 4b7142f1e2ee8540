//! Runs the tests of the package in one binary.

mod test_age;
mod test_memory;
mod test_outbox;
mod test_socket;
