//! Time as a value, in milliseconds of a monotonic clock that other crates read.

use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

number! {
    /// Milliseconds since the process started, or a duration in milliseconds.
    Millis: u64,
}

impl Millis {
    /// Creates a duration from whole seconds.
    pub const fn secs(secs: u64) -> Millis {
        Millis(secs * 1000)
    }

    /// Returns the time from `earlier` to `self`, or zero if `earlier` is
    /// later.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, rhs: Millis) -> Millis {
        Millis(self.0.saturating_add(rhs.0))
    }
}

impl Sub for Millis {
    type Output = Millis;

    fn sub(self, rhs: Millis) -> Millis {
        self.since(rhs)
    }
}

impl From<Duration> for Millis {
    fn from(span: Duration) -> Millis {
        Millis(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}

/// A duration that is displayed as operators write it, such as `30s` or
/// `500ms`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HumanDuration(pub Millis);

impl fmt::Display for HumanDuration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.0 {
            millis if millis.is_multiple_of(1000) => write!(f, "{}s", millis / 1000),
            millis => write!(f, "{millis}ms"),
        }
    }
}
