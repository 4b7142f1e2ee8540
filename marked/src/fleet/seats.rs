//! Giving the instances of a failure domain seats, by which targets are
//! [dealt](medlarspur_load::subset) and slow ones [owned](medlarspur_load::warmup).
//!
//! The first reader of a domain, by its address, knows all its instances and tells each its
//! [`Seat`] with its heartbeats, and with its news, which takes their place.

use super::{Fleet, readers::READER_TIMEOUT};
use medlarspur_lib::time::Millis;
use medlarspur_load::warmup::Seat;
use std::net::SocketAddrV4;

/// How long an instance must have run to give seats. One that has just started knows some of
/// the others only, and would take itself for the owner of all slow targets.
const MIN_UPTIME: Millis = Millis::secs(6);
/// How long it must have read the store to give seats. When the readers of a domain die, many
/// others begin to read, each knowing some of the rest, until all but two have stopped.
const MIN_TENURE: Millis = Millis::secs(8);

/// A seat as it was told.
#[derive(Debug, Clone, Copy)]
pub(super) struct ToldSeat {
    seat: Seat,
    /// By which reader.
    by: SocketAddrV4,
    at: Millis,
}

impl Fleet {
    /// This instance's seat in its failure domain, if it is known now.
    pub fn seat(&self, now: Millis) -> Option<Seat> {
        if self.gives_seats(now) {
            return self.seat_of(self.me);
        }
        let is_valid =
            |told: &ToldSeat| now.since(told.at) <= READER_TIMEOUT && self.is_first(told.by, now);
        self.seat.filter(is_valid).map(|told| told.seat)
    }

    /// Takes in a seat that another instance tells.
    pub(super) fn take_seat(&mut self, seat: Option<Seat>, by: SocketAddrV4, now: Millis) {
        if let Some(seat) = seat.filter(|_| self.is_first(by, now)) {
            self.seat = Some(ToldSeat { seat, by, at: now });
        }
    }

    /// The seat that a heartbeat to another instance tells.
    pub(super) fn seat_for(&self, to: SocketAddrV4, now: Millis) -> Option<Seat> {
        self.gives_seats(now).then(|| self.seat_of(to)).flatten()
    }

    /// The position of an instance among all of its domain, in the order of their addresses.
    fn seat_of(&self, at: SocketAddrV4) -> Option<Seat> {
        let mut seated = self.domain_members();
        seated.push(self.me);
        seated.sort_unstable();
        let position = seated.binary_search(&at).ok()?;
        Some(Seat { position: position as u32, count: seated.len() as u32 })
    }

    pub(super) fn gives_seats(&self, now: Millis) -> bool {
        let is_settled = now.since(self.started) >= MIN_UPTIME;
        let is_reader = self.reading.is_some_and(|since| now.since(since) >= MIN_TENURE);
        let reads = is_reader && self.fresh.is_some();
        is_settled && reads && self.is_first(self.me, now)
    }

    /// Whether no fresh reader with a smaller address is known, this instance included.
    fn is_first(&self, at: SocketAddrV4, now: Millis) -> bool {
        let reads_before = self.is_reading() && self.fresh.is_some() && self.me < at;
        !reads_before && self.readers(now).all(|it| it >= at)
    }
}
