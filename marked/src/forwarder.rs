//! What happens to each packet of a caller.
//!
//! - A packet in mid-flow goes where its mark says, whatever became of that
//!   target's entry: flows outlive entries.
//! - A packet whose mark means nothing here goes nowhere. Sent to another
//!   target it would be answered by a reset, and a reset of our own would end a
//!   flow that may be well; the caller sends it again while this instance
//!   learns.
//! - An opening packet gets a target, its repetitions the same one, unless that
//!   one is known not to answer. Two targets that both answered would leave the
//!   caller with the numbers of one and the mark of the other.
//! - When a target is found lost, its open flows are reset at once, and what
//!   was being opened there goes to another one.

use crate::{
    Catalog, Config, Entry, EntryState, Finding, Flow, FlowKey, Health, Incarnation, Kind, Mark,
    News, Note, Phase, Presence, Revision, Segment, Target, flow::Seen,
};
use medlarspur_lib::{
    bundle::Class,
    collections::{Map, SeededMap},
    ids::{DomainName, ServiceName},
    time::Millis,
};
use medlarspur_load::{
    choice::{self, Candidate, Tier},
    random::Random,
};
use std::collections::VecDeque;

/// How long an opening packet may go without the end of the handshake before it
/// is sent again and its target doubted. A round trip through caller and target
/// takes up to 12 ms where failure domains are 1.4 ms apart; callers repeat it
/// only after 200 ms, when some answers are late already.
const OPENING_PATIENCE: Millis = Millis(30);
/// How long a caller tries to open a flow, with some room.
const OPENING_LIMIT: Millis = Millis(1_600);
/// How long a request may wait for its answer and still count as work of its
/// target. Callers give up after 8 s at most.
const WORK_LIMIT: Millis = Millis::secs(8);
/// How often records of flows that ended without a word are dropped.
const SWEEP_PAUSE: Millis = Millis::secs(1);
/// How long a target that is not listed any more gets new flows if it answers:
/// an entry that lapsed without need is back within some two seconds.
const LAPSE_LIMIT: Millis = Millis::secs(3);
/// How long after a request to a target went unanswered others are preferred.
const DOUBT_TIME: Millis = Millis(300);

/// Where decisions go.
pub trait Output {
    /// Sends the packet to the target, with the mark written into it.
    fn forward(&mut self, target: &Target, mark: Mark, packet: &[u8]);
    /// Resets a flow towards its caller; `seq` is the number that the caller
    /// expects next.
    fn reset(&mut self, flow: &FlowKey, seq: u32);
    /// Asks a target whether it answers.
    fn ask(&mut self, target: &Target, path: &str);
    /// Writes down what was decided or is believed anew.
    fn note(&mut self, note: Note);
    /// Records a measured time of a class of a service.
    fn measure(&mut self, service: &ServiceName, class: Class, span: Span);
}

/// A measured time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Span {
    /// From an opening packet to the end of the handshake.
    Handshake(Millis),
    /// From a request to the acknowledgement of its first answer.
    Answer(Millis),
    /// From the opening of a flow to its end, if both were seen here.
    Length(Millis),
}

/// Why a flow is reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// No route has its address and port. No packet went to a target.
    NoRoute,
    /// No target of its service can take it. No packet went to a target.
    NoTarget,
    /// Its target does not answer any more.
    TargetLost,
}

/// Why a packet goes nowhere and nobody is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Unroutable {
    /// It is in mid-flow and carries no mark.
    Unmarked,
    /// Its mark means no target that is known here.
    UnknownMark,
}

/// What an instance's place in the fleet makes different.
#[derive(Debug, Clone)]
pub struct Tuning {
    /// The failure domain of this instance.
    pub domain: DomainName,
    /// Begins the sequence that decides between equal targets.
    pub seed: u64,
}

/// Counts since the start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Flows that were given a target.
    pub opened: u64,
    /// Opening packets that were sent on again.
    pub reopened: u64,
    /// Packets in mid-flow that were sent on.
    pub passed: u64,
    /// Packets that went nowhere because they carry no mark.
    pub unmarked: u64,
    /// Packets that went nowhere because their mark is unknown.
    pub unknown: u64,
    /// Flows that were moved while they were being opened.
    pub moved: u64,
    /// Flows reset because they have no route.
    pub no_route: u64,
    /// Flows reset because no target can take them.
    pub no_target: u64,
    /// Flows reset because their target is lost.
    pub lost: u64,
    /// Targets that were asked whether they answer.
    pub asked: u64,
    /// Targets that did, or did not.
    pub found: [u64; Finding::ALL.len()],
}

