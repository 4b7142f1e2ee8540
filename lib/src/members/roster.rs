//! The members as one instance believes them to be.

use super::{Candidate, Member, MemberState, neighbours, rank::rank, rumours::Rumours};
use crate::{
    groups::Groups,
    ids::{Incarnation, InstanceName, Version},
    time::Millis,
};
use std::{collections::BTreeMap, net::SocketAddrV4};

/// Time that a probe may stay unanswered before the member is suspected: three
/// heartbeats, so that a single lost or late one has no effect.
pub const ACK_TIMEOUT: Millis = Millis(3_000);
/// Time that digests of members may differ before members are requested.
/// Rumours reach the whole fleet within it, so that ordinary changes are not
/// requested as well.
const DIFFER_LIMIT: Millis = Millis(2_000);
/// Time that a dead member is remembered. Updates older than its death that are
/// still in flight must not revive it, and after a partition of many minutes
/// the sides find each other by probing the dead.
pub const TOMBSTONE_TIME: Millis = Millis::secs(3_600);

/// The time that a suspected member has to refute, in a fleet of `fleet`
/// members. The suspicion has to reach the member and the refutation has to
/// come back, which takes a number of hops that grows with the logarithm of the
/// fleet.
pub fn suspicion_timeout(fleet: usize) -> Millis {
    Millis(2_000 + 400 * u64::from((fleet + 1).ilog2()))
}

/// The members known to one instance, and the instance itself.
#[derive(Debug)]
pub struct Roster {
    me: Member,
    others: BTreeMap<InstanceName, Entry>,
    rumours: Rumours,
    neighbours: Vec<InstanceName>,
    groups: Groups,
    dirty: bool,
    progressed: bool,
    /// Times that this instance refuted a wrong belief about itself.
    pub refutations: u64,
}

#[derive(Debug)]
struct Entry {
    member: Member,
    /// Time of the oldest unanswered probe.
    probed: Option<Millis>,
    /// Time of the last change of the belief.
    changed_at: Millis,
    /// Time since which the member's digest of the members differs from ours.
    differs_since: Option<Millis>,
}

