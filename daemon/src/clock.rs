//! The process's monotonic clock.

use medlarspur_lib::time::Millis;
use std::time::Instant;

/// Time on the clock at the start of the process, one week after zero. Peers report
/// events from before the start, such as a bucket's move, whose times must not be negative.
const START: Millis = Millis::secs(7 * 24 * 3_600);

/// A monotonic clock that starts with the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts the clock at one week.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// The current time.
    pub fn now(&self) -> Millis {
        START + self.uptime()
    }

    /// Time since the start of the process.
    pub fn uptime(&self) -> Millis {
        self.0.elapsed().into()
    }
}
