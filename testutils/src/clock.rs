//! The real clock of the stand-ins that run over sockets.

use medlarspur_lib::time::Millis;
use std::time::Instant;

/// Counts milliseconds since its start.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts at zero.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// The time since the start.
    pub fn now(&self) -> Millis {
        self.0.elapsed().into()
    }
}
