//! Giving new flows a target.

use super::{
    Forwarder, Output, Refusal,
    closed::Closed,
    dealt::Dealt,
    reach::DOUBT_TIME,
    waiting::{self, NewFlow},
};
use crate::{Entry, Flow, FlowKey, Incarnation, Mark, Note, Phase, Presence, Segment};
use medlarspur_lib::{
    bundle::Class,
    collections::Map,
    ids::{DomainName, ServiceName},
    time::Millis,
};
use medlarspur_load::{
    choice::{self, Candidate, Tier},
    reserve::RequestShare,
};

/// How long an opening packet may go without the end of the handshake, at least, before
/// it is sent again and its target doubted. A round trip through caller and target
/// takes up to 12 ms where failure domains are 1.4 ms apart and callers 3 ms away.
const LEAST_PATIENCE: Millis = Millis(30);
/// The same, at most: callers repeat an opening after 200 ms, when some answers are late
/// already. Between the two it is the longest handshake that is usual here, so that openings
/// of callers who are far aren't all sent twice.
const MOST_PATIENCE: Millis = Millis(100);
/// Until when an unanswered opening is looked at. After 200 ms its caller sends it again
/// by itself, and each copy has the target asked if it is silent.
const LAST_LOOK: Millis = Millis(200);
/// How long a flow must have waited here for its caller to count as maybe gone. Callers
/// with several flows go on with the one that becomes free first, and end no handshake of
/// the others. Until 200 ms no caller has sent its opening again, so most are still there.
pub(super) const OVERDUE: Millis = Millis(200);
/// How much later than usual an end of the handshake may be looked at: a round of an
/// instance with a twentieth of a core takes some milliseconds.
const LATENESS: Millis = Millis(10);
/// How long a caller tries to open a flow, with some room.
pub(super) const OPENING_LIMIT: Millis = Millis(1_600);
/// How long a target that is not listed any more gets new flows if it answers:
/// an entry that lapsed without need is back within some two seconds.
const LAPSE_LIMIT: Millis = Millis::secs(3);

/// Targets that could take a flow.
#[derive(Default)]
struct Options {
    targets: Vec<Incarnation>,
    /// The same as candidates, in the same order.
    candidates: Vec<Candidate>,
    /// Whether targets were left out, which operators are shown.
    evacuated: bool,
    warming: bool,
}

impl Forwarder {
    pub(super) fn open(
        &mut self,
        segment: &Segment,
        bytes: &[u8],
        now: Millis,
        out: &mut impl Output,
    ) {
        if let Some(target) = self.opened(&segment.key, now) {
            self.counts.reopened += 1;
            if let Some(flow) = self.flows.get_mut(&segment.key) {
                flow.resent = true;
            }
            self.send(target, &segment.key, bytes, out);
            return;
        }
        if self.is_held(&segment.key) {
            return;
        }
        let Some(route) = self.catalog.route(segment.key.service) else {
            return self.refuse(&segment.key, Refusal::NoRoute, out);
        };
        let goal = waiting::goal(route);
        let new = NewFlow {
            key: segment.key,
            seq: segment.seq,
            class: route.class,
            service: route.pick_service(self.random.draw()).clone(),
            packet: bytes.into(),
            waited: Millis(0),
        };
        if let Some(new) = self.hold(new, goal, now, out) {
            self.place(new, now, out);
        }
    }

    /// The target that a flow was opened to a moment ago and that may still
    /// answer. Later, the same ports are a new flow. An opening that nothing has answered
    /// leaves a failure domain that operators have emptied meanwhile, or where its route's
    /// requests must not go any more: its copy would open the flow there after all.
    fn opened(&self, key: &FlowKey, now: Millis) -> Option<Incarnation> {
        let flow = self.flows.get(key)?;
        let is_copy = flow.opened && now.since(flow.since) <= OPENING_LIMIT;
        let is_lost = self.states.get(&flow.target).is_some_and(|it| it.health.is_lost());
        let is_known = self.catalog.entry(flow.target).is_some();
        let is_late = flow.is_opening() && self.is_barred(key, flow.target);
        (is_copy && !is_lost && is_known && !is_late).then_some(flow.target)
    }

    /// Gives a new flow a target.
    pub(super) fn place(&mut self, it: NewFlow, now: Millis, out: &mut impl Output) {
        let NewFlow { key, seq, class, service, packet, waited } = it;
        self.drop_flow(&key);
        let Some((target, note)) = self.choose(&service, class, &key, now) else {
            return self.refuse(&key, self.excluded(&service, &key, now), out);
        };
        self.counts.opened += 1;
        self.note_warmup(target, now);
        out.note(note);
        self.send(target, &key, &packet, out);
        let mut flow = Flow::open(target, class, packet, seq, now);
        flow.overdue = waited >= OVERDUE;
        self.keep(key, flow);
        self.look_later(key, now);
    }