impl Roster {
    /// Creates a roster that contains only `me`.
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
            progressed: false,
            refutations: 0,
        }
    }

    /// This instance as it sees itself.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Sets the bundle version in force here and the stamp up to which this
    /// instance has advertised its exceptions.
    pub fn set_own_progress(&mut self, version: Version, advertised: u64) {
        self.me.version = version;
        self.me.advertised = advertised;
    }

    /// Marks this instance as leaving, which is permanent.
    pub fn set_leaving(&mut self) {
        self.update_me(|me| me.state = MemberState::Leaving);
    }

    /// All known members, dead ones included, beginning with this instance.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.me).chain(self.others.values().map(|e| &e.member))
    }

    /// The member `name`, unless it is this instance.
    pub fn get(&self, name: &InstanceName) -> Option<&Member> {
        self.others.get(name).map(|e| &e.member)
    }

    /// The members to which this instance sends heartbeats.
    pub fn neighbours(&self) -> &[InstanceName] {
        &self.neighbours
    }

    /// A digest over the members that are not dead. Equal views have equal
    /// digests.
    pub fn digest(&self) -> u64 {
        self.groups.digest()
    }

    /// The digests of the groups of members, for a request for those that
    /// differ.
    pub fn groups(&self) -> Vec<u64> {
        self.groups.to_vec()
    }

    /// The members in groups whose digests differ from the requester's.
    pub fn differing<'a>(&'a self, theirs: &'a [u64]) -> impl Iterator<Item = &'a Member> {
        self.members().filter(|m| self.groups.differs(theirs, m.name.as_str()))
    }

    /// Whether `addr` is the control address of this instance or of a member
    /// that is not dead.
    pub fn is_known_address(&self, addr: SocketAddrV4) -> bool {
        addr == self.me.addresses.control
            || self.others.values().any(|e| e.member.is_present() && has_address(&e.member, addr))
    }

    /// The `candidates` without contact.
    pub fn uncontacted<'a>(
        &self,
        candidates: &'a [Candidate],
    ) -> impl Iterator<Item = &'a Candidate> {
        candidates.iter().filter(|c| {
            c.name != self.me.name && !self.get(&c.name).is_some_and(Member::is_present)
        })
    }

    /// The control addresses of the members believed dead.
    pub fn dead_addresses(&self) -> Vec<SocketAddrV4> {
        self.others
            .values()
            .filter(|e| !e.member.is_present())
            .map(|e| e.member.addresses.control)
            .collect()
    }

    /// Merges a belief from any source. Returns whether it changed the view.
    pub fn merge(&mut self, now: Millis, update: &Member) -> bool {
        if update.name == self.me.name {
            return self.refute(update);
        }
        match self.others.get_mut(&update.name) {
            Some(e) if update.order() > e.member.order() => {
                let progress = if update.incarnation == e.member.incarnation {
                    (
                        update.version.max(e.member.version),
                        update.advertised.max(e.member.advertised),
                    )
                } else {
                    (update.version, update.advertised)
                };
                self.groups
                    .toggle(update.name.as_str(), fingerprint(&e.member) ^ fingerprint(update));
                e.member = Member { version: progress.0, advertised: progress.1, ..update.clone() };
                e.changed_at = now;
                e.probed = None;
            }
            Some(e) => {
                if update.incarnation == e.member.incarnation {
                    e.member.version = e.member.version.max(update.version);
                    self.progressed |= update.advertised > e.member.advertised;
                    e.member.advertised = e.member.advertised.max(update.advertised);
                }
                return false;
            }
            // A member that died before this instance knew it is of no
            // interest.
            None if update.state == MemberState::Dead => return false,
            None => {
                self.groups.toggle(update.name.as_str(), fingerprint(update));
                let entry = Entry {
                    member: update.clone(),
                    probed: None,
                    changed_at: now,
                    differs_since: None,
                };
                self.others.insert(update.name.clone(), entry);
            }
        }
        self.rumours.add(&update.name);
        self.dirty = true;
        true
    }

    /// Refutes a wrong belief about this instance with a later incarnation.
    /// Without refutation, a pause of seconds would exclude an instance
    /// permanently.
    fn refute(&mut self, update: &Member) -> bool {
        if update.order() <= self.me.order() {
            return false;
        }
        self.refutations += 1;
        let next = Incarnation(update.incarnation.0.saturating_add(1));
        self.update_me(|me| me.incarnation = next);
        true
    }

    fn update_me(&mut self, change: impl FnOnce(&mut Member)) {
        let before = fingerprint(&self.me);
        change(&mut self.me);
        self.groups.toggle(self.me.name.as_str(), before ^ fingerprint(&self.me));
        self.dirty = true;
    }

    /// Records a heartbeat from `name` and its digest of the members. Returns
    /// whether the digest has differed for longer than rumours take to arrive.
    pub fn record_contact(&mut self, now: Millis, name: &InstanceName, digest: u64) -> bool {
        let differs = digest != self.digest();
        let Some(e) = self.others.get_mut(name) else { return false };
        e.probed = None;
        if !differs {
            e.differs_since = None;
            return false;
        }
        now.since(*e.differs_since.get_or_insert(now)) >= DIFFER_LIMIT
    }

    /// Records a probe to `name`.
    pub fn record_probe(&mut self, now: Millis, name: &InstanceName) {
        if let Some(e) = self.others.get_mut(name) {
            e.probed.get_or_insert(now);
        }
    }

    /// Suspects, declares dead and forgets the members whose timeouts have
    /// passed.
    pub fn expire(&mut self, now: Millis) {
        let timeout = suspicion_timeout(self.others.len());
        let mut expired = Vec::new();
        for e in self.others.values() {
            if let Some(state) = next_state(e, now, timeout) {
                expired.push(Member { state, ..e.member.clone() });
            }
        }
        for update in expired {
            self.merge(now, &update);
        }
        self.others
            .retain(|_, e| e.member.is_present() || now.since(e.changed_at) < TOMBSTONE_TIME);
    }

    /// Restarts all timeouts: during a sleep of this process, the others only
    /// seemed silent.
    pub fn restart_timeouts(&mut self, now: Millis) {
        for e in self.others.values_mut() {
            e.probed = None;
            if e.member.state == MemberState::Suspect {
                e.changed_at = now;
            }
        }
    }

    /// Chooses the neighbours again if members have changed. Returns whether
    /// they have changed since the last call.
    pub fn refresh_neighbours(&mut self) -> bool {
        if !std::mem::take(&mut self.dirty) {
            return false;
        }
        let chosen = neighbours(&self.me, self.others.values().map(|e| &e.member));
        for (name, e) in &mut self.others {
            // A member that is no longer probed must not be suspected for an
            // open probe.
            if !chosen.contains(name) {
                e.probed = None;
            }
        }
        self.neighbours = chosen;
        true
    }

    /// Whether the stamp of another member has advanced since the last call.
    pub fn take_progress(&mut self) -> bool {
        std::mem::take(&mut self.progressed)
    }

    /// The updates for a heartbeat to `name`: first the belief about `name`
    /// itself unless that is `Live`, so that it can refute, then rumours.
    pub fn updates_for(&mut self, name: Option<&InstanceName>) -> Vec<Member> {
        let others = &self.others;
        let mut updates = self.rumours.take(|n| others.get(n).map(|e| &e.member));
        let entry = name.and_then(|n| self.others.get(n));
        if let Some(e) = entry
            && e.member.state != MemberState::Live
        {
            updates.insert(0, e.member.clone());
        }
        updates
    }
}

fn has_address(member: &Member, addr: SocketAddrV4) -> bool {
    member.addresses.control == addr
}

fn next_state(e: &Entry, now: Millis, timeout: Millis) -> Option<MemberState> {
    let silent = e.probed.is_some_and(|t| now.since(t) >= ACK_TIMEOUT);
    match e.member.state {
        MemberState::Live if silent => Some(MemberState::Suspect),
        MemberState::Leaving if silent => Some(MemberState::Dead),
        MemberState::Suspect if now.since(e.changed_at) >= timeout => Some(MemberState::Dead),
        _ => None,
    }
}

/// The fingerprint of a member for digests; 0 if it is dead. Suspicion is left
/// out, since views would seem to differ whenever a member is slow.
fn fingerprint(member: &Member) -> u64 {
    let state = match member.state {
        MemberState::Live | MemberState::Suspect => "live",
        MemberState::Leaving => "leaving",
        MemberState::Dead => return 0,
    };
    rank(state, member.name.as_str()) ^ member.incarnation.0.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
