//! Forwarding of callers' packets.
//!
//! - A packet in mid-flow goes to the target of its mark, whatever the state of that target's
//!   entry: flows outlive entries. If this instance has seen which target the caller
//!   acknowledged, it goes there instead.
//! - A packet with an unknown mark is dropped. Another target would answer it with a reset, and
//!   a reset from here would end a flow that may be healthy. The caller retransmits while this
//!   instance learns of the target.
//! - An opening packet (SYN) gets a target. Copies of it go to the same target, unless that is
//!   known not to answer: if two targets answered, the caller would have the sequence numbers
//!   of one and the mark of the other.
//! - A target in an evacuated failure domain gets no new flows; its open flows go on.
//! - A target that accepts no openings is full: new flows go elsewhere, its open flows go on.
//! - A target that fails more requests than its peers gets new flows only if no other can take
//!   them, and one at a time as a trial; its open flows go on.
//! - When a target is found lost, its open flows are reset at once, and flows whose handshake
//!   has not ended move to another target.

mod contested;
mod counts;
mod estimates;
mod excess;
mod exclusion;
mod explain;
mod failover;
mod full;
mod levels;
mod outcomes;
mod outliers;
mod output;
mod pauses;
mod placing;
mod probing;
mod state;
mod stranded;
mod subset;
mod update;
mod waiting;

pub use counts::Counts;
pub use output::{FlowEvent, Output, Refusal, Span, Unroutable};

use crate::{
    Catalog, Config, Flow, FlowKey, Incarnation, Kind, Mark, Note, Revision, Segment,
    flow::Observation,
};
use estimates::Estimates;
use levels::ServiceLevels;
use medlarspur_lib::{
    collections::{Map, SeededMap},
    ids::{DomainName, RegionName, ServiceName},
    settings::Capabilities,
    time::Millis,
};
use medlarspur_load::{random::Random, warmup::Seat};
use outcomes::Outcomes;
use outliers::Outliers;
use placing::OPENING_LIMIT;
use probing::LapseProbes;
use state::TargetState;
use std::collections::VecDeque;
use subset::Subset;
use waiting::{Admissions, NewFlow};

/// Maximum time for which a pending request counts as work of its target. Callers give up after
/// 8 s at most.
const MAX_REQUEST_AGE: Millis = Millis::secs(8);
/// Interval between removals of records of flows that ended without a closing packet.
const SWEEP_INTERVAL: Millis = Millis::secs(1);

/// Parameters of a forwarder that depend on the instance's place in the fleet.
#[derive(Debug, Clone)]
pub struct ForwarderOptions {
    /// Failure domain of this instance.
    pub domain: DomainName,
    /// Region of each failure domain, as far as it is known.
    pub regions: Map<DomainName, RegionName>,
    /// Optional decisions that the settings turn on.
    pub capabilities: Capabilities,
    /// Seed of the random numbers that decide between equal targets.
    pub seed: u64,
}

/// The flows that pass through one instance.
#[derive(Debug)]
pub struct Forwarder {
    catalog: Catalog,
    flows: SeededMap<FlowKey, Flow>,
    /// States of the known targets.
    states: Map<Incarnation, TargetState>,
    /// Scheduled checks of unanswered openings.
    openings: VecDeque<(Millis, FlowKey)>,
    /// Flows held before their opening, and the admission state of their services.
    held: SeededMap<FlowKey, NewFlow>,
    admissions: Admissions,
    levels: ServiceLevels,
    /// Number of instances in this failure domain, including this one, and number of domains
    /// that have targets.
    domain_size: usize,
    domain_count: usize,
    /// Lost targets that are listed.
    lost: Vec<Incarnation>,
    lapse_probes: LapseProbes,
    /// Targets that accept no openings.
    full: Vec<Incarnation>,
    /// Estimates derived from answers.
    estimates: Estimates,
    /// Targets that fail more than their peers.
    outliers: Outliers,
    /// Lengths of answers and scheduled checks of requests.
    outcomes: Outcomes,
    /// Seat of this instance in its failure domain, while it is known.
    seat: Option<Seat>,
    /// This instance's subset of the targets of its domain, by service.
    subsets: Map<ServiceName, Subset>,
    /// Whether no instance of this failure domain can reach the store.
    cut_off: bool,
    /// Whether this domain is evacuated and no target in another domain can be reached.
    stranded: bool,
    /// Time at which any target was last known to be alive.
    last_alive: Millis,
    /// Time of the first unanswered probe since then, if there was one.
    isolated_since: Option<Millis>,
    /// End of the last pause of the process.
    resumed_at: Millis,
    last_sweep: Millis,
    options: ForwarderOptions,
    random: Random,
    counts: Counts,
}

