//! Runs the tests of the package in one binary.

mod test_assignment;
mod test_http;
mod test_prober;
mod test_schedule;
mod test_verdict;
