//! One flow as an instance sees it: the caller's half only.
//!
//! Answers go from the target straight to the caller, so the target's part is
//! worked out from what the caller acknowledges. The record is a help, not a
//! need: without it a packet finds its target by its mark.

use crate::{Incarnation, Segment, segment::is_after};
use medlarspur_lib::{bundle::Class, time::Millis};

/// How many bytes a caller may have sent that the target did not acknowledge:
/// sixteen packets of 1,200 bytes. More new data shows that it did.
const WINDOW: u32 = 16 * 1200;

/// How far the numbers of a packet may be from those that were seen last, in bytes, for it to
/// belong to the same flow. Either end has [`WINDOW`] bytes under way at most.
const REACH: u32 = 2 * WINDOW;

/// How long after new data a packet with older data counts as repeated. Callers
/// repeat after 200 ms at the earliest; packets of one burst may overtake each
/// other by a few milliseconds.
const REPEAT: Millis = Millis(150);

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
    pub opened: bool,
    /// Whether its opening packet was sent on more than once.
    pub resent: bool,
    /// How often it was looked at while its opening was unanswered.
    pub looks: u8,
    /// When it is looked at next, while its opening is unanswered.
    pub look: Millis,
    /// Whether it waited here for so long that its caller may have gone.
    pub overdue: bool,
    /// Whether it is overdue and was not opened within the usual time. Then it counts as
    /// work of its target only once it is opened after all.
    pub abandoned: bool,
    /// When its opening packet came, or the first packet that was seen here.
    pub since: Millis,
    /// When its last packet came.
    pub touched: Millis,
    /// Since when a request waits for the first byte of its answer.
    pub waiting: Option<Millis>,
    /// What the caller acknowledged last.
    pub acked: u32,
    /// Behind the last byte that the caller sent.
    sent: u32,
    /// When that byte was seen first.
    sent_at: Millis,
    /// What `sent` was at the last sign of life of the target.
    base: u32,
    /// Whether the caller has sent something again since that.
    repeated: bool,
}

/// What a packet shows of its flow's target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seen {
    /// It ends the handshake.
    pub opened: bool,
    /// The target has answered something.
    pub life: bool,
    /// The caller repeats data, first sent at this time, that nothing answers.
    pub repeats: Option<Millis>,
    /// The first answer to the request that has waited since then.
    pub answered: Option<Millis>,
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
        Flow { phase, opened: true, ..Flow::new(target, class, 0, seq, now) }
    }

    /// A flow that another instance opened, from the first packet seen here.
    pub fn resume(target: Incarnation, class: Class, segment: &Segment, now: Millis) -> Flow {
        Flow::new(target, class, segment.ack, segment.seq, now)
    }

    fn new(target: Incarnation, class: Class, acked: u32, sent: u32, now: Millis) -> Flow {
        Flow {
            target,
            class,
            phase: Phase::Open,
            opened: false,
            resent: false,
            looks: 0,
            look: Millis(0),
            overdue: false,
            abandoned: false,
            since: now,
            touched: now,
            waiting: None,
            acked,
            sent,
            sent_at: now,
            base: sent,
            repeated: false,
        }
    }

    /// Whether its opening packet is unanswered.
    pub fn is_opening(&self) -> bool {
        matches!(self.phase, Phase::Opening { .. })
    }

    /// Whether a request waits for its answer.
    pub fn is_waiting(&self) -> bool {
        self.waiting.is_some()
    }

    /// Since when data that the caller has sent more than once is unanswered. Data that
    /// was sent once says nothing: its answer may go by another instance, while what is
    /// repeated here is still waited for.
    pub fn unanswered(&self) -> Option<Millis> {
        self.repeated.then_some(self.sent_at)
    }

    /// Whether a packet goes on with the flow that was opened here, and not with another one of
    /// the same ports, whose numbers are others.
    pub fn is_continued(&self, segment: &Segment) -> bool {
        let is_near = |a: u32, b: u32| a.wrapping_sub(b).cast_signed().unsigned_abs() <= REACH;
        self.opened
            && !self.is_opening()
            && is_near(segment.ack, self.acked)
            && is_near(segment.seq, self.sent)
    }

    /// Takes in a packet that is no opening one.
    pub fn see(&mut self, segment: &Segment, now: Millis) -> Seen {
        self.touched = now;
        let shaken = self.see_handshake(segment, now);
        let answered = self.see_ack(segment);
        let (progress, repeats) = self.see_data(segment, now);
        let life = shaken || answered.is_some() || progress;
        if life {
            self.base = self.sent;
        }
        self.repeated = !life && (self.repeated || repeats.is_some());
        Seen { opened: shaken, life, repeats: repeats.filter(|_| !life), answered }
    }

    /// The caller can only go on once it has the target's answer.
    fn see_handshake(&mut self, segment: &Segment, now: Millis) -> bool {
        if !self.is_opening() {
            return false;
        }
        self.phase = Phase::Open;
        self.abandoned = false;
        self.acked = segment.ack;
        self.sent = segment.seq;
        self.sent_at = now;
        true
    }

    fn see_ack(&mut self, segment: &Segment) -> Option<Millis> {
        if !is_after(segment.ack, self.acked) {
            return None;
        }
        self.acked = segment.ack;
        self.waiting.take()
    }

    fn see_data(&mut self, segment: &Segment, now: Millis) -> (bool, Option<Millis>) {
        if segment.len == 0 {
            return (false, None);
        }
        if !is_after(segment.end(), self.sent) {
            let is_repeated = now.since(self.sent_at) >= REPEAT;
            return (false, is_repeated.then_some(self.sent_at));
        }
        self.sent = segment.end();
        self.sent_at = now;
        self.waiting.get_or_insert(now);
        (self.sent.wrapping_sub(self.base) > WINDOW, None)
    }
}
