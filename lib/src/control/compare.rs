//! Anti-entropy for members and plans: digests differ, so the differing ones
//! are fetched. It repairs what pushes missed, after a partition above all.

use super::Controller;
use crate::{
    members::Member,
    message::{MembersAnswer, MembersRequest, Message, PlanRequest},
    spread::Check,
    time::Millis,
};
use std::net::SocketAddrV4;

/// How many bytes of members or plans answer one request. What is left over
/// follows with later requests, so that a healed partition doesn't burst the
/// budget of 8 KB/s.
const ANSWER_BYTES: usize = 2_048;
/// How often each is asked for at most.
const PAUSE: Millis = Millis(1_000);
/// The same at a start, when a fleet of a thousand is to be learned within
/// a few seconds.
const START_PAUSE: Millis = Millis(100);

/// When was asked last.
#[derive(Debug, Default)]
pub(super) struct Compare {
    members: Option<Millis>,
    plans: Option<Millis>,
    /// Where the next answer begins. If all began with the same members, one
    /// that lacks hundreds would be sent the first ones over and over.
    turn: usize,
}

impl<C: Check> Controller<C> {
    pub(super) fn ask_members(&mut self, now: Millis, theirs: u64, to: SocketAddrV4) {
        let pause = if self.is_ready() { PAUSE } else { START_PAUSE };
        if theirs == self.roster.digest() || !due(&mut self.compare.members, now, pause) {
            return;
        }
        let request = MembersRequest { sender: self.addr(), groups: self.roster.groups() };
        self.send(to, Message::MembersRequest(request));
    }

    pub(super) fn answer_members(&mut self, request: &MembersRequest) {
        let mut differing: Vec<&Member> = self.roster.differing(&request.groups).collect();
        let start = self.compare.turn % differing.len().max(1);
        differing.rotate_left(start);
        let fits = fitting(differing.into_iter(), |m| m.size());
        let members: Vec<Member> = fits.cloned().collect();
        self.compare.turn = start + members.len();
        self.send(request.sender, Message::MembersAnswer(MembersAnswer { members }));
    }

    pub(super) fn ask_plans(&mut self, now: Millis, theirs: u64, to: SocketAddrV4) {
        if theirs == self.plans.digest() || !due(&mut self.compare.plans, now, PAUSE) {
            return;
        }
        let request = PlanRequest { sender: self.addr(), groups: self.plans.groups() };
        self.send(to, Message::PlanRequest(request));
    }

    pub(super) fn answer_plans(&mut self, request: &PlanRequest) {
        let differing = self.plans.differing(&request.groups);
        let plans: Vec<_> = fitting(differing, |plan| plan.size()).cloned().collect();
        for plan in plans {
            self.send(request.sender, Message::Plan(plan));
        }
    }
}

fn due(last: &mut Option<Millis>, now: Millis, pause: Millis) -> bool {
    let due = last.is_none_or(|t| now.since(t) >= pause);
    if due {
        *last = Some(now);
    }
    due
}

/// The first of `items` that fit in an answer; one always does.
fn fitting<'a, T: 'a>(
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
