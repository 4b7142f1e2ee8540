//! Passing news on through a failure domain, as a tree.

use super::{Fleet, heartbeats::MAX_PEERS, pull::NEWS_DELAY};
use crate::{
    Catalog, Change, Revision, Scope, Update,
    message::{self, MAX_DATAGRAM, Message, size},
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
const HEAD: usize = 60;
/// How many bytes an address takes in a datagram at most.
const ADDRESS: usize = 7;

impl Fleet {
    /// Tells the domain what is new since the last time; answers whether anything
    /// is.
    pub(super) fn pass_on(&mut self, catalog: &Catalog, now: Millis) -> bool {
        let revision = catalog.revision();
        if revision.era < self.told.era {
            self.told = revision;
        }
        if revision <= self.told {
            return false;
        }
        let update = catalog.update_since(self.told, now);
        let is_first = self.told == Revision::default();
        self.told = revision;
        // The first picture is whole; the others read it or ask for it.
        if is_first {
            return false;
        }
        let domain = self.domain_members();
        if !update.is_divisible() && message::update_size(&update) > room(branch_size(domain.len()))
        {
            // Heartbeats tell the revision, and whoever lacks it asks.
            return false;
        }
        let seats = self.gives_seats(now).then(|| domain.len() as u32 + 1);
        let first = seats.map(|count| Seat { position: 0, count });
        self.spread(self.me, &update, domain, first);
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
        let part = branch_size(others.len());
        let pieces = pieces(update, room(part));
        for (nth, branch) in others.chunks(part).enumerate() {
            let seat = first.map(|seat| {
                // The reader has a seat among them, and is not in the list.
                let is_behind = reader >= self.me && branch[0] > reader;
                let before = (nth * part) as u32 + u32::from(is_behind);
                Seat { position: seat.position.saturating_add(before), ..seat }
            });
            for update in &pieces {
                let to = branch[1..].to_vec();
                self.send(branch[0], &Message::Update { reader, update: update.clone(), to, seat });
            }
        }
    }

    /// Passes news of a reader on; answers it if this instance doesn't know it yet.
    pub(super) fn receive_news(
        &mut self,
        reader: SocketAddrV4,
        update: Update,
        mut others: Vec<SocketAddrV4>,
        seat: Option<Seat>,
        catalog: &Catalog,
        now: Millis,
    ) -> Option<Update> {
        self.take_seat(seat, reader, now);
        // Passed on also if it is known here already: the others may not know it.
        others.retain(|it| *it != self.me);
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
            self.lack(reader, update.revision, now + NEWS_DELAY);
        }
        // What came from another reader need not be told again by this one.
        let is_told = match update.scope {
            Scope::Incremental(known) | Scope::WithDigest { since: known, .. } => {
                known <= self.told
            }
            Scope::Snapshot => false,
        };
        if is_told {
            self.told = self.told.max(update.revision);
        }
        Some(update)
    }
}

/// To how many of `count` others each of the first ones passes news on, itself included.
fn branch_size(count: usize) -> usize {
    count.div_ceil(FANOUT).clamp(1, MAX_BRANCH)
}

/// How many bytes a datagram has for changes beside a branch's addresses.
fn room(branch: usize) -> usize {
    MAX_DATAGRAM - HEAD - ADDRESS * branch
}

/// Cuts news into parts that fit into `room` bytes of a datagram. In the order of revisions each
/// part is complete from one revision to another, so a lost one is noticed like
/// any lost news.
fn pieces(update: &Update, room: usize) -> Vec<Update> {
    let Scope::Incremental(mut known) = update.scope else { return vec![update.clone()] };
    let mut changes = update.changes.clone();
    changes.sort_by_key(|change| change.revision);
    let mut pieces: Vec<Update> = Vec::new();
    for changes in packed(changes, room) {
        let revision = changes[changes.len() - 1].revision;
        pieces.push(Update::new(revision, Scope::Incremental(known), changes));
        known = revision;
    }
    match pieces.last_mut() {
        Some(last) => last.revision = update.revision,
        None => pieces.push(update.clone()),
    }
    pieces
}

/// Groups changes, in their order, so that each group has `most` bytes at most, or
/// one change.
fn packed(changes: Vec<Change>, most: usize) -> Vec<Vec<Change>> {
    let mut groups: Vec<Vec<Change>> = Vec::new();
    let mut room = 0;
    for change in changes {
        let size = size(&change);
        match groups.last_mut() {
            Some(group) if size <= room => group.push(change),
            _ => {
                groups.push(vec![change]);
                room = most;
            }
        }
        room = room.saturating_sub(size);
    }
    groups
}
