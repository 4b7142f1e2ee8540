//! Health of a target, from passive and active checks.
//!
//! A target that crashes stays listed for several of its heartbeats, and flows opened to it in the
//! meantime hang. Traffic reveals the failure earlier: a handshake that does not complete, or a
//! request that the caller retransmits. As packets also get lost, neither is proof, so the target
//! is then probed. Only a failed probe makes it [lost](Health::is_lost).

use medlarspur_lib::time::Millis;

/// Minimum time between two probes caused by suspicion, longer than a probe takes to be answered or
/// to time out.
const MIN_PROBE_INTERVAL: Millis = Millis(300);
/// Time from a target's loss to the next probe. A network partition lasts seconds, and a restart
/// has a new incarnation.
const FIRST_LOST_INTERVAL: Millis = Millis(500);
/// Maximum time between two probes of a lost target.
const MAX_LOST_INTERVAL: Millis = Millis(2_000);

/// Result of probing a target. The log prints the variant names in lower case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// This incarnation answers. The health that it reports is not considered.
    Answers,
    /// The target closes the connection without an answer: it is alive but has no free slot.
    Declines,
    /// The address refuses connections, or another incarnation answers there.
    Gone,
    /// There was no answer in time.
    Silent,
}

impl ProbeResult {
    /// All results, in the order of their values.
    pub const ALL: [ProbeResult; 4] =
        [ProbeResult::Answers, ProbeResult::Declines, ProbeResult::Gone, ProbeResult::Silent];
}

/// Health of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Health {
    last_alive: Millis,
    /// Time at which the target last accepted an opening.
    last_accepted: Millis,
    last_probe: Option<Millis>,
    lost: Option<Lost>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Lost {
    since: Millis,
    /// Time of the last failed probe.
    confirmed: Millis,
    next_probe: Millis,
    interval: Millis,
}

impl Health {
    /// Creates the state of a target that has just become known.
    pub fn new(now: Millis) -> Health {
        Health { last_alive: now, last_accepted: now, last_probe: None, lost: None }
    }

    /// Records a packet that only a living target can have caused. Returns whether the target had
    /// been lost.
    pub fn record_alive(&mut self, now: Millis) -> bool {
        self.last_alive = now;
        self.lost.take().is_some()
    }

    /// Records that the target accepted an opening.
    pub fn record_accepted(&mut self, now: Millis) {
        self.last_accepted = now;
    }

    /// Time of the last accepted opening.
    pub fn last_accepted(&self) -> Millis {
        self.last_accepted
    }

    /// Records that an opening packet first sent at `sent` got no answer. Returns whether to probe
    /// the target. Only accepted openings count as evidence against the suspicion, since a full
    /// target still answers on its open flows.
    pub fn suspect_opening(&mut self, sent: Millis, now: Millis) -> bool {
        self.suspect_since(self.last_accepted, sent, now)
    }

    /// Records that a packet in mid-flow first sent at `sent` got no answer. Returns whether to
    /// probe the target.
    pub fn suspect(&mut self, sent: Millis, now: Millis) -> bool {
        self.suspect_since(self.last_alive, sent, now)
    }

    fn suspect_since(&mut self, answered: Millis, sent: Millis, now: Millis) -> bool {
        let answered_others = answered > sent;
        let probed_recently = self.last_probe.is_some_and(|at| now.since(at) < MIN_PROBE_INTERVAL);
        if answered_others || probed_recently || self.lost.is_some() {
            return false;
        }
        self.last_probe = Some(now);
        true
    }

    /// Records the result of a probe. Returns whether it made the target lost or brought it back.
    ///
    /// A failed probe has no effect if the target has shown life since the probe was sent. Then the
    /// answer was lost, or this machine was too busy to read it in time, and resetting the target's
    /// flows would break them.
    pub fn record_probe_result(&mut self, result: ProbeResult, now: Millis) -> bool {
        let probed_at = self.last_probe.replace(now);
        if matches!(result, ProbeResult::Answers | ProbeResult::Declines) {
            return self.record_alive(now);
        }
        if self.lost.is_none() && probed_at.is_some_and(|probed_at| self.last_alive > probed_at) {
            return false;
        }
        let interval = self.lost.map_or(FIRST_LOST_INTERVAL, |lost| {
            MAX_LOST_INTERVAL.min(lost.interval + lost.interval)
        });
        let since = self.lost.map_or(now, |lost| lost.since);
        let before =
            self.lost.replace(Lost { since, confirmed: now, next_probe: now + interval, interval });
        before.is_none()
    }

    /// Time of the last probe.
    pub fn last_probe(&self) -> Option<Millis> {
        self.last_probe
    }

    /// Whether the target is lost, that is, does not answer.
    pub fn is_lost(&self) -> bool {
        self.lost.is_some()
    }

    /// Time at which the target became lost.
    pub fn lost_since(&self) -> Option<Millis> {
        self.lost.map(|lost| lost.since)
    }

    /// Time of the last probe that a lost target failed.
    pub fn lost_confirmed(&self) -> Option<Millis> {
        self.lost.map(|lost| lost.confirmed)
    }

    /// Time of the next probe of a lost target. This includes targets that seem gone, because a
    /// network partition may refuse connections on behalf of a live target.
    pub fn next_probe(&self) -> Option<Millis> {
        self.lost.map(|lost| lost.next_probe)
    }

    /// Postpones the next probe of a lost target to `until`.
    pub fn defer_probe(&mut self, until: Millis) {
        if let Some(lost) = &mut self.lost {
            lost.next_probe = until;
        }
    }

    /// Records that a probe was sent, and schedules the next one of a lost target.
    pub fn record_probe(&mut self, now: Millis) {
        self.last_probe = Some(now);
        if let Some(lost) = &mut self.lost {
            lost.next_probe = now + MAX_LOST_INTERVAL;
        }
    }

    /// Time of the last sign of life.
    pub fn last_alive(&self) -> Millis {
        self.last_alive
    }
}
