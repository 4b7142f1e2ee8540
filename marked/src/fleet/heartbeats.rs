//! Membership by heartbeats: detection of live instances and readers.

use super::{Fleet, Peer, pull::PROPAGATION_DELAY, readers::READERS_PER_DOMAIN};
use crate::{
    Revision,
    message::{DomainId, Heartbeat, Message, Role},
};
use medlarspur_lib::time::Millis;
use std::net::SocketAddrV4;

/// Maximum number of contacts in a heartbeat. It bounds the traffic of a reader to its domain.
const HEARTBEAT_CONTACTS: usize = 3;
/// Maximum number of contacts in the reply to a request.
const REPLY_CONTACTS: usize = 12;
/// Maximum number of peers that are remembered.
pub(super) const MAX_PEERS: usize = 1_000;

impl Fleet {
    pub(super) fn receive_heartbeat(
        &mut self,
        from: SocketAddrV4,
        heartbeat: &Heartbeat,
        known: Revision,
        now: Millis,
    ) {
        let last_answer = heartbeat.answer_age.map(|age| now.since(Millis(age.into())));
        let reply = Purpose::Reply(heartbeat.domain);
        let is_full = self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&from);
        if is_full && !(heartbeat.domain == self.domain && self.evict_foreign()) {
            // A starting instance must learn of others from any seed, even from one that has no
            // space to remember it.
            if heartbeat.wants_reply {
                self.heartbeat(from, reply, known, now);
            }
            return;
        }
        let peer = Peer {
            domain: heartbeat.domain,
            role: heartbeat.role,
            last_answer,
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
        // Within a domain, readers propagate everything that they know. An instance that starts or
        // can't reach the store pulls from any domain.
        let is_starting = known == Revision::default();
        let lacks_store = self.is_reading() && self.last_answer.is_none();
        if heartbeat.revision <= known || !self.is_credible(heartbeat.revision, known) {
            return;
        }
        // A later era is only accepted if the sender gets answers from the store. An instance that
        // was given a wrong era by mistake would otherwise propagate it to all listeners.
        let is_from_reader = heartbeat.role == Role::Reader && heartbeat.answer_age.is_some();
        let is_later = heartbeat.revision.era > known.era;
        if is_later && !(is_starting || lacks_store || is_from_reader) {
            return;
        }
        if is_starting {
            self.schedule_first_pull(from, &heartbeat.contacts, now);
        } else if heartbeat.domain == self.domain || lacks_store {
            self.schedule_pull(from, heartbeat.revision, now + PROPAGATION_DELAY);
        }
    }

    /// Forgets the peer of another domain that was not seen for longest, to make space for an
    /// instance of this domain, which depends on updates from here. Returns whether there was one.
    fn evict_foreign(&mut self) -> bool {
        let foreign = self.peers.iter().filter(|(_, peer)| peer.domain != self.domain);
        let oldest = foreign.min_by_key(|(_, peer)| peer.last_seen).map(|(address, _)| *address);
        oldest.is_some_and(|address| self.peers.remove(&address).is_some())
    }

    /// Records an instance of this domain that another instance named as a contact.
    fn learn_contact(&mut self, contact: SocketAddrV4, known: Revision, now: Millis) {
        // Listeners exchange heartbeats at the start only. If they forgot each other after that,
        // the size of the domain would be wrong, and they would not know each other once the
        // readers are gone.
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
        // A starting instance and the readers of its domain must learn of each other.
        if self.readers(now).count() < READERS_PER_DOMAIN {
            self.heartbeat(contact, Purpose::Request, known, now);
        }
    }

    /// Records an update that a reader sent and others forwarded: the store answers that reader.
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

    /// Asks the seeds and one random instance of the domain for contacts.
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

    /// Sends a heartbeat to the whole domain, unless this instance is a redundant reader. When all
    /// instances start at once, all read the store, and heartbeats between all pairs would grow
    /// with the square of their number.
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

    /// Returns up to `max` instances of the receiver's domain: readers first, the others at random.
    fn contacts(&mut self, to: SocketAddrV4, domain: DomainId, max: usize) -> Vec<SocketAddrV4> {
        let others = self.peers.iter().filter(|(it, peer)| **it != to && peer.domain == domain);
        let others = others.map(|(address, peer)| (peer.role == Role::Listener, *address));
        let mut others: Vec<(bool, SocketAddrV4)> = others.collect();
        if others.len() > max {
            let start = (self.random.draw() % others.len() as u64) as usize;
            others.rotate_left(start);
            // Readers come first because they know all other instances.
            others.sort_by_key(|(is_listener, _)| *is_listener);
            others.truncate(max);
        }
        others.into_iter().map(|(_, address)| address).collect()
    }
}

/// Purpose of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Announces this instance and what it knows.
    Announce,
    /// Requests a reply with contacts.
    Request,
    /// Replies to an instance of that domain with contacts.
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
