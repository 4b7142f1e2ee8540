//! What happens to each packet of a caller.
//!
//! - A packet in mid-flow goes where its mark says, whatever became of that
//!   target's entry: flows outlive entries. Where it was seen here which target the
//!   caller has acknowledged, it goes there.
//! - A packet whose mark means nothing here goes nowhere. Sent to another
//!   target it would be answered by a reset, and a reset of our own would end a
//!   flow that may be well; the caller sends it again while this instance
//!   learns.
//! - An opening packet gets a target, its repetitions the same one, unless that
//!   one is known not to answer. Two targets that both answered would leave the
//!   caller with the numbers of one and the mark of the other.
//! - A target whose failure domain operators have emptied gets no new flows; those that
//!   it has go on, and so do their packets.
//! - A target that takes no openings is full: new flows go elsewhere, and those that
//!   it has go on.
//! - When a target is found lost, its open flows are reset at once, and what
//!   was being opened there goes to another one.

mod closed;
mod contested;
mod counts;
mod dealt;
mod explain;
mod full;
mod heard;
mod leaving;
mod news;
mod output;
mod placing;
mod reach;
mod state;
mod stranded;
mod waiting;

pub use counts::Counts;
pub use output::{Output, Refusal, Span, Unroutable};

use crate::{
    Catalog, Config, Flow, FlowKey, Incarnation, Kind, Mark, Note, Revision, Segment, flow::Seen,
};
use dealt::Dealt;
use heard::Heard;
use medlarspur_lib::{
    collections::{Map, SeededMap},
    ids::{DomainName, RegionName, ServiceName},
    time::Millis,
};
use medlarspur_load::{random::Random, warmup::Seat};
use placing::OPENING_LIMIT;
use reach::Lapses;
use state::State;
use std::collections::VecDeque;
use waiting::{NewFlow, Rooms};

/// How long a request may wait for its answer and still count as work of its
/// target. Callers give up after 8 s at most.
const WORK_LIMIT: Millis = Millis::secs(8);
/// How often records of flows that ended without a word are dropped.
const SWEEP_PAUSE: Millis = Millis::secs(1);

/// What an instance's place in the fleet makes different.
#[derive(Debug, Clone)]
pub struct Tuning {
    /// The failure domain of this instance.
    pub domain: DomainName,
    /// The region of each failure domain, as far as it is known.
    pub regions: Map<DomainName, RegionName>,
    /// Begins the sequence that decides between equal targets.
    pub seed: u64,
}

/// The flows through one instance.
#[derive(Debug)]
pub struct Forwarder {
    catalog: Catalog,
    flows: SeededMap<FlowKey, Flow>,
    states: Map<Incarnation, State>,
    openings: VecDeque<(Millis, FlowKey)>,
    /// Flows that wait to be opened, and the room at their services.
    held: SeededMap<FlowKey, NewFlow>,
    rooms: Rooms,
    /// How many instances of this failure domain there are, this one included, and how
    /// many domains have targets.
    near: usize,
    domains: usize,
    lost: Vec<Incarnation>,
    lapses: Lapses,
    /// Targets that take no openings.
    full: Vec<Incarnation>,
    /// What was learnt from answers.
    heard: Heard,
    /// This instance's seat in its failure domain, while it is known.
    seat: Option<Seat>,
    /// This instance's part of the targets of its domain, by service.
    dealt: Map<ServiceName, Dealt>,
    /// Whether nobody of this failure domain hears from the store.
    cut_off: bool,
    /// Whether this domain is evacuated and no target elsewhere can be reached.
    stranded: bool,
    /// When any target showed life last.
    life: Millis,
    /// When a target was found silent first since.
    alone: Option<Millis>,
    swept: Millis,
    tuning: Tuning,
    random: Random,
    counts: Counts,
}

impl Forwarder {
    /// One that knows nothing yet.
    pub fn new(tuning: Tuning) -> Forwarder {
        Forwarder {
            catalog: Catalog::default(),
            flows: SeededMap::default(),
            states: Map::default(),
            openings: VecDeque::new(),
            held: SeededMap::default(),
            rooms: Rooms::default(),
            near: 1,
            domains: 1,
            lost: Vec::new(),
            lapses: Lapses::default(),
            full: Vec::new(),
            heard: Heard::default(),
            seat: None,
            dealt: Map::default(),
            cut_off: false,
            stranded: false,
            life: Millis(0),
            alone: None,
            swept: Millis(0),
            random: Random::new(tuning.seed),
            tuning,
            counts: Counts::default(),
        }
    }

