//! The clock of the stand-ins that use sockets.

use medlarspur_lib::time::Millis;
use std::time::Instant;

/// A clock that counts milliseconds since its start.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Time since the start.
    pub fn now(&self) -> Millis {
        self.0.elapsed().into()
    }
}
