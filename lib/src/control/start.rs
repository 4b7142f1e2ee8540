//! When a starting instance may serve.

use crate::time::Millis;

/// How long a start waits for the slower of platform and peers. Both answer
/// in milliseconds when they are up; with one of them down this is how much
/// later a replaced instance serves.
pub const START_WAIT: Millis = Millis(3_000);
/// How long a start waits for a higher bundle that a peer has announced. A
/// peer that announces what it can't send must not keep the fleet from
/// starting.
pub const READY_TIMEOUT: Millis = Millis(10_000);

/// What a starting instance has learned so far. Without the wait it would
/// serve from a stale platform's bundle while its peers have a later one.
#[derive(Debug)]
pub(super) struct Start {
    began: Option<Millis>,
    platform: bool,
    peers: bool,
    ready: bool,
}

impl Start {
    pub(super) fn new() -> Start {
        Start { began: None, platform: false, peers: false, ready: false }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.ready
    }

    /// Notes that the platform answered.
    pub(super) fn platform(&mut self) {
        self.platform = true;
    }

    /// Notes that a peer answered.
    pub(super) fn peer(&mut self) {
        self.peers = true;
    }

    /// Returns whether the instance has just become ready: it has a bundle,
    /// nobody is known to have a later one, and both sides have answered or
    /// have had their time.
    pub(super) fn check(&mut self, now: Millis, held: bool, alone: bool, behind: bool) -> bool {
        let began = *self.began.get_or_insert(now);
        let waited = now.since(began);
        let asked = self.platform && (self.peers || alone) || waited >= START_WAIT;
        let latest = !behind || waited >= READY_TIMEOUT;
        let fresh = !self.ready && held && asked && latest;
        self.ready |= fresh;
        fresh
    }
}
