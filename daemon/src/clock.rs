//! The one place where the daemon reads a clock.

use medlarspur_lib::time::Millis;
use std::time::Instant;

/// What the clock shows at the start of the process. What peers tell of the
/// time before, such as when a bucket moved, needs room below the start.
const START: Millis = Millis::secs(7 * 24 * 3_600);

/// A monotonic clock that starts with the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a week after zero.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// The time now.
    pub fn now(&self) -> Millis {
        START + self.uptime()
    }

    /// The time since the start.
    pub fn uptime(&self) -> Millis {
        self.0.elapsed().into()
    }
}
