//! All tests in one binary, so that they are linked only once.

mod test_faults;
mod test_host;
mod test_path;
mod test_platform;
mod test_process;
mod test_spread;
