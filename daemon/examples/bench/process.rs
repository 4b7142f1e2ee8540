//! Memory and processor time of this process and its threads, from procfs.

use std::{fs, path::Path};

const PAGE: u64 = 4096;

/// Returns the resident memory of the process, in bytes.
pub fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").expect("procfs is mounted");
    let pages = text.split(' ').nth(1).and_then(|it| it.parse::<u64>().ok());
    pages.expect("statm has the resident pages second") * PAGE
}

/// Returns the processor time of the threads with this name, in nanoseconds.
pub fn thread_nanos(name: &str) -> u64 {
    let tasks = fs::read_dir("/proc/self/task").expect("procfs is mounted");
    let paths = tasks.filter_map(|it| Some(it.ok()?.path()));
    let named =
        paths.filter(|it| fs::read_to_string(it.join("comm")).is_ok_and(|c| c.trim() == name));
    named.filter_map(|it| run_time(&it)).sum()
}

/// Returns a thread's time on the processor: the first field of `schedstat`.
fn run_time(task: &Path) -> Option<u64> {
    fs::read_to_string(task.join("schedstat")).ok()?.split(' ').next()?.parse().ok()
}
