//! One runner, so that the tests link once.

mod test_faults;
mod test_host;
mod test_path;
mod test_platform;
mod test_process;
mod test_spread;
