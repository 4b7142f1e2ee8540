//! The process's clock.

use medlarspur_fabric::boot_time;
use medlarspur_lib::time::Millis;
use std::time::Duration;

/// Time on the clock at the start of the process, one week after zero. Peers report
/// events from before the start, such as a bucket's move, whose times must not be negative.
const START: Millis = Millis::secs(7 * 24 * 3_600);

/// A clock that starts with the process, is never stepped and also runs while the machine is
/// suspended. What was believed before a suspension is old after it.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Time since the start of the machine when the process started.
    started: Duration,
}

impl Clock {
    /// Starts the clock at one week.
    pub fn start() -> Clock {
        Clock { started: boot_time() }
    }

    /// The current time.
    pub fn now(&self) -> Millis {
        START + self.uptime()
    }

    /// Time since the start of the process.
    pub fn uptime(&self) -> Millis {
        boot_time().saturating_sub(self.started).into()
    }
}
