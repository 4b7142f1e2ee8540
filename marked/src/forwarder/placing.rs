//! Giving new flows a target.

use super::{
    Forwarder, Output, Refusal,
    reach::DOUBT_TIME,
    waiting::{self, NewFlow},
};
use crate::{Entry, Flow, FlowKey, Incarnation, Mark, Note, Phase, Presence, Segment};
use medlarspur_lib::{bundle::Class, ids::ServiceName, time::Millis};
use medlarspur_load::choice::{self, Candidate, Tier};

/// How long an opening packet may go without the end of the handshake before it
/// is sent again and its target doubted. A round trip through caller and target
/// takes up to 12 ms where failure domains are 1.4 ms apart; callers repeat it
/// only after 200 ms, when some answers are late already.
const OPENING_PATIENCE: Millis = Millis(30);
/// How long a caller tries to open a flow, with some room.
pub(super) const OPENING_LIMIT: Millis = Millis(1_600);
/// How long a target that is not listed any more gets new flows if it answers:
/// an entry that lapsed without need is back within some two seconds.
const LAPSE_LIMIT: Millis = Millis::secs(3);

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
            service: route.share(self.random.draw()).clone(),
            packet: bytes.into(),
        };
        if let Some(new) = self.hold(new, goal, segment, now, out) {
            self.place(new, now, out);
        }
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
    pub(super) fn place(&mut self, it: NewFlow, now: Millis, out: &mut impl Output) {
        let NewFlow { key, seq, class, service, packet } = it;
        self.drop_flow(&key);
        let Some((target, note)) = self.choose(&service, class, &key, now) else {
            return self.refuse(&key, Refusal::NoTarget, out);
        };
        self.counts.opened += 1;
        out.note(note);
        self.send(target, &key, &packet, out);
        self.keep(key, Flow::open(target, class, packet, seq, now));
        self.openings.push_back((now + OPENING_PATIENCE, key));
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
    pub(super) fn candidate(&self, entry: &Entry, now: Millis) -> Option<Candidate> {
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
            Presence::Unusable(_) | Presence::Replaced(_) => return None,
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

    /// Sends an opening packet that nothing has answered once more.
    pub(super) fn remind(&mut self, key: FlowKey, now: Millis, out: &mut impl Output) {
        let Some(flow) = self.flows.get(&key) else { return };
        let Phase::Opening { packet } = &flow.phase else { return };
        let (target, since, packet) = (flow.target, flow.since, packet.clone());
        self.send(target, &key, &packet, out);
        self.doubt(target, key, since, now, out);
    }

    /// Resets a flow that went to no target.
    pub(super) fn refuse(&mut self, flow: &FlowKey, refusal: Refusal, out: &mut impl Output) {
        self.counts.refuse(refusal);
        out.reset(flow, 0);
        out.note(Note::Reset { flow: *flow, refusal, target: None, lost: None });
    }
}
