//! The members as one instance believes them to be, and how beliefs change.

use super::{Candidate, Member, MemberState, neighbours, rank::rank, rumours::Rumours};
use crate::{
    groups::Groups,
    ids::{Incarnation, InstanceName, Version},
    time::Millis,
};
use std::{collections::BTreeMap, net::SocketAddrV4};

/// How long a probe may stay unanswered before its target is suspected: three
/// heartbeats, so that one lost or late one changes nothing.
pub const ACK_TIMEOUT: Millis = Millis(3_000);
/// How long views may differ before members are compared: time for rumours to
/// flood the fleet, so that an ordinary change is not fetched as well.
const DIFFER_LIMIT: Millis = Millis(2_000);
/// How long a dead member is remembered. News older than its death that is
/// still under way must not revive it, and after a partition of many minutes
/// the sides find each other by asking the dead.
pub const TOMBSTONE_TIME: Millis = Millis::secs(3_600);

/// How long a suspected member has to refute, in a fleet of `fleet` members:
/// time for the suspicion to reach it and for the refutation to come back,
/// which takes hops that grow with the logarithm of the fleet.
pub fn suspicion_timeout(fleet: usize) -> Millis {
    Millis(2_000 + 400 * u64::from((fleet + 1).ilog2()))
}

/// The members that one instance knows, itself apart.
#[derive(Debug)]
pub struct Roster {
    me: Member,
    others: BTreeMap<InstanceName, Entry>,
    rumours: Rumours,
    neighbours: Vec<InstanceName>,
    groups: Groups,
    dirty: bool,
    progress: bool,
    /// Times that this instance refuted a wrong belief about itself.
    pub refutations: u64,
}

#[derive(Debug)]
struct Entry {
    member: Member,
    /// Since when a probe is unanswered.
    asked: Option<Millis>,
    /// When the belief last changed.
    changed: Millis,
    /// Since when its view of the members differs from ours.
    differs: Option<Millis>,
}

impl Roster {
    /// Starts with nobody known but `me`.
    pub fn new(me: Member) -> Roster {
        let mut groups = Groups::default();
        groups.toggle(me.name.as_str(), fingerprint(&me));
        Roster {
            me,
            others: BTreeMap::new(),
            rumours: Rumours::default(),
            neighbours: Vec::new(),
            groups,
            dirty: true,
            progress: false,
            refutations: 0,
        }
    }

    /// This instance as it sees itself.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Records what this instance has in force and has told its keepers.
    pub fn set_own_progress(&mut self, version: Version, advertised: u64) {
        self.me.version = version;
        self.me.advertised = advertised;
    }

    /// Records that this instance leaves; it never takes that back.
    pub fn set_leaving(&mut self) {
        self.change_me(|me| me.state = MemberState::Leaving);
    }

