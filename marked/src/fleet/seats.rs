//! Seats of the instances of a failure domain. A seat decides which targets are
//! [assigned](medlarspur_load::subset) to an instance and which targets in slow start it
//! [owns](medlarspur_load::warmup).
//!
//! The reader of a domain with the smallest address knows all instances of the domain. It sends
//! each its [`Seat`] with heartbeats, and with updates, which replace heartbeats.

use super::{Fleet, readers::READER_TIMEOUT};
use medlarspur_lib::time::Millis;
use medlarspur_load::warmup::Seat;
use std::net::SocketAddrV4;

/// Minimum uptime of an instance that assigns seats. Shortly after its start an instance knows only
/// some of the others, and would consider itself the owner of all targets in slow start.
const MIN_UPTIME: Millis = Millis::secs(6);
/// Minimum time that an instance that assigns seats has read the store. When the readers of a
/// domain fail, many instances begin to read, each of which knows only some of the others, until
/// all but two have stopped.
const MIN_TENURE: Millis = Millis::secs(8);

/// A seat that a reader assigned to this instance.
#[derive(Debug, Clone, Copy)]
pub(super) struct AssignedSeat {
    seat: Seat,
    /// The reader.
    reader: SocketAddrV4,
    received_at: Millis,
}

impl Fleet {
    /// This instance's seat in its failure domain, if it is currently known.
    pub fn seat(&self, now: Millis) -> Option<Seat> {
        if self.assigns_seats(now) {
            return self.seat_of(self.address);
        }
        let is_valid = |assigned: &AssignedSeat| {
            now.since(assigned.received_at) <= READER_TIMEOUT
                && self.is_first_reader(assigned.reader, now)
        };
        self.assigned_seat.filter(is_valid).map(|assigned| assigned.seat)
    }

    /// Records a seat that another instance assigned, if that instance is the first reader.
    pub(super) fn accept_seat(&mut self, seat: Option<Seat>, reader: SocketAddrV4, now: Millis) {
        if let Some(seat) = seat.filter(|_| self.is_first_reader(reader, now)) {
            self.assigned_seat = Some(AssignedSeat { seat, reader, received_at: now });
        }
    }

    /// The seat to send to another instance, if this instance assigns seats.
    pub(super) fn seat_for(&self, to: SocketAddrV4, now: Millis) -> Option<Seat> {
        self.assigns_seats(now).then(|| self.seat_of(to)).flatten()
    }

    /// Position of an instance among all instances of the domain, in the order of addresses.
    fn seat_of(&self, at: SocketAddrV4) -> Option<Seat> {
        let mut seated = self.domain_members();
        seated.push(self.address);
        seated.sort_unstable();
        let position = seated.binary_search(&at).ok()?;
        Some(Seat { position: position as u32, count: seated.len() as u32 })
    }

    pub(super) fn assigns_seats(&self, now: Millis) -> bool {
        let is_settled = now.since(self.started) >= MIN_UPTIME;
        let has_tenure = self.reading_since.is_some_and(|since| now.since(since) >= MIN_TENURE);
        let is_reading = has_tenure && self.has_recent_answer(now);
        is_settled && is_reading && self.is_first_reader(self.address, now)
    }

    /// Whether the store has answered this instance as recently as others expect of a reader.
    /// After a pause of the process another reader may have taken its place.
    fn has_recent_answer(&self, now: Millis) -> bool {
        self.last_answer.is_some_and(|at| now.since(at) <= READER_TIMEOUT)
    }

    /// Whether no active reader with a smaller address is known, including this instance.
    fn is_first_reader(&self, at: SocketAddrV4, now: Millis) -> bool {
        let precedes = self.is_reading() && self.has_recent_answer(now) && self.address < at;
        !precedes && self.readers(now).all(|it| it >= at)
    }
}
