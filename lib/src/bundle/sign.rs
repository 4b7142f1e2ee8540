//! Signing bundles and verifying signed ones.
//!
//! The signature is the last line of the text: `# signed <key id> <signature>`.
//! For YAML it is a comment. A signed bundle is thus a single file that people
//! can read and that the platform stores as a single value.

use super::{Bundle, KeyId, MAX_BUNDLE_SIZE, SecretKey, TrustedKeys};
use crate::{
    document::Report,
    ids::{SiteName, Version},
    message::Digest,
};
use ed25519_dalek::Signature;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use std::sync::Arc;

/// Prefix of the signature line.
const SIGNATURE_PREFIX: &str = "# signed ";
/// Prefix of the signed message. A signature that the key made for anything
/// else is not valid for a bundle.
const SIGNATURE_CONTEXT: &[u8] = b"medlarspur bundle 1\n";

/// Reason why a bundle is refused. The bundle in force stays.
#[derive(Debug, Snafu)]
pub enum BundleError {
    /// The bundle is longer than [`MAX_BUNDLE_SIZE`].
    #[snafu(display("the bundle has {size} bytes, more than the maximum of {MAX_BUNDLE_SIZE}"))]
    TooLarge {
        /// Length in bytes.
        size: usize,
    },
    /// The bytes are not UTF-8 text.
    #[snafu(display("the bundle is not UTF-8 text"))]
    NotText {
        /// Error with the position of the first invalid byte.
        source: std::str::Utf8Error,
    },
    /// The text has no signature line, or one that can't be parsed.
    #[snafu(display("the bundle has no signature in its last line"))]
    NoSignature,
    /// The key of the signature is not trusted.
    #[snafu(display("the bundle is signed by the unknown key {key}"))]
    UnknownKey {
        /// Key that the signature line names.
        key: KeyId,
    },
    /// The signature is not valid for this text and key.
    #[snafu(display("the signature of the key {key} does not fit the text"))]
    BadSignature {
        /// Key that the signature line names.
        key: KeyId,
    },
    /// The bundle fails the checks.
    #[snafu(display("the bundle has {} faults", source.problems.len()))]
    Faults {
        /// All faults.
        source: Report,
    },
    /// The bundle is for another site.
    #[snafu(display("the bundle is for the site {found} and not for {expected}"))]
    WrongSite {
        /// Site that the bundle names.
        found: SiteName,
        /// Site of this instance.
        expected: SiteName,
    },
    /// The bundle changes the seed. Every flow would then hash to another
    /// bucket, and feeds that no instance knows would reach targets that don't
    /// have them.
    #[snafu(display("bundle {version} changes the seed of the bundle in force"))]
    SeedChanged {
        /// Version of the refused bundle.
        version: Version,
    },
}

impl BundleError {
    /// All reasons, so that each can be exported before it first occurs.
    pub const REASONS: [&str; 8] = [
        "too-large",
        "not-text",
        "no-signature",
        "unknown-key",
        "bad-signature",
        "faults",
        "wrong-site",
        "seed-changed",
    ];

    /// Returns a short code of the reason, for counters and logs.
    pub fn reason(&self) -> &'static str {
        match self {
            BundleError::TooLarge { .. } => "too-large",
            BundleError::NotText { .. } => "not-text",
            BundleError::NoSignature => "no-signature",
            BundleError::UnknownKey { .. } => "unknown-key",
            BundleError::BadSignature { .. } => "bad-signature",
            BundleError::Faults { .. } => "faults",
            BundleError::WrongSite { .. } => "wrong-site",
            BundleError::SeedChanged { .. } => "seed-changed",
        }
    }
}

/// A bundle with a valid signature that passed all checks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SignedBundle {
    /// The parsed bundle.
    pub bundle: Arc<Bundle>,
    /// The text including its signature line, as other instances need it.
    pub text: Arc<str>,
    /// The blake3 digest of the text.
    pub digest: Digest,
    /// Key that signed it.
    pub key: KeyId,
}

impl SignedBundle {
    /// Parses a bundle that a trusted key has signed and checks it for this
    /// site. The signature is verified first, so that only signed text costs
    /// the time of the other checks.
    ///
    /// # Errors
    ///
    /// Returns the first reason to refuse the bundle.
    pub fn check(
        bytes: &[u8],
        keys: &TrustedKeys,
        site: &SiteName,
    ) -> Result<SignedBundle, BundleError> {
        ensure!(bytes.len() <= MAX_BUNDLE_SIZE, TooLargeSnafu { size: bytes.len() });
        let text = std::str::from_utf8(bytes).context(NotTextSnafu)?;
        let (content, line) = split_signature(text).context(NoSignatureSnafu)?;
        let key = keys.get(line.key).context(UnknownKeySnafu { key: line.key })?;
        let is_valid = key.verify(&signed_message(content), &line.signature);
        ensure!(is_valid, BadSignatureSnafu { key: line.key });
        let bundle = Bundle::parse_without_lines(content).context(FaultsSnafu)?;
        ensure!(
            bundle.site == *site,
            WrongSiteSnafu { found: bundle.site, expected: site.clone() }
        );
        Ok(SignedBundle {
            bundle: Arc::new(bundle),
            text: text.into(),
            digest: *blake3::hash(bytes).as_bytes(),
            key: line.key,
        })
    }

    /// Checks that this bundle may replace `current`, the bundle in force.
    /// Versions are not compared here; [`SignedBundle::rank`] orders bundles.
    ///
    /// # Errors
    ///
    /// Returns the reason why it may not.
    pub fn check_can_replace(&self, current: &Bundle) -> Result<(), BundleError> {
        let version = self.bundle.version;
        ensure!(self.bundle.seed == current.seed, SeedChangedSnafu { version });
        Ok(())
    }

    /// Returns the sort key of bundles, the same on all instances. The bundle
    /// with the highest rank wins.
    pub fn rank(&self) -> (Version, Digest) {
        (self.bundle.version, self.digest)
    }
}

/// Signs `text` with `key`. An existing signature line is replaced.
pub fn sign(text: &str, key: &SecretKey) -> String {
    let mut signed = strip_signature(text).to_owned();
    if !signed.ends_with('\n') {
        signed.push('\n');
    }
    let signature = key.sign(&signed_message(&signed));
    let digits = hex::encode(signature.to_bytes());
    signed.push_str(&format!("{SIGNATURE_PREFIX}{} {digits}\n", key.public().id()));
    signed
}

/// Returns the text of a bundle without its signature line.
pub fn strip_signature(text: &str) -> &str {
    split_signature(text).map_or(text, |(content, _)| content)
}

/// A parsed signature line.
struct SignatureLine {
    key: KeyId,
    signature: Signature,
}

fn signed_message(content: &str) -> Vec<u8> {
    [SIGNATURE_CONTEXT, content.as_bytes()].concat()
}

fn split_signature(text: &str) -> Option<(&str, SignatureLine)> {
    let body = text.strip_suffix('\n').unwrap_or(text);
    let start = body.rfind('\n')? + 1;
    let (content, last) = body.split_at(start);
    let (id, digits) = last.strip_prefix(SIGNATURE_PREFIX)?.split_once(' ')?;
    let (mut key, mut signature) = ([0; 8], [0; 64]);
    hex::decode_to_slice(id, &mut key).ok()?;
    hex::decode_to_slice(digits, &mut signature).ok()?;
    Some((content, SignatureLine { key: KeyId(key), signature: Signature::from_bytes(&signature) }))
}
