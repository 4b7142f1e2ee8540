//! State of one flow, derived from the caller's packets alone.
//!
//! Targets answer callers directly, so a target's progress is inferred from what the caller
//! acknowledges. The record is an aid and not a requirement: without it a packet still finds
//! its target by its mark.

use crate::{Incarnation, Segment, last_copy::LastCopy, segment::is_after};
use medlarspur_lib::{bundle::Class, time::Millis};
use medlarspur_load::priority::Level;

/// Maximum number of bytes that a caller sends without an acknowledgement from the target:
/// sixteen packets of 1,200 bytes. More new data shows that the target has acknowledged some.
const MAX_UNACKED: u32 = 16 * 1200;

/// Maximum distance in bytes between the numbers of a packet and those seen last for the packet
/// to belong to the same flow. Either end has at most [`MAX_UNACKED`] bytes in flight.
const MAX_SEQ_DISTANCE: u32 = 2 * MAX_UNACKED;

/// Minimum time after new data for a packet with older data to count as a retransmission.
/// Callers retransmit after 200 ms at the earliest; packets of one burst are reordered by a few
/// milliseconds.
const MIN_RETRANSMIT_AGE: Millis = Millis(150);

/// Progress of a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// The opening packet was forwarded; nothing shows yet that the target accepted it.
    Opening {
        /// The packet, kept for sending it again or to another target.
        packet: Box<[u8]>,
    },
    /// The caller has received the target's answer to the opening packet.
    Open,
}

/// How far the outcome of a flow's last request is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// No request has been seen.
    Idle,
    /// The request has no answer yet.
    Open,
    /// The request was recorded as unanswered.
    Unanswered,
    /// More bytes of the answer may follow the last packet.
    Settling {
        /// Milliseconds from the request to the first byte of the answer.
        span: u32,
    },
    /// The outcome was recorded.
    Recorded,
}

/// The record that an instance keeps of a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Flow {
    /// The target that receives the flow's packets.
    pub target: Incarnation,
    /// Class of the requests in the flow.
    pub class: Class,
    /// Level of the flow at its target's service.
    pub level: Level,
    /// Progress of the flow.
    pub phase: Phase,
    /// Whether this instance received the opening packet.
    pub opened_here: bool,
    /// Whether the opening packet was forwarded more than once.
    pub resent: bool,
    /// The last copy of the opening packet that arrived here, if any did.
    pub(crate) last_copy: Option<LastCopy>,
    /// Number of checks while the opening was unanswered.
    pub checks: u8,
    /// Time of the next check while the opening is unanswered. In an open flow, time of the
    /// next check of its request and answer; 0 if none is scheduled.
    pub next_check: Millis,
    /// Whether the flow was held here for so long that its caller may have gone.
    pub overdue: bool,
    /// Whether the flow is overdue and its handshake did not end within the usual time. Such a
    /// flow counts as work of its target only if the handshake ends after all.
    pub abandoned: bool,
    /// Whether the last request failed and nothing has arrived since. The caller has probably
    /// opened another flow; this one holds a connection until it has been idle for long.
    pub left_idle: bool,
    /// Arrival of the opening packet, or of the first packet seen here.
    pub first_seen: Millis,
    /// Arrival of the last packet.
    pub last_seen: Millis,
    /// Start of the request whose first answer byte is pending.
    pub pending_since: Option<Millis>,
    /// How far the outcome of the last request is known.
    pub verdict: Verdict,
    /// Last acknowledgement number of the caller.
    pub acked: u32,
    /// The same when the last request began.
    request_ack: u32,
    /// Number after the last byte that the caller sent.
    sent_end: u32,
    /// Time at which that byte was first seen.
    sent_at: Millis,
    /// Value of `sent_end` when the target last showed that it is alive.
    answered_end: u32,
    /// Whether the caller has retransmitted since then.
    retransmitted: bool,
}

/// Information that a packet gives about its flow's target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// Whether the packet ends the handshake.
    pub opened: bool,
    /// Whether the packet shows that the target has answered.
    pub alive: bool,
    /// Time at which unanswered data was first sent, if the packet retransmits it.
    pub unanswered_since: Option<Millis>,
    /// Start of the pending request whose first answer the packet acknowledges.
    pub request_since: Option<Millis>,
    /// Whether the packet acknowledges more bytes of an answer.
    pub progress: bool,
    /// Whether the packet begins a request.
    pub began: bool,
    /// Length of the complete answer to the request before, if the packet begins another one.
    pub previous_length: Option<u32>,
}

