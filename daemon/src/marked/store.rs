//! The thread that follows the store while this instance is a reader.

use super::{
    current::LiveSettings,
    inbox::{Delivery, Event, Sender},
};
use medlarspur_marked::Revision;
use medlarspur_platform::site::{
    follower::{Follower, Step},
    store::{Http, StoreError},
};
use snafu::Report;
use std::{
    io,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    thread::{self, Thread},
};

/// Maximum number of faults logged for one answer. Another writer may fill the store with
/// invalid entries, and each full read would log them all again.
const MAX_LISTED_FAULTS: usize = 20;

/// Counters of calls to the store.
#[derive(Debug, Default)]
pub struct CallCounts {
    /// Calls that were answered.
    pub answered: AtomicU64,
    /// Calls that failed or had no usable answer.
    pub failed: AtomicU64,
    /// Entries, or parts of the config, that were rejected.
    pub omitted: AtomicU64,
    /// Fields of the config that were replaced by a default.
    pub assumed: AtomicU64,
}

/// Handle of the thread, by which reading is paused and continued.
#[derive(Debug)]
pub struct StoreReader {
    calls: Arc<CallCounts>,
    mode: Arc<Mutex<Mode>>,
    thread: Thread,
}

/// The thread's mode.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// Read on from the last revision read.
    Read,
    /// Read on from this revision, or from the last one read if that is later.
    ReadFrom(Revision),
    Pause,
}

impl StoreReader {
    /// Starts a thread that follows the store named by the settings. If `paused`, it reads
    /// nothing until [`StoreReader::unpause`].
    pub fn start(
        settings: Arc<LiveSettings>,
        sender: Sender,
        paused: bool,
    ) -> io::Result<StoreReader> {
        let first = if paused { Mode::Pause } else { Mode::Read };
        let mode = Arc::new(Mutex::new(first));
        let thread_mode = mode.clone();
        let calls = Arc::<CallCounts>::default();
        let count = calls.clone();
        let run = move || run(&settings, &sender, &thread_mode, &count);
        let thread = thread::Builder::new().name("store".to_owned()).spawn(run)?;
        Ok(StoreReader { calls, mode, thread: thread.thread().clone() })
    }

    /// The counters of calls.
    pub fn calls(&self) -> Arc<CallCounts> {
        self.calls.clone()
    }

    /// Continues reading from `known` on, if reading is paused.
    pub fn unpause(&self, known: Revision) {
        let mut mode = lock(&self.mode);
        if *mode == Mode::Pause {
            *mode = Mode::ReadFrom(known);
            self.thread.unpark();
        }
    }

    /// Reads on from `known`, whose era is later than that of the last read. If the store is in
    /// an earlier era, its answer says so.
    pub fn read_from(&self, known: Revision) {
        let mut mode = lock(&self.mode);
        if *mode != Mode::Pause {
            *mode = Mode::ReadFrom(known);
        }
    }

    /// Pauses reading after the call in progress.
    pub fn pause(&self) {
        *lock(&self.mode) = Mode::Pause;
    }

    /// Ends the pause between two calls early.
    pub fn wake(&self) {
        self.thread.unpark();
    }
}

fn lock(mode: &Mutex<Mode>) -> MutexGuard<'_, Mode> {
    mode.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the current mode. A revision to read on from is returned once. It is replaced
/// under the same lock, so that a pause requested meanwhile isn't overwritten.
fn next_mode(mode: &Mutex<Mode>) -> Mode {
    let mut mode = lock(mode);
    match *mode {
        Mode::ReadFrom(_) => std::mem::replace(&mut *mode, Mode::Read),
        mode => mode,
    }
}

fn run(settings: &LiveSettings, sender: &Sender, mode: &Mutex<Mode>, calls: &CallCounts) {
    let mut address = settings.store_address();
    let mut follower = Follower::new(Http::new(address));
    let mut reachable = None;
    loop {
        match next_mode(mode) {
            Mode::Read => {}
            Mode::ReadFrom(known) => follower.resume(known),
            Mode::Pause => {
                thread::park();
                continue;
            }
        }
        if settings.store_address() != address {
            address = settings.store_address();
            follower = Follower::new(Http::new(address));
        }
        let step = follower.step(rand::random());
        let counter = if step.error.is_none() { &calls.answered } else { &calls.failed };
        counter.fetch_add(1, Relaxed);
        let assumed = step.faults.iter().filter(|it| it.is_defaulted()).count();
        calls.assumed.fetch_add(assumed as u64, Relaxed);
        calls.omitted.fetch_add((step.faults.len() - assumed) as u64, Relaxed);
        if log_step(&step, &mut reachable) {
            settings.reload();
        }
        let event = match step.update {
            Some(update) => Event::StoreRead { update, fell_back: step.fell_back },
            None => Event::StoreFailed,
        };
        match sender.send(event) {
            Delivery::Queued => {}
            Delivery::Full => {
                log::warn!("store: update dropped and read again, the inbox is full");
                follower.start_over();
            }
            Delivery::Closed => return,
        }
        if !step.pause.is_zero() {
            thread::park_timeout(step.pause);
        }
    }
}

/// Logs faults, and changes of the store's reachability. Returns whether the store has
/// just become unreachable.
fn log_step(step: &Step, reachable: &mut Option<bool>) -> bool {
    for fault in step.faults.iter().take(MAX_LISTED_FAULTS) {
        let outcome = if fault.is_defaulted() { "taken with a default" } else { "not taken" };
        log::warn!("store: {outcome}: {}", Report::from_error(fault));
    }
    let others = step.faults.len().saturating_sub(MAX_LISTED_FAULTS);
    if others > 0 {
        log::warn!("store: {others} more faults, not listed");
    }
    let is_reachable =
        matches!(step.error, None | Some(StoreError::Compacted | StoreError::Restored));
    if *reachable == Some(is_reachable) {
        return false;
    }
    *reachable = Some(is_reachable);
    match &step.error {
        Some(error) if !is_reachable => log::warn!("store: lost: {}", Report::from_error(error)),
        _ => log::info!("store: reached"),
    }
    !is_reachable
}
