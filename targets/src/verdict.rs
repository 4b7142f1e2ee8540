//! Verdict on a target's health from several answers.

/// Number of answers that are remembered.
const WINDOW: u32 = 5;
/// Number of bad answers in the window that make a healthy target bad. A lost packet or a slow
/// garbage collection of the target must not move its new work. With a probe every two seconds,
/// three bad answers suffice to react within seconds.
const BAD_THRESHOLD: u32 = 3;
/// Maximum number of bad answers in the window with which a bad target becomes healthy. It is lower
/// than [`BAD_THRESHOLD`], so that an endpoint that alternates doesn't change the target's weight
/// with each answer.
const GOOD_THRESHOLD: u32 = 1;

/// Outcome of one probe of the health endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint reports that the target is healthy.
    Healthy,
    /// The endpoint answers anything else.
    Unhealthy,
    /// There was no answer in time, or the connection broke.
    Unreachable,
    /// The host refused the connection: the endpoint is not running.
    Refused,
}

/// Assumed health of a target.
///
/// No verdict ends a flow: the endpoint may be down while the service works, and TCP connections
/// survive a network partition of minutes. The log prints the variant names as they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthVerdict {
    /// The target accepts new work.
    Healthy,
    /// The target reports that it should get no new work.
    Unhealthy,
    /// The target can't be reached from here.
    Unreachable,
    /// The host answers, but the health endpoint is not running.
    Refused,
}

/// Derives the verdict on one target with hysteresis, from *n* of the last *m* answers.
#[derive(Debug, Default, Clone)]
pub struct HealthTracker {
    /// The last answers, newest in the lowest bit. A bad answer is 1.
    window: u32,
    verdict: Option<HealthVerdict>,
}

impl HealthTracker {
    /// Records an answer and returns the verdict, or `None` while there are too few answers for
    /// one. The first good answer suffices for a first verdict, since nothing indicates a fault of
    /// the target.
    pub fn record(&mut self, outcome: Outcome) -> Option<HealthVerdict> {
        let is_bad = outcome != Outcome::Healthy;
        self.window = (self.window << 1 | u32::from(is_bad)) & ((1 << WINDOW) - 1);
        let count = self.window.count_ones();
        match self.verdict {
            Some(HealthVerdict::Healthy) if count >= BAD_THRESHOLD => {
                self.verdict = Some(outcome.verdict())
            }
            Some(HealthVerdict::Healthy) => {}
            None if !is_bad => self.verdict = Some(HealthVerdict::Healthy),
            None if count >= BAD_THRESHOLD => self.verdict = Some(outcome.verdict()),
            None => {}
            Some(_) if is_bad => self.verdict = Some(outcome.verdict()),
            Some(_) if count <= GOOD_THRESHOLD => self.verdict = Some(HealthVerdict::Healthy),
            Some(_) => {}
        }
        self.verdict
    }

    /// The current verdict.
    pub fn verdict(&self) -> Option<HealthVerdict> {
        self.verdict
    }
}

impl Outcome {
    fn verdict(self) -> HealthVerdict {
        match self {
            Outcome::Healthy => HealthVerdict::Healthy,
            Outcome::Unhealthy => HealthVerdict::Unhealthy,
            Outcome::Unreachable => HealthVerdict::Unreachable,
            Outcome::Refused => HealthVerdict::Refused,
        }
    }
}