impl Forwarder {
    /// Creates a forwarder without targets and routes.
    pub fn new(options: ForwarderOptions) -> Forwarder {
        Forwarder {
            catalog: Catalog::default(),
            flows: SeededMap::default(),
            states: Map::default(),
            openings: VecDeque::new(),
            held: SeededMap::default(),
            admissions: Admissions::default(),
            levels: ServiceLevels::default(),
            domain_size: 1,
            domain_count: 1,
            lost: Vec::new(),
            lapse_probes: LapseProbes::default(),
            full: Vec::new(),
            estimates: Estimates::default(),
            outliers: Outliers::default(),
            outcomes: Outcomes::default(),
            seat: None,
            subsets: Map::default(),
            cut_off: false,
            stranded: false,
            last_alive: Millis(0),
            isolated_since: None,
            resumed_at: Millis(0),
            last_sweep: Millis(0),
            random: Random::new(options.seed),
            options,
            counts: Counts::default(),
        }
    }

    /// The known targets and routes.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Counters since the start of the process.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Number of flows that have a record.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow has a record.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// The revision up to which all changes are known.
    pub fn revision(&self) -> Revision {
        self.catalog.revision()
    }

    /// Forwards, holds, resets or drops one packet, which waited in the socket for `queued`.
    pub fn handle_packet(
        &mut self,
        segment: &Segment,
        bytes: &[u8],
        queued: Millis,
        now: Millis,
        out: &mut impl Output,
    ) {
        if now.since(self.last_sweep) >= SWEEP_INTERVAL {
            self.sweep(now);
        }
        match segment.kind {
            Kind::Open => self.handle_open(segment, bytes, queued, now, out),
            Kind::Continue => self.handle_continue(segment, bytes, now, out),
            Kind::Close | Kind::Abort => self.handle_close(segment, bytes, now, out),
        }
    }

    fn handle_continue(
        &mut self,
        segment: &Segment,
        bytes: &[u8],
        now: Millis,
        out: &mut impl Output,
    ) {
        let Some(target) = self.resolve_target(segment, out) else { return };
        // A copy of the opening may be held here. Opened now, the flow would get a second
        // target.
        self.cancel_held(&segment.key);
        if self.is_confirmed_lost(target) {
            self.reset_lost_flow(&segment.key, segment.ack, target, now, out);
            return;
        }
        self.track(target, segment, now, out);
        self.counts.passed += 1;
        self.send(target, &segment.key, bytes, out);
    }

