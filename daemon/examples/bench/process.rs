//! What the kernel says of this process and thread.

use std::fs;

const PAGE: u64 = 4096;

/// The resident memory of the process, in bytes.
pub fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").expect("procfs is mounted");
    let pages = text.split(' ').nth(1).and_then(|it| it.parse::<u64>().ok());
    pages.expect("statm has the resident pages second") * PAGE
}

/// The processor time of the calling thread, in nanoseconds.
pub fn thread_nanos() -> u64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").expect("procfs is mounted");
    let nanos = text.split(' ').next().and_then(|it| it.parse().ok());
    nanos.expect("schedstat has the run time first")
}
