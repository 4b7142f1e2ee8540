//! How requests end, as far as the packets of their callers show it.
//!
//! Handles targets that fail requests or turn them away. Such an answer is short and fast,
//! so by its time alone the worst target looks like the best one.
//!
//! The content of answers is not seen, only their length: how far the caller's acknowledgement
//! advances. A caller sends another request on a flow after a full answer, and leaves the flow
//! after most failures. The lengths of answers after which a flow was used again are therefore
//! those of served ones, and an answer that is clearly shorter than all of them is a failure.
//! Callers with several flows also use a flow again on which a target rejected a request, so
//! answers that are too short to be full ones change what was learnt only if they persist.
//! The error rates and the alternatives are in `docs/design/outcome.md`.

use medlarspur_lib::time::Millis;

/// Number of linear parts into which each power of two is divided: a relative width of 3 to
/// 6 %. Failures of 213 bytes and feeds of 271 are six parts apart.
const PARTS: usize = 16;
const PART_BITS: u32 = PARTS.trailing_zeros();
/// Power of two from which on lengths are not distinguished. A floor lies far below 64 KiB.
const MAX_BITS: u32 = 16;
const BUCKETS: usize = PARTS * (1 + (MAX_BITS - PART_BITS) as usize);
/// Minimum number of served answers before any answer is classified. Of the answers to come,
/// one of this number is shorter than all those seen, and the margin below the floor covers
/// most of these.
const MIN_SAMPLES: u32 = 32;
/// Number of served answers after which all counts are halved, so that the lengths of an
/// earlier release are forgotten. An instance that sees ten a second gets there in 7 minutes.
const MAX_SAMPLES: u32 = 4096;
/// One of this number of served answers may be shorter than the floor, so that a single odd
/// one doesn't hide all failures. In a trial one of 9,805 feeds was.
const ODD_RATIO: u32 = 512;
/// Multiple of the rank of the lowest answer that counts at which the density of the lengths
/// is measured. The floor is as far below the lowest answer as that is below the answer of
/// this rank: where lengths vary much, shorter ones than those seen so far are to be expected.
const SPREAD_RANK: u32 = 4;
/// Minimum length that shows by itself that an answer was served. Failures were 213 or 214
/// bytes long in a trial, and where served answers are as short, nothing distinguishes them.
const MIN_SERVED_LENGTH: u32 = 256;
/// Time for which short answers must be followed by further requests before they count as
/// served. A release may shorten all answers of a route; an overload, in which most answers are
/// rejections, lasts some ten seconds.
const RELEARN_TIME: Millis = Millis::secs(60);
/// Pause between two short answers after which that time starts again.
const RELEARN_GAP: Millis = Millis::secs(10);
/// Maximum number of longer answers beside each short one for short ones to count as served.
/// Where one of three targets fails 45 % of its requests, and one in six such flows is used
/// again, there are some 30. Without this limit, that fault would hide itself after a minute.
const MAX_LONGER_RATIO: u32 = 16;
/// Minimum time after which a request counts as unanswered. A packet that is lost once is sent
/// again after 200 ms, which may happen to the request and to its answer.
const MIN_UNANSWERED: Millis = Millis(500);
/// The same where the usual answer time or the latency objective is not known.
const DEFAULT_UNANSWERED: Millis = Millis::secs(2);

/// Time without progress after which an answer is complete. A lost packet of an answer is sent
/// again after 200 ms; the rest allows for distant callers.
pub const SETTLING_TIME: Millis = Millis(300);

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The caller got a full answer.
    Served,
    /// The target answered that it failed, or that it had no capacity.
    Failed,
    /// The target did not answer in time.
    Unanswered,
    /// The packets don't show how it ended.
    Unknown,
}

impl Outcome {
    /// All outcomes, in the order of their values.
    pub const ALL: [Outcome; 4] =
        [Outcome::Served, Outcome::Failed, Outcome::Unanswered, Outcome::Unknown];
}

/// The lengths of served answers of one route, and the limits derived from them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerLengths {
    /// Number of served answers by length, see [`bucket`].
    counts: [u16; BUCKETS],
    total: u32,
    limits: Option<Limits>,
    /// Times of the first and the last reused answer of those below the floor.
    short_since: Millis,
    short_at: Option<Millis>,
    /// Numbers of reused answers below the floor and of longer ones since the first of those.
    short_count: u32,
    longer_count: u32,
}

/// Lengths that separate failures from served answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Limits {
    /// Shorter answers are failures.
    floor: u32,
    /// Answers of this length or more are served. What lies between was never seen.
    served: u32,
}

