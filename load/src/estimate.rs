//! Estimates the usual duration of an operation and an upper bound for it.
//!
//! Keeps a smoothed mean and deviation, as transport protocols do for round-trip times.
//! Sites differ: callers are 3 or 30 ms away, work takes 5 or 300 ms, and everything takes
//! longer while queues are full. With a limit tuned for one site, healthy targets would
//! look dead at the others, or dead ones healthy for too long.

use medlarspur_lib::time::Millis;

/// Weights of a new time in the mean and in the deviation, from RFC 6298.
const MEAN_WEIGHT: f32 = 0.125;
const DEVIATION_WEIGHT: f32 = 0.25;
/// Number of deviations above the mean that are still usual, from RFC 6298.
const DEVIATIONS: f32 = 4.0;
/// Minimum number of times before the estimate is used. By then the first one has lost two
/// thirds of its weight.
const MIN_SAMPLES: u32 = 8;

/// A smoothed mean and deviation of times.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Estimate {
    mean: f32,
    deviation: f32,
    count: u32,
}

impl Estimate {
    /// Adds one time.
    pub fn record(&mut self, span: Millis) {
        let span = span.0 as f32;
        if self.count == 0 {
            self.mean = span;
            self.deviation = span / 2.0;
        } else {
            let error = span - self.mean;
            self.deviation += (error.abs() - self.deviation) * DEVIATION_WEIGHT;
            self.mean += error * MEAN_WEIGHT;
        }
        self.count = self.count.saturating_add(1);
    }

    /// Returns the longest time that is still usual, or `None` with too few
    /// times.
    pub fn upper_bound(&self) -> Option<Millis> {
        let bound = self.mean + self.deviation * DEVIATIONS;
        (self.count >= MIN_SAMPLES).then_some(Millis(bound as u64))
    }
}
