//! Propagation of updates through a failure domain, as a tree.

use super::{Fleet, heartbeats::MAX_PEERS, pull::PROPAGATION_DELAY};
use crate::{
    Catalog, Change, Revision, Scope, Update,
    message::{self, MAX_DATAGRAM, Message, change_size},
};
use medlarspur_lib::time::Millis;
use medlarspur_load::warmup::Seat;
use std::net::SocketAddrV4;

/// Number of instances that an update is sent to, unless [`MAX_BRANCH`] requires more. Four levels
/// are enough for twice the hundred instances of a domain.
const FANOUT: usize = 5;
/// Maximum number of instances in a branch: the receiver and those that it forwards the update to.
/// Their addresses are part of the datagram and must leave space for changes.
const MAX_BRANCH: usize = 80;
/// Bytes of a datagram that hold neither changes nor addresses.
const HEADER_BYTES: usize = 60;
/// Maximum size of an encoded address in bytes.
const ADDRESS_BYTES: usize = 7;

impl Fleet {
    /// Sends the changes since the last call to the domain. Returns whether an update was sent.
    pub(super) fn propagate(&mut self, catalog: &Catalog, now: Millis) -> bool {
        let revision = catalog.revision();
        if revision.era < self.propagated.era {
            self.propagated = revision;
        }
        if revision <= self.propagated {
            return false;
        }
        let update = catalog.update_since(self.propagated, now);
        let is_first = self.propagated == Revision::default();
        self.propagated = revision;
        // The first snapshot is too large to send. Other instances read it or pull it.
        if is_first {
            return false;
        }
        let domain = self.domain_members();
        if !update.is_divisible()
            && message::update_size(&update) > change_capacity(branch_size(domain.len()))
        {
            // Heartbeats announce the revision, and instances that lack changes pull them.
            return false;
        }
        let seats = self.assigns_seats(now).then(|| domain.len() as u32 + 1);
        let first = seats.map(|count| Seat { position: 0, count });
        self.send_branches(self.address, &update, domain, first);
        true
    }

    /// Sends an update to a few instances, each with a branch of the others to forward it to. The
    /// first of all instances gets the seat `first`, and the others get the seats that follow.
    fn send_branches(
        &mut self,
        reader: SocketAddrV4,
        update: &Update,
        mut others: Vec<SocketAddrV4>,
        first: Option<Seat>,
    ) {
        others.sort_unstable();
        let branch_len = branch_size(others.len());
        let parts = split_update(update, change_capacity(branch_len));
        for (nth, branch) in others.chunks(branch_len).enumerate() {
            let seat = first.map(|seat| {
                // The reader has a seat in this order but is not in the list.
                let is_behind = reader >= self.address && branch[0] > reader;
                let before = (nth * branch_len) as u32 + u32::from(is_behind);
                Seat { position: seat.position.saturating_add(before), ..seat }
            });
            for update in &parts {
                let to = branch[1..].to_vec();
                self.send(branch[0], &Message::Update { reader, update: update.clone(), to, seat });
            }
        }
    }

    /// Forwards an update of a reader. Returns the update if it is new to this instance.
    pub(super) fn receive_update(
        &mut self,
        reader: SocketAddrV4,
        update: Update,
        mut others: Vec<SocketAddrV4>,
        seat: Option<Seat>,
        catalog: &Catalog,
        now: Millis,
    ) -> Option<Update> {
        self.accept_seat(seat, reader, now);
        // The update is forwarded even if it is already known here: the receivers may not know it.
        others.retain(|it| *it != self.address);
        others.truncate(MAX_PEERS);
        let next = seat.map(|seat| Seat { position: seat.position.saturating_add(1), ..seat });
        self.send_branches(reader, &update, others, next);
        let known = catalog.revision();
        if update.revision <= known || !self.is_credible(update.revision, known) {
            return None;
        }
        if catalog.has_gap_before(&update) {
            // The instance that forwarded the update may lack the same changes, and nothing is
            // known about it. The reader has them all. Without this pull an instance would stay
            // behind for as long as updates keep coming, because a reader with changes to send
            // sends no heartbeats.
            self.schedule_pull(reader, update.revision, now + PROPAGATION_DELAY);
        }
        // Changes that came from another reader need not be sent again by this one.
        let is_propagated = match update.scope {
            Scope::Incremental(known) | Scope::WithDigest { since: known, .. } => {
                known <= self.propagated
            }
            Scope::Snapshot => false,
        };
        if is_propagated {
            self.propagated = self.propagated.max(update.revision);
        }
        Some(update)
    }
}

/// Number of instances in each branch of `count` receivers, including the one that the update is
/// sent to.
fn branch_size(count: usize) -> usize {
    count.div_ceil(FANOUT).clamp(1, MAX_BRANCH)
}

/// Bytes of a datagram left for changes beside the addresses of a branch.
fn change_capacity(branch: usize) -> usize {
    MAX_DATAGRAM - HEADER_BYTES - ADDRESS_BYTES * branch
}

/// Splits an update into parts whose changes take at most `capacity` bytes each. In the order of
/// revisions, each part covers all changes from one revision to another, so a lost part is detected
/// like any lost update.
fn split_update(update: &Update, capacity: usize) -> Vec<Update> {
    let Scope::Incremental(mut known) = update.scope else { return vec![update.clone()] };
    let mut changes = update.changes.clone();
    changes.sort_by_key(|change| change.revision);
    let mut parts: Vec<Update> = Vec::new();
    for changes in group_changes(changes, capacity) {
        let revision = changes[changes.len() - 1].revision;
        parts.push(Update::new(revision, Scope::Incremental(known), changes));
        known = revision;
    }
    match parts.last_mut() {
        Some(last) => last.revision = update.revision,
        None => parts.push(update.clone()),
    }
    parts
}

/// Groups changes, in their order, into groups of at most `capacity` bytes or of one change.
fn group_changes(changes: Vec<Change>, capacity: usize) -> Vec<Vec<Change>> {
    let mut groups: Vec<Vec<Change>> = Vec::new();
    let mut free = 0;
    for change in changes {
        let size = change_size(&change);
        match groups.last_mut() {
            Some(group) if size <= free => group.push(change),
            _ => {
                groups.push(vec![change]);
                free = capacity;
            }
        }
        free = free.saturating_sub(size);
    }
    groups
}
