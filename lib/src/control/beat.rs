//! Heartbeats: their schedule, their content and the handling of those
//! received.

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

/// Interval of the heartbeats to each neighbour.
pub const HEARTBEAT_INTERVAL: Millis = Millis(1_000);
/// Interval of probes to instances that are not neighbours: seeds, entries of
/// the platform's list and dead members. Through these probes the sides of a
/// healed partition find each other. They cost about a hundred bytes a second.
const PROBE_INTERVAL: Millis = Millis(1_000);
/// Number of such probes sent at once while no neighbour is known.
const START_PROBES: usize = 3;

/// The schedule of heartbeats, and the bundles that peers claimed to have.
#[derive(Debug)]
pub(super) struct Heartbeats {
    /// Time of the next heartbeats to the neighbours.
    next: Option<Millis>,
    /// Time of the next probes to addresses without contact.
    next_probe: Option<Millis>,
    /// Delay of the first heartbeats in milliseconds, so that instances started
    /// together don't all send at the same moment.
    phase: u64,
    /// Counts the probes to addresses without contact, to take the addresses in
    /// turn.
    turn: u64,
    /// The bundle that each peer claimed to have; kept until this instance is
    /// ready.
    claims: Map<InstanceName, (Version, Digest)>,
}

impl Heartbeats {
    pub(super) fn new(me: &InstanceName) -> Heartbeats {
        let phase = rank("phase", me.as_str()) % HEARTBEAT_INTERVAL.0;
        Heartbeats { next: None, next_probe: None, phase, turn: phase, claims: Map::default() }
    }

    /// Makes all heartbeats due at once, after a sleep.
    pub(super) fn wake(&mut self) {
        self.next = None;
        self.next_probe = None;
    }

    /// The bundles that peers claimed to have while this instance started.
    pub(super) fn claims(&self) -> impl Iterator<Item = (Version, Digest)> {
        self.claims.values().copied()
    }

    pub(super) fn forget_claims(&mut self) {
        self.claims = Map::default();
    }

    fn take_due(&mut self, now: Millis) -> bool {
        let due = self.next.is_none_or(|t| now >= t);
        if due {
            let delay = if self.next.is_none() { self.phase } else { HEARTBEAT_INTERVAL.0 };
            self.next = Some(now + Millis(delay.max(1)));
        }
        due
    }

    fn take_probe_due(&mut self, now: Millis) -> bool {
        let due = self.next_probe.is_none_or(|t| now >= t);
        if due {
            self.next_probe = Some(now + PROBE_INTERVAL);
        }
        due
    }
}

impl<C: Check> Controller<C> {
    pub(super) fn send_heartbeats(&mut self, now: Millis) {
        if self.heartbeats.take_due(now) {
            for name in self.roster.neighbours().to_vec() {
                self.roster.record_probe(now, &name);
                self.probe(&name);
            }
        }
        if self.heartbeats.take_probe_due(now) {
            self.probe_uncontacted();
        }
    }

    fn probe(&mut self, name: &InstanceName) {
        let Some(to) = self.roster.get(name).map(|m| m.addresses.control) else { return };
        let heartbeat = self.make_heartbeat(Some(name), true);
        self.send(to, heartbeat);
    }

    /// Probes addresses without contact, in turn.
    fn probe_uncontacted(&mut self) {
        let unknown =
            self.seeds.iter().copied().filter(|addr| !self.roster.is_known_address(*addr));
        let mut addresses: Vec<SocketAddrV4> = unknown.collect();
        addresses.extend(self.roster.uncontacted(&self.candidates).map(|c| c.control));
        addresses.extend(self.roster.dead_addresses());
        addresses.sort_unstable();
        addresses.dedup();
        let n = if self.roster.neighbours().is_empty() { START_PROBES } else { 1 };
        for _ in 0..n.min(addresses.len()) {
            self.heartbeats.turn = self.heartbeats.turn.wrapping_add(1);
            let to = addresses[(self.heartbeats.turn % addresses.len() as u64) as usize];
            let heartbeat = self.make_heartbeat(None, true);
            self.send(to, heartbeat);
        }
    }

    fn make_heartbeat(&mut self, to: Option<&InstanceName>, probe: bool) -> Message {
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

    /// Sends changes at once instead of with the next heartbeat.
    pub(super) fn notify_neighbours(&mut self) {
        for name in self.roster.neighbours().to_vec() {
            let Some(to) = self.roster.get(&name).map(|m| m.addresses.control) else { continue };
            let heartbeat = self.make_heartbeat(Some(&name), false);
            self.send(to, heartbeat);
        }
    }

    pub(super) fn handle_heartbeat(&mut self, now: Millis, heartbeat: &Heartbeat) {
        let sender = &heartbeat.sender;
        if sender.name == self.roster.me().name {
            // Another process uses this name; the incarnation orders the two.
            self.roster.merge(now, sender);
            return;
        }
        self.start.record_peer();
        self.merge_members(now, heartbeat);
        let to = sender.addresses.control;
        self.record_contact(now, &sender.name, heartbeat.members, to);
        self.handle_claim(now, sender, heartbeat.digest);
        self.request_plans(now, heartbeat.plans, to);
        if heartbeat.history != self.history {
            self.actions.push(Action::HistoryDiffers(to));
        }
        if heartbeat.probe {
            let answer = self.make_heartbeat(Some(&sender.name), false);
            self.send(to, answer);
        }
    }

    fn merge_members(&mut self, now: Millis, heartbeat: &Heartbeat) {
        self.roster.merge(now, &heartbeat.sender);
        for rumour in &heartbeat.rumours {
            self.roster.merge(now, rumour);
        }
    }

    fn record_contact(&mut self, now: Millis, name: &InstanceName, digest: u64, to: SocketAddrV4) {
        let differs = self.roster.record_contact(now, name, digest);
        // A starting instance knows no other member and doesn't wait for
        // rumours.
        if differs || !self.is_ready() {
            self.request_members(now, digest, to);
        }
        let near = self.roster.neighbours().contains(name);
        if self.may_be_stale() && near && !self.contacted.contains(name) {
            self.contacted.push(name.clone());
        }
    }

    fn handle_claim(&mut self, now: Millis, sender: &Member, digest: Digest) {
        let order = (sender.version, digest);
        if !self.is_ready() {
            self.heartbeats.claims.insert(sender.name.clone(), order);
        }
        let to = sender.addresses.control;
        if self.spread.handle_claim(now, order, to) {
            let request = self.spread.bundle_request(self.address());
            self.send(to, request);
        }
    }

    pub(super) fn leave(&mut self) {
        self.roster.set_leaving();
        let me = self.roster.me();
        let leave = Leave { sender: me.name.clone(), incarnation: me.incarnation };
        for to in self.neighbour_addresses() {
            self.send(to, Message::Leave(leave.clone()));
        }
    }

    pub(super) fn handle_leave(&mut self, now: Millis, leave: &Leave) {
        let Some(member) = self.roster.get(&leave.sender) else { return };
        let update = Member {
            state: MemberState::Leaving,
            incarnation: leave.incarnation,
            ..member.clone()
        };
        self.roster.merge(now, &update);
    }
}
