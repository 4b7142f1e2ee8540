//! One flow as an instance sees it: the caller's half only.
//!
//! Answers go from the target straight to the caller, so the target's part is
//! worked out from what the caller acknowledges. The record is a help, not a
//! need: without it a packet finds its target by its mark.

use crate::{Incarnation, Segment, segment::is_after};
use medlarspur_lib::{bundle::Class, time::Millis};

/// How many bytes a caller may have sent that the target did not acknowledge:
/// sixteen packets of 1,200 bytes. More new data shows that it did.
const MAX_UNACKED: u32 = 16 * 1200;

/// How far the numbers of a packet may be from those that were seen last, in bytes, for it to
/// belong to the same flow. Either end has [`MAX_UNACKED`] bytes under way at most.
const MAX_SEQ_DISTANCE: u32 = 2 * MAX_UNACKED;

/// How long after new data a packet with older data counts as repeated. Callers
/// repeat after 200 ms at the earliest; packets of one burst may overtake each
/// other by a few milliseconds.
const MIN_RETRANSMIT_AGE: Millis = Millis(150);

/// How far a flow has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// Its opening packet was sent on; nothing shows that the target took it.
    Opening {
        /// The packet, to be sent again or to another target.
        packet: Box<[u8]>,
    },
    /// The caller has the target's answer to the opening packet.
    Open,
}

/// What an instance remembers of a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Flow {
    /// Where it goes.
    pub target: Incarnation,
    /// The class of the requests inside.
    pub class: Class,
    /// How far it has come.
    pub phase: Phase,
    /// Whether its opening packet came here.
    pub opened_here: bool,
    /// Whether its opening packet was sent on more than once.
    pub resent: bool,
    /// How often it was looked at while its opening was unanswered.
    pub checks: u8,
    /// When it is looked at next, while its opening is unanswered.
    pub next_check: Millis,
    /// Whether it waited here for so long that its caller may have gone.
    pub overdue: bool,
    /// Whether it is overdue and was not opened within the usual time. Then it counts as
    /// work of its target only once it is opened after all.
    pub abandoned: bool,
    /// When its opening packet came, or the first packet that was seen here.
    pub first_seen: Millis,
    /// When its last packet came.
    pub last_seen: Millis,
    /// Since when a request waits for the first byte of its answer.
    pub pending_since: Option<Millis>,
    /// What the caller acknowledged last.
    pub acked: u32,
    /// Behind the last byte that the caller sent.
    sent_end: u32,
    /// When that byte was seen first.
    sent_at: Millis,
    /// What `sent_end` was at the last sign of life of the target.
    answered_end: u32,
    /// Whether the caller has sent something again since that.
    retransmitted: bool,
}

/// What a packet shows of its flow's target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// It ends the handshake.
    pub opened: bool,
    /// The target has answered something.
    pub alive: bool,
    /// The caller repeats data, first sent at this time, that nothing answers.
    pub unanswered_since: Option<Millis>,
    /// The first answer to the request that has waited since then.
    pub request_since: Option<Millis>,
}

impl Flow {
    /// A flow whose opening packet goes to `target`.
    pub fn open(
        target: Incarnation,
        class: Class,
        packet: Box<[u8]>,
        seq: u32,
        now: Millis,
    ) -> Flow {
        let phase = Phase::Opening { packet };
        Flow { phase, opened_here: true, ..Flow::new(target, class, 0, seq, now) }
    }

    /// A flow that another instance opened, from the first packet seen here.
    pub fn resume(target: Incarnation, class: Class, segment: &Segment, now: Millis) -> Flow {
        Flow::new(target, class, segment.ack, segment.seq, now)
    }

    fn new(target: Incarnation, class: Class, acked: u32, sent_end: u32, now: Millis) -> Flow {
        Flow {
            target,
            class,
            phase: Phase::Open,
            opened_here: false,
            resent: false,
            checks: 0,
            next_check: Millis(0),
            overdue: false,
            abandoned: false,
            first_seen: now,
            last_seen: now,
            pending_since: None,
            acked,
            sent_end,
            sent_at: now,
            answered_end: sent_end,
            retransmitted: false,
        }
    }

    /// Whether its opening packet is unanswered.
    pub fn is_opening(&self) -> bool {
        matches!(self.phase, Phase::Opening { .. })
    }

    /// Whether a request waits for its answer.
    pub fn has_pending_request(&self) -> bool {
        self.pending_since.is_some()
    }

    /// Since when data that the caller has sent more than once is unanswered. Data that
    /// was sent once says nothing: its answer may go by another instance, while what is
    /// repeated here is still waited for.
    pub fn unanswered_since(&self) -> Option<Millis> {
        self.retransmitted.then_some(self.sent_at)
    }

    /// Whether a packet goes on with the flow that was opened here, and not with another one of
    /// the same ports, whose numbers are others.
    pub fn matches(&self, segment: &Segment) -> bool {
        let is_near =
            |a: u32, b: u32| a.wrapping_sub(b).cast_signed().unsigned_abs() <= MAX_SEQ_DISTANCE;
        self.opened_here
            && !self.is_opening()
            && is_near(segment.ack, self.acked)
            && is_near(segment.seq, self.sent_end)
    }

    /// Takes in a packet that is no opening one.
    pub fn observe(&mut self, segment: &Segment, now: Millis) -> Observation {
        self.last_seen = now;
        let opened = self.observe_handshake(segment, now);
        let request_since = self.observe_ack(segment);
        let (progress, unanswered_since) = self.observe_data(segment, now);
        let alive = opened || request_since.is_some() || progress;
        if alive {
            self.answered_end = self.sent_end;
        }
        self.retransmitted = !alive && (self.retransmitted || unanswered_since.is_some());
        Observation {
            opened,
            alive,
            unanswered_since: unanswered_since.filter(|_| !alive),
            request_since,
        }
    }

    /// The caller can only go on once it has the target's answer.
    fn observe_handshake(&mut self, segment: &Segment, now: Millis) -> bool {
        if !self.is_opening() {
            return false;
        }
        self.phase = Phase::Open;
        self.abandoned = false;
        self.acked = segment.ack;
        self.sent_end = segment.seq;
        self.sent_at = now;
        true
    }

    fn observe_ack(&mut self, segment: &Segment) -> Option<Millis> {
        if !is_after(segment.ack, self.acked) {
            return None;
        }
        self.acked = segment.ack;
        self.pending_since.take()
    }

    fn observe_data(&mut self, segment: &Segment, now: Millis) -> (bool, Option<Millis>) {
        if segment.len == 0 {
            return (false, None);
        }
        if !is_after(segment.end(), self.sent_end) {
            let is_repeated = now.since(self.sent_at) >= MIN_RETRANSMIT_AGE;
            return (false, is_repeated.then_some(self.sent_at));
        }
        self.sent_end = segment.end();
        self.sent_at = now;
        self.pending_since.get_or_insert(now);
        (self.sent_end.wrapping_sub(self.answered_end) > MAX_UNACKED, None)
    }
}
