//! The bundle in force, and how it reaches every instance.
//!
//! Bundles are ordered by (version, digest) and the larger wins everywhere,
//! so that whatever a stale platform, a peer that slept or a healed partition
//! brings, an older one never returns. See `docs/design/bundle-spread.md`.

mod assembly;
mod error;
mod pieces;
mod readers;

pub use self::{
    assembly::{ANSWER_BYTES, PIECE_RATE},
    error::Refusal,
    pieces::{diff, rebuild, short_digest, split},
    readers::{READERS_PER_DOMAIN, is_reader},
};

use self::assembly::{Assembly, Budget};
use crate::{
    collections::Set,
    ids::Version,
    message::{BundleDelta, BundleOutline, BundleRequest, Digest, Message, PieceRequest, Pieces},
    time::Millis,
};
use snafu::ensure;
use std::{collections::VecDeque, net::SocketAddrV4, sync::Arc};

/// The largest text that is looked at. The platform holds values up to a
/// megabyte, so a larger one can only be a fault or an attack on memory.
pub const MAX_TEXT: usize = 1 << 20;
/// How many texts are kept to make differences against: at 4,000 changes a
/// day a peer may lag by nearly three minutes and still be sent a difference.
pub const MAX_BASES: usize = 8;
/// How long an answer is awaited before another peer may be asked: well above
/// a round trip between failure domains and well under the 4 s for a change.
pub const ANSWER_TIMEOUT: Millis = Millis(500);
/// How many refused digests are remembered, so that a text that a peer offers
/// again and again is fetched and checked once.
const REFUSED: usize = 16;
/// How many texts that were sound but not the highest are remembered. A
/// platform that serves an old one again and again would otherwise have it
/// checked each time, which takes most of a tenth of a second at a megabyte.
const OUTDATED: usize = 16;

/// Checks a whole signed text: signature, schema and cross-checks.
pub trait Check {
    /// Why a text is refused.
    type Error: std::error::Error + Send + Sync + 'static;

    /// Returns the version of `text` if it may come into force.
    fn check(&self, text: &str) -> Result<Version, Self::Error>;
}

value! {
    /// A text that passed every check, with what orders it.
    pub struct SignedText {
        /// The text, to the last byte as it was signed.
        pub text: Arc<str>,
        /// The version that it says.
        pub version: Version,
        /// Its blake3 digest.
        pub digest: Digest,
    }
}

impl SignedText {
    /// What orders bundles: the larger wins everywhere.
    pub fn order(&self) -> (Version, Digest) {
        (self.version, self.digest)
    }
}

/// The digest of a text.
pub fn digest(text: &str) -> Digest {
    *blake3::hash(text.as_bytes()).as_bytes()
}

/// The bundle in force at one instance and the exchange about it.
#[derive(Debug)]
pub struct Spread<C> {
    checker: C,
    /// The text in force first, then those before it.
    texts: VecDeque<Arc<SignedText>>,
    /// Until when an answer is awaited before another peer is asked.
    pending: Option<Millis>,
    assembly: Option<Assembly>,
    budget: Budget,
    refused: VecDeque<Digest>,
    /// Texts that were sound, but behind the one in force. They stay behind,
    /// since what is in force only rises.
    outdated: VecDeque<Digest>,
    /// The latest version that was seen with two contents.
    pub conflict: Option<Version>,
    /// Contents that were seen besides another one under the same version.
    pub conflicts: u64,
    conflicting: Set<Digest>,
}

impl<C: Check> Spread<C> {
    /// Starts with no bundle in force.
    pub fn new(checker: C) -> Spread<C> {
        Spread {
            checker,
            texts: VecDeque::new(),
            pending: None,
            assembly: None,
            budget: Budget::default(),
            refused: VecDeque::new(),
            outdated: VecDeque::new(),
            conflict: None,
            conflicts: 0,
            conflicting: Set::default(),
        }
    }

    /// The bundle in force.
    pub fn current(&self) -> Option<&Arc<SignedText>> {
        self.texts.front()
    }

    /// What orders the bundle in force; the least there is, if there is none.
    pub fn order(&self) -> (Version, Digest) {
        self.current().map_or((Version(0), [0; 32]), |t| t.order())
    }

    /// Whether a bundle ordered so would come into force here, as far as can
    /// be told before it was checked.
    pub fn wants(&self, order: (Version, Digest)) -> bool {
        order > self.order() && !self.refused.contains(&order.1)
    }

    /// Offers a whole text. Returns it if it came into force; `None` if what
    /// is in force stays because it is the same or a later one.
    pub fn offer(&mut self, text: &str) -> Result<Option<Arc<SignedText>>, Refusal> {
        ensure!(text.len() <= MAX_TEXT, error::TooLongSnafu { bytes: text.len() });
        let digest = digest(text);
        if self.texts.iter().any(|t| t.digest == digest) || self.outdated.contains(&digest) {
            return Ok(None);
        }
        ensure!(!self.refused.contains(&digest), error::RepeatedSnafu);
        let version = self.checker.check(text).map_err(|source| {
            self.refuse(digest);
            Refusal::Check { source: Box::new(source) }
        })?;
        self.compare(version, digest);
        let signed = SignedText { text: text.into(), version, digest };
        if signed.order() > self.order() {
            return Ok(Some(self.put(signed)));
        }
        self.outdated.push_front(digest);
        self.outdated.truncate(OUTDATED);
        Ok(None)
    }

    fn put(&mut self, signed: SignedText) -> Arc<SignedText> {
        let signed = Arc::new(signed);
        self.texts.push_front(signed.clone());
        self.texts.truncate(MAX_BASES);
        self.pending = None;
        let order = signed.order();
        self.assembly.take_if(|a| a.order <= order);
        signed
    }

