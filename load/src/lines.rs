//! How many log lines are written while much happens at once.
//!
//! Answers a burst of failures: a lost failure domain resets hundreds of flows
//! in a moment, a scan opens thousands. Without a bound, writing about it takes
//! the processor time and the disk that serving needs, just then; with one bound
//! for all, lines of one kind push out the line that explains them.
//!
//! Each kind of line has a budget of its own. What is left out is counted, and
//! told when the budget has room again.

use medlarspur_lib::time::Millis;

/// How many lines of a kind may come at once: the flows of one target at an
/// instance of today's size, some twenty, ten times over.
const MAX_BURST: u32 = 200;
/// How many lines a second of a kind are written for long. An instance of
/// today's size opens 10 to 40 flows a second, and each gets its line; at some
/// 20 µs a line this is 0.2 % of a core.
const LINES_PER_SECOND: u32 = 100;

/// The budget of one kind of line.
#[derive(Debug, Clone, Copy)]
pub struct LineBudget {
    /// Thousandths of a line.
    milli_lines: u64,
    refilled: Millis,
    left_out: u64,
}

/// What becomes of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineVerdict {
    /// It is written.
    Write {
        /// How many lines of its kind were left out before it.
        left_out: u64,
    },
    /// It is left out and counted.
    LeaveOut,
}

impl LineBudget {
    /// A full budget.
    pub fn new(now: Millis) -> LineBudget {
        LineBudget { milli_lines: u64::from(MAX_BURST) * 1000, refilled: now, left_out: 0 }
    }

    /// Decides on one line.
    pub fn take(&mut self, now: Millis) -> LineVerdict {
        let gained = now.since(self.refilled).0 * u64::from(LINES_PER_SECOND);
        self.milli_lines = (self.milli_lines + gained).min(u64::from(MAX_BURST) * 1000);
        self.refilled = now;
        if self.milli_lines < 1000 {
            self.left_out += 1;
            return LineVerdict::LeaveOut;
        }
        self.milli_lines -= 1000;
        LineVerdict::Write { left_out: std::mem::take(&mut self.left_out) }
    }
}
