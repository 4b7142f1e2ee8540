//! Detection of pauses in which the process did not run.

use medlarspur_lib::time::Millis;

/// Maximum time for which the main thread waits for input, so that it notices its pauses.
pub const MAX_WAIT: Millis = Millis(250);
/// Minimum duration of a pause. Routers check readiness twice a second and remove an instance
/// after two failed checks. After a shorter pause all packets of its flows are in its socket.
pub const MIN_PAUSE: Millis = Millis(500);

/// Detects pauses from the times at which the main thread ran.
#[derive(Debug, Clone, Copy)]
pub struct PauseDetector {
    /// Time at which the thread last ran.
    ran_at: Millis,
}

impl PauseDetector {
    /// Creates a detector for a thread that runs at `now`.
    pub fn new(now: Millis) -> PauseDetector {
        PauseDetector { ran_at: now }
    }

    /// Records that the thread runs, which it does before and after each wait. Returns the time
    /// since it last ran if that was a pause.
    pub fn record_run(&mut self, now: Millis) -> Option<Millis> {
        let elapsed = now.since(self.ran_at);
        self.ran_at = now;
        (elapsed >= MIN_PAUSE).then_some(elapsed)
    }
}
