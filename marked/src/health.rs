//! Whether a target answers, from what passes by and from asking it.
//!
//! A target that dies without a word stays listed for several of its
//! heartbeats, and whoever opens a flow to it meanwhile waits in vain. What an
//! instance sees gives it away sooner: an opening without the end of the
//! handshake, or a request that the caller has to send again. Neither is proof,
//! since packets get lost, so the target is then asked directly; only if it
//! does not answer that either is it [lost](Health::is_lost).

use medlarspur_lib::time::Millis;

/// How long one doubt keeps further ones from asking again: longer than an
/// answer takes to come or to stay out.
const MIN_PROBE_INTERVAL: Millis = Millis(300);
/// How long after a target was found lost it is asked again, at first. A cut
/// lasts seconds, a restart brings a new incarnation.
const FIRST_LOST_INTERVAL: Millis = Millis(500);
/// The longest pause between two questions to a lost target.
const MAX_LOST_INTERVAL: Millis = Millis(2_000);

/// What asking a target brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// This incarnation answers; what it says of itself doesn't matter here.
    Answers,
    /// It ends the connection without an answer: it is there, and has no room.
    Declines,
    /// Its address refuses, or another incarnation answers there.
    Gone,
    /// Nothing answers.
    Silent,
}

impl ProbeResult {
    /// All of them, in the order of their values.
    pub const ALL: [ProbeResult; 4] =
        [ProbeResult::Answers, ProbeResult::Declines, ProbeResult::Gone, ProbeResult::Silent];
}

/// What is believed of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Health {
    last_alive: Millis,
    /// When it took an opening last.
    last_accepted: Millis,
    last_probe: Option<Millis>,
    lost: Option<Lost>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Lost {
    since: Millis,
    next_probe: Millis,
    interval: Millis,
}

impl Health {
    /// Of a target that was just heard of.
    pub fn new(now: Millis) -> Health {
        Health { last_alive: now, last_accepted: now, last_probe: None, lost: None }
    }

    /// Something was seen that only a living target can have caused. Answers
    /// whether it had been lost.
    pub fn record_alive(&mut self, now: Millis) -> bool {
        self.last_alive = now;
        self.lost.take().is_some()
    }

    /// It took an opening.
    pub fn record_accepted(&mut self, now: Millis) {
        self.last_accepted = now;
    }

    /// When it took an opening last.
    pub fn last_accepted(&self) -> Millis {
        self.last_accepted
    }

    /// An opening packet that was first sent at `sent` got no answer. Answers whether
    /// to ask the target. Answers on flows that are open there say nothing of it: a
    /// target that is full gives them and takes no opening.
    pub fn suspect_opening(&mut self, sent: Millis, now: Millis) -> bool {
        self.suspect_since(self.last_accepted, sent, now)
    }

    /// A packet in mid-flow that was first sent at `sent` got no answer. Answers whether
    /// to ask the target.
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

    /// Takes in what asking brought. Answers whether that changes the belief.
    ///
    /// It does not if the target has shown life since it was asked: then the
    /// answer got lost, or this machine was too busy to hear it in time, and to
    /// reset the target's flows would break them.
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
        let before = self.lost.replace(Lost { since, next_probe: now + interval, interval });
        before.is_none()
    }

    /// When it was asked last.
    pub fn last_probe(&self) -> Option<Millis> {
        self.last_probe
    }

    /// Whether the target does not answer.
    pub fn is_lost(&self) -> bool {
        self.lost.is_some()
    }

    /// Since when the target does not answer.
    pub fn lost_since(&self) -> Option<Millis> {
        self.lost.map(|lost| lost.since)
    }

    /// When a lost target should be asked again. A cut may refuse connections
    /// in the place of a target that lives, so one that seems gone is too.
    pub fn next_probe(&self) -> Option<Millis> {
        self.lost.map(|lost| lost.next_probe)
    }

    /// Has a lost target asked again at a moment.
    pub fn defer_probe(&mut self, until: Millis) {
        if let Some(lost) = &mut self.lost {
            lost.next_probe = until;
        }
    }

    /// Notes that a lost target is asked again.
    pub fn record_probe(&mut self, now: Millis) {
        self.last_probe = Some(now);
        if let Some(lost) = &mut self.lost {
            lost.next_probe = now + MAX_LOST_INTERVAL;
        }
    }

    /// When the last sign of life came.
    pub fn last_alive(&self) -> Millis {
        self.last_alive
    }
}
