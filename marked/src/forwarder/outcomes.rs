//! Passes on how requests end to the decisions that depend on it.
//!
//! `medlarspur_load::outcome` classifies an answer by its length. Without a capability that
//! calls for it, each request ends with the first byte of its answer and an unknown outcome.

use super::{Forwarder, Output, Span, waiting};
use crate::{Flow, FlowKey, Incarnation, Kind, Note, Observation, Verdict};
use medlarspur_lib::{bundle::Class, collections::Map, time::Millis};
use medlarspur_load::outcome::{AnswerLengths, Outcome, SETTLING_TIME, unanswered_after};
use std::{collections::VecDeque, net::SocketAddrV4};

/// Time between the start of a request and its first check. Most are answered by then, and an
/// answer that is not complete has to settle for as long.
const CHECK_DELAY: Millis = SETTLING_TIME;
/// Checks become due at multiples of this time, so that an instance wakes up for many at once.
const CHECK_GRANULARITY: Millis = Millis(50);
/// Maximum number of scheduled checks. An instance at the intended scale begins some hundreds
/// of requests in the time of one check.
const MAX_CHECKS: usize = 16_384;
/// Maximum delay of a check. A later one shows that the process did not run, and
/// acknowledgements that arrived meanwhile may still wait in its socket.
pub(super) const MAX_CHECK_DELAY: Millis = Millis(100);

/// Lengths of answers by route, and scheduled checks of requests and answers.
#[derive(Debug, Default)]
pub(super) struct Outcomes {
    lengths: Map<SocketAddrV4, AnswerLengths>,
    /// In order of time. Each flow has one valid check at most, at its `next_check`.
    checks: VecDeque<(Millis, FlowKey)>,
}

impl Outcomes {
    /// Whether the outcomes of a route's requests can be told from their answers.
    pub(super) fn is_learnt(&self, route: SocketAddrV4) -> bool {
        self.lengths.get(&route).is_some_and(AnswerLengths::is_learnt)
    }

    /// The time of the next check.
    pub(super) fn deadline(&self) -> Option<Millis> {
        self.checks.front().map(|(due, _)| *due)
    }

    /// Removes routes that no longer exist.
    pub(super) fn retain(&mut self, is_route: impl Fn(SocketAddrV4) -> bool) {
        self.lengths.retain(|route, _| is_route(*route));
    }

    /// Classifies a complete answer.
    fn classify(&self, route: SocketAddrV4, length: u32) -> Outcome {
        self.lengths.get(&route).map_or(Outcome::Unknown, |it| it.classify(length))
    }

    /// Whether the outcome of an answer is known before it is complete.
    fn is_decided(&self, route: SocketAddrV4, length: u32) -> bool {
        self.lengths.get(&route).is_none_or(|it| it.is_decided(length))
    }

    /// Schedules a check of a flow, unless it has one. Returns whether it has one.
    fn schedule(&mut self, key: FlowKey, flow: &mut Flow, due: Millis) -> bool {
        if flow.next_check != Millis(0) {
            return true;
        }
        if self.checks.len() >= MAX_CHECKS {
            return false;
        }
        let due = Millis(due.0.next_multiple_of(CHECK_GRANULARITY.0));
        flow.next_check = due;
        let is_last = self.checks.back().is_none_or(|(last, _)| *last <= due);
        if is_last {
            self.checks.push_back((due, key));
        } else {
            let position = self.checks.partition_point(|(other, _)| *other <= due);
            self.checks.insert(position, (due, key));
        }
        true
    }
}

/// The end of a request, or the first answer to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RequestEnd {
    /// The flow of the request.
    pub(super) key: FlowKey,
    /// The target that worked on it.
    pub(super) target: Incarnation,
    /// The class of the request.
    pub(super) class: Class,
    /// Time from the first data of the request to the first of the answer, or until now if
    /// there was none.
    pub(super) span: Millis,
    /// How it ended.
    pub(super) outcome: Outcome,
}

/// An answer whose outcome is to be recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct AnswerEnd {
    end: RequestEnd,
    /// Number of bytes that the caller has acknowledged.
    length: u32,
    /// Whether the request was recorded as unanswered before.
    is_late: bool,
}

