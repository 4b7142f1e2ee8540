//! Time that datagrams wait in a socket before they are received.
//!
//! While the process is suspended, the kernel still queues datagrams, so that the first ones
//! received afterwards are old. The kernel stamps each datagram on arrival with the wall clock,
//! which may be stepped. A stamp is therefore used only if the wall clock has kept pace with the
//! boot clock since the socket was last found empty. The boot clock is never stepped, and also
//! runs while the machine is suspended.
//!
//! Datagrams without a usable stamp are taken for new, except after a pause of the thread: until
//! the socket is empty, they may be as old as the beginning of the pause. Pauses within a wait are
//! only noticed beyond its limit.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Maximum difference between the progress of the two clocks that is not a step. Reading both
/// takes microseconds, unless the process is suspended in between.
const MAX_DRIFT: Duration = Duration::from_millis(5);
/// Maximum time between the receipt of datagrams and the next wait, and maximum delay of the end of
/// a wait. After a longer one, the thread may have been paused.
const MAX_DELAY: Duration = Duration::from_millis(100);

/// Returns the time since the start of the machine, including suspensions.
pub fn boot_time() -> Duration {
    read(ClockId::Boottime)
}

fn read(clock: ClockId) -> Duration {
    Duration::try_from(clock_gettime(clock)).unwrap_or_default()
}

/// A reading of both clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clocks {
    /// Time since 1970 by the wall clock.
    pub wall: Duration,
    /// Time since the start of the machine, including suspensions.
    pub boot: Duration,
}

impl Clocks {
    /// Reads both clocks.
    pub fn read() -> Clocks {
        Clocks { wall: read(ClockId::Realtime), boot: boot_time() }
    }
}

/// Determines how long datagrams waited in a socket.
#[derive(Debug, Clone, Copy)]
pub struct QueueAges {
    /// Time at which the socket was last found empty.
    empty_at: Clocks,
    /// Time by the boot clock at which the thread last ran.
    ran_at: Duration,
    /// Beginning of a pause by the boot clock, until the socket is found empty after it.
    paused_since: Option<Duration>,
}

impl QueueAges {
    /// Starts with a socket that is empty at `now`.
    pub fn new(now: Clocks) -> QueueAges {
        QueueAges { empty_at: now, ran_at: now.boot, paused_since: None }
    }

    /// Records a receipt that began at `began`, and whether it left nothing in the socket.
    pub fn record_receipt(&mut self, began: Clocks, is_drained: bool) {
        self.paused_since = if is_drained { None } else { self.pause_before(began) };
        self.ran_at = began.boot;
        if is_drained {
            self.empty_at = began;
        }
    }

    /// Records that the thread waited for input from `began` to `now`, and was to wait for `limit`
    /// at most.
    pub fn record_wait(&mut self, began: Clocks, now: Clocks, limit: Duration) {
        let is_in_time = now.boot.saturating_sub(began.boot) <= limit + MAX_DELAY;
        self.paused_since = self.pause_before(began).or((!is_in_time).then_some(self.ran_at));
        self.ran_at = now.boot;
    }

    /// Maximum age of a datagram that is received at `now` and was stamped with the wall clock's
    /// time at its arrival.
    pub fn max_age(&self, stamp: Option<Duration>, now: Clocks) -> Duration {
        match stamp.filter(|_| !self.has_stepped(now)) {
            Some(stamp) => now.wall.saturating_sub(stamp),
            None => self.pause_before(now).map_or(Duration::ZERO, |at| now.boot.saturating_sub(at)),
        }
    }

    /// Beginning of the pause after which the socket was not found empty, if there was one.
    fn pause_before(&self, now: Clocks) -> Option<Duration> {
        let is_paused = now.boot.saturating_sub(self.ran_at) > MAX_DELAY;
        self.paused_since.or(is_paused.then_some(self.ran_at))
    }

    /// Whether the wall clock was stepped since the socket was empty.
    fn has_stepped(&self, now: Clocks) -> bool {
        let wall = now.wall.checked_sub(self.empty_at.wall);
        let boot = now.boot.saturating_sub(self.empty_at.boot);
        wall.is_none_or(|wall| wall.abs_diff(boot) > MAX_DRIFT)
    }
}
