//! The bundle in force and its exchange between instances.
//!
//! Bundles are ordered by (version, digest), and the larger wins everywhere. An
//! older one therefore never returns, whether it comes from a stale platform, a
//! peer that slept or a healed partition. See `docs/design/bundle-spread.md`.

mod assembly;
mod error;
mod pieces;
mod readers;

pub use self::{
    assembly::{ANSWER_BYTES, PIECE_RATE},
    error::TextError,
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

/// Maximum length of a text in bytes. The platform holds values up to a
/// megabyte, so a longer text is a fault or an attack on memory.
pub const MAX_TEXT: usize = 1 << 20;
/// Number of texts kept as bases for deltas. At 4,000 changes a day a peer may
/// be nearly three minutes behind and still get a delta.
pub const MAX_BASES: usize = 8;
/// Time to wait for an answer before another peer may be asked: well above a
/// round trip between failure domains and well below the 4 s allowed for a
/// change.
pub const ANSWER_TIMEOUT: Millis = Millis(500);
/// Number of refused digests remembered, so that a text that a peer offers
/// repeatedly is fetched and checked once.
const MAX_REFUSED: usize = 16;
/// Number of sound but outdated texts remembered by digest. Otherwise a text
/// that the platform serves again and again would be checked each time, which
/// takes most of a tenth of a second for a megabyte.
const MAX_OUTDATED: usize = 16;

/// Checks a whole signed text: signature, schema and cross-checks.
pub trait Check {
    /// The reason why a text is refused.
    type Error: std::error::Error + Send + Sync + 'static;

    /// Returns the version of `text` if it may come into force.
    fn check(&self, text: &str) -> Result<Version, Self::Error>;
}

value! {
    /// A text that passed every check, with its order.
    pub struct SignedText {
        /// The text, byte for byte as signed.
        pub text: Arc<str>,
        /// The version stated in the text.
        pub version: Version,
        /// The blake3 digest of the text.
        pub digest: Digest,
    }
}

impl SignedText {
    /// The order of bundles: the larger one wins everywhere.
    pub fn order(&self) -> (Version, Digest) {
        (self.version, self.digest)
    }
}

/// The digest of a text.
pub fn digest(text: &str) -> Digest {
    *blake3::hash(text.as_bytes()).as_bytes()
}

/// The bundle in force at one instance, and its exchange with peers.
#[derive(Debug)]
pub struct Spread<C> {
    checker: C,
    /// The text in force, followed by the earlier ones.
    texts: VecDeque<Arc<SignedText>>,
    /// Time until which an answer is awaited before another peer is asked.
    awaiting_until: Option<Millis>,
    assembly: Option<Assembly>,
    budget: Budget,
    refused: VecDeque<Digest>,
    /// Sound texts that are older than the bundle in force. They never come
    /// into force, since the order of the bundle in force only rises.
    outdated: VecDeque<Digest>,
    /// The latest version that was seen with two different contents.
    pub conflict: Option<Version>,
    /// Number of contents that conflicted with another one of the same version.
    pub conflicts: u64,
    conflicting: Set<Digest>,
}

impl<C: Check> Spread<C> {
    /// Creates an exchange with no bundle in force.
    pub fn new(checker: C) -> Spread<C> {
        Spread {
            checker,
            texts: VecDeque::new(),
            awaiting_until: None,
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

    /// The order of the bundle in force, or the lowest order if there is none.
    pub fn order(&self) -> (Version, Digest) {
        self.current().map_or((Version(0), [0; 32]), |t| t.order())
    }

    /// Whether a bundle of this order would come into force here if it passes
    /// the checks.
    pub fn wants(&self, order: (Version, Digest)) -> bool {
        order > self.order() && !self.refused.contains(&order.1)
    }

    /// Offers a whole text. Returns it if it came into force, and `None` if the
    /// bundle in force is the same or a later one.
    pub fn offer(&mut self, text: &str) -> Result<Option<Arc<SignedText>>, TextError> {
        ensure!(text.len() <= MAX_TEXT, error::TooLongSnafu { bytes: text.len() });
        let digest = digest(text);
        if self.texts.iter().any(|t| t.digest == digest) || self.outdated.contains(&digest) {
            return Ok(None);
        }
        ensure!(!self.refused.contains(&digest), error::RepeatedSnafu);
        let version = self.checker.check(text).map_err(|source| {
            self.refuse(digest);
            TextError::Check { source: Box::new(source) }
        })?;
        self.detect_conflict(version, digest);
        let signed = SignedText { text: text.into(), version, digest };
        if signed.order() > self.order() {
            return Ok(Some(self.put_in_force(signed)));
        }
        self.outdated.push_front(digest);
        self.outdated.truncate(MAX_OUTDATED);
        Ok(None)
    }

    fn put_in_force(&mut self, signed: SignedText) -> Arc<SignedText> {
        let signed = Arc::new(signed);
        self.texts.push_front(signed.clone());
        self.texts.truncate(MAX_BASES);
        self.awaiting_until = None;
        let order = signed.order();
        self.assembly.take_if(|a| a.order <= order);
        signed
    }

    fn refuse(&mut self, digest: Digest) {
        self.refused.push_front(digest);
        self.refused.truncate(MAX_REFUSED);
    }

    /// Flags two contents under one version: two operators published at once,
    /// and one of them has to learn that the other's bundle is in force.
    fn detect_conflict(&mut self, version: Version, digest: Digest) {
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

    /// Handles the claim of the peer at `from` to have a bundle in force.
    /// Returns whether to request the bundle: it is a later one, and no other
    /// peer is being asked.
    pub fn handle_claim(
        &mut self,
        now: Millis,
        order: (Version, Digest),
        from: SocketAddrV4,
    ) -> bool {
        self.detect_conflict(order.0, order.1);
        if let Some(assembly) = &mut self.assembly
            && assembly.order >= order
        {
            if assembly.order == order {
                assembly.add_source(from);
            }
            return false;
        }
        if !self.wants(order) || self.awaiting_until.is_some_and(|until| now < until) {
            return false;
        }
        self.awaiting_until = Some(now + ANSWER_TIMEOUT);
        true
    }

    /// A request for the bundle that a peer has. The answer goes to `sender`.
    pub fn bundle_request(&self, sender: SocketAddrV4) -> Message {
        Message::BundleRequest(BundleRequest { sender, base: self.current().map(|t| t.digest) })
    }

    /// Answers a peer's request with a delta to the text that it has, or with
    /// the outline of the whole text if that base is unknown here.
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

    /// Starts the assembly of the text that the outline describes; missing
    /// pieces are requested from now on. If none is missing, offers the text.
    pub fn apply_outline(
        &mut self,
        now: Millis,
        outline: &BundleOutline,
    ) -> Result<Option<Arc<SignedText>>, TextError> {
        let order = (outline.version, outline.digest);
        if !self.wants(order) || self.assembly.as_ref().is_some_and(|a| a.order >= order) {
            return Ok(None);
        }
        let current = self.current().cloned();
        let held = current.iter().flat_map(|t| split(&t.text)).map(Arc::from);
        let received = self.assembly.take().into_iter().flat_map(Assembly::into_pieces);
        self.assembly = Assembly::new(now, outline, held.chain(received));
        self.finish_assembly()
    }

    /// Requests for missing pieces, each with the address of a peer.
    pub fn piece_requests(
        &mut self,
        now: Millis,
        me: SocketAddrV4,
    ) -> Vec<(SocketAddrV4, Message)> {
        self.assembly.take_if(|a| a.is_stuck(now));
        self.assembly.as_mut().map(|a| a.requests(now, me)).unwrap_or_default()
    }

    /// Answers a request for pieces, within the budget.
    pub fn answer_pieces(
        &mut self,
        now: Millis,
        request: &PieceRequest,
        me: SocketAddrV4,
    ) -> Option<Message> {
        let text = self.texts.iter().find(|t| t.digest == request.digest)?;
        let pieces = self.budget.take_pieces(now, &split(&text.text), &request.runs);
        let answer = Pieces { sender: me, digest: request.digest, pieces };
        (!answer.pieces.is_empty()).then_some(Message::Pieces(answer))
    }

    /// Adds pieces to the assembly. If none is missing any more, offers the
    /// text.
    pub fn apply_pieces(
        &mut self,
        now: Millis,
        pieces: &Pieces,
    ) -> Result<Option<Arc<SignedText>>, TextError> {
        if let Some(assembly) = &mut self.assembly {
            assembly.add_pieces(now, pieces)?;
        }
        self.finish_assembly()
    }

    fn finish_assembly(&mut self) -> Result<Option<Arc<SignedText>>, TextError> {
        let Some(assembly) = self.assembly.as_ref().filter(|a| a.is_complete()) else {
            return Ok(None);
        };
        let text = assembly.text();
        let wanted = assembly.order.1;
        // The assembly ends here in any case: either the text is complete, or
        // its outline was wrong.
        self.assembly = None;
        ensure!(digest(&text) == wanted, error::DigestSnafu);
        self.offer(&text)
    }

    /// Rebuilds a text from a peer's delta and offers it.
    pub fn apply_delta(
        &mut self,
        delta: &BundleDelta,
    ) -> Result<Option<Arc<SignedText>>, TextError> {
        if !self.wants((delta.version, delta.digest)) {
            return Ok(None);
        }
        let text = {
            let base = self.find_base(delta.base)?;
            rebuild(base, &delta.pieces)?
        };
        ensure!(digest(&text) == delta.digest, error::DigestSnafu);
        self.offer(&text)
    }

    fn find_base(&self, digest: Digest) -> Result<&str, TextError> {
        let found = self.texts.iter().find(|t| t.digest == digest);
        found.map(|t| &*t.text).ok_or(TextError::UnknownBase)
    }
}
