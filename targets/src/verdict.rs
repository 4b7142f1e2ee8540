//! What to believe of a target after several answers.

/// How many answers are remembered.
const WINDOW: u32 = 5;
/// How many bad answers of the window make a target bad. One lost packet or
/// one slow collection of garbage on the target must not move its new work;
/// with probes every two seconds, three are enough to act "within seconds".
const BAD_THRESHOLD: u32 = 3;
/// How many bad answers of the window a good target may have left. Fewer than
/// [`BAD_THRESHOLD`], so that an endpoint which alternates can't swing its weight with
/// every answer.
const GOOD_THRESHOLD: u32 = 1;

/// How one probe of the health endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It said healthy.
    Healthy,
    /// It answered, but not that it is healthy.
    Unhealthy,
    /// No answer in time, or the connection broke.
    Unreachable,
    /// Its host refused the connection: the endpoint does not run.
    Refused,
}

/// What is believed of a target.
///
/// No verdict ever cuts a flow: the endpoint may be down while the service
/// itself is well, and TCP outlives a partition of minutes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It takes new work.
    Healthy,
    /// It says that it should get no new work.
    Unhealthy,
    /// It can't be reached from here.
    Unreachable,
    /// Its host answers, its endpoint does not run.
    Refused,
}

/// Judges one target with hysteresis: *n* of the last *m* answers.
#[derive(Debug, Default, Clone)]
pub struct HealthTracker {
    /// The last answers, newest in the lowest bit; a bad one is 1.
    window: u32,
    verdict: Option<Verdict>,
}

impl HealthTracker {
    /// Takes in one answer; answers the verdict, or nothing as long as there
    /// are too few answers for one. The first good answer is enough for a
    /// start: nothing is known against the target.
    pub fn record(&mut self, outcome: Outcome) -> Option<Verdict> {
        let is_bad = outcome != Outcome::Healthy;
        self.window = (self.window << 1 | u32::from(is_bad)) & ((1 << WINDOW) - 1);
        let count = self.window.count_ones();
        match self.verdict {
            Some(Verdict::Healthy) if count >= BAD_THRESHOLD => {
                self.verdict = Some(outcome.verdict())
            }
            Some(Verdict::Healthy) => {}
            None if !is_bad => self.verdict = Some(Verdict::Healthy),
            None if count >= BAD_THRESHOLD => self.verdict = Some(outcome.verdict()),
            None => {}
            Some(_) if is_bad => self.verdict = Some(outcome.verdict()),
            Some(_) if count <= GOOD_THRESHOLD => self.verdict = Some(Verdict::Healthy),
            Some(_) => {}
        }
        self.verdict
    }

    /// The present verdict.
    pub fn verdict(&self) -> Option<Verdict> {
        self.verdict
    }
}

impl Outcome {
    fn verdict(self) -> Verdict {
        match self {
            Outcome::Healthy => Verdict::Healthy,
            Outcome::Unhealthy => Verdict::Unhealthy,
            Outcome::Unreachable => Verdict::Unreachable,
            Outcome::Refused => Verdict::Refused,
        }
    }
}