    /// Has an unanswered opening looked at when it is late.
    fn look_later(&mut self, key: FlowKey, now: Millis) {
        let due = now + self.opening_patience();
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.look = due;
            self.openings.push_back((due, key));
        }
    }

    fn opening_patience(&self) -> Millis {
        let usual = self.heard.longest_handshake().map_or(LEAST_PATIENCE, |usual| usual + LATENESS);
        usual.clamp(LEAST_PATIENCE, MOST_PATIENCE)
    }

    fn choose(
        &mut self,
        service: &ServiceName,
        class: Class,
        key: &FlowKey,
        now: Millis,
    ) -> Option<(Incarnation, Note)> {
        let dealt = self.dealt(service);
        let first =
            dealt.as_ref().and_then(|dealt| self.choose_own(service, dealt, class, key, now));
        let options =
            first.unwrap_or_else(|| self.options(service, dealt.as_ref(), class, key, now));
        self.choose_among(options, class, key)
    }

    /// The targets of this instance's own part, if nothing closes any of the service's and one
    /// of them costs no more than any other could. Few flows go on to look at all targets, so
    /// that the work for one doesn't grow with their number.
    fn choose_own(
        &self,
        service: &ServiceName,
        dealt: &Dealt,
        class: Class,
        key: &FlowKey,
        now: Millis,
    ) -> Option<Options> {
        let bounds = self.bounds(service, key);
        if !bounds.is_empty() || self.catalog.evacuated().next().is_some() {
            return None;
        }
        let mix = self.heard.mix(service);
        let mut options = Options::default();
        for entry in dealt.own.iter().filter_map(|it| self.catalog.entry(*it)) {
            let Some(mut candidate) = self.candidate(entry, class, now) else { continue };
            candidate.reserved =
                class != Class::Upload && dealt.is_kept(entry.target.incarnation, mix);
            options.targets.push(entry.target.incarnation);
            options.candidates.push(candidate);
        }
        options.candidates.iter().any(|it| it.is_cheapest_possible(class)).then_some(options)
    }

    /// All targets that could take a flow.
    fn options(
        &self,
        service: &ServiceName,
        dealt: Option<&Dealt>,
        class: Class,
        key: &FlowKey,
        now: Millis,
    ) -> Options {
        let bounds = self.bounds(service, key);
        let (mut options, mut entries) = (Options::default(), Vec::new());
        for entry in self.catalog.targets(service) {
            match self.closed(entry, bounds, now) {
                Some(Closed::Evacuated) => options.evacuated = true,
                Some(Closed::Warming) => options.warming = true,
                Some(Closed::Away) => {}
                None => {
                    let Some(mut candidate) = self.candidate(entry, class, now) else { continue };
                    let is_own = |dealt: &Dealt| dealt.owns(entry.target.incarnation);
                    candidate.outside_subset =
                        candidate.same_domain && dealt.is_some_and(|it| !is_own(it));
                    entries.push(entry);
                    options.candidates.push(candidate);
                }
            }
        }
        if class != Class::Upload {
            let mix = self.heard.mix(service);
            keep_for_requests(mix, &entries, &mut options.candidates);
        }
        options.targets = entries.iter().map(|entry| entry.target.incarnation).collect();
        options
    }

    fn choose_among(
        &mut self,
        options: Options,
        class: Class,
        key: &FlowKey,
    ) -> Option<(Incarnation, Note)> {
        let Options { mut targets, mut candidates, evacuated, warming } = options;
        loop {
            let position = choice::choose(&candidates, class, self.random.draw())?;
            let count = candidates.len();
            let chosen = candidates.swap_remove(position);
            let target = targets.swap_remove(position);
            // Another target may have the same mark for this flow, and packets
            // in mid-flow would go there.
            let meant = self.catalog.entry_by_mark(Mark::new(target, key), key);
            if meant.is_some_and(|entry| entry.target.incarnation == target) {
                self.counts.avoided += u64::from(evacuated);
                self.counts.spared += u64::from(warming);
                let note = Note::Opened {
                    flow: *key,
                    target,
                    class,
                    tier: chosen.tier,
                    work: chosen.in_flight + chosen.opening,
                    candidates: count,
                };
                return Some((target, note));
            }
        }
    }

    /// Why no target of a service can take a flow.
    fn excluded(&self, service: &ServiceName, key: &FlowKey, now: Millis) -> Refusal {
        let targets = self.catalog.targets(service).filter(|it| !it.target.leaving);
        let targets: Vec<&Entry> = targets.collect();
        let bounds = self.bounds(service, key);
        let closed = |it: &&Entry| it.is_listed().then(|| self.closed(it, bounds, now)).flatten();
        if targets.iter().any(|entry| closed(entry).is_none() && self.is_full(entry)) {
            return Refusal::Full;
        }
        match targets.iter().find_map(closed) {
            Some(Closed::Warming) => Refusal::Warming,
            Some(Closed::Evacuated) => Refusal::Evacuated,
            Some(Closed::Away) => Refusal::Away,
            None => Refusal::NoTarget,
        }
    }

    /// A target as one that could take a flow, unless it is [closed](Closed); none if it
    /// must not.
    pub(super) fn candidate(&self, entry: &Entry, class: Class, now: Millis) -> Option<Candidate> {
        let state = self.states.get(&entry.target.incarnation)?;
        if entry.target.leaving || state.health.is_lost() {
            return None;
        }
        if !state.vacancy.can_open(class, state.opening) {
            return None;
        }
        let same_domain = entry.target.domain == self.tuning.domain;
        let is_doubted = state.doubted.is_some_and(|at| now.since(at) < DOUBT_TIME);
        let is_doubted = is_doubted || self.stranded && !same_domain;
        let tier = match entry.presence {
            Presence::Removed(since)
                if state.health.last_alive() <= since || now.since(since) > LAPSE_LIMIT =>
            {
                return None;
            }
            Presence::Unusable(_) | Presence::Replaced(_) => return None,
            _ if is_doubted => Tier::Doubtful,
            Presence::Removed(_) => Tier::Unlisted,
            Presence::Listed => Tier::Good,
        };
        Some(Candidate {
            tier,
            slots: entry.target.slots,
            in_flight: state.working,
            opening: state.opening,
            idle_feeds: state.feeds,
            cold: now < entry.cold_until,
            same_domain,
            reserved: false,
            outside_subset: false,
        })
    }

    /// Looks at an opening that nothing has answered: sends it once more and has its target
    /// asked, and looks again after as long. What the target then still leaves unanswered
    /// it has no room for, also if it answers questions; without the second look the flow
    /// would wait there until its caller gives up.
    pub(super) fn remind(&mut self, key: FlowKey, now: Millis, out: &mut impl Output) {
        let Some(flow) = self.flows.get_mut(&key) else { return };
        let Phase::Opening { packet } = &flow.phase else { return };
        if flow.overdue {
            return self.abandon(key, now, out);
        }
        let (target, since, packet) = (flow.target, flow.since, packet.clone());
        let is_first = flow.looks == 0;
        flow.looks += 1;
        if self.is_barred(&key, target) {
            return self.move_opening(key, target, now, out);
        }
        if self.refuse_place(target, since, now, out) {
            return;
        }
        if is_first {
            if let Some(flow) = self.flows.get_mut(&key) {
                flow.resent = true;
            }
            self.send(target, &key, &packet, out);
            self.doubt_opening(target, key, since, now, out);
        }
        if now.since(since) < LAST_LOOK {
            self.look_later(key, now);
        }
    }

    /// Takes an overdue opening for one whose caller has gone. It is no work then, and
    /// says nothing of its target by itself. Taken for silence, the openings of a crowd that
    /// has waited here make all targets look full, and callers are turned away while targets
    /// stand idle. The target is asked, though: where everybody
    /// waits, nothing else would show that it is silent or full, and having the least work
    /// it would get all that is opened. Should the caller be there after all, the end of its
    /// handshake finds the target by its mark.
    fn abandon(&mut self, key: FlowKey, now: Millis, out: &mut impl Output) {
        let Some(mut flow) = self.flows.remove(&key) else { return };
        self.account(&flow, -1);
        flow.abandoned = true;
        let (target, since) = (flow.target, flow.since);
        self.flows.insert(key, flow);
        self.doubt_late_opening(target, key, since, now, out);
    }

    /// Resets a flow that went to no target.
    pub(super) fn refuse(&mut self, flow: &FlowKey, refusal: Refusal, out: &mut impl Output) {
        self.counts.refuse(refusal);
        out.reset(flow, 0);
        out.note(Note::Reset { flow: *flow, refusal, target: None, lost: None });
    }
}

/// Marks the targets that feeds should leave to requests: in each failure domain the first ones
/// by their numbers, which all instances rank alike.
fn keep_for_requests(mix: RequestShare, entries: &[&Entry], candidates: &mut [Candidate]) {
    let mut domains: Map<&DomainName, Vec<(Incarnation, usize)>> = Map::default();
    for (at, entry) in entries.iter().enumerate() {
        let domain = domains.entry(&entry.target.domain).or_default();
        domain.push((entry.target.incarnation, at));
    }
    for domain in domains.values_mut() {
        let kept = mix.reserved_targets(domain.len());
        // Every opening of a feed comes here, and only which ones are first is needed.
        if kept < domain.len() {
            domain.select_nth_unstable(kept);
        }
        for (_, at) in &domain[..kept] {
            candidates[*at].reserved = true;
        }
    }
}