impl Default for AnswerLengths {
    fn default() -> AnswerLengths {
        AnswerLengths {
            counts: [0; BUCKETS],
            total: 0,
            limits: None,
            short_since: Millis(0),
            short_at: None,
            short_count: 0,
            longer_count: 0,
        }
    }
}

impl AnswerLengths {
    /// Records the length of an answer after which the caller used the flow again. Returns how
    /// the request ended.
    pub fn record_reused(&mut self, length: u32, now: Millis) -> Outcome {
        let is_short = self.limits.is_some_and(|it| length < it.floor.min(MIN_SERVED_LENGTH));
        if is_short && !self.accepts_short(now) {
            return Outcome::Failed;
        }
        if !is_short {
            self.longer_count = self.longer_count.saturating_add(1);
        }
        let outcome = if self.is_learnt() { Outcome::Served } else { Outcome::Unknown };
        self.learn(length);
        outcome
    }

    /// Whether short answers have been followed by further requests for so long, and so often
    /// in comparison with longer ones, that they are served ones.
    fn accepts_short(&mut self, now: Millis) -> bool {
        let is_first = self.short_at.is_none_or(|at| now.since(at) > RELEARN_GAP);
        let is_long = now.since(self.short_since) >= RELEARN_TIME;
        let is_rare = self.longer_count > self.short_count.saturating_mul(MAX_LONGER_RATIO);
        self.short_at = Some(now);
        if is_first || is_long && is_rare {
            (self.short_since, self.short_count, self.longer_count) = (now, 1, 0);
            return false;
        }
        self.short_count = self.short_count.saturating_add(1);
        is_long
    }

    fn learn(&mut self, length: u32) {
        let bucket = bucket(length);
        self.counts[bucket] += 1;
        self.total += 1;
        if self.total >= MAX_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().copied().map(u32::from).sum();
        }
        let is_low = self.limits.is_some_and(|limits| length < limits.served);
        // The limits change little between two long answers, and deriving them reads all counts.
        if is_low || self.total.is_multiple_of(MIN_SAMPLES) {
            self.limits = self.derive_limits();
        }
    }

    fn derive_limits(&self) -> Option<Limits> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let rank = 1 + self.total / ODD_RATIO;
        let lowest = self.bucket_of_rank(rank)?;
        let spread = self.bucket_of_rank(rank * SPREAD_RANK)? - lowest;
        let floor = lower_bound(lowest.saturating_sub(1 + spread));
        Some(Limits { floor, served: lower_bound(lowest).max(MIN_SERVED_LENGTH) })
    }

    /// Returns the bucket of the served answer with this rank, in order of their lengths.
    fn bucket_of_rank(&self, rank: u32) -> Option<usize> {
        let mut below = 0;
        self.counts.iter().position(|count| {
            below += u32::from(*count);
            below >= rank
        })
    }

    /// Whether enough answers have been seen to classify others.
    pub fn is_learnt(&self) -> bool {
        self.limits.is_some()
    }

    /// Whether the outcome of an answer is known before it is complete: no further bytes change
    /// that it is served, or that nothing is known of the route.
    pub fn is_decided(&self, length: u32) -> bool {
        self.limits.is_none_or(|limits| length >= limits.served)
    }

    /// Classifies a complete answer by its length.
    pub fn classify(&self, length: u32) -> Outcome {
        match self.limits {
            Some(limits) if length >= limits.served => Outcome::Served,
            Some(limits) if length < limits.floor => Outcome::Failed,
            _ => Outcome::Unknown,
        }
    }
}

/// Returns the time after which a request without the first byte of an answer is unanswered;
/// `usual` is the longest usual answer time.
pub fn unanswered_after(usual: Option<Millis>, objective: Option<Millis>) -> Millis {
    match (usual, objective) {
        (Some(usual), Some(objective)) => usual.max(objective).max(MIN_UNANSWERED),
        (usual, objective) => {
            usual.unwrap_or_default().max(objective.unwrap_or_default()).max(DEFAULT_UNANSWERED)
        }
    }
}

/// Returns the bucket of a length: one for each of the smallest lengths, then [`PARTS`] for each
/// power of two.
fn bucket(length: u32) -> usize {
    let length = length.min((1 << MAX_BITS) - 1);
    let shift = length.checked_ilog2().unwrap_or(0).saturating_sub(PART_BITS);
    (shift as usize) * PARTS + (length >> shift) as usize
}

/// Returns the smallest length in a bucket.
fn lower_bound(bucket: usize) -> u32 {
    let shift = (bucket / PARTS).saturating_sub(1);
    ((bucket - shift * PARTS) << shift) as u32
}
