//! Decides when a starting instance may serve.

use crate::time::Millis;

/// Maximum time that a start waits for the slower of platform and peers. Both
/// answer in milliseconds when they are up; if one of them is down, a replaced
/// instance serves this much later.
pub const START_WAIT: Millis = Millis(3_000);
/// Maximum time that a start waits for a higher bundle that a peer has
/// announced. A peer that announces a bundle that it can't send must not keep
/// the fleet from starting.
pub const READY_TIMEOUT: Millis = Millis(10_000);

/// The answers that a starting instance has received. Without waiting for both
/// sides it could serve from a stale platform's bundle while its peers have a
/// later one.
#[derive(Debug)]
pub(super) struct Startup {
    started: Option<Millis>,
    platform: bool,
    peers: bool,
    ready: bool,
}

impl Startup {
    pub(super) fn new() -> Startup {
        Startup { started: None, platform: false, peers: false, ready: false }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.ready
    }

    /// Records that the platform answered.
    pub(super) fn record_platform(&mut self) {
        self.platform = true;
    }

    /// Records that a peer answered.
    pub(super) fn record_peer(&mut self) {
        self.peers = true;
    }

    /// Returns whether the instance has just become ready: it has a bundle, no
    /// peer is known to have a later one, and platform and peers have answered
    /// or their time is up. `has_bundle` says that a bundle is in force,
    /// `is_alone` that there are no peers to wait for, `is_behind` that a peer
    /// claims a later bundle.
    pub(super) fn check(
        &mut self,
        now: Millis,
        has_bundle: bool,
        is_alone: bool,
        is_behind: bool,
    ) -> bool {
        let started = *self.started.get_or_insert(now);
        let waited = now.since(started);
        let asked = self.platform && (self.peers || is_alone) || waited >= START_WAIT;
        let latest = !is_behind || waited >= READY_TIMEOUT;
        let fresh = !self.ready && has_bundle && asked && latest;
        self.ready |= fresh;
        fresh
    }
}