    /// Returns the target of a packet in mid-flow: that of its mark, unless the flow is known
    /// to be open at another target, and none without a valid mark.
    fn resolve_target(&mut self, segment: &Segment, out: &mut impl Output) -> Option<Incarnation> {
        let marked = segment.mark.and_then(|mark| self.catalog.entry_by_mark(mark, &segment.key));
        if let Some(entry) = marked {
            return Some(self.acknowledged_target(segment).unwrap_or(entry.target.incarnation));
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

    /// Updates records and target states with what a packet shows about its target.
    fn track(
        &mut self,
        target: Incarnation,
        segment: &Segment,
        now: Millis,
        out: &mut impl Output,
    ) {
        let known = self.take_record(target, &segment.key);
        let is_resumed = known.is_none();
        let route = self.catalog.route(segment.key.service);
        let class = route.map(|route| route.class);
        let mut flow = match (known, class) {
            (Some(flow), _) => flow,
            (None, Some(class)) if segment.len > 0 => {
                let mut flow = Flow::resume(target, class, segment, now);
                flow.level = self.level_at(target, class, &segment.key);
                flow
            }
            (None, _) => return,
        };
        let level = flow.level;
        let seen = flow.observe(segment, now);
        self.account(&flow, 1);
        self.record_times(&flow, seen, now, out);
        let answered = self.observe_answer(segment.key, &mut flow, seen, now);
        self.flows.insert(segment.key, flow);
        if is_resumed {
            self.probe_unprobed(target, now, out);
        }
        if seen.opened {
            self.record_accepted(target, level, now, out);
        }
        if let Some(answer) = answered {
            self.record_answer_end(answer, now, out);
        }
        if seen.alive {
            self.record_alive(target, now, out);
        }
        if let Some(sent) = seen.unanswered_since {
            self.counts.repeated += 1;
            self.suspect(target, segment.key, sent, now, out);
            self.schedule_silence_check(target, sent, now);
        }
    }

    fn record_times(&mut self, flow: &Flow, seen: Observation, now: Millis, out: &mut impl Output) {
        let Some(entry) = self.catalog.entry(flow.target) else { return };
        let service = entry.target.service.clone();
        if seen.opened && !self.was_paused_since(flow.first_seen) {
            out.measure(&service, flow.class, Span::Handshake(now.since(flow.first_seen)));
            self.estimates.add_handshake(flow.first_seen, flow.resent, now);
        }
    }

    fn handle_close(
        &mut self,
        segment: &Segment,
        bytes: &[u8],
        now: Millis,
        out: &mut impl Output,
    ) {
        if self.is_held(&segment.key) {
            return self.cancel_held(&segment.key);
        }
        let Some(target) = self.resolve_target(segment, out) else { return };
        if segment.kind == Kind::Close {
            self.track(target, segment, now, out);
        }
        self.settle_closed(&segment.key, segment.kind, now, out);
        let flow = self.flows.get(&segment.key).filter(|flow| flow.opened_here);
        if let (Some(flow), Some(entry)) = (flow, self.catalog.entry(target)) {
            let length = Span::Length(now.since(flow.first_seen));
            out.measure(&entry.target.service, flow.class, length);
        }
        if let Some(flow) = self.flows.get(&segment.key).filter(|flow| !flow.is_opening()) {
            self.record_flow_end(target, flow.level);
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

    /// Resets a flow whose target is lost; `seq` is the next number that the caller expects.
    pub(super) fn reset_lost_flow(
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
            level: None,
        });
    }

    /// Performs all actions that are due.
    pub fn tick(&mut self, now: Millis, out: &mut impl Output) {
        self.confirm_restore(now, out);
        self.update_stranded(now, out);
        while let Some((due, key)) = self.openings.pop_front_if(|(due, _)| *due <= now) {
            if self.is_check_due(&key, due) {
                self.check_opening(key, now, out);
            }
        }
        self.check_requests(now, out);
        self.evaluate_outliers(now, out);
        self.release_held(now, out);
        self.check_silent_targets(now, out);
        self.probe_lost(now, out);
        self.probe_full(now, out);
    }

    /// The time at which [`tick`](Self::tick) has to be called next.
    pub fn deadline(&mut self) -> Option<Millis> {
        while let Some(&(due, key)) = self.openings.front() {
            if self.is_check_due(&key, due) {
                break;
            }
            self.openings.pop_front();
        }
        let opening = self.openings.front().map(|(due, _)| *due);
        let states = &self.states;
        let retries = self.lost.iter().filter_map(|it| states.get(it)?.health.next_probe());
        let full = self.full.iter().filter_map(|it| states.get(it));
        let full =
            full.flat_map(|state| state.check_at.into_iter().chain(state.vacancy.next_probe()));
        let others = retries.chain(full).chain(self.held_deadline()).chain(self.catalog.deadline());
        let others = others.chain(self.evaluation_deadline());
        let others = others.chain(self.outcomes.deadline());
        opening.into_iter().chain(others).min()
    }

    /// Whether the opening scheduled for a check at `due` is still unanswered. It may have
    /// moved to another target since, or its ports may belong to another flow. Either has a
    /// check of its own; checked too early, the opening would be sent twice, and a target would
    /// be suspected that had no time to answer.
    fn is_check_due(&self, key: &FlowKey, due: Millis) -> bool {
        self.flows.get(key).is_some_and(|flow| flow.is_opening() && flow.next_check == due)
    }

    /// Removes records of flows that ended without a closing packet.
    fn sweep(&mut self, now: Millis) {
        self.last_sweep = now;
        let idle = self.catalog.config().map_or(Millis::secs(60), |config: &Config| config.idle);
        let is_over = |flow: &Flow| {
            let limit = if flow.is_opening() { OPENING_LIMIT } else { idle };
            let is_stalled =
                flow.pending_since.is_some_and(|since| now.since(since) > MAX_REQUEST_AGE);
            now.since(flow.last_seen) > limit || is_stalled
        };
        let over: Vec<FlowKey> =
            self.flows.iter().filter(|(_, flow)| is_over(flow)).map(|(key, _)| *key).collect();
        for key in over {
            self.drop_flow(&key);
        }
    }

    pub(super) fn insert_flow(&mut self, key: FlowKey, flow: Flow) {
        self.account(&flow, 1);
        self.flows.insert(key, flow);
    }

    pub(super) fn drop_flow(&mut self, key: &FlowKey) {
        if let Some(flow) = self.flows.remove(key) {
            self.account(&flow, -1);
        }
    }

    /// Adds a flow to its target's counts, or subtracts it if `sign` is -1.
    pub(super) fn account(&mut self, flow: &Flow, sign: i32) {
        if let Some(state) = self.states.get_mut(&flow.target) {
            state.account(flow, sign);
        }
    }
}
