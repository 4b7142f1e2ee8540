//! Assembly of a bundle's text from pieces of several peers.
//!
//! It is needed by an instance that comes back after more changes than peers
//! keep texts for, or that starts with an empty memory while the platform is
//! down. A whole text from one peer would be a megabyte against a budget of 8
//! KB/s, so each peer sends a part of it, at a bounded rate.

use super::{ANSWER_TIMEOUT, MAX_TEXT, TextError, error, pieces::short_digest};
use crate::{
    collections::Map,
    ids::Version,
    message::{BundleOutline, Digest, Message, PieceRequest, Pieces},
    time::Millis,
};
use snafu::ensure;
use std::{net::SocketAddrV4, sync::Arc};

/// Maximum number of bytes of pieces in one answer, unless a single piece is
/// larger. A heartbeat queued behind such an answer is not late.
pub const ANSWER_BYTES: usize = 32 * 1024;
/// Maximum number of bytes of pieces that an instance sends a second. Six peers
/// together send a megabyte in three seconds. This is outside of the budget of
/// 8 KB/s and happens only after a start without the platform or a long
/// partition.
pub const PIECE_RATE: usize = 64 * 1024;
/// Time without a new piece after which the assembly is given up. Otherwise a
/// peer that announces a text that no peer can send would block all others.
const STUCK_TIMEOUT: Millis = Millis::secs(10);
/// Maximum number of pieces in one request.
const MAX_REQUESTED: usize = 64;
/// Maximum number of pieces of a text, a bound on memory against attacks.
const MAX_PIECES: usize = 1 << 16;

/// A text that is being assembled from pieces.
#[derive(Debug)]
pub(super) struct Assembly {
    pub(super) order: (Version, Digest),
    wanted: Vec<u64>,
    slots: Vec<Option<Arc<str>>>,
    missing: usize,
    bytes: usize,
    sources: Vec<Source>,
    /// Position from which on the next missing pieces are requested.
    cursor: usize,
    last_progress: Millis,
}

#[derive(Debug)]
struct Source {
    addr: SocketAddrV4,
    busy_until: Option<Millis>,
}

impl Assembly {
    /// Starts with those pieces of `held` that the outline names. Returns
    /// `None` if the outline has too many pieces.
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
        let missing = slots.iter().filter(|slot| slot.is_none()).count();
        Some(Assembly {
            order: (outline.version, outline.digest),
            wanted: outline.pieces.clone(),
            bytes: slots.iter().flatten().map(|piece| piece.len()).sum(),
            slots,
            missing,
            sources: vec![Source { addr: outline.sender, busy_until: None }],
            cursor: 0,
            last_progress: now,
        })
    }

    pub(super) fn add_source(&mut self, addr: SocketAddrV4) {
        if !self.sources.iter().any(|s| s.addr == addr) {
            self.sources.push(Source { addr, busy_until: None });
        }
    }

    pub(super) fn is_complete(&self) -> bool {
        self.missing == 0
    }

    /// Whether no source can be expected to send the rest.
    pub(super) fn is_stuck(&self, now: Millis) -> bool {
        self.sources.is_empty() || now.since(self.last_progress) >= STUCK_TIMEOUT
    }

    pub(super) fn text(&self) -> String {
        self.slots.iter().flatten().map(|piece| &**piece).collect()
    }

    pub(super) fn into_pieces(self) -> impl Iterator<Item = Arc<str>> {
        self.slots.into_iter().flatten()
    }

    /// Makes a request to every source that has no open one.
    pub(super) fn requests(
        &mut self,
        now: Millis,
        me: SocketAddrV4,
    ) -> Vec<(SocketAddrV4, Message)> {
        let mut requests = Vec::new();
        for ix in 0..self.sources.len() {
            if self.sources[ix].busy_until.is_some_and(|until| now < until) {
                continue;
            }
            let runs = self.next_runs();
            let request = PieceRequest { sender: me, digest: self.order.1, runs };
            self.sources[ix].busy_until = Some(now + ANSWER_TIMEOUT);
            requests.push((self.sources[ix].addr, Message::PieceRequest(request)));
        }
        requests
    }

    /// The next missing pieces from the cursor on, as runs of (first, count).
    fn next_runs(&mut self) -> Vec<(u32, u32)> {
        let mut runs: Vec<(u32, u32)> = Vec::new();
        let n = self.slots.len();
        let mut left = MAX_REQUESTED;
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

    /// Adds pieces. A source that sends another piece than the outline names is
    /// dropped.
    pub(super) fn add_pieces(&mut self, now: Millis, pieces: &Pieces) -> Result<(), TextError> {
        if pieces.digest != self.order.1 {
            return Ok(());
        }
        if let Some(source) = self.sources.iter_mut().find(|s| s.addr == pieces.sender) {
            source.busy_until = None;
        }
        for (at, piece) in &pieces.pieces {
            self.put(now, *at, piece).inspect_err(|_| self.drop_source(pieces.sender))?;
        }
        Ok(())
    }

    fn drop_source(&mut self, addr: SocketAddrV4) {
        self.sources.retain(|s| s.addr != addr);
    }

    fn put(&mut self, now: Millis, at: u32, piece: &Arc<str>) -> Result<(), TextError> {
        let ix = at as usize;
        ensure!(self.wanted.get(ix) == Some(&short_digest(piece)), error::WrongPieceSnafu { at });
        if self.slots[ix].is_some() {
            return Ok(());
        }
        self.bytes += piece.len();
        ensure!(self.bytes <= MAX_TEXT, error::TooLongSnafu { bytes: self.bytes });
        self.slots[ix] = Some(piece.clone());
        self.missing -= 1;
        self.last_progress = now;
        Ok(())
    }
}

/// The bytes of pieces that an instance may still send, refilled over time.
#[derive(Debug)]
pub(super) struct Budget {
    remaining: usize,
    refilled: Millis,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { remaining: PIECE_RATE, refilled: Millis(0) }
    }
}

impl Budget {
    /// The pieces of `text` that `runs` name, as far as the budget allows.
    pub(super) fn take_pieces(
        &mut self,
        now: Millis,
        text: &[&str],
        runs: &[(u32, u32)],
    ) -> Vec<(u32, Arc<str>)> {
        self.refill(now);
        let mut capacity = ANSWER_BYTES.min(self.remaining);
        let mut pieces = Vec::new();
        // The first position beyond the text ends the loop, however long a run
        // claims to be.
        let named = runs.iter().flat_map(|&(first, count)| first..first.saturating_add(count));
        for at in named {
            let Some(piece) = text.get(at as usize) else { break };
            if piece.len() > capacity && !pieces.is_empty() || capacity == 0 {
                break;
            }
            capacity = capacity.saturating_sub(piece.len());
            self.remaining = self.remaining.saturating_sub(piece.len());
            pieces.push((at, Arc::from(*piece)));
        }
        pieces
    }

    fn refill(&mut self, now: Millis) {
        let gained = now.since(self.refilled).0.saturating_mul(PIECE_RATE as u64) / 1000;
        self.refilled = now;
        self.remaining = PIECE_RATE
            .min(self.remaining.saturating_add(usize::try_from(gained).unwrap_or(PIECE_RATE)));
    }
}
