//! Which targets feeds leave to requests.
//!
//! Answers the pattern that many more come at once than targets can serve, while feeds are
//! open everywhere. A feed stays at its target and asks whatever the instances decide, so
//! in an excess the queues of all targets are full of what feeds ask, and each request,
//! which opens a flow of its own and can't be repeated, waits behind them. One notices that
//! requests are late first, though operators rank them first.
//!
//! Feeds are therefore kept off some targets beforehand: new ones go there only when the
//! others have more work. All instances keep the same targets without a word, since they
//! rank them alike, and as large a part of each failure domain as requests have of the work.

use medlarspur_lib::{bundle::Class, time::Millis};

/// How much larger the part of the targets is than that of the work: requests come in
/// crowds too, and feeds lose with each target more.
const HEADROOM: f32 = 1.2;
/// The weight of a new answer: the part is that of the last thousand or so answers, so
/// that a crowd of seconds doesn't move feeds about.
const MIN_WEIGHT: f32 = 0.001;
/// What is taken for the part of requests before any answer, and how many answers that
/// counts for. Most feeds open in the first seconds of an instance and stay, so what is
/// learnt after a hundred answers comes too late for them.
const ASSUMED_SHARE: f32 = 0.27;
const ASSUMED_COUNT: u32 = 50;
/// The work that an answer of the assumed ones took, in milliseconds.
const ASSUMED_WORK: f32 = 60.0;

/// Which part of the work of a service is that of requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestShare {
    /// The mean work of an answer, and what of it is that of requests.
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
    /// Takes in that an answer to a class took that long.
    pub fn record(&mut self, class: Class, span: Millis) {
        let span = span.0 as f32;
        let request = if class == Class::Request { span } else { 0.0 };
        self.count = self.count.saturating_add(1);
        let weight = MIN_WEIGHT.max(1.0 / self.count as f32);
        self.requests += (request - self.requests) * weight;
        self.total += (span - self.total) * weight;
    }

    /// How many of a failure domain's targets feeds leave to requests.
    pub fn reserved_targets(&self, targets: usize) -> usize {
        let share = (self.requests / self.total.max(f32::EPSILON) * HEADROOM).min(1.0);
        (share * targets as f32).round() as usize
    }
}
