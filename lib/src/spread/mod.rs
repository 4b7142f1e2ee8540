//! The bundle in force, and how it reaches every instance.
//!
//! Bundles are ordered by (version, digest) and the larger wins everywhere,
//! so that whatever a stale platform, a peer that slept or a healed partition
//! brings, an older one never returns. See `docs/design/bundle-spread.md`.

mod error;
mod pieces;
mod readers;

pub use self::{
    error::Refusal,
    pieces::{diff, rebuild, split},
    readers::{READERS, reads},
};

use crate::{
    collections::Set,
    ids::Version,
    message::{BundleDelta, BundleRequest, Digest, Message},
    time::Millis,
};
use snafu::ensure;
use std::{collections::VecDeque, net::SocketAddrV4, sync::Arc};

/// The largest text that is looked at. The platform holds values up to a
/// megabyte, so a larger one can only be a fault or an attack on memory.
pub const MAX_TEXT: usize = 1 << 20;
/// How many texts are kept to make differences against: at 4,000 changes a
/// day a peer may lag by nearly three minutes and still be sent a difference.
pub const BASES: usize = 8;
/// How long an answer is awaited before another peer may be asked: well above
/// a round trip between failure domains and well under the 4 s for a change.
pub const ANSWER_LIMIT: Millis = Millis(500);
/// How many refused digests are remembered, so that a text that a peer offers
/// again and again is fetched and checked once.
const REFUSED: usize = 16;

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
    pending: Option<Pending>,
    refused: VecDeque<Digest>,
    /// The latest version that was seen with two contents.
    pub conflict: Option<Version>,
    /// Contents that were seen besides another one under the same version.
    pub conflicts: u64,
    conflicting: Set<Digest>,
}

#[derive(Debug, Clone, Copy)]
struct Pending {
    until: Millis,
}

impl<C: Check> Spread<C> {
    /// Starts with no bundle in force.
    pub fn new(checker: C) -> Spread<C> {
        Spread {
            checker,
            texts: VecDeque::new(),
            pending: None,
            refused: VecDeque::new(),
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
        if self.texts.iter().any(|t| t.digest == digest) {
            return Ok(None);
        }
        ensure!(!self.refused.contains(&digest), error::RepeatedSnafu);
        let version = self.checker.check(text).map_err(|source| {
            self.refuse(digest);
            Refusal::Check { source: Box::new(source) }
        })?;
        self.compare(version, digest);
        let signed = SignedText { text: text.into(), version, digest };
        Ok((signed.order() > self.order()).then(|| self.put(signed)))
    }

    fn put(&mut self, signed: SignedText) -> Arc<SignedText> {
        let signed = Arc::new(signed);
        self.texts.push_front(signed.clone());
        self.texts.truncate(BASES);
        self.pending = None;
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

    /// Hears what a peer has in force. Returns the request to send it, if its
    /// bundle is a later one and nobody else is being asked.
    pub fn claim(
        &mut self,
        now: Millis,
        order: (Version, Digest),
        sender: SocketAddrV4,
    ) -> Option<BundleRequest> {
        self.compare(order.0, order.1);
        if !self.wants(order) || self.pending.is_some_and(|p| now < p.until) {
            return None;
        }
        self.pending = Some(Pending { until: now + ANSWER_LIMIT });
        Some(BundleRequest { sender, base: self.current().map(|t| t.digest) })
    }

    /// Answers a peer's request with the difference to what it has.
    pub fn answer(&self, request: &BundleRequest) -> Option<Message> {
        let current = self.current()?;
        let base = self.texts.iter().find(|t| Some(t.digest) == request.base);
        let pieces = diff(base.map_or("", |t| &t.text), &current.text);
        Some(Message::BundleDelta(BundleDelta {
            version: current.version,
            digest: current.digest,
            base: base.map(|t| t.digest),
            pieces,
        }))
    }

    /// Takes a peer's answer: rebuilds the whole text and offers it.
    pub fn apply(&mut self, delta: &BundleDelta) -> Result<Option<Arc<SignedText>>, Refusal> {
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

    fn base(&self, base: Option<Digest>) -> Result<&str, Refusal> {
        let Some(digest) = base else { return Ok("") };
        let found = self.texts.iter().find(|t| t.digest == digest);
        found.map(|t| &*t.text).ok_or(Refusal::UnknownBase)
    }
}