/// The flows through one instance.
#[derive(Debug)]
pub struct Forwarder {
    catalog: Catalog,
    flows: SeededMap<FlowKey, Flow>,
    states: Map<Incarnation, State>,
    openings: VecDeque<(Millis, FlowKey)>,
    lost: Vec<Incarnation>,
    swept: Millis,
    tuning: Tuning,
    random: Random,
    counts: Counts,
}

/// Resets a flow that went to no target.
fn refuse(flow: &FlowKey, refusal: Refusal, out: &mut impl Output) {
    out.reset(flow, 0);
    out.note(Note::Reset { flow: *flow, refusal, target: None, lost: None });
}

/// What is known of a target besides its entry.
#[derive(Debug, Clone, Copy)]
struct State {
    health: Health,
    doubted: Option<Millis>,
    working: u32,
    opening: u32,
    feeds: u32,
}

impl State {
    fn new(now: Millis) -> State {
        State { health: Health::new(now), doubted: None, working: 0, opening: 0, feeds: 0 }
    }

    /// Adds or takes away what a flow means for its target.
    fn account(&mut self, flow: &Flow, sign: i32) {
        let field = if flow.is_opening() {
            &mut self.opening
        } else if flow.is_waiting() {
            &mut self.working
        } else if flow.class == Class::Feed {
            &mut self.feeds
        } else {
            return;
        };
        *field = field.saturating_add_signed(sign);
    }
}

