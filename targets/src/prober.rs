//! Threads that probe targets.

use crate::{
    Answer, HealthVerdict, Job, LoadReport, Next, Outcome, Probe, Schedule, VerdictChange,
};
use medlarspur_lib::{ids::TargetName, time::Millis};
use snafu::{ResultExt, Snafu};
use std::{
    io,
    net::SocketAddrV4,
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering::Relaxed},
        mpsc::{SyncSender, TrySendError},
    },
    thread,
    time::{Duration, Instant},
};

/// Number of probes in flight. Each may last until its timeout, so a fixed number limits the memory
/// and sockets that dead targets take up. Further probes wait, and their verdicts become older.
const WORKERS: usize = 8;

/// State of a target after a probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The target.
    pub target: TargetName,
    /// Verdict from the last few answers.
    pub verdict: HealthVerdict,
    /// Load that the target reported, if any.
    pub report: Option<LoadReport>,
    /// Response time of the health endpoint.
    pub elapsed: Duration,
}

/// Counts since the prober was started.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Probes answered with healthy.
    pub healthy: u64,
    /// Probes answered with anything else.
    pub unhealthy: u64,
    /// Probes without an answer.
    pub unreachable: u64,
    /// Probes whose connection was refused.
    pub refused: u64,
    /// Healthy probes without a usable load report.
    pub no_report: u64,
    /// Events dropped because the channel was full. The next probe of the target sends a newer one.
    pub full: u64,
}

/// Reason why a prober can't be started.
#[derive(Debug, Snafu)]
pub enum ProberError {
    /// A thread can't be created.
    #[snafu(display("cannot start a thread that probes targets"))]
    Spawn {
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Probes a set of targets. When it is dropped, its threads end after their current probe.
#[derive(Debug)]
pub struct Prober {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    start: Instant,
    counters: Counters,
}

#[derive(Debug)]
struct State {
    schedule: Schedule,
    stopped: bool,
}

#[derive(Debug, Default)]
struct Counters {
    outcomes: [AtomicU64; 4],
    no_report: AtomicU64,
    full: AtomicU64,
}

impl Prober {
    /// Starts the threads, without any targets. Each target is probed once per interval, usually
    /// [`INTERVAL`](crate::INTERVAL).
    pub fn start<P: Probe>(
        probe: P,
        interval: Millis,
        events: SyncSender<Event>,
    ) -> Result<Self, ProberError> {
        let shared = Arc::new(Shared {
            state: Mutex::new(State { schedule: Schedule::new(interval), stopped: false }),
            changed: Condvar::new(),
            start: Instant::now(),
            counters: Counters::default(),
        });
        let prober = Self { shared: shared.clone() };
        let probe = Arc::new(probe);
        for ix in 0..WORKERS {
            let worker =
                Worker { shared: shared.clone(), probe: probe.clone(), events: events.clone() };
            let builder = thread::Builder::new().name(format!("probe-{ix}"));
            builder.spawn(move || worker.run()).context(SpawnSnafu)?;
        }
        Ok(prober)
    }

    /// Replaces the set of targets. Targets that remain keep their verdict.
    pub fn set_targets(&self, targets: Vec<(TargetName, SocketAddrV4)>) {
        let jobs = targets.into_iter().map(|(target, address)| Job { target, address });
        let now = self.shared.now();
        self.shared.lock().schedule.set_targets(jobs, now);
        self.shared.changed.notify_all();
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> Counts {
        let counters = &self.shared.counters;
        let [healthy, unhealthy, unreachable, refused] =
            counters.outcomes.each_ref().map(|it| it.load(Relaxed));
        let (no_report, full) = (counters.no_report.load(Relaxed), counters.full.load(Relaxed));
        Counts { healthy, unhealthy, unreachable, refused, no_report, full }
    }
}

impl Drop for Prober {
    fn drop(&mut self) {
        self.shared.lock().stopped = true;
        self.shared.changed.notify_all();
    }
}

impl Shared {
    fn now(&self) -> Millis {
        self.start.elapsed().into()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the next probe that is due. Returns `None` once the prober is stopped.
    fn next_job(&self) -> Option<Job> {
        let mut state = self.lock();
        while !state.stopped {
            let timeout = match state.schedule.take_next(self.now()) {
                Next::Probe(job) => return Some(job),
                Next::Wait(timeout) => Duration::from_millis(timeout.0),
            };
            let waited = self.changed.wait_timeout(state, timeout);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        None
    }

    fn count(&self, answer: &Answer) {
        let ix = match answer.outcome {
            Outcome::Healthy => 0,
            Outcome::Unhealthy => 1,
            Outcome::Unreachable => 2,
            Outcome::Refused => 3,
        };
        self.counters.outcomes[ix].fetch_add(1, Relaxed);
        if answer.outcome == Outcome::Healthy && answer.report.is_none() {
            self.counters.no_report.fetch_add(1, Relaxed);
        }
    }
}

/// One of the threads, which makes one probe after the other.
struct Worker<P> {
    shared: Arc<Shared>,
    probe: Arc<P>,
    events: SyncSender<Event>,
}

impl<P: Probe> Worker<P> {
    fn run(self) {
        while let Some(job) = self.shared.next_job() {
            let answer = self.probe.probe(job.address);
            self.shared.count(&answer);
            let change = self.shared.lock().schedule.record_outcome(&job, answer.outcome);
            let Some(change) = change else { continue };
            log_verdict_change(&job.target, change);
            if let Some(verdict) = change.verdict
                && !self.send_event(job.target, verdict, answer)
            {
                return;
            }
        }
    }

    /// Sends an event without blocking. Returns whether the channel is still open.
    fn send_event(&self, target: TargetName, verdict: HealthVerdict, answer: Answer) -> bool {
        let event = Event { target, verdict, report: answer.report, elapsed: answer.elapsed };
        match self.events.try_send(event) {
            Ok(()) => true,
            Err(TrySendError::Full(_)) => {
                self.shared.counters.full.fetch_add(1, Relaxed);
                true
            }
            Err(TrySendError::Disconnected(_)) => false,
        }
    }
}

/// Logs the verdict if it has changed.
fn log_verdict_change(target: &TargetName, change: VerdictChange) {
    let (before, verdict) = (change.before, change.verdict);
    match verdict {
        Some(verdict) if before != Some(verdict) => log::info!("target {target}: {verdict:?}"),
        _ => {}
    }
}
