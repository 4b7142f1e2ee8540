//! Putting a text together from pieces of several peers.
//!
//! Needed by an instance that comes back after longer than the kept texts
//! reach, or starts with an empty memory while the platform is down. A whole
//! text from one peer would be a megabyte against 8 KB/s, so each peer gives
//! some of it, at a bounded rate.

use super::{ANSWER_TIMEOUT, MAX_TEXT, Refusal, error, pieces::short_digest};
use crate::{
    collections::Map,
    ids::Version,
    message::{BundleOutline, Digest, Message, PieceRequest, Pieces},
    time::Millis,
};
use snafu::ensure;
use std::{net::SocketAddrV4, sync::Arc};

/// How many bytes of pieces one answer has at most, unless a single piece is
/// larger: short enough that a heartbeat behind it isn't late.
pub const ANSWER_BYTES: usize = 32 * 1024;
/// How many bytes of pieces an instance gives in a second. Six peers then
/// bring a megabyte in three seconds; giving it is outside of the 8 KB/s and
/// happens only after a start without the platform or a long cut.
pub const PIECE_RATE: usize = 64 * 1024;
/// How long no piece may come before the text is given up. A peer that announces
/// a text that nobody can give would otherwise keep every other one away.
const STUCK: Millis = Millis::secs(10);
/// How many pieces are asked of one peer at once.
const RUN: usize = 64;
/// How many pieces a text may have; more is an attack on memory.
const MAX_PIECES: usize = 1 << 16;

/// A text on its way, in pieces.
#[derive(Debug)]
pub(super) struct Assembly {
    pub(super) order: (Version, Digest),
    wanted: Vec<u64>,
    slots: Vec<Option<Arc<str>>>,
    lacking: usize,
    bytes: usize,
    sources: Vec<Source>,
    /// Where to go on asking.
    cursor: usize,
    progress: Millis,
}

#[derive(Debug)]
struct Source {
    addr: SocketAddrV4,
    until: Option<Millis>,
}

impl Assembly {
    /// Starts with those of `held` that the outline names.
    pub(super) fn new(
        now: Millis,
        outline: &BundleOutline,
        held: impl Iterator<Item = Arc<str>>,
    ) -> Option<Assembly> {
        if outline.pieces.len() > MAX_PIECES {
            return None;
        }
        let held: Map<u64, Arc<str>> = held.map(|piece| (short_digest(&piece), piece)).collect();
        let slots: Vec<Option<Arc<str>>> =
            outline.pieces.iter().map(|d| held.get(d).cloned()).collect();
        let lacking = slots.iter().filter(|slot| slot.is_none()).count();
        Some(Assembly {
            order: (outline.version, outline.digest),
            wanted: outline.pieces.clone(),
            bytes: slots.iter().flatten().map(|piece| piece.len()).sum(),
            slots,
            lacking,
            sources: vec![Source { addr: outline.sender, until: None }],
            cursor: 0,
            progress: now,
        })
    }

    pub(super) fn add_source(&mut self, addr: SocketAddrV4) {
        if !self.sources.iter().any(|s| s.addr == addr) {
            self.sources.push(Source { addr, until: None });
        }
    }

    pub(super) fn complete(&self) -> bool {
        self.lacking == 0
    }

    /// Whether nobody gives the rest of it.
    pub(super) fn stuck(&self, now: Millis) -> bool {
        self.sources.is_empty() || now.since(self.progress) >= STUCK
    }

    pub(super) fn text(&self) -> String {
        self.slots.iter().flatten().map(|piece| &**piece).collect()
    }

    pub(super) fn into_pieces(self) -> impl Iterator<Item = Arc<str>> {
        self.slots.into_iter().flatten()
    }

    /// A request to every source that isn't being asked already.
    pub(super) fn fetch(&mut self, now: Millis, me: SocketAddrV4) -> Vec<(SocketAddrV4, Message)> {
        let mut requests = Vec::new();
        for ix in 0..self.sources.len() {
            if self.sources[ix].until.is_some_and(|until| now < until) {
                continue;
            }
            let runs = self.next_runs();
            let request = PieceRequest { sender: me, digest: self.order.1, runs };
            self.sources[ix].until = Some(now + ANSWER_TIMEOUT);
            requests.push((self.sources[ix].addr, Message::PieceRequest(request)));
        }
        requests
    }

    /// The next pieces that lack, from the cursor on, as runs.
    fn next_runs(&mut self) -> Vec<(u32, u32)> {
        let mut runs: Vec<(u32, u32)> = Vec::new();
        let n = self.slots.len();
        let mut left = RUN;
        for _ in 0..n {
            let at = self.cursor % n;
            self.cursor = at + 1;
            if self.slots[at].is_some() {
                continue;
            }
            match runs.last_mut() {
                Some((first, count)) if (*first + *count) as usize == at => *count += 1,
                _ => runs.push((at as u32, 1)),
            }
            left -= 1;
            if left == 0 {
                break;
            }
        }
        runs
    }

    /// Takes pieces in. A source that sends other ones is asked no more.
    pub(super) fn fill(&mut self, now: Millis, pieces: &Pieces) -> Result<(), Refusal> {
        if pieces.digest != self.order.1 {
            return Ok(());
        }
        if let Some(source) = self.sources.iter_mut().find(|s| s.addr == pieces.sender) {
            source.until = None;
        }
        for (at, piece) in &pieces.pieces {
            self.put(now, *at, piece).inspect_err(|_| self.drop_source(pieces.sender))?;
        }
        Ok(())
    }

    fn drop_source(&mut self, addr: SocketAddrV4) {
        self.sources.retain(|s| s.addr != addr);
    }

    fn put(&mut self, now: Millis, at: u32, piece: &Arc<str>) -> Result<(), Refusal> {
        let ix = at as usize;
        ensure!(self.wanted.get(ix) == Some(&short_digest(piece)), error::WrongPieceSnafu { at });
        if self.slots[ix].is_some() {
            return Ok(());
        }
        self.bytes += piece.len();
        ensure!(self.bytes <= MAX_TEXT, error::TooLongSnafu { bytes: self.bytes });
        self.slots[ix] = Some(piece.clone());
        self.lacking -= 1;
        self.progress = now;
        Ok(())
    }
}

/// What an instance may still give away of its texts, refilled by time.
#[derive(Debug)]
pub(super) struct Budget {
    left: usize,
    filled: Millis,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { left: PIECE_RATE, filled: Millis(0) }
    }
}

impl Budget {
    /// The pieces of `text` that `runs` name, as far as the budget reaches.
    pub(super) fn cut(
        &mut self,
        now: Millis,
        text: &[&str],
        runs: &[(u32, u32)],
    ) -> Vec<(u32, Arc<str>)> {
        self.refill(now);
        let mut room = ANSWER_BYTES.min(self.left);
        let mut pieces = Vec::new();
        // Positions beyond the text end the walk, however long a run claims to be.
        let named = runs.iter().flat_map(|&(first, count)| first..first.saturating_add(count));
        for at in named {
            let Some(piece) = text.get(at as usize) else { break };
            if piece.len() > room && !pieces.is_empty() || room == 0 {
                break;
            }
            room = room.saturating_sub(piece.len());
            self.left = self.left.saturating_sub(piece.len());
            pieces.push((at, Arc::from(*piece)));
        }
        pieces
    }

    fn refill(&mut self, now: Millis) {
        let gained = now.since(self.filled).0.saturating_mul(PIECE_RATE as u64) / 1000;
        self.filled = now;
        self.left =
            PIECE_RATE.min(self.left.saturating_add(usize::try_from(gained).unwrap_or(PIECE_RATE)));
    }
}
