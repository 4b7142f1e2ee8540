//! Turning away: at once, and with when to come back.
//!
//! Answers saturation that lasts. Callers that are told nothing come back at
//! once and all together, and the crowd is larger each time; one notices
//! openings that arrive in waves with a fixed period. The wait that they are
//! told is spread over half to one and a half of its mean, so that a crowd
//! does not come back as one, and grows with how long the overload will last.
//! The best guess for that is how long it has lasted (overloads that have
//! gone on for a minute rarely end in the next second), times how much more
//! comes than fits.

use crate::random::Random;
use medlarspur_lib::time::Millis;

/// The shortest mean wait: a TCP stack repeats an unanswered opening after a
/// second anyway, so less would not thin out the crowd.
pub const MIN_WAIT: Millis = Millis::secs(1);
/// The longest mean wait: longer, and a site that is well again would stand
/// idle while callers keep away.
pub const MAX_WAIT: Millis = Millis::secs(30);
/// How long nothing may have been turned away for an overload to be over.
pub const RECOVERY_TIME: Millis = Millis::secs(2);
/// Half-life of the rates of what comes and what gets in.
const HALF_LIFE: f64 = 2_000.0;

/// How overloaded one class of a service is, as this instance sees it.
#[derive(Debug, Clone, Default)]
pub struct Overload {
    since: Millis,
    last: Option<Millis>,
    at: Millis,
    admitted: f64,
    refused: f64,
}

impl Overload {
    /// Counts an opening that got in.
    pub fn record_admission(&mut self, now: Millis) {
        self.decay(now);
        self.admitted += 1.0;
    }

    /// Counts an opening that is turned away and says when to come back.
    ///
    /// `full` says that there was no room for anybody. Turning away only the
    /// callers that take too much or come early must not by itself prolong the
    /// overload that they are turned away for.
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

    /// Whether there is an overload now.
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