    /// What is known of targets and routes.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// How many flows have a record.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow has a record.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Up to which revision all changes are known.
    pub fn revision(&self) -> Revision {
        self.catalog.revision()
    }

    /// Decides on one packet.
    pub fn packet(&mut self, segment: &Segment, bytes: &[u8], now: Millis, out: &mut impl Output) {
        if now.since(self.swept) >= SWEEP_PAUSE {
            self.sweep(now);
        }
        match segment.kind {
            Kind::Open => self.open(segment, bytes, now, out),
            Kind::Middle => self.middle(segment, bytes, now, out),
            Kind::Close | Kind::Abort => self.close(segment, bytes, now, out),
        }
    }

    fn middle(&mut self, segment: &Segment, bytes: &[u8], now: Millis, out: &mut impl Output) {
        let Some(target) = self.target(segment, out) else { return };
        // A copy of its opening may wait here. Opened now, the flow would have a second target.
        self.forget(&segment.key);
        let is_lost = self.states.get(&target).is_some_and(|state| state.health.is_lost());
        if is_lost {
            self.reset(&segment.key, segment.ack, target, now, out);
            return;
        }
        self.follow(target, segment, now, out);
        self.counts.passed += 1;
        self.send(target, &segment.key, bytes, out);
    }

    /// Where a packet in mid-flow goes: where its mark says, unless its flow is known to be
    /// open at another target, and nowhere without a mark that holds.
    fn target(&mut self, segment: &Segment, out: &mut impl Output) -> Option<Incarnation> {
        let marked = segment.mark.and_then(|mark| self.catalog.entry_by_mark(mark, &segment.key));
        if let Some(entry) = marked {
            return Some(self.acknowledged(segment).unwrap_or(entry.target.incarnation));
        }
        let reason = match segment.mark {
            Some(_) => Unroutable::UnknownMark,
            None => Unroutable::Unmarked,
        };
        match reason {
            Unroutable::UnknownMark => self.counts.unknown += 1,
            Unroutable::Unmarked => self.counts.unmarked += 1,
        }
        out.note(Note::Dropped { flow: segment.key, reason, mark: segment.mark });
        None
    }

    /// Notes what a packet shows of its target.
    fn follow(
        &mut self,
        target: Incarnation,
        segment: &Segment,
        now: Millis,
        out: &mut impl Output,
    ) {
        let known = self.take_record(target, &segment.key);
        let is_resumed = known.is_none();
        let route = self.catalog.route(segment.key.service);
        let (class, goal) = (route.map(|route| route.class), route.and_then(waiting::goal));
        let mut flow = match (known, class) {
            (Some(flow), _) => flow,
            (None, Some(class)) if segment.len > 0 => Flow::resume(target, class, segment, now),
            (None, _) => return,
        };
        let class = flow.class;
        let seen = flow.see(segment, now);
        self.account(&flow, 1);
        self.measure(&flow, seen, now, out);
        self.flows.insert(segment.key, flow);
        if is_resumed {
            self.ask_unasked(target, now, out);
        }
        if seen.opened {
            self.see_taken(target, class, now, out);
        }
        if let (Some(since), Some(goal)) = (seen.answered, goal) {
            self.hear_answer(target, goal, now.since(since), now);
        }
        if seen.life {
            self.see_life(target, now, out);
        }
        if let Some(sent) = seen.repeats {
            self.counts.repeated += 1;
            self.doubt(target, segment.key, sent, now, out);
            self.watch(target, sent, now);
        }
    }

    fn measure(&mut self, flow: &Flow, seen: Seen, now: Millis, out: &mut impl Output) {
        let Some(entry) = self.catalog.entry(flow.target) else { return };
        let service = entry.target.service.clone();
        if seen.opened {
            out.measure(&service, flow.class, Span::Handshake(now.since(flow.since)));
            self.heard.handshake(flow.since, flow.resent, now);
        }
        if let Some(since) = seen.answered {
            let span = now.since(since);
            out.measure(&service, flow.class, Span::Answer(span));
            self.heard.answer(&service, flow.class, span);
        }
    }

