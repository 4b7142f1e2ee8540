//! Child processes and signals to them.

use medlarspur_testutils::process::{SignalError, signal};
use nix::sys::signal::Signal;
use std::{
    os::unix::process::ExitStatusExt,
    process::{Child, Command},
};

fn child(seconds: &str) -> Child {
    #[allow(clippy::disallowed_methods, reason = "the test needs a process")]
    let mut command = Command::new("sleep");
    command.arg(seconds).spawn().expect("it starts")
}

#[test]
fn running_child_gets_the_signal() {
    let mut child = child("60");

    signal(&mut child, Signal::SIGTERM).expect("it runs");

    let status = child.wait().expect("it is our child");
    assert_eq!(status.signal(), Some(Signal::SIGTERM as i32));
}

/// A process has ended and was waited for, so its number may be another process's by now.
/// A signal to that number would hit whoever has it: a test runner that is gone with no
/// test failed.
#[test]
fn ended_child_gets_no_signal() {
    let mut child = child("0");
    child.wait().expect("it ends");

    let result = signal(&mut child, Signal::SIGKILL);

    assert!(matches!(result, Err(SignalError::Ended { .. })), "{result:?}");
}
