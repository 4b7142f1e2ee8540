//! Choice of targets for new flows.

use super::{
    FlowEvent, Forwarder, Output, Refusal,
    exclusion::Exclusion,
    outcomes::MAX_CHECK_DELAY,
    probing::SUSPECT_TIME,
    subset::Subset,
    waiting::{self, NewFlow},
};
use crate::{
    Entry, Flow, FlowKey, Incarnation, Kind, Mark, Note, Phase, Presence, Segment,
    last_copy::{ANSWER_TIME, LastCopy},
};
use medlarspur_lib::{
    bundle::Class,
    collections::Map,
    ids::{DomainName, ServiceName},
    time::Millis,
};
use medlarspur_load::{
    choice::{self, Candidate, Demand, Tier},
    priority::Level,
    reserve::ElevatedShare,
};

/// Minimum time without the end of the handshake after which an opening packet is sent again
/// and its target suspected.
const MIN_OPENING_TIMEOUT: Millis = ANSWER_TIME;
/// Maximum of the same time: callers repeat an opening after 200 ms, when some answers are
/// already late. Between the two limits the usual upper bound of handshake times applies, so
/// that openings of distant callers aren't all sent twice.
const MAX_OPENING_TIMEOUT: Millis = Millis(100);
/// Age of an unanswered opening after which it is no longer checked. After 200 ms the caller
/// sends it again by itself, and each copy has the target probed if it is silent.
const MAX_CHECK_AGE: Millis = Millis(200);
/// Time for which a flow must have been held here for its caller to count as possibly gone.
/// Callers with several flows continue with the one that is free first and end no handshake of
/// the others. Until 200 ms no caller has sent its opening again, so most are still there.
pub(super) const OVERDUE_WAIT: Millis = Millis(200);
/// Margin that is added to the usual handshake time: one iteration of an instance with a
/// twentieth of a core takes some milliseconds.
const TIMEOUT_MARGIN: Millis = Millis(10);
/// Maximum time for which a caller tries to open a flow, with a margin.
pub(super) const OPENING_LIMIT: Millis = Millis(1_600);
/// Maximum time for which a target that is no longer listed gets new flows if it answers: an
/// entry that lapsed needlessly is back within about two seconds.
const LAPSE_LIMIT: Millis = Millis::secs(3);

/// Targets that could take a flow.
#[derive(Default)]
struct Options {
    targets: Vec<Incarnation>,
    /// The same targets as candidates, in the same order.
    candidates: Vec<Candidate>,
    /// Whether targets were left out because of an evacuation or slow start; both are counted.
    evacuated: bool,
    warming: bool,
}

/// Properties of the target that was chosen for a flow, for the log.
struct Choice {
    tier: Tier,
    /// Requests and openings in flight there.
    work: u32,
    /// Number of targets that could take the flow.
    candidates: usize,
}

impl Forwarder {
    pub(super) fn handle_open(
        &mut self,
        segment: &Segment,
        bytes: &[u8],
        queued: Millis,
        now: Millis,
        out: &mut impl Output,
    ) {
        let last_copy = LastCopy::new(segment, queued, now);
        if last_copy.is_superseded(now) {
            self.counts.superseded += 1;
            return out.note(Note::Superseded { flow: segment.key, waited: queued });
        }
        if let Some(target) = self.copy_target(&segment.key, now) {
            self.counts.reopened += 1;
            if let Some(flow) = self.flows.get_mut(&segment.key) {
                flow.resent = true;
                flow.last_copy = Some(last_copy);
            }
            self.send(target, &segment.key, bytes, out);
            return;
        }
        if let Some(held) = self.held.get_mut(&segment.key) {
            held.packet = bytes.into();
            held.last_copy = last_copy;
            return;
        }
        let Some(route) = self.catalog.route(segment.key.service) else {
            return self.refuse(&segment.key, Refusal::NoRoute, out);
        };
        let objective = waiting::objective(route);
        let new = NewFlow {
            key: segment.key,
            seq: segment.seq,
            class: route.class,
            service: route.pick_service(self.random.draw()).clone(),
            packet: bytes.into(),
            last_copy,
            waited: Millis(0),
        };
        self.record_level_use(&new.service, new.class, &new.key, now);
        if let Some(new) = self.hold_if_busy(new, objective, now, out) {
            self.place(new, now, out);
        }
    }

