//! How requests end, as far as the packets of their callers show it.
//!
//! Handles targets that fail requests or turn them away. Such an answer is short and fast,
//! so by its time alone the worst target looks like the best one.

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
