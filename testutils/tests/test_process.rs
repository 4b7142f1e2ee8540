//! Tests of signals to child processes.

use medlarspur_testutils::process::{SignalError, signal};
use nix::sys::signal::Signal;
use std::{
    os::unix::process::ExitStatusExt,
    process::{Child, Command},
};

fn child(seconds: &str) -> Child {
    #[allow(clippy::disallowed_methods, reason = "the test needs a process")]
    let mut command = Command::new("sleep");
    command.arg(seconds).spawn().expect("the child starts")
}

#[test]
fn running_child_gets_the_signal() {
    let mut child = child("60");

    signal(&mut child, Signal::SIGTERM).expect("the child is running");

    let status = child.wait().expect("the child can be waited for");
    assert_eq!(status.signal(), Some(Signal::SIGTERM as i32));
}

/// Guards against signals to unrelated processes. The id of a child that has ended
/// and was waited for may belong to another process, for example the test runner,
/// which would then end although no test failed.
#[test]
fn ended_child_gets_no_signal() {
    let mut child = child("0");
    child.wait().expect("the child ends");

    let result = signal(&mut child, Signal::SIGKILL);

    assert!(matches!(result, Err(SignalError::Ended { .. })), "{result:?}");
}
