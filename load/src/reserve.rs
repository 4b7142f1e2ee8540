//! The number of targets that flows of the lowest level leave to higher levels.
//!
//! Handles a burst that exceeds the targets' capacity while feeds are open everywhere. A
//! feed stays at its target and sends requests whatever the instances decide. During the
//! excess the queues of all targets fill with work of feeds of the lowest level, and each
//! flow of a higher level waits behind it. Such flows are then late first, although
//! operators rank them higher.
//!
//! Some targets are therefore reserved in advance: new flows of the lowest level go there
//! only when the other targets have more work. The fraction of reserved targets in each
//! failure domain follows the higher levels' share of the work. All instances order the
//! targets alike, so they reserve the same ones without communication. A service with one
//! level needs no reserve; there, reserved targets would only stay idle.

use crate::priority::Level;
use medlarspur_lib::time::Millis;

/// Ratio of the fraction of reserved targets to the higher levels' share of the work. It
/// leaves capacity for their bursts, but each reserved target is lost to the lowest level.
const HEADROOM: f32 = 1.2;
/// Weight of a new answer. The share covers about the last thousand answers, so that a
/// burst of seconds does not move feeds.
const MIN_WEIGHT: f32 = 0.001;
/// Share that is assumed before any answer, and its weight in answers. Most
/// feeds open in the first seconds of an instance and stay, so a share that is learnt after
/// a hundred answers comes too late for them.
const ASSUMED_SHARE: f32 = 0.27;
const ASSUMED_COUNT: u32 = 50;
/// Work per answer in the initial assumption, in milliseconds.
const ASSUMED_WORK: f32 = 60.0;

/// The share of the levels above the lowest in the work of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ElevatedShare {
    /// Mean work of an answer, and the part of it that belongs to levels above the lowest,
    /// in milliseconds.
    total: f32,
    elevated: f32,
    count: u32,
}

impl Default for ElevatedShare {
    fn default() -> ElevatedShare {
        ElevatedShare {
            total: ASSUMED_WORK,
            elevated: ASSUMED_SHARE * ASSUMED_WORK,
            count: ASSUMED_COUNT,
        }
    }
}

impl ElevatedShare {
    /// Records how long an answer to a flow of a level took.
    pub fn record(&mut self, level: Level, span: Millis) {
        let span = span.0 as f32;
        let elevated = if level.is_elevated() { span } else { 0.0 };
        self.count = self.count.saturating_add(1);
        let weight = MIN_WEIGHT.max(1.0 / self.count as f32);
        self.elevated += (elevated - self.elevated) * weight;
        self.total += (span - self.total) * weight;
    }

    /// Returns how many of a failure domain's `targets` are reserved for higher levels.
    pub fn reserved_targets(&self, targets: usize) -> usize {
        let share = (self.elevated / self.total.max(f32::EPSILON) * HEADROOM).min(1.0);
        (share * targets as f32).round() as usize
    }
}
