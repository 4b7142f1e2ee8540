//! A place for log lines that nobody empties.

use medlarspur_daemon::sink::LogSink;
use std::{
    io::{self, Write},
    thread,
};

/// A pipe that is full for ever.
struct Full;

impl Write for Full {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        loop {
            thread::park();
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whoever reads the lines hangs for good. Each thread that logs goes on, and
/// what found no room is counted.
#[test]
fn a_sink_that_nobody_empties_loses_lines_and_holds_nobody_up() {
    let mut sink = LogSink::start(Full).expect("a thread");

    for _ in 0..20_000 {
        sink.write_all(b"a line\n").expect("it never fails");
    }

    assert!(sink.lost() > 10_000, "{}", sink.lost());
}