    /// The target of a recently opened flow if the target may still answer; later packets of
    /// the same ports open a new flow. An unanswered opening leaves a failure domain that was
    /// evacuated in the meantime, or that the route's requests may no longer enter: its copy
    /// would still open the flow there.
    fn copy_target(&self, key: &FlowKey, now: Millis) -> Option<Incarnation> {
        let flow = self.flows.get(key)?;
        let is_copy = flow.opened_here && now.since(flow.first_seen) <= OPENING_LIMIT;
        let is_lost = self.states.get(&flow.target).is_some_and(|it| it.health.is_lost());
        let is_known = self.catalog.entry(flow.target).is_some();
        let must_move = flow.is_opening() && self.is_evacuated_or_away(key, flow.target);
        (is_copy && !is_lost && is_known && !must_move).then_some(flow.target)
    }

    /// Chooses a target for a new flow and forwards the opening packet.
    pub(super) fn place(&mut self, it: NewFlow, now: Millis, out: &mut impl Output) {
        let NewFlow { key, seq, class, service, packet, last_copy, waited } = it;
        self.settle_closed(&key, Kind::Abort, now, out);
        self.drop_flow(&key);
        let level = self.level(&service, class, &key);
        let demand = Demand { class, level };
        let Some((target, choice)) = self.choose(&service, demand, &key, now) else {
            out.count(&service, level, FlowEvent::Refused);
            self.record_refusal(&service, level, &key, now);
            return self.refuse(&key, self.refusal_reason(&service, &key, now), out);
        };
        self.counts.opened += 1;
        out.count(&service, level, FlowEvent::Opened);
        self.record_opening(&service, demand, &key, now);
        self.record_warmup_opening(target, now);
        self.record_trial(&key, target, now);
        let age = last_copy.age(now);
        let Choice { tier, work, candidates } = choice;
        out.note(Note::Opened { flow: key, target, class, tier, work, candidates, waited: age });
        self.send(target, &key, &packet, out);
        let mut flow = Flow::open(target, class, packet, seq, now);
        flow.level = level;
        flow.last_copy = Some(last_copy);
        flow.overdue = waited >= OVERDUE_WAIT;
        self.insert_flow(key, flow);
        self.schedule_opening_check(key, now);
    }

