//! A log writer that never blocks the logging thread.
//!
//! If the reader of standard output stops reading, a write blocks as soon as the pipe
//! is full. On the packet thread that would stop all flows without any log line about
//! it. So lines are queued in a bounded channel and written by a separate thread. Lines
//! that find the queue full are dropped and counted.

use std::{
    io::{self, Write},
    iter,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering::Relaxed},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::Duration,
};

/// Maximum number of queued lines: twice what all rate limits of log lines admit in a
/// second.
const CAPACITY: usize = 4_096;
/// Delay after a write. Lines arrive in groups, and each wake-up and write costs
/// processor time.
const BATCH_DELAY: Duration = Duration::from_millis(200);
/// Maximum time to wait for the last lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// Stack size of the thread, in bytes. Its buffer is on the heap.
const STACK_SIZE: usize = 64 << 10;

/// Writer that queues log lines. Each write must be a whole line.
#[derive(Debug, Clone)]
pub struct LogSink {
    lines: SyncSender<Item>,
    lost: Arc<AtomicU64>,
}

#[derive(Debug)]
enum Item {
    Line(Box<[u8]>),
    /// Answered when all earlier lines have been written.
    Flush(SyncSender<()>),
}

impl LogSink {
    /// Starts a thread that writes the lines to `out`.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<LogSink> {
        let (lines, waiting) = sync_channel(CAPACITY);
        let lost = Arc::<AtomicU64>::default();
        let sink = LogSink { lines, lost: lost.clone() };
        let run = move || write_all(out, &waiting, &lost);
        thread::Builder::new().name("log".to_owned()).stack_size(STACK_SIZE).spawn(run)?;
        Ok(sink)
    }

    /// Number of lines lost so far because the queue was full or `out` failed.
    pub fn lost(&self) -> u64 {
        self.lost.load(Relaxed)
    }

    /// Waits until the queued lines have been written, for `FLUSH_TIMEOUT` at most.
    pub fn flush(&self) {
        let (done, wait) = sync_channel(1);
        if self.lines.try_send(Item::Flush(done)).is_ok() {
            // A timeout means that the output isn't read; the process ends regardless.
            let _ = wait.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

impl Write for LogSink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(Item::Line(line.into())) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.lost.fetch_add(1, Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(mut out: impl Write, waiting: &Receiver<Item>, lost: &AtomicU64) {
    let mut reported = 0;
    let mut text = Vec::new();
    while let Ok(first) = waiting.recv() {
        let mut flushes = Vec::new();
        // Takes no more at once than the queue holds. Threads may log faster than this
        // loop runs, and the text would grow without bound.
        for item in iter::once(first).chain(waiting.try_iter().take(CAPACITY)) {
            match item {
                Item::Line(line) => text.extend_from_slice(&line),
                Item::Flush(done) => flushes.push(done),
            }
        }
        let now_lost = lost.load(Relaxed);
        if now_lost > reported {
            text.extend(format!("log lines lost={}\n", now_lost - reported).into_bytes());
            reported = now_lost;
        }
        // A failed write can't be logged; the metric of lost lines shows it.
        if out.write_all(&text).and_then(|()| out.flush()).is_err() {
            lost.fetch_add(1, Relaxed);
        }
        text.clear();
        if flushes.is_empty() {
            thread::sleep(BATCH_DELAY);
        }
        for done in flushes {
            let _ = done.try_send(());
        }
    }
}
