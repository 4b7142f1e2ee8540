//! Heartbeats: when they go, what they carry and what is learned from them.

use super::{Action, Controller};
use crate::{
    collections::Map,
    ids::{InstanceName, Version},
    members::{Member, MemberState, rank},
    message::{Digest, Heartbeat, Leave, Message},
    spread::Check,
    time::Millis,
};
use std::net::SocketAddrV4;

/// How often each neighbour gets a heartbeat.
pub const HEARTBEAT_INTERVAL: Millis = Millis(1_000);
/// How often one who is not a neighbour is asked: a seed, one of the
/// platform's list or a dead one. It is how the sides of a healed partition
/// find each other, and costs about a hundred bytes a second.
const PROBE: Millis = Millis(1_000);
/// How many of those are asked at once while nobody else is known.
const START_PROBES: usize = 3;

/// The schedule of heartbeats and what the peers said last.
#[derive(Debug)]
pub(super) struct Beat {
    next: Option<Millis>,
    probe: Option<Millis>,
    /// Shifts the schedule, so that instances started together don't send
    /// all at one moment.
    phase: u64,
    turn: u64,
    /// Kept until this instance is ready.
    claims: Map<InstanceName, (Version, Digest)>,
}

impl Beat {
    pub(super) fn new(me: &InstanceName) -> Beat {
        let phase = rank("phase", me.as_str()) % HEARTBEAT_INTERVAL.0;
        Beat { next: None, probe: None, phase, turn: phase, claims: Map::default() }
    }

    /// After a sleep all are asked at once.
    pub(super) fn wake(&mut self) {
        self.next = None;
        self.probe = None;
    }

    /// What peers said while this instance started.
    pub(super) fn claims(&self) -> impl Iterator<Item = (Version, Digest)> {
        self.claims.values().copied()
    }

    pub(super) fn forget_claims(&mut self) {
        self.claims = Map::default();
    }

    fn due(&mut self, now: Millis) -> bool {
        let due = self.next.is_none_or(|t| now >= t);
        if due {
            let first = if self.next.is_none() { self.phase } else { HEARTBEAT_INTERVAL.0 };
            self.next = Some(now + Millis(first.max(1)));
        }
        due
    }

    fn probe_due(&mut self, now: Millis) -> bool {
        let due = self.probe.is_none_or(|t| now >= t);
        if due {
            self.probe = Some(now + PROBE);
        }
        due
    }
}

impl<C: Check> Controller<C> {
    pub(super) fn beat(&mut self, now: Millis) {
        if self.beat.due(now) {
            for name in self.roster.neighbours().to_vec() {
                self.roster.record_probe(now, &name);
                self.probe(&name);
            }
        }
        if self.beat.probe_due(now) {
            self.seek();
        }
    }

    fn probe(&mut self, name: &InstanceName) {
        let Some(to) = self.roster.get(name).map(|m| m.addresses.control) else { return };
        let beat = self.make_beat(Some(name), true);
        self.send(to, beat);
    }

    /// Asks some of those with whom there is no contact, in turn.
    fn seek(&mut self) {
        let unknown =
            self.seeds.iter().copied().filter(|addr| !self.roster.is_known_address(*addr));
        let mut lost: Vec<SocketAddrV4> = unknown.collect();
        lost.extend(self.roster.uncontacted(&self.candidates).map(|c| c.control));
        lost.extend(self.roster.dead_addresses());
        lost.sort_unstable();
        lost.dedup();
        let n = if self.roster.neighbours().is_empty() { START_PROBES } else { 1 };
        for _ in 0..n.min(lost.len()) {
            self.beat.turn = self.beat.turn.wrapping_add(1);
            let to = lost[(self.beat.turn % lost.len() as u64) as usize];
            let beat = self.make_beat(None, true);
            self.send(to, beat);
        }
    }

    fn make_beat(&mut self, to: Option<&InstanceName>, probe: bool) -> Message {
        Message::Heartbeat(Box::new(Heartbeat {
            sender: self.roster.me().clone(),
            probe,
            digest: self.spread.order().1,
            members: self.roster.digest(),
            plans: self.plans.digest(),
            history: self.history,
            rumours: self.roster.updates_for(to),
        }))
    }

    /// Says at once what changed, in place of waiting for the next heartbeat.
    pub(super) fn tell_neighbours(&mut self) {
        for name in self.roster.neighbours().to_vec() {
            let Some(to) = self.roster.get(&name).map(|m| m.addresses.control) else { continue };
            let beat = self.make_beat(Some(&name), false);
            self.send(to, beat);
        }
    }

    pub(super) fn heartbeat(&mut self, now: Millis, beat: &Heartbeat) {
        let sender = &beat.sender;
        if sender.name == self.roster.me().name {
            // Another life of this name: its incarnation orders the two.
            self.roster.merge(now, sender);
            return;
        }
        self.start.peer();
        self.learn_all(now, beat);
        let to = sender.addresses.control;
        self.note_heard(now, &sender.name, beat.members, to);
        self.hear_bundle(now, sender, beat.digest);
        self.ask_plans(now, beat.plans, to);
        if beat.history != self.history {
            self.actions.push(Action::HistoryDiffers(to));
        }
        if beat.probe {
            let answer = self.make_beat(Some(&sender.name), false);
            self.send(to, answer);
        }
    }

    fn learn_all(&mut self, now: Millis, beat: &Heartbeat) {
        self.roster.merge(now, &beat.sender);
        for rumour in &beat.rumours {
            self.roster.merge(now, rumour);
        }
    }

    fn note_heard(&mut self, now: Millis, name: &InstanceName, digest: u64, to: SocketAddrV4) {
        let differs = self.roster.record_contact(now, name, digest);
        // One that starts knows nobody and need not wait for rumours.
        if differs || !self.is_ready() {
            self.ask_members(now, digest, to);
        }
        let near = self.roster.neighbours().contains(name);
        if self.may_be_stale() && near && !self.heard.contains(name) {
            self.heard.push(name.clone());
        }
    }

    fn hear_bundle(&mut self, now: Millis, sender: &Member, digest: Digest) {
        let order = (sender.version, digest);
        if !self.is_ready() {
            self.beat.claims.insert(sender.name.clone(), order);
        }
        let to = sender.addresses.control;
        if self.spread.handle_claim(now, order, to) {
            let request = self.spread.bundle_request(self.addr());
            self.send(to, request);
        }
    }

    pub(super) fn leave(&mut self) {
        self.roster.set_leaving();
        let me = self.roster.me();
        let leave = Leave { sender: me.name.clone(), incarnation: me.incarnation };
        for to in self.neighbour_addrs() {
            self.send(to, Message::Leave(leave.clone()));
        }
    }

    pub(super) fn hear_leave(&mut self, now: Millis, leave: &Leave) {
        let Some(member) = self.roster.get(&leave.sender) else { return };
        let news = Member {
            state: MemberState::Leaving,
            incarnation: leave.incarnation,
            ..member.clone()
        };
        self.roster.merge(now, &news);
    }
}
