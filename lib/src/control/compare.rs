//! Anti-entropy for members and plans. If digests differ, the entries that
//! differ are requested. This repairs what the pushed updates missed, mainly
//! after a partition.

use super::Controller;
use crate::{
    members::Member,
    message::{MembersAnswer, MembersRequest, Message, PlanRequest},
    spread::Check,
    time::Millis,
};
use std::net::SocketAddrV4;

/// Maximum number of bytes of members or plans in one answer. The rest follows
/// with later requests, so that a healed partition doesn't exceed the budget of
/// 8 KB/s.
const ANSWER_BYTES: usize = 2_048;
/// Minimum time between two requests of the same kind.
const REQUEST_INTERVAL: Millis = Millis(1_000);
/// The same during a start, when a fleet of a thousand has to be learned within
/// a few seconds.
const START_REQUEST_INTERVAL: Millis = Millis(100);

/// Times of the last requests.
#[derive(Debug, Default)]
pub(super) struct AntiEntropy {
    members: Option<Millis>,
    plans: Option<Millis>,
    /// Position at which the next answer begins. If all answers began with the
    /// same members, a peer that lacks hundreds would get the first ones again
    /// and again.
    turn: usize,
}

impl<C: Check> Controller<C> {
    pub(super) fn request_members(&mut self, now: Millis, theirs: u64, to: SocketAddrV4) {
        let interval = if self.is_ready() { REQUEST_INTERVAL } else { START_REQUEST_INTERVAL };
        if theirs == self.roster.digest()
            || !take_due(&mut self.anti_entropy.members, now, interval)
        {
            return;
        }
        let request = MembersRequest { sender: self.address(), groups: self.roster.groups() };
        self.send(to, Message::MembersRequest(request));
    }

    pub(super) fn answer_members(&mut self, request: &MembersRequest) {
        let mut differing: Vec<&Member> = self.roster.differing(&request.groups).collect();
        let start = self.anti_entropy.turn % differing.len().max(1);
        differing.rotate_left(start);
        let fits = take_fitting(differing.into_iter(), |m| m.size());
        let members: Vec<Member> = fits.cloned().collect();
        self.anti_entropy.turn = start + members.len();
        self.send(request.sender, Message::MembersAnswer(MembersAnswer { members }));
    }

    pub(super) fn request_plans(&mut self, now: Millis, theirs: u64, to: SocketAddrV4) {
        if theirs == self.plans.digest()
            || !take_due(&mut self.anti_entropy.plans, now, REQUEST_INTERVAL)
        {
            return;
        }
        let request = PlanRequest { sender: self.address(), groups: self.plans.groups() };
        self.send(to, Message::PlanRequest(request));
    }

    pub(super) fn answer_plans(&mut self, request: &PlanRequest) {
        let differing = self.plans.differing(&request.groups);
        let plans: Vec<_> = take_fitting(differing, |plan| plan.size()).cloned().collect();
        for plan in plans {
            self.send(request.sender, Message::Plan(plan));
        }
    }
}

fn take_due(last: &mut Option<Millis>, now: Millis, interval: Millis) -> bool {
    let due = last.is_none_or(|t| now.since(t) >= interval);
    if due {
        *last = Some(now);
    }
    due
}

/// Takes the first of `items` that fit in an answer, and at least one.
fn take_fitting<'a, T: 'a>(
    items: impl Iterator<Item = &'a T>,
    size: impl Fn(&T) -> usize,
) -> impl Iterator<Item = &'a T> {
    let mut used = 0;
    items.take_while(move |item| {
        let first = used == 0;
        used += size(item);
        first || used <= ANSWER_BYTES
    })
}
