//! The one place where the daemon reads a clock.

use medlarspur_lib::time::Millis;
use std::time::Instant;

/// A monotonic clock that starts with the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts at zero.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// The time since the start.
    pub fn now(&self) -> Millis {
        self.0.elapsed().into()
    }
}
