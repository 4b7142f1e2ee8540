//! A rate limit for log lines.
//!
//! Handles a burst of events: a lost failure domain resets hundreds of flows at once, a
//! scan opens thousands. Without a limit, logging takes the processor time and disk
//! bandwidth that serving needs at that moment. With one limit for all lines, lines of one
//! kind displace the line that explains them.
//!
//! Each kind of line has its own budget. Lines left out are counted, and the next written
//! line reports the count.

use medlarspur_lib::time::Millis;

/// Maximum number of lines of a kind in a burst: ten times the flows of one target at an
/// instance of today's size, some twenty.
const MAX_BURST: u32 = 200;
/// Sustained rate of lines of a kind. An instance of today's size opens 10 to 40 flows a
/// second, and each gets a line. At some 20 µs a line this rate is 0.2 % of a core.
const LINES_PER_SECOND: u32 = 100;

/// The budget of one kind of line.
#[derive(Debug, Clone, Copy)]
pub struct LineBudget {
    /// Available lines, in thousandths.
    milli_lines: u64,
    refilled: Millis,
    left_out: u64,
}

/// Whether a line is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineVerdict {
    /// Write the line.
    Write {
        /// Number of lines of this kind that were left out before it.
        left_out: u64,
    },
    /// Leave the line out; it is counted.
    LeaveOut,
}

impl LineBudget {
    /// Returns a full budget.
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
