//! The number of targets that feeds leave to requests.
//!
//! Handles a burst that exceeds the targets' capacity while feeds are open everywhere. A
//! feed stays at its target and sends requests whatever the instances decide. During the
//! excess the queues of all targets fill with work of feeds, and each request, which opens
//! its own flow and can't be repeated, waits behind it. Requests are then late first,
//! although operators give them priority.
//!
//! Some targets are therefore reserved in advance: new feeds go there only when the other
//! targets have more work. The fraction of reserved targets in each failure domain follows
//! the requests' share of the work. All instances order the targets alike, so they reserve
//! the same ones without communication.

use medlarspur_lib::{bundle::Class, time::Millis};

/// Ratio of the fraction of reserved targets to the requests' share of the work. It leaves
/// capacity for bursts of requests, but each reserved target is lost to feeds.
const HEADROOM: f32 = 1.2;
/// Weight of a new answer. The share covers about the last thousand answers, so that a
/// burst of seconds does not move feeds.
const MIN_WEIGHT: f32 = 0.001;
/// Share of requests that is assumed before any answer, and its weight in answers. Most
/// feeds open in the first seconds of an instance and stay, so a share that is learnt after
/// a hundred answers comes too late for them.
const ASSUMED_SHARE: f32 = 0.27;
const ASSUMED_COUNT: u32 = 50;
/// Work per answer in the initial assumption, in milliseconds.
const ASSUMED_WORK: f32 = 60.0;

/// The requests' share of the work of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestShare {
    /// Mean work of an answer, and the part of it that belongs to requests, in
    /// milliseconds.
    total: f32,
    requests: f32,
    count: u32,
}

impl Default for RequestShare {
    fn default() -> RequestShare {
        RequestShare {
            total: ASSUMED_WORK,
            requests: ASSUMED_SHARE * ASSUMED_WORK,
            count: ASSUMED_COUNT,
        }
    }
}

impl RequestShare {
    /// Records how long an answer to a class took.
    pub fn record(&mut self, class: Class, span: Millis) {
        let span = span.0 as f32;
        let request = if class == Class::Request { span } else { 0.0 };
        self.count = self.count.saturating_add(1);
        let weight = MIN_WEIGHT.max(1.0 / self.count as f32);
        self.requests += (request - self.requests) * weight;
        self.total += (span - self.total) * weight;
    }

    /// Returns how many of a failure domain's `targets` are reserved for requests.
    pub fn reserved_targets(&self, targets: usize) -> usize {
        let share = (self.requests / self.total.max(f32::EPSILON) * HEADROOM).min(1.0);
        (share * targets as f32).round() as usize
    }
}
