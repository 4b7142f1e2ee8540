//! Passing news on through a failure domain, as a tree.

use super::{Fleet, heartbeats::MAX_PEERS, pull::PROPAGATION_DELAY};
use crate::{
    Catalog, Change, Revision, Scope, Update,
    message::{self, MAX_DATAGRAM, Message, change_size},
};
use medlarspur_lib::time::Millis;
use medlarspur_load::warmup::Seat;
use std::net::SocketAddrV4;

/// To how many others an instance passes news on, unless [`MAX_BRANCH`] makes them more. Four
/// levels reach a hundred instances of a domain twice over.
const FANOUT: usize = 5;
/// To how many others each of these passes news on at most. Their addresses stand in the
/// datagram, and must leave room for the news.
const MAX_BRANCH: usize = 80;
/// How many bytes of a datagram hold neither changes nor addresses.
const HEADER_BYTES: usize = 60;
/// How many bytes an address takes in a datagram at most.
const ADDRESS_BYTES: usize = 7;

impl Fleet {
    /// Tells the domain what is new since the last time; answers whether anything
    /// is.
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
        // The first picture is whole; the others read it or ask for it.
        if is_first {
            return false;
        }
        let domain = self.domain_members();
        if !update.is_divisible()
            && message::update_size(&update) > change_capacity(branch_size(domain.len()))
        {
            // Heartbeats tell the revision, and whoever lacks it asks.
            return false;
        }
        let seats = self.assigns_seats(now).then(|| domain.len() as u32 + 1);
        let first = seats.map(|count| Seat { position: 0, count });
        self.spread(self.address, &update, domain, first);
        true
    }

    /// Sends news to a few instances, each with a part of the others to pass it
    /// on to. The first of all of them gets the seat `first`, the others follow.
    fn spread(
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
                // The reader has a seat among them, and is not in the list.
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

    /// Passes news of a reader on; answers it if this instance doesn't know it yet.
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
        // Passed on also if it is known here already: the others may not know it.
        others.retain(|it| *it != self.address);
        others.truncate(MAX_PEERS);
        let next = seat.map(|seat| Seat { position: seat.position.saturating_add(1), ..seat });
        self.spread(reader, &update, others, next);
        let known = catalog.revision();
        if update.revision <= known || !self.is_credible(update.revision, known) {
            return None;
        }
        if catalog.has_gap_before(&update) {
            // Whoever passed it on may lack the same, and what it knows was never
            // told. The reader has it all. Without this question an instance stays
            // behind for as long as news keeps coming, because a reader that has news to
            // tell sends no heartbeats.
            self.schedule_pull(reader, update.revision, now + PROPAGATION_DELAY);
        }
        // What came from another reader need not be told again by this one.
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

/// To how many of `count` others each of the first ones passes news on, itself included.
fn branch_size(count: usize) -> usize {
    count.div_ceil(FANOUT).clamp(1, MAX_BRANCH)
}

/// How many bytes a datagram has for changes beside a branch's addresses.
fn change_capacity(branch: usize) -> usize {
    MAX_DATAGRAM - HEADER_BYTES - ADDRESS_BYTES * branch
}

/// Cuts news into parts that fit into `free` bytes of a datagram. In the order of revisions each
/// part is complete from one revision to another, so a lost one is noticed like
/// any lost news.
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

/// Groups changes, in their order, so that each group has `capacity` bytes at most, or
/// one change.
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