    /// Schedules a check of an unanswered opening.
    fn schedule_opening_check(&mut self, key: FlowKey, now: Millis) {
        let due = now + self.opening_timeout();
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.next_check = due;
            self.openings.push_back((due, key));
        }
    }

    fn opening_timeout(&self) -> Millis {
        let usual = self
            .estimates
            .longest_handshake()
            .map_or(MIN_OPENING_TIMEOUT, |usual| usual + TIMEOUT_MARGIN);
        usual.clamp(MIN_OPENING_TIMEOUT, MAX_OPENING_TIMEOUT)
    }

    fn choose(
        &mut self,
        service: &ServiceName,
        demand: Demand,
        key: &FlowKey,
        now: Millis,
    ) -> Option<(Incarnation, Choice)> {
        let subset = self.subset(service);
        let first = subset
            .as_ref()
            .and_then(|subset| self.subset_options(service, subset, demand, key, now));
        let options =
            first.unwrap_or_else(|| self.all_options(service, subset.as_ref(), demand, key, now));
        self.choose_among(options, demand, key)
    }

    /// Returns the targets of this instance's subset, if no target of the service is excluded
    /// other than as an outlier and one of the subset ranks as high as any other could. All
    /// targets are then examined for few flows only, so that the cost of a flow does not grow
    /// with their number.
    fn subset_options(
        &self,
        service: &ServiceName,
        subset: &Subset,
        demand: Demand,
        key: &FlowKey,
        now: Millis,
    ) -> Option<Options> {
        let restrictions = self.restrictions(service, key);
        if !restrictions.is_empty() || self.catalog.evacuated().next().is_some() {
            return None;
        }
        let share = self.reserving_share(service, demand.class);
        let mut options = Options::default();
        for entry in subset.own.iter().filter_map(|it| self.catalog.entry(*it)) {
            if self.is_outlier(entry) && !self.may_try_outlier(entry, key, demand.class, now) {
                continue;
            }
            let Some(mut candidate) = self.candidate(entry, demand.level, now) else { continue };
            candidate.reserved =
                share.is_some_and(|share| subset.is_reserved(entry.target.incarnation, share));
            options.targets.push(entry.target.incarnation);
            options.candidates.push(candidate);
        }
        options.candidates.iter().any(|it| it.is_cheapest_possible(demand)).then_some(options)
    }

    /// Returns all targets that could take a flow. Outliers are among them only for a trial, or
    /// if there are no others.
    fn all_options(
        &self,
        service: &ServiceName,
        subset: Option<&Subset>,
        demand: Demand,
        key: &FlowKey,
        now: Millis,
    ) -> Options {
        let restrictions = self.restrictions(service, key);
        let (mut options, mut entries) = (Options::default(), Vec::new());
        let mut outliers = Vec::new();
        for entry in self.catalog.targets(service) {
            let exclusion = self.exclusion(entry, restrictions, now);
            match exclusion {
                Some(Exclusion::Evacuated) => options.evacuated = true,
                Some(Exclusion::Warming) => options.warming = true,
                Some(Exclusion::Away) => {}
                Some(Exclusion::Outlier) | None => {
                    let Some(mut candidate) = self.candidate(entry, demand.level, now) else {
                        continue;
                    };
                    let is_own = |subset: &Subset| subset.contains(entry.target.incarnation);
                    candidate.outside_subset =
                        candidate.same_domain && subset.is_some_and(|it| !is_own(it));
                    if exclusion.is_some() && !self.may_try_outlier(entry, key, demand.class, now) {
                        outliers.push((entry, candidate));
                        continue;
                    }
                    entries.push(entry);
                    options.candidates.push(candidate);
                }
            }
        }
        if entries.is_empty() {
            (entries, options.candidates) = outliers.into_iter().unzip();
        }
        if let Some(share) = self.reserving_share(service, demand.class) {
            reserve_targets(share, &entries, &mut options.candidates);
        }
        options.targets = entries.iter().map(|entry| entry.target.incarnation).collect();
        options
    }

    /// The share of the work that determines which targets are reserved for higher levels, if
    /// any are. Uploads go to any target of their domain, since their bytes are expensive to
    /// carry to another one.
    fn reserving_share(&self, service: &ServiceName, class: Class) -> Option<ElevatedShare> {
        let has_reserve = class != Class::Upload && self.levels.has_several(service);
        has_reserve.then(|| self.estimates.elevated_share(service))
    }

    fn choose_among(
        &mut self,
        options: Options,
        demand: Demand,
        key: &FlowKey,
    ) -> Option<(Incarnation, Choice)> {
        let Options { mut targets, mut candidates, evacuated, warming } = options;
        loop {
            let position = choice::choose(&candidates, demand, self.random.draw())?;
            let count = candidates.len();
            let chosen = candidates.swap_remove(position);
            let target = targets.swap_remove(position);
            // Another target may have the same mark for this flow, and would get its packets in
            // mid-flow.
            let marked = self.catalog.entry_by_mark(Mark::new(target, key), key);
            if marked.is_some_and(|entry| entry.target.incarnation == target) {
                self.counts.avoided += u64::from(evacuated);
                self.counts.spared += u64::from(warming);
                let work = chosen.in_flight + chosen.opening;
                return Some((target, Choice { tier: chosen.tier, work, candidates: count }));
            }
        }
    }

    /// Returns the reason why no target of a service can take a flow.
    fn refusal_reason(&self, service: &ServiceName, key: &FlowKey, now: Millis) -> Refusal {
        let targets = self.catalog.targets(service).filter(|it| !it.target.leaving);
        let targets: Vec<&Entry> = targets.collect();
        let restrictions = self.restrictions(service, key);
        let exclusion = |it: &&Entry| {
            let exclusion = it.is_listed().then(|| self.exclusion(it, restrictions, now)).flatten();
            // An outlier would have got the flow if it could take it.
            exclusion.filter(|it| *it != Exclusion::Outlier)
        };
        if targets.iter().any(|entry| exclusion(entry).is_none() && self.is_full(entry)) {
            return Refusal::Full;
        }
        match targets.iter().find_map(exclusion) {
            Some(Exclusion::Warming) => Refusal::Warming,
            Some(Exclusion::Evacuated) => Refusal::Evacuated,
            Some(Exclusion::Away) => Refusal::Away,
            Some(Exclusion::Outlier) | None => Refusal::NoTarget,
        }
    }

    /// Returns a target as a candidate for a flow, without checking its [exclusion](Exclusion);
    /// none if it can't take the flow.
    pub(super) fn candidate(&self, entry: &Entry, level: Level, now: Millis) -> Option<Candidate> {
        let state = self.states.get(&entry.target.incarnation)?;
        if entry.target.leaving || state.health.is_lost() {
            return None;
        }
        let has_abandoned = state.left_idle > 0 && self.levels.has_several(&entry.target.service);
        let abandoned = if has_abandoned { state.left_idle } else { 0 };
        if !state.vacancy.can_open_beside(abandoned, level, state.opening) {
            return None;
        }
        let same_domain = entry.target.domain == self.options.domain;
        let is_suspected = state.suspected_at.is_some_and(|at| now.since(at) < SUSPECT_TIME);
        let is_suspected = is_suspected || self.stranded && !same_domain;
        let tier = match entry.presence {
            Presence::Removed(since)
                if state.health.last_alive() <= since || now.since(since) > LAPSE_LIMIT =>
            {
                return None;
            }
            Presence::Unusable(_) | Presence::Replaced(_) => return None,
            _ if is_suspected => Tier::Doubtful,
            Presence::Removed(_) => Tier::Unlisted,
            Presence::Listed => Tier::Good,
        };
        Some(Candidate {
            tier,
            slots: entry.target.slots,
            in_flight: state.in_flight,
            opening: state.opening,
            idle_feeds: state.idle_feeds,
            cold: now < entry.cold_until,
            same_domain,
            reserved: false,
            outside_subset: false,
        })
    }

    /// Checks an unanswered opening: sends it again, has its target probed, and schedules the
    /// next check. If the target then still leaves it unanswered, the target is full, even if
    /// it answers probes; without the second check the flow would wait there until its caller
    /// gives up.
    pub(super) fn check_opening(&mut self, key: FlowKey, now: Millis, out: &mut impl Output) {
        let Some(flow) = self.flows.get_mut(&key) else { return };
        let Phase::Opening { packet } = &flow.phase else { return };
        if now.since(flow.next_check) > MAX_CHECK_DELAY {
            return self.schedule_opening_check(key, now);
        }
        if flow.last_copy.is_some_and(|it| it.is_followed_elsewhere(now)) {
            // The handshake has probably ended at another instance.
            return;
        }
        let is_superseded = flow.last_copy.is_some_and(|it| it.is_superseded(now));
        if flow.overdue {
            return self.abandon(key, now, out);
        }
        let (target, since, packet) = (flow.target, flow.first_seen, packet.clone());
        let is_first = flow.checks == 0;
        flow.checks += 1;
        if self.is_evacuated_or_away(&key, target) {
            return self.move_opening(key, target, now, out);
        }
        if self.mark_full_if_declining(target, since, now, out) {
            return;
        }
        if is_first {
            if !is_superseded {
                if let Some(flow) = self.flows.get_mut(&key) {
                    flow.resent = true;
                }
                self.send(target, &key, &packet, out);
            }
            self.suspect_opening(target, key, since, now, out);
        }
        if now.since(since) < MAX_CHECK_AGE {
            self.schedule_opening_check(key, now);
        }
    }

    /// Treats the caller of an overdue opening as gone. The opening no longer counts as work,
    /// and by itself says nothing about its target. Treated as silence, the openings held
    /// during overload would make all targets look full, and callers would be refused while
    /// targets are idle. The target is probed nevertheless: if all openings are held, nothing
    /// else would show that it is silent or full, and it would get all new flows because it has
    /// the least work. If the caller is still there, the end of its handshake finds the target
    /// by its mark.
    fn abandon(&mut self, key: FlowKey, now: Millis, out: &mut impl Output) {
        let Some(mut flow) = self.flows.remove(&key) else { return };
        self.account(&flow, -1);
        flow.abandoned = true;
        let (target, since) = (flow.target, flow.first_seen);
        self.flows.insert(key, flow);
        self.suspect_late_opening(target, key, since, now, out);
    }

    /// Resets a flow that was sent to no target.
    pub(super) fn refuse(&mut self, flow: &FlowKey, refusal: Refusal, out: &mut impl Output) {
        self.counts.refuse(refusal);
        out.reset(flow, 0);
        out.note(Note::Reset { flow: *flow, refusal, target: None, lost: None, level: None });
    }

    /// Resets a flow of a level that was sent to no target because its service lacks capacity.
    pub(super) fn refuse_level(
        &mut self,
        flow: &FlowKey,
        refusal: Refusal,
        service: &ServiceName,
        level: Level,
        out: &mut impl Output,
    ) {
        out.count(service, level, FlowEvent::Refused);
        self.counts.refuse(refusal);
        out.reset(flow, 0);
        let level = Some(level);
        out.note(Note::Reset { flow: *flow, refusal, target: None, lost: None, level });
    }
}

/// Marks the candidates that the lowest level leaves to higher ones: the first ones of each
/// failure domain by incarnation, an order that is the same at all instances.
fn reserve_targets(share: ElevatedShare, entries: &[&Entry], candidates: &mut [Candidate]) {
    let mut domains: Map<&DomainName, Vec<(Incarnation, usize)>> = Map::default();
    for (at, entry) in entries.iter().enumerate() {
        let domain = domains.entry(&entry.target.domain).or_default();
        domain.push((entry.target.incarnation, at));
    }
    for domain in domains.values_mut() {
        let reserved = share.reserved_targets(domain.len());
        // Every opening outside the subset runs this, and only membership in the first part is
        // needed, so a selection replaces a full sort.
        if reserved < domain.len() {
            domain.select_nth_unstable(reserved);
        }
        for (_, at) in &domain[..reserved] {
            candidates[*at].reserved = true;
        }
    }
}