impl Forwarder {
    /// One that knows nothing yet.
    pub fn new(tuning: Tuning) -> Forwarder {
        Forwarder {
            catalog: Catalog::default(),
            flows: SeededMap::default(),
            states: Map::default(),
            openings: VecDeque::new(),
            lost: Vec::new(),
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

    /// How many listed targets answer, and how many don't.
    pub fn reach(&self) -> (usize, usize) {
        let listed = self.catalog.entries().filter(|it| it.presence == Presence::Listed).count();
        (listed.saturating_sub(self.lost.len()), self.lost.len())
    }

    /// How many flows have a record.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow has a record.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// The newest revision that was heard of.
    pub fn revision(&self) -> Revision {
        self.catalog.revision()
    }

    /// Takes in news of targets and routes.
    pub fn learn(&mut self, news: News, now: Millis, out: &mut impl Output) {
        let version = self.catalog.config().map(|config| config.version);
        for incarnation in self.catalog.merge(news, now) {
            self.states.entry(incarnation).or_insert_with(|| State::new(now));
            self.learn_entry(incarnation, now, out);
        }
        if let Some((revision, config)) = self.catalog.config_at()
            && Some(config.version) != version
        {
            let routes = config.routes.len();
            out.note(Note::Config { version: config.version, revision, routes });
        }
        let catalog = &self.catalog;
        self.states.retain(|incarnation, _| catalog.entry(*incarnation).is_some());
    }

    fn learn_entry(&mut self, target: Incarnation, now: Millis, out: &mut impl Output) {
        let Some(entry) = self.catalog.entry(target) else { return };
        let state = match entry.presence {
            Presence::Removed(_) => EntryState::Removed,
            Presence::Listed if entry.target.leaving => EntryState::Leaving,
            Presence::Listed => EntryState::Listed,
        };
        out.note(Note::Entry { target, state, revision: entry.revision });
        if state == EntryState::Removed && !entry.target.leaving {
            // It died, or its entry lapsed: asking tells which.
            self.ask(target, now, out);
        }
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

    fn open(&mut self, segment: &Segment, bytes: &[u8], now: Millis, out: &mut impl Output) {
        if let Some(target) = self.opened(&segment.key, now) {
            self.counts.reopened += 1;
            self.send(target, &segment.key, bytes, out);
            return;
        }
        self.place(segment.key, segment.seq, bytes, now, out);
    }

    /// The target that a flow was opened to a moment ago and that may still
    /// answer. Later, the same ports are a new flow.
    fn opened(&self, key: &FlowKey, now: Millis) -> Option<Incarnation> {
        let flow = self.flows.get(key)?;
        let is_copy = flow.opened && now.since(flow.since) <= OPENING_LIMIT;
        let is_lost = self.states.get(&flow.target).is_some_and(|it| it.health.is_lost());
        let is_known = self.catalog.entry(flow.target).is_some();
        (is_copy && !is_lost && is_known).then_some(flow.target)
    }

    /// Gives a new flow a target.
    fn place(&mut self, key: FlowKey, seq: u32, packet: &[u8], now: Millis, out: &mut impl Output) {
        self.drop_flow(&key);
        let Some(route) = self.catalog.route(key.service) else {
            self.counts.no_route += 1;
            return refuse(&key, Refusal::NoRoute, out);
        };
        let (class, service) = (route.class, route.share(self.random.draw()).clone());
        let Some((target, note)) = self.choose(&service, class, &key, now) else {
            self.counts.no_target += 1;
            return refuse(&key, Refusal::NoTarget, out);
        };
        self.counts.opened += 1;
        out.note(note);
        self.keep(key, Flow::open(target, class, packet, seq, now));
        self.openings.push_back((now + OPENING_PATIENCE, key));
        self.send(target, &key, packet, out);
    }

    fn choose(
        &mut self,
        service: &ServiceName,
        class: Class,
        key: &FlowKey,
        now: Millis,
    ) -> Option<(Incarnation, Note)> {
        let entries = self.catalog.targets(service);
        let (mut names, mut candidates): (Vec<_>, Vec<_>) = entries
            .filter_map(|entry| Some((entry.target.incarnation, self.candidate(entry, now)?)))
            .unzip();
        loop {
            let position = choice::choose(&candidates, class, self.random.draw())?;
            let count = candidates.len();
            let chosen = candidates.swap_remove(position);
            let target = names.swap_remove(position);
            // Another target may have the same mark for this flow, and packets
            // in mid-flow would go there.
            let meant = self.catalog.marked(Mark::new(target, key), key);
            if meant.is_some_and(|entry| entry.target.incarnation == target) {
                let note = Note::Opened {
                    flow: *key,
                    target,
                    class,
                    tier: chosen.tier,
                    work: chosen.working + chosen.opening,
                    candidates: count,
                };
                return Some((target, note));
            }
        }
    }

    /// A target as one that could take a flow; none if it must not.
    fn candidate(&self, entry: &Entry, now: Millis) -> Option<Candidate> {
        let state = self.states.get(&entry.target.incarnation)?;
        if entry.target.leaving || state.health.is_lost() {
            return None;
        }
        let is_doubted = state.doubted.is_some_and(|at| now.since(at) < DOUBT_TIME);
        let tier = match entry.presence {
            Presence::Removed(since)
                if state.health.life() <= since || now.since(since) > LAPSE_LIMIT =>
            {
                return None;
            }
            _ if is_doubted => Tier::Doubtful,
            Presence::Removed(_) => Tier::Unlisted,
            Presence::Listed => Tier::Good,
        };
        Some(Candidate {
            tier,
            slots: entry.target.slots,
            working: state.working,
            opening: state.opening,
            feeds: state.feeds,
            cold: now < entry.cold,
            near: entry.target.domain == self.tuning.domain,
        })
    }

    fn middle(&mut self, segment: &Segment, bytes: &[u8], now: Millis, out: &mut impl Output) {
        let Some(target) = self.target(segment, out) else { return };
        let is_lost = self.states.get(&target).is_some_and(|state| state.health.is_lost());
        if is_lost {
            self.reset(&segment.key, segment.ack, target, now, out);
            return;
        }
        self.follow(target, segment, now, out);
        self.counts.passed += 1;
        self.send(target, &segment.key, bytes, out);
    }

    /// Where a packet in mid-flow goes: where its mark says. A caller that has
    /// received no mark, or none that holds, may still be known here.
    fn target(&mut self, segment: &Segment, out: &mut impl Output) -> Option<Incarnation> {
        let marked = segment.mark.and_then(|mark| self.catalog.marked(mark, &segment.key));
        if let Some(entry) = marked {
            return Some(entry.target.incarnation);
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
        let known = self.flows.remove(&segment.key).filter(|flow| flow.target == target);
        let class = self.catalog.route(segment.key.service).map(|route| route.class);
        let mut flow = match (known, class) {
            (Some(flow), _) => {
                self.account(&flow, -1);
                flow
            }
            (None, Some(class)) if segment.len > 0 => Flow::resume(target, class, segment, now),
            (None, _) => return,
        };
        let seen = flow.see(segment, now);
        self.account(&flow, 1);
        self.measure(&flow, seen, now, out);
        self.flows.insert(segment.key, flow);
        if seen.life {
            self.see_life(target, now, out);
        }
        if let Some(sent) = seen.repeats {
            self.doubt(target, segment.key, sent, now, out);
        }
    }

    fn measure(&self, flow: &Flow, seen: Seen, now: Millis, out: &mut impl Output) {
        let Some(entry) = self.catalog.entry(flow.target) else { return };
        let handshake = seen.opened.then(|| Span::Handshake(now.since(flow.since)));
        let answer = seen.answered.map(|since| Span::Answer(now.since(since)));
        for span in handshake.into_iter().chain(answer) {
            out.measure(&entry.target.service, flow.class, span);
        }
    }

    fn close(&mut self, segment: &Segment, bytes: &[u8], now: Millis, out: &mut impl Output) {
        let Some(target) = self.target(segment, out) else { return };
        if segment.kind == Kind::Close {
            self.follow(target, segment, now, out);
        }
        let flow = self.flows.get(&segment.key).filter(|flow| flow.opened);
        if let (Some(flow), Some(entry)) = (flow, self.catalog.entry(target)) {
            let length = Span::Length(now.since(flow.since));
            out.measure(&entry.target.service, flow.class, length);
        }
        self.drop_flow(&segment.key);
        self.counts.passed += 1;
        self.send(target, &segment.key, bytes, out);
    }

    fn send(&self, target: Incarnation, key: &FlowKey, bytes: &[u8], out: &mut impl Output) {
        if let Some(entry) = self.catalog.entry(target) {
            out.forward(&entry.target, Mark::new(target, key), bytes);
        }
    }

    fn reset(
        &mut self,
        key: &FlowKey,
        seq: u32,
        target: Incarnation,
        now: Millis,
        out: &mut impl Output,
    ) {
        self.counts.lost += 1;
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

    fn see_life(&mut self, target: Incarnation, now: Millis, out: &mut impl Output) {
        let Some(state) = self.states.get_mut(&target) else { return };
        state.doubted = None;
        if state.health.see_life(now) {
            self.lost.retain(|it| *it != target);
            out.note(Note::Regained { target });
        }
    }

    /// A packet of `flow` that was first sent at `sent` got no answer.
    fn doubt(
        &mut self,
        target: Incarnation,
        flow: FlowKey,
        sent: Millis,
        now: Millis,
        out: &mut impl Output,
    ) {
        let Some(state) = self.states.get_mut(&target) else { return };
        if state.health.doubt(sent, now) {
            state.doubted = Some(now);
            out.note(Note::Doubted { target, flow: Some(flow), silent: now.since(sent) });
            self.ask(target, now, out);
        }
    }

    fn ask(&mut self, incarnation: Incarnation, now: Millis, out: &mut impl Output) {
        let Some(entry) = self.catalog.entry(incarnation) else { return };
        let Some(path) = self.catalog.health(&entry.target.service) else { return };
        out.ask(&entry.target, path);
        self.counts.asked += 1;
        if let Some(state) = self.states.get_mut(&incarnation) {
            state.health.ask_again(now);
        }
    }

    /// Takes in what asking a target brought.
    pub fn answer(
        &mut self,
        target: Incarnation,
        finding: Finding,
        now: Millis,
        out: &mut impl Output,
    ) {
        self.counts.found[finding as usize] += 1;
        let Some(state) = self.states.get_mut(&target) else { return };
        if finding == Finding::Answers {
            return self.see_life(target, now, out);
        }
        let silent = now.since(state.health.life());
        if state.health.find(finding, now) {
            let flows = self.flows.values().filter(|flow| flow.target == target).count();
            out.note(Note::Lost { target, finding, silent, flows });
            self.lost.push(target);
            self.leave(target, now, out);
            if finding == Finding::Silent {
                self.doubt_domain(target, now, out);
            }
        }
    }

    /// Asks the other targets of a failure domain, one of whose targets is silent:
    /// the whole domain may be cut off. Only those with flows here, and without a
    /// sign of life as late as the time that a silent target takes to be found.
    fn doubt_domain(&mut self, silent: Incarnation, now: Millis, out: &mut impl Output) {
        let Some(domain) = self.catalog.entry(silent).map(|it| it.target.domain.clone()) else {
            return;
        };
        let states = &self.states;
        let is_suspect = |entry: &&Entry| {
            let Some(state) = states.get(&entry.target.incarnation) else { return false };
            let has_flows = state.working + state.opening + state.feeds > 0;
            let is_quiet = now.since(state.health.life()) > DOUBT_TIME;
            entry.target.domain == domain && has_flows && is_quiet && !state.health.is_lost()
        };
        let suspects = self.catalog.entries().filter(is_suspect);
        let suspects: Vec<Incarnation> = suspects.map(|it| it.target.incarnation).collect();
        for target in suspects {
            let Some(state) = self.states.get_mut(&target) else { continue };
            let silent = now.since(state.health.life());
            if state.health.doubt(state.health.life(), now) {
                out.note(Note::Doubted { target, flow: None, silent });
                self.ask(target, now, out);
            }
        }
    }

    /// Takes all flows away from a target that was found lost.
    fn leave(&mut self, target: Incarnation, now: Millis, out: &mut impl Output) {
        let flows = self.flows.iter().filter(|(_, flow)| flow.target == target);
        let keys: Vec<FlowKey> = flows.map(|(key, _)| *key).collect();
        for key in keys {
            let Some(flow) = self.flows.get(&key) else { continue };
            match flow.phase.clone() {
                Phase::Opening { packet } => {
                    self.counts.moved += 1;
                    out.note(Note::Moved { flow: key, from: target });
                    self.place(key, 0, &packet, now, out);
                }
                Phase::Open => {
                    let seq = flow.acked;
                    self.reset(&key, seq, target, now, out);
                }
            }
        }
    }

    /// Does what is due by now.
    pub fn tick(&mut self, now: Millis, out: &mut impl Output) {
        while let Some(&(due, key)) = self.openings.front() {
            if due > now {
                break;
            }
            self.openings.pop_front();
            self.remind(key, now, out);
        }
        self.ask_lost(now, out);
    }

    /// Sends an opening packet that nothing has answered once more.
    fn remind(&mut self, key: FlowKey, now: Millis, out: &mut impl Output) {
        let Some(flow) = self.flows.get(&key) else { return };
        let Phase::Opening { packet } = &flow.phase else { return };
        let (target, since, packet) = (flow.target, flow.since, packet.clone());
        self.send(target, &key, &packet, out);
        self.doubt(target, key, since, now, out);
    }

    fn ask_lost(&mut self, now: Millis, out: &mut impl Output) {
        let states = &self.states;
        let catalog = &self.catalog;
        let is_listed = |it: &Incarnation| {
            catalog.entry(*it).is_some_and(|entry| entry.presence == Presence::Listed)
        };
        self.lost.retain(|it| is_listed(it) && states.contains_key(it));
        let is_due =
            |it: &&Incarnation| self.states[*it].health.retry().is_some_and(|at| at <= now);
        let due: Vec<Incarnation> = self.lost.iter().filter(is_due).copied().collect();
        for target in due {
            self.ask(target, now, out);
        }
    }

    /// When [`tick`](Self::tick) has something to do next.
    pub fn deadline(&mut self) -> Option<Millis> {
        while let Some((_, key)) = self.openings.front() {
            if self.flows.get(key).is_some_and(Flow::is_opening) {
                break;
            }
            self.openings.pop_front();
        }
        let opening = self.openings.front().map(|(due, _)| *due);
        let states = &self.states;
        let retries = self.lost.iter().filter_map(|it| states.get(it)?.health.retry());
        opening.into_iter().chain(retries).min()
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

    fn keep(&mut self, key: FlowKey, flow: Flow) {
        self.account(&flow, 1);
        self.flows.insert(key, flow);
    }

    fn drop_flow(&mut self, key: &FlowKey) {
        if let Some(flow) = self.flows.remove(key) {
            self.account(&flow, -1);
        }
    }

    fn account(&mut self, flow: &Flow, sign: i32) {
        if let Some(state) = self.states.get_mut(&flow.target) {
            state.account(flow, sign);
        }
    }
}