impl AnswerEnd {
    fn new(key: FlowKey, flow: &Flow, length: u32, span: Millis, outcome: Outcome) -> AnswerEnd {
        let end = RequestEnd { key, target: flow.target, class: flow.class, span, outcome };
        AnswerEnd { end, length, is_late: false }
    }
}

impl Forwarder {
    /// Whether the outcomes of requests of a class are classified. Uploads are not: a target
    /// may answer before the caller has sent everything, and the rest looks like another
    /// request.
    fn classifies(&self, class: Class) -> bool {
        let capabilities = &self.options.capabilities;
        (capabilities.health || capabilities.pressure) && class != Class::Upload
    }

    /// Updates a flow's verdict with what a packet shows. Returns the answer whose outcome is
    /// known with this packet.
    pub(super) fn observe_answer(
        &mut self,
        key: FlowKey,
        flow: &mut Flow,
        seen: Observation,
        now: Millis,
    ) -> Option<AnswerEnd> {
        if !self.classifies(flow.class) {
            let span = now.since(seen.request_since?);
            return Some(AnswerEnd::new(key, flow, 0, span, Outcome::Unknown));
        }
        let mut answered = None;
        if seen.progress {
            answered = self.observe_progress(key, flow, seen, now);
        }
        if let Some(length) = seen.previous_length {
            answered = self.observe_reuse(key, flow, length, answered, now);
        }
        if seen.began {
            flow.verdict = Verdict::Open;
            self.outcomes.schedule(key, flow, now + CHECK_DELAY);
        }
        answered
    }

    /// Updates the verdict when the caller acknowledges more bytes.
    fn observe_progress(
        &mut self,
        key: FlowKey,
        flow: &mut Flow,
        seen: Observation,
        now: Millis,
    ) -> Option<AnswerEnd> {
        let span = match (flow.verdict, seen.request_since) {
            (Verdict::Unanswered, Some(since)) => {
                // The answer is slow, and the limit must learn of it. The request has been counted.
                flow.verdict = Verdict::Recorded;
                let length = flow.answer_length();
                let answer = AnswerEnd::new(key, flow, length, now.since(since), Outcome::Unknown);
                return Some(AnswerEnd { is_late: true, ..answer });
            }
            (_, Some(since)) => now.since(since),
            (Verdict::Settling { span }, None) => Millis(span.into()),
            _ => return None,
        };
        let settling_span = u32::try_from(span.0).unwrap_or(u32::MAX);
        flow.verdict = Verdict::Settling { span: settling_span };
        if seen.began {
            // Another request begins with the same packet, so the answer is complete.
            return None;
        }
        let length = flow.answer_length();
        let outcome = if self.outcomes.is_decided(key.service, length) {
            self.outcomes.classify(key.service, length)
        } else if self.outcomes.schedule(key, flow, now + SETTLING_TIME) {
            return None;
        } else {
            Outcome::Unknown
        };
        flow.verdict = Verdict::Recorded;
        Some(AnswerEnd::new(key, flow, length, span, outcome))
    }

    /// Learns the length of an answer after which the flow carries another request.
    fn observe_reuse(
        &mut self,
        key: FlowKey,
        flow: &mut Flow,
        length: u32,
        answered: Option<AnswerEnd>,
        now: Millis,
    ) -> Option<AnswerEnd> {
        let lengths = self.outcomes.lengths.entry(key.service).or_default();
        let outcome = lengths.record_reused(length, now);
        let Verdict::Settling { span } = flow.verdict else { return answered };
        flow.verdict = Verdict::Recorded;
        Some(AnswerEnd::new(key, flow, length, Millis(span.into()), outcome))
    }

    /// Records the outcome of an answer that is still settling when its flow ends. A caller that
    /// closes the flow has received all of it.
    pub(super) fn settle_closed(
        &mut self,
        key: &FlowKey,
        kind: Kind,
        now: Millis,
        out: &mut impl Output,
    ) {
        let Some(flow) = self.flows.get_mut(key) else { return };
        let Verdict::Settling { span } = flow.verdict else { return };
        flow.verdict = Verdict::Recorded;
        let length = flow.answer_length();
        let outcome = match kind {
            Kind::Close => self.outcomes.classify(key.service, length),
            _ => Outcome::Unknown,
        };
        let answer = AnswerEnd::new(*key, flow, length, Millis(span.into()), outcome);
        self.record_answer_end(answer, now, out);
    }

