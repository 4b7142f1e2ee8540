//! Detection of pauses in which the process did not run.

use medlarspur_lib::time::Millis;

/// Minimum duration of a pause. Routers check readiness twice a second and remove an instance
/// after two failed checks. After a shorter pause all packets of its flows are in its socket.
pub const MIN_PAUSE: Millis = Millis(500);

/// Detects pauses from the times at which the main thread ran.
#[derive(Debug, Clone, Copy)]
pub struct PauseDetector {
    /// Time at which the thread last ran.
    ran_at: Millis,
    /// Duration of its last wait for input.
    waited: Millis,
}

impl PauseDetector {
    /// Creates a detector for a thread that runs at `now`.
    pub fn new(now: Millis) -> PauseDetector {
        PauseDetector { ran_at: now, waited: Millis(0) }
    }

    /// Records that the thread is about to wait. Returns the time since its last wait if that was
    /// a pause.
    pub fn begin_wait(&mut self, now: Millis) -> Option<Millis> {
        let worked = now.since(self.ran_at);
        self.ran_at = now;
        (worked >= MIN_PAUSE).then_some(worked)
    }

    /// Records that the thread has waited for input, for `limit` at most. Returns the time beyond
    /// the limit if that was a pause.
    pub fn end_wait(&mut self, now: Millis, limit: Option<Millis>) -> Option<Millis> {
        self.waited = now.since(self.ran_at);
        self.ran_at = now;
        let beyond = self.waited.since(limit?);
        (beyond >= MIN_PAUSE).then_some(beyond)
    }

    /// Returns the age of the oldest packet received after a wait if it shows a pause: input ends
    /// a wait at once unless the process is stopped.
    pub fn check_queue(&self, oldest: Millis) -> Option<Millis> {
        (self.waited >= MIN_PAUSE && oldest >= MIN_PAUSE).then_some(oldest)
    }
}
