//! Refuses openings immediately and tells callers when to retry.
//!
//! Handles lasting saturation. Callers without a retry time return at once and together,
//! and their number grows each time: openings arrive in waves with a fixed period. The retry
//! time is spread over half to one and a half of its mean, so that callers do not return
//! together. The mean grows with the expected duration of the overload. The best estimate
//! of the remaining duration is the duration so far (an overload of a minute rarely ends in
//! the next second), multiplied by the ratio of arriving to admitted work.

use crate::random::Random;
use medlarspur_lib::time::Millis;

/// Minimum mean retry time. A TCP stack repeats an unanswered opening after a second
/// anyway, so a shorter time would not reduce the load.
pub const MIN_WAIT: Millis = Millis::secs(1);
/// Maximum mean retry time. With a longer one, a recovered site would be idle while callers
/// stay away.
pub const MAX_WAIT: Millis = Millis::secs(30);
/// Time without a refusal after which an overload is over.
pub const RECOVERY_TIME: Millis = Millis::secs(2);
/// Half-life of the rates of admitted and refused openings, in milliseconds.
const HALF_LIFE: f64 = 2_000.0;

/// The overload of one class of a service, as this instance sees it.
#[derive(Debug, Clone, Default)]
pub struct Overload {
    /// Start of the overload.
    since: Millis,
    /// Last refusal for lack of capacity.
    last: Option<Millis>,
    /// Time up to which the rates have decayed.
    at: Millis,
    admitted: f64,
    refused: f64,
}

impl Overload {
    /// Counts an admitted opening.
    pub fn record_admission(&mut self, now: Millis) {
        self.decay(now);
        self.admitted += 1.0;
    }

    /// Counts a refused opening and returns when the caller should retry.
    ///
    /// `out_of_capacity` says that there was no capacity for any caller. Refusing only
    /// heavy or early callers must not by itself prolong the overload for which they are
    /// refused.
    pub fn record_refusal(
        &mut self,
        now: Millis,
        out_of_capacity: bool,
        random: &mut Random,
    ) -> Millis {
        self.decay(now);
        self.refused += 1.0;
        if !self.is_active(now) {
            self.since = now;
        }
        if out_of_capacity {
            self.last = Some(now);
        }
        let excess = (self.refused / self.admitted.max(1.0)).min(10.0);
        let duration = now.since(self.since).0 as f64;
        let mean = MIN_WAIT.0 as f64 + duration * 0.5 * excess.min(2.0);
        let mean = mean.min(MAX_WAIT.0 as f64);
        Millis((mean * (0.5 + random.fraction())) as u64)
    }

    /// Returns whether the class is overloaded now.
    pub fn is_active(&self, now: Millis) -> bool {
        self.last.is_some_and(|last| now.since(last) < RECOVERY_TIME)
    }

    fn decay(&mut self, now: Millis) {
        let span = now.since(self.at).0;
        if span == 0 {
            return;
        }
        let keep = (-(span as f64) / HALF_LIFE).exp2();
        self.at = now;
        self.admitted *= keep;
        self.refused *= keep;
    }
}
