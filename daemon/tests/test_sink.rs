//! Tests of the log sink when its output blocks.

use medlarspur_daemon::sink::LogSink;
use std::{
    io::{self, Write},
    thread,
};

/// A pipe that stays full.
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

/// Guards against blocking the threads that log when the output isn't read. Lines that find
/// the queue full are counted as lost.
#[test]
fn a_sink_whose_output_blocks_loses_lines_without_blocking_threads() {
    let mut sink = LogSink::start(Full).expect("the log thread starts");

    for _ in 0..20_000 {
        sink.write_all(b"a line\n").expect("writing never fails");
    }

    assert!(sink.lost() > 10_000, "{}", sink.lost());
}