    /// Performs the checks of requests and answers that are due.
    pub(super) fn check_requests(&mut self, now: Millis, out: &mut impl Output) {
        while let Some((due, key)) = self.outcomes.checks.pop_front_if(|(due, _)| *due <= now) {
            self.check_request(key, due, now, out);
        }
    }

    /// Records a request that has waited too long for its answer, or an answer that has
    /// settled. Otherwise schedules the next check.
    fn check_request(&mut self, key: FlowKey, due: Millis, now: Millis, out: &mut impl Output) {
        let is_valid = |flow: &&mut Flow| !flow.is_opening() && flow.next_check == due;
        let Some(flow) = self.flows.get_mut(&key).filter(is_valid) else { return };
        flow.next_check = Millis(0);
        let (ready_at, span, outcome) = match (flow.pending_since, flow.verdict) {
            (Some(since), Verdict::Open) => {
                let objective = self.catalog.route(key.service).and_then(waiting::objective);
                let entry = self.catalog.entry(flow.target);
                let usual = entry.and_then(|it| self.estimates.longest_answer(&it.target.service));
                let ready_at = since + unanswered_after(usual, objective);
                (ready_at, now.since(since), Outcome::Unanswered)
            }
            (_, Verdict::Settling { span }) => {
                let outcome = self.outcomes.classify(key.service, flow.answer_length());
                (flow.last_seen + SETTLING_TIME, Millis(span.into()), outcome)
            }
            _ => return,
        };
        let is_late = now.since(due) > MAX_CHECK_DELAY;
        if is_late || now < ready_at {
            // The usual answer time may fall until then, so it is looked up again.
            let soon = now + CHECK_DELAY;
            let next = if is_late { soon } else { ready_at.min(soon) };
            self.outcomes.schedule(key, flow, next);
            return;
        }
        let is_unanswered = outcome == Outcome::Unanswered;
        flow.verdict = if is_unanswered { Verdict::Unanswered } else { Verdict::Recorded };
        let answer = AnswerEnd::new(key, flow, flow.answer_length(), span, outcome);
        self.record_answer_end(answer, now, out);
    }

    /// Counts and records the outcome of a request.
    pub(super) fn record_answer_end(
        &mut self,
        answer: AnswerEnd,
        now: Millis,
        out: &mut impl Output,
    ) {
        let AnswerEnd { end, length, is_late } = answer;
        let RequestEnd { key, target, span, .. } = end;
        if self.classifies(end.class) && !is_late {
            self.counts.requests[end.outcome as usize] += 1;
        }
        match end.outcome {
            Outcome::Failed => out.note(Note::Failed { target, flow: key, length, span }),
            Outcome::Unanswered => out.note(Note::Unanswered { target, flow: key, waited: span }),
            Outcome::Served | Outcome::Unknown => {}
        }
        self.record_outcome(end, now, out);
    }

    /// Records the end of a request in outlier detection, in the estimates and in the limit of its
    /// service. A failure is a fast answer of a bad target, and a request without an answer has
    /// no answer time.
    pub(super) fn record_outcome(&mut self, end: RequestEnd, now: Millis, out: &mut impl Output) {
        let Some(entry) = self.catalog.entry(end.target) else { return };
        let service = entry.target.service.clone();
        self.record_level_use(&service, end.class, &end.key, now);
        self.record_peer_outcome(&service, end, now, out);
        self.record_rejection(&service, &end, now);
        let is_timed = !self.was_paused_since(now.since(end.span));
        if matches!(end.outcome, Outcome::Failed | Outcome::Unanswered) || !is_timed {
            return;
        }
        out.measure(&service, end.class, Span::Answer(end.span));
        let level = self.level(&service, end.class, &end.key);
        self.estimates.add_answer(&service, level, end.span);
        let objective = self.catalog.route(end.key.service).and_then(waiting::objective);
        if let Some(objective) = objective {
            self.record_answer(&service, objective, end.span, now);
        }
    }
}
