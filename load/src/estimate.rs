//! How long something usually takes, and how long it may take before that says
//! something: a smoothed mean and deviation, as transport protocols keep of their
//! round trips.
//!
//! Answers the pattern that sites differ: callers 3 or 30 ms away, work of 5 or 300 ms,
//! and all of it longer while queues are full. A limit chosen for one of them makes
//! well targets look dead at the others, or dead ones look well for too long.

use medlarspur_lib::time::Millis;

/// The weight of a new time in the mean, and in the deviation, as RFC 6298 gives them.
const MEAN_WEIGHT: f32 = 0.125;
const DEVIATION_WEIGHT: f32 = 0.25;
/// How many deviations above the mean are still usual, from the same source.
const DEVIATIONS: f32 = 4.0;
/// How many times must have been heard before the estimate says anything: with the
/// weight above the first one has lost two thirds of its own by then.
const MIN_SAMPLES: u32 = 8;

/// A smoothed mean and deviation of times.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Estimate {
    mean: f32,
    deviation: f32,
    count: u32,
}

impl Estimate {
    /// Takes in one time.
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

    /// The longest time that is still usual; none before enough was heard.
    pub fn upper_bound(&self) -> Option<Millis> {
        let bound = self.mean + self.deviation * DEVIATIONS;
        (self.count >= MIN_SAMPLES).then_some(Millis(bound as u64))
    }
}