    /// All that take part or did lately, this instance included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.me).chain(self.others.values().map(|e| &e.member))
    }

    /// What is believed of `name`, unless it is this instance.
    pub fn get(&self, name: &InstanceName) -> Option<&Member> {
        self.others.get(name).map(|e| &e.member)
    }

    /// Those that this instance sends heartbeats.
    pub fn neighbours(&self) -> &[InstanceName] {
        &self.neighbours
    }

    /// A digest of the members that take part; alike wherever the view is.
    pub fn digest(&self) -> u64 {
        self.groups.digest()
    }

    /// The digests of groups of members, to ask for those that differ.
    pub fn groups(&self) -> Vec<u64> {
        self.groups.to_vec()
    }

    /// The members in the groups whose digests differ from the asker's.
    pub fn differing<'a>(&'a self, theirs: &'a [u64]) -> impl Iterator<Item = &'a Member> {
        self.members().filter(|m| self.groups.differs(theirs, m.name.as_str()))
    }

    /// Whether somebody is known at the control address `addr`.
    pub fn is_known_address(&self, addr: SocketAddrV4) -> bool {
        addr == self.me.addresses.control
            || self.others.values().any(|e| e.member.is_present() && at(&e.member, addr))
    }

    /// Those of `candidates` with whom there is no contact.
    pub fn uncontacted<'a>(
        &self,
        candidates: &'a [Candidate],
    ) -> impl Iterator<Item = &'a Candidate> {
        candidates.iter().filter(|c| {
            c.name != self.me.name && !self.get(&c.name).is_some_and(Member::is_present)
        })
    }

    /// Where the members are reached that are believed dead.
    pub fn dead_addresses(&self) -> Vec<SocketAddrV4> {
        self.others
            .values()
            .filter(|e| !e.member.is_present())
            .map(|e| e.member.addresses.control)
            .collect()
    }

    /// Merges a belief, from whomever it comes. Returns whether it was news.
    pub fn merge(&mut self, now: Millis, news: &Member) -> bool {
        if news.name == self.me.name {
            return self.refute(news);
        }
        match self.others.get_mut(&news.name) {
            Some(e) if news.order() > e.member.order() => {
                let progress = if news.incarnation == e.member.incarnation {
                    (news.version.max(e.member.version), news.advertised.max(e.member.advertised))
                } else {
                    (news.version, news.advertised)
                };
                self.groups.toggle(news.name.as_str(), fingerprint(&e.member) ^ fingerprint(news));
                e.member = Member { version: progress.0, advertised: progress.1, ..news.clone() };
                e.changed = now;
                e.asked = None;
            }
            Some(e) => {
                if news.incarnation == e.member.incarnation {
                    e.member.version = e.member.version.max(news.version);
                    self.progress |= news.advertised > e.member.advertised;
                    e.member.advertised = e.member.advertised.max(news.advertised);
                }
                return false;
            }
            // Nobody is missed who was dead before we heard of it.
            None if news.state == MemberState::Dead => return false,
            None => {
                self.groups.toggle(news.name.as_str(), fingerprint(news));
                let entry =
                    Entry { member: news.clone(), asked: None, changed: now, differs: None };
                self.others.insert(news.name.clone(), entry);
            }
        }
        self.rumours.add(&news.name);
        self.dirty = true;
        true
    }

    /// A wrong belief about this instance is refutations by a later incarnation.
    /// Without it a pause of seconds would exclude an instance for good.
    fn refute(&mut self, news: &Member) -> bool {
        if news.order() <= self.me.order() {
            return false;
        }
        self.refutations += 1;
        let next = Incarnation(news.incarnation.0.saturating_add(1));
        self.change_me(|me| me.incarnation = next);
        true
    }

    fn change_me(&mut self, change: impl FnOnce(&mut Member)) {
        let before = fingerprint(&self.me);
        change(&mut self.me);
        self.groups.toggle(self.me.name.as_str(), before ^ fingerprint(&self.me));
        self.dirty = true;
    }

    /// Records that `name` spoke to us directly and how it sees the members.
    /// Returns whether its view has differed for so long that rumours can't
    /// be what is still under way.
    pub fn record_contact(&mut self, now: Millis, name: &InstanceName, digest: u64) -> bool {
        let differs = digest != self.digest();
        let Some(e) = self.others.get_mut(name) else { return false };
        e.asked = None;
        if !differs {
            e.differs = None;
            return false;
        }
        now.since(*e.differs.get_or_insert(now)) >= DIFFER_LIMIT
    }

    /// Records that a probe went to `name`.
    pub fn record_probe(&mut self, now: Millis, name: &InstanceName) {
        if let Some(e) = self.others.get_mut(name) {
            e.asked.get_or_insert(now);
        }
    }

    /// Suspects, buries and forgets whose time is up.
    pub fn expire(&mut self, now: Millis) {
        let patience = suspicion_timeout(self.others.len());
        let mut fallen = Vec::new();
        for e in self.others.values() {
            if let Some(state) = fallen_to(e, now, patience) {
                fallen.push(Member { state, ..e.member.clone() });
            }
        }
        for news in fallen {
            self.merge(now, &news);
        }
        self.others.retain(|_, e| e.member.is_present() || now.since(e.changed) < TOMBSTONE_TIME);
    }

    /// Starts all waiting anew: after a sleep, the silence was our own.
    pub fn restart_timeouts(&mut self, now: Millis) {
        for e in self.others.values_mut() {
            e.asked = None;
            if e.member.state == MemberState::Suspect {
                e.changed = now;
            }
        }
    }

    /// Chooses the neighbours anew after changes. Returns whether there were
    /// any since the last call.
    pub fn refresh_neighbours(&mut self) -> bool {
        if !std::mem::take(&mut self.dirty) {
            return false;
        }
        let chosen = neighbours(&self.me, self.others.values().map(|e| &e.member));
        for (name, e) in &mut self.others {
            // Nobody is blamed for an answer that we no longer ask for.
            if !chosen.contains(name) {
                e.asked = None;
            }
        }
        self.neighbours = chosen;
        true
    }

    /// Whether somebody has told its keepers more since the last call.
    pub fn take_progress(&mut self) -> bool {
        std::mem::take(&mut self.progress)
    }

    /// The news for a heartbeat to `name`: what we hold of it, if that is not
    /// that it lives, so that it can refute; then rumours.
    pub fn updates_for(&mut self, name: Option<&InstanceName>) -> Vec<Member> {
        let others = &self.others;
        let mut news = self.rumours.take(|n| others.get(n).map(|e| &e.member));
        let entry = name.and_then(|n| self.others.get(n));
        if let Some(e) = entry
            && e.member.state != MemberState::Live
        {
            news.insert(0, e.member.clone());
        }
        news
    }
}

fn at(member: &Member, addr: SocketAddrV4) -> bool {
    member.addresses.control == addr
}

fn fallen_to(e: &Entry, now: Millis, patience: Millis) -> Option<MemberState> {
    let silent = e.asked.is_some_and(|t| now.since(t) >= ACK_TIMEOUT);
    match e.member.state {
        MemberState::Live if silent => Some(MemberState::Suspect),
        MemberState::Leaving if silent => Some(MemberState::Dead),
        MemberState::Suspect if now.since(e.changed) >= patience => Some(MemberState::Dead),
        _ => None,
    }
}

/// Suspicion comes and goes and is left out, or views would seem to differ
/// whenever somebody is slow.
fn fingerprint(member: &Member) -> u64 {
    let state = match member.state {
        MemberState::Live | MemberState::Suspect => "live",
        MemberState::Leaving => "leaving",
        MemberState::Dead => return 0,
    };
    rank(state, member.name.as_str()) ^ member.incarnation.0.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