impl Flow {
    /// Creates the record of a flow whose opening packet is forwarded to `target`.
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

    /// Creates the record of a flow that another instance opened, from the first packet seen
    /// here.
    pub fn resume(target: Incarnation, class: Class, segment: &Segment, now: Millis) -> Flow {
        Flow::new(target, class, segment.ack, segment.seq, now)
    }

    fn new(target: Incarnation, class: Class, acked: u32, sent_end: u32, now: Millis) -> Flow {
        Flow {
            target,
            class,
            level: Level::default(),
            phase: Phase::Open,
            opened_here: false,
            resent: false,
            last_copy: None,
            checks: 0,
            next_check: Millis(0),
            overdue: false,
            abandoned: false,
            left_idle: false,
            first_seen: now,
            last_seen: now,
            pending_since: None,
            verdict: Verdict::Idle,
            acked,
            request_ack: acked,
            sent_end,
            sent_at: now,
            answered_end: sent_end,
            retransmitted: false,
        }
    }

    /// Whether the opening packet is unanswered.
    pub fn is_opening(&self) -> bool {
        matches!(self.phase, Phase::Opening { .. })
    }

    /// Whether a request is waiting for its answer.
    pub fn has_pending_request(&self) -> bool {
        self.pending_since.is_some()
    }

    /// Number of bytes of the answer to the last request that the caller has acknowledged.
    pub fn answer_length(&self) -> u32 {
        self.acked.wrapping_sub(self.request_ack)
    }

    /// Time at which retransmitted data that is still unanswered was first sent. Data that was
    /// sent only once is not reported: its answer may pass through another instance, whereas
    /// the caller still waits for what it retransmits here.
    pub fn unanswered_since(&self) -> Option<Millis> {
        self.retransmitted.then_some(self.sent_at)
    }

    /// Whether a packet continues the flow that was opened here. Another flow of the same ports
    /// has other sequence numbers.
    pub fn matches(&self, segment: &Segment) -> bool {
        let is_near =
            |a: u32, b: u32| a.wrapping_sub(b).cast_signed().unsigned_abs() <= MAX_SEQ_DISTANCE;
        self.opened_here
            && !self.is_opening()
            && is_near(segment.ack, self.acked)
            && is_near(segment.seq, self.sent_end)
    }

    /// Updates the record with a packet other than the opening one.
    pub fn observe(&mut self, segment: &Segment, now: Millis) -> Observation {
        self.last_seen = now;
        self.left_idle = false;
        let opened = self.observe_handshake(segment, now);
        let previous_ack = self.acked;
        let request_since = self.observe_ack(segment);
        let progress = self.acked != previous_ack;
        let was_pending = self.has_pending_request();
        let (is_acked, unanswered_since) = self.observe_data(segment, now);
        let began = !was_pending && self.has_pending_request();
        let previous_length = if began { self.begin_request() } else { None };
        let alive = opened || request_since.is_some() || is_acked;
        if alive {
            self.answered_end = self.sent_end;
        }
        self.retransmitted = !alive && (self.retransmitted || unanswered_since.is_some());
        Observation {
            opened,
            alive,
            unanswered_since: unanswered_since.filter(|_| !alive),
            request_since,
            progress,
            began,
            previous_length,
        }
    }

    /// Starts to count the bytes of an answer. Returns the length of the answer before: the
    /// caller has received all of it, since it sends one request at a time.
    fn begin_request(&mut self) -> Option<u32> {
        let length = self.answer_length();
        self.request_ack = self.acked;
        (self.verdict != Verdict::Idle && length > 0).then_some(length)
    }

    /// Ends the handshake: the caller sends other packets only once it has the target's answer.
    fn observe_handshake(&mut self, segment: &Segment, now: Millis) -> bool {
        if !self.is_opening() {
            return false;
        }
        self.phase = Phase::Open;
        self.next_check = Millis(0);
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