    fn refuse(&mut self, digest: Digest) {
        self.refused.push_front(digest);
        self.refused.truncate(REFUSED);
    }

    /// Flags two contents under one version: two operators published at once,
    /// and one of them has to know that the other's bundle is in force.
    fn compare(&mut self, version: Version, digest: Digest) {
        let (ours, other) = self.order();
        if version != ours || digest == other || ours == Version(0) {
            return;
        }
        if self.conflict != Some(version) {
            self.conflicting.clear();
        }
        self.conflict = Some(version);
        if self.conflicting.insert(digest.min(other)) {
            self.conflicts += 1;
        }
    }

    /// Hears what the peer at `from` has in force. Returns whether to ask it,
    /// since its bundle is a later one and nobody else is being asked.
    pub fn handle_claim(
        &mut self,
        now: Millis,
        order: (Version, Digest),
        from: SocketAddrV4,
    ) -> bool {
        self.compare(order.0, order.1);
        if let Some(assembly) = &mut self.assembly
            && assembly.order >= order
        {
            if assembly.order == order {
                assembly.add_source(from);
            }
            return false;
        }
        if !self.wants(order) || self.pending.is_some_and(|until| now < until) {
            return false;
        }
        self.pending = Some(now + ANSWER_TIMEOUT);
        true
    }

    /// Asks for the bundle that a peer has; the answer goes to `sender`.
    pub fn bundle_request(&self, sender: SocketAddrV4) -> Message {
        Message::BundleRequest(BundleRequest { sender, base: self.current().map(|t| t.digest) })
    }

    /// Answers a peer's request with the difference to what it has, or with
    /// the outline of the text if what it has is unknown here.
    pub fn answer_request(&self, request: &BundleRequest, me: SocketAddrV4) -> Option<Message> {
        let current = self.current()?;
        let (version, digest) = current.order();
        let base = self.texts.iter().find(|t| Some(t.digest) == request.base);
        Some(match base {
            Some(base) => {
                let pieces = diff(&base.text, &current.text);
                Message::BundleDelta(BundleDelta { version, digest, base: base.digest, pieces })
            }
            None => {
                let pieces = split(&current.text).into_iter().map(short_digest).collect();
                Message::BundleOutline(BundleOutline { sender: me, version, digest, pieces })
            }
        })
    }

    /// Takes an outline: from now on the pieces that lack are asked for. If
    /// none does, offers the whole text.
    pub fn apply_outline(
        &mut self,
        now: Millis,
        outline: &BundleOutline,
    ) -> Result<Option<Arc<SignedText>>, Refusal> {
        let order = (outline.version, outline.digest);
        if !self.wants(order) || self.assembly.as_ref().is_some_and(|a| a.order >= order) {
            return Ok(None);
        }
        let current = self.current().cloned();
        let held = current.iter().flat_map(|t| split(&t.text)).map(Arc::from);
        let halfway = self.assembly.take().into_iter().flat_map(Assembly::into_pieces);
        self.assembly = Assembly::new(now, outline, held.chain(halfway));
        self.finish()
    }

    /// Requests for pieces that still lack, each with whom to ask.
    pub fn piece_requests(
        &mut self,
        now: Millis,
        me: SocketAddrV4,
    ) -> Vec<(SocketAddrV4, Message)> {
        self.assembly.take_if(|a| a.stuck(now));
        self.assembly.as_mut().map(|a| a.fetch(now, me)).unwrap_or_default()
    }

    /// Answers a request for pieces, within the budget for that.
    pub fn answer_pieces(
        &mut self,
        now: Millis,
        request: &PieceRequest,
        me: SocketAddrV4,
    ) -> Option<Message> {
        let text = self.texts.iter().find(|t| t.digest == request.digest)?;
        let pieces = self.budget.cut(now, &split(&text.text), &request.runs);
        let answer = Pieces { sender: me, digest: request.digest, pieces };
        (!answer.pieces.is_empty()).then_some(Message::Pieces(answer))
    }

    /// Takes pieces; when none lacks, offers the whole text.
    pub fn apply_pieces(
        &mut self,
        now: Millis,
        pieces: &Pieces,
    ) -> Result<Option<Arc<SignedText>>, Refusal> {
        if let Some(assembly) = &mut self.assembly {
            assembly.fill(now, pieces)?;
        }
        self.finish()
    }

    fn finish(&mut self) -> Result<Option<Arc<SignedText>>, Refusal> {
        let Some(assembly) = self.assembly.as_ref().filter(|a| a.complete()) else {
            return Ok(None);
        };
        let text = assembly.text();
        let wanted = assembly.order.1;
        // Whatever comes of it: this one is done, or its outline was wrong.
        self.assembly = None;
        ensure!(digest(&text) == wanted, error::DigestSnafu);
        self.offer(&text)
    }

    /// Takes a peer's answer: rebuilds the whole text and offers it.
    pub fn apply_delta(&mut self, delta: &BundleDelta) -> Result<Option<Arc<SignedText>>, Refusal> {
        if !self.wants((delta.version, delta.digest)) {
            return Ok(None);
        }
        let text = {
            let base = self.base(delta.base)?;
            rebuild(base, &delta.pieces)?
        };
        ensure!(digest(&text) == delta.digest, error::DigestSnafu);
        self.offer(&text)
    }

    fn base(&self, digest: Digest) -> Result<&str, Refusal> {
        let found = self.texts.iter().find(|t| t.digest == digest);
        found.map(|t| &*t.text).ok_or(Refusal::UnknownBase)
    }
}
