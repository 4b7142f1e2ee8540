//! A place for log lines that never makes the writer wait.
//!
//! If whoever reads standard output stops reading, a write blocks as soon as the
//! pipe is full. On the packet thread that would stop all flows, and it would
//! show only as a silent instance. So lines go into a bounded ring, and a thread
//! of their own writes them; what finds the ring full is lost and counted.

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

/// How many lines may wait: the most that all budgets let through in a second,
/// twice over.
const CAPACITY: usize = 4_096;
/// How long the thread waits after it has written. Lines come in groups, and
/// each wake-up and write costs processor time.
const BATCH_DELAY: Duration = Duration::from_millis(200);
/// How long the end of the process waits for the last lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// The thread needs little more than a buffer on the heap.
const STACK_SIZE: usize = 64 << 10;

/// Takes whole lines.
#[derive(Debug, Clone)]
pub struct LogSink {
    lines: SyncSender<Item>,
    lost: Arc<AtomicU64>,
}

#[derive(Debug)]
enum Item {
    Line(Box<[u8]>),
    /// All that came before has been written when this is answered.
    Flush(SyncSender<()>),
}

impl LogSink {
    /// Starts a thread that writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<LogSink> {
        let (lines, waiting) = sync_channel(CAPACITY);
        let lost = Arc::<AtomicU64>::default();
        let sink = LogSink { lines, lost: lost.clone() };
        let run = move || write_all(out, &waiting, &lost);
        thread::Builder::new().name("log".to_owned()).stack_size(STACK_SIZE).spawn(run)?;
        Ok(sink)
    }

    /// How many lines were lost so far because the ring was full.
    pub fn lost(&self) -> u64 {
        self.lost.load(Relaxed)
    }

    /// Waits a moment until what was logged has been written.
    pub fn flush(&self) {
        let (done, wait) = sync_channel(1);
        if self.lines.try_send(Item::Flush(done)).is_ok() {
            // Nobody reads if this times out, and the process ends all the same.
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
        // No more at once than the ring holds: whoever logs may be faster than this
        // loop, and the text would grow without end.
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
        // With standard output gone there is nowhere to say so; the counter of
        // lost lines in the metrics goes on.
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
