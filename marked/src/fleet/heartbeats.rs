//! Heartbeats: who is there, and who tells whom of it.

use super::{Fleet, Peer, pull::PROPAGATION_DELAY, readers::READERS_PER_DOMAIN};
use crate::{
    Revision,
    message::{DomainId, Heartbeat, Message, Role},
};
use medlarspur_lib::time::Millis;
use std::net::SocketAddrV4;

/// How many others a heartbeat names; bounds what a reader sends to its domain.
const HEARTBEAT_CONTACTS: usize = 3;
/// How many others the answer to a question names.
const REPLY_CONTACTS: usize = 12;
/// How many others are remembered at most.
pub(super) const MAX_PEERS: usize = 1_000;

impl Fleet {
    pub(super) fn receive_heartbeat(
        &mut self,
        from: SocketAddrV4,
        heartbeat: &Heartbeat,
        known: Revision,
        now: Millis,
    ) {
        let fresh = heartbeat.answer_age.map(|age| now.since(Millis(age.into())));
        let reply = Purpose::Reply(heartbeat.domain);
        let is_full = self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&from);
        if is_full && !(heartbeat.domain == self.domain && self.evict_foreign()) {
            // Whoever starts must hear of others from any seed, also from one that can't
            // remember it.
            if heartbeat.wants_reply {
                self.heartbeat(from, reply, known, now);
            }
            return;
        }
        let peer = Peer {
            domain: heartbeat.domain,
            role: heartbeat.role,
            fresh,
            revision: heartbeat.revision,
            last_seen: now,
            indirect: false,
        };
        let is_new = self.peers.insert(from, peer).is_none();
        if heartbeat.domain == self.domain {
            self.accept_seat(heartbeat.seat, from, now);
        }
        for contact in &heartbeat.contacts {
            self.learn_contact(*contact, known, now);
        }
        if heartbeat.wants_reply || is_new && heartbeat.domain == self.domain {
            self.heartbeat(from, reply, known, now);
        }
        // Within a domain all that readers know is passed on. An instance that
        // starts, or can't reach the store, takes it from anywhere.
        let is_starting = known == Revision::default();
        let is_cut_off = self.is_reading() && self.last_answer.is_none();
        if heartbeat.revision <= known || !self.is_credible(heartbeat.revision, known) {
            return;
        }
        // A later era is news only from whom the store answers: whoever was told a wrong one by
        // mistake would pass it on to all who listen.
        let is_from_reader = heartbeat.role == Role::Reader && heartbeat.answer_age.is_some();
        let is_later = heartbeat.revision.era > known.era;
        if is_later && !(is_starting || is_cut_off || is_from_reader) {
            return;
        }
        if is_starting {
            self.schedule_first_pull(from, &heartbeat.contacts, now);
        } else if heartbeat.domain == self.domain || is_cut_off {
            self.schedule_pull(from, heartbeat.revision, now + PROPAGATION_DELAY);
        }
    }

    /// Forgets an instance of another domain, the one that was not heard for longest: whoever
    /// is in this domain needs its news from here. Answers whether there was any.
    fn evict_foreign(&mut self) -> bool {
        let foreign = self.peers.iter().filter(|(_, peer)| peer.domain != self.domain);
        let oldest = foreign.min_by_key(|(_, peer)| peer.last_seen).map(|(address, _)| *address);
        oldest.is_some_and(|address| self.peers.remove(&address).is_some())
    }

    /// Takes in that another one has told of an instance in this one's domain.
    fn learn_contact(&mut self, contact: SocketAddrV4, known: Revision, now: Millis) {
        // Listeners hear each other at the start only. Forgotten after that, they would be
        // missing where their number counts, and where the readers are gone.
        if let Some(peer) = self.peers.get_mut(&contact) {
            if !peer.is_reading(now) {
                (peer.last_seen, peer.indirect) = (now, true);
            }
            return;
        }
        let is_full = self.peers.len() >= MAX_PEERS;
        if contact == self.address || is_full {
            return;
        }
        let unknown = Peer {
            domain: self.domain,
            role: Role::Listener,
            last_answer: None,
            revision: Revision::default(),
            last_seen: now,
            indirect: true,
        };
        self.peers.insert(contact, unknown);
        // Whoever starts needs the readers of its domain, and they it.
        if self.readers(now).count() < READERS_PER_DOMAIN {
            self.heartbeat(contact, Purpose::Request, known, now);
        }
    }

    /// News of a reader has come, by way of others: the store answers it.
    pub(super) fn refresh_reader(&mut self, reader: SocketAddrV4, revision: Revision, now: Millis) {
        let domain = self.domain;
        let Some(peer) = self.peers.get_mut(&reader).filter(|it| it.domain == domain) else {
            return;
        };
        peer.role = Role::Reader;
        peer.last_answer = Some(now);
        peer.last_seen = now;
        peer.revision = peer.revision.max(revision);
    }

    /// Asks the seeds and one other who is there.
    pub(super) fn discover(&mut self, revision: Revision, now: Millis) {
        let mut receivers = self.seeds.clone();
        let others = self.domain_members();
        if !others.is_empty() {
            receivers.push(others[(self.random.draw() % others.len() as u64) as usize]);
        }
        for receiver in receivers {
            self.heartbeat(receiver, Purpose::Request, revision, now);
        }
    }

    /// Tells the whole domain, unless enough others do: when all start at once,
    /// all read, and heartbeats between all pairs would grow with their square.
    pub(super) fn broadcast_heartbeat(&mut self, revision: Revision, now: Millis) {
        if self.is_redundant(now) {
            return;
        }
        for to in self.domain_members() {
            self.heartbeat(to, Purpose::Announce, revision, now);
        }
    }

    pub(super) fn heartbeat(
        &mut self,
        to: SocketAddrV4,
        purpose: Purpose,
        revision: Revision,
        now: Millis,
    ) {
        let answer_age =
            self.last_answer.map(|at| now.since(at).0).and_then(|age| u16::try_from(age).ok());
        let role = if self.is_reading() { Role::Reader } else { Role::Listener };
        let receiver_domain = match purpose {
            Purpose::Reply(domain) => Some(domain),
            Purpose::Announce | Purpose::Request => self.peers.get(&to).map(|peer| peer.domain),
        };
        let contacts = receiver_domain.map(|it| self.contacts(to, it, purpose.contacts()));
        let contacts = contacts.unwrap_or_default();
        let wants_reply = purpose == Purpose::Request;
        let (domain, seat) = (self.domain, self.seat_for(to, now));
        let heartbeat =
            Heartbeat { domain, role, answer_age, revision, wants_reply, contacts, seat };
        self.send(to, &Message::Heartbeat(heartbeat));
    }

    /// Some instances of the receiver's domain, readers first, the others drawn
    /// anew each time.
    fn contacts(&mut self, to: SocketAddrV4, domain: DomainId, max: usize) -> Vec<SocketAddrV4> {
        let others = self.peers.iter().filter(|(it, peer)| **it != to && peer.domain == domain);
        let others = others.map(|(address, peer)| (peer.role == Role::Listener, *address));
        let mut others: Vec<(bool, SocketAddrV4)> = others.collect();
        if others.len() > max {
            let start = (self.random.draw() % others.len() as u64) as usize;
            others.rotate_left(start);
            // Readers first: they know all the others.
            others.sort_by_key(|(is_listener, _)| *is_listener);
            others.truncate(max);
        }
        others.into_iter().map(|(_, address)| address).collect()
    }
}

/// What a heartbeat is sent for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    /// To say that this instance is there and what it knows.
    Announce,
    /// To learn who else is there.
    Request,
    /// To tell an instance of that domain who else is there.
    Reply(DomainId),
}

impl Purpose {
    fn contacts(self) -> usize {
        match self {
            Purpose::Announce => HEARTBEAT_CONTACTS,
            Purpose::Request => 0,
            Purpose::Reply(_) => REPLY_CONTACTS,
        }
    }
}