    fn close(&mut self, segment: &Segment, bytes: &[u8], now: Millis, out: &mut impl Output) {
        if self.is_held(&segment.key) {
            return self.forget(&segment.key);
        }
        let Some(target) = self.target(segment, out) else { return };
        if segment.kind == Kind::Close {
            self.follow(target, segment, now, out);
        }
        let flow = self.flows.get(&segment.key).filter(|flow| flow.opened);
        if let (Some(flow), Some(entry)) = (flow, self.catalog.entry(target)) {
            let length = Span::Length(now.since(flow.since));
            out.measure(&entry.target.service, flow.class, length);
        }
        if let Some(flow) = self.flows.get(&segment.key).filter(|flow| !flow.is_opening()) {
            self.see_end(target, flow.class);
        }
        self.drop_flow(&segment.key);
        self.counts.passed += 1;
        self.send(target, &segment.key, bytes, out);
    }

    pub(super) fn send(
        &self,
        target: Incarnation,
        key: &FlowKey,
        bytes: &[u8],
        out: &mut impl Output,
    ) {
        if let Some(entry) = self.catalog.entry(target) {
            out.forward(&entry.target, Mark::new(target, key), bytes);
        }
    }

    pub(super) fn reset(
        &mut self,
        key: &FlowKey,
        seq: u32,
        target: Incarnation,
        now: Millis,
        out: &mut impl Output,
    ) {
        self.counts.refuse(Refusal::TargetLost);
        self.drop_flow(key);
        out.reset(key, seq);
        let lost = self.states.get(&target).and_then(|state| state.health.lost_since());
        out.note(Note::Reset {
            flow: *key,
            refusal: Refusal::TargetLost,
            target: Some(target),
            lost: lost.map(|since| now.since(since)),
        });
    }

    /// Does what is due by now.
    pub fn tick(&mut self, now: Millis, out: &mut impl Output) {
        self.confirm(now, out);
        self.judge_stranding(now, out);
        while let Some((due, key)) = self.openings.pop_front_if(|(due, _)| *due <= now) {
            if self.is_awaited(&key, due) {
                self.remind(key, now, out);
            }
        }
        self.release(now, out);
        self.check_full(now, out);
        self.ask_lost(now, out);
        self.ask_full(now, out);
    }

    /// When [`tick`](Self::tick) has something to do next.
    pub fn deadline(&mut self) -> Option<Millis> {
        while let Some(&(due, key)) = self.openings.front() {
            if self.is_awaited(&key, due) {
                break;
            }
            self.openings.pop_front();
        }
        let opening = self.openings.front().map(|(due, _)| *due);
        let states = &self.states;
        let retries = self.lost.iter().filter_map(|it| states.get(it)?.health.next_probe());
        let full = self.full.iter().filter_map(|it| states.get(it));
        let full = full.flat_map(|state| state.check.into_iter().chain(state.vacancy.next_probe()));
        let others = retries.chain(full).chain(self.patience()).chain(self.catalog.deadline());
        opening.into_iter().chain(others).min()
    }

    /// Whether the opening that is looked at at that moment is still unanswered. It may have
    /// moved to another target since, or its ports may belong to another flow; either has a
    /// moment of its own, and looked at early it would be sent twice and have a target doubted
    /// that had no time to answer.
    fn is_awaited(&self, key: &FlowKey, due: Millis) -> bool {
        self.flows.get(key).is_some_and(|flow| flow.is_opening() && flow.look == due)
    }

    /// Drops records of flows that ended without a word.
    fn sweep(&mut self, now: Millis) {
        self.swept = now;
        let idle = self.catalog.config().map_or(Millis::secs(60), |config: &Config| config.idle);
        let is_over = |flow: &Flow| {
            let limit = if flow.is_opening() { OPENING_LIMIT } else { idle };
            let waits = flow.waiting.is_some_and(|since| now.since(since) > WORK_LIMIT);
            now.since(flow.touched) > limit || waits
        };
        let over: Vec<FlowKey> =
            self.flows.iter().filter(|(_, flow)| is_over(flow)).map(|(key, _)| *key).collect();
        for key in over {
            self.drop_flow(&key);
        }
    }

    pub(super) fn keep(&mut self, key: FlowKey, flow: Flow) {
        self.account(&flow, 1);
        self.flows.insert(key, flow);
    }

    pub(super) fn drop_flow(&mut self, key: &FlowKey) {
        if let Some(flow) = self.flows.remove(key) {
            self.account(&flow, -1);
        }
    }

    pub(super) fn account(&mut self, flow: &Flow, sign: i32) {
        if let Some(state) = self.states.get_mut(&flow.target) {
            state.account(flow, sign);
        }
    }
}
