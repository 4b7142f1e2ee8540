//! Keys for signing and verifying bundles.

use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use rand_core::OsRng;
use snafu::{ResultExt, Snafu};
use std::{fmt, str::FromStr};

/// Error from parsing a key.
#[derive(Debug, Snafu)]
pub enum KeyError {
    /// The text is not 64 hexadecimal digits.
    #[snafu(display("a key is 64 hexadecimal digits"))]
    Digits {
        /// Error of the decoder.
        source: hex::FromHexError,
    },
    /// The digits are not a point of the curve.
    #[snafu(display("the digits are not an ed25519 public key"))]
    Curve {
        /// Error of the library.
        source: ed25519_dalek::SignatureError,
    },
}

/// A secret key for signing bundles. It is never part of an instance's
/// settings.
pub struct SecretKey(SigningKey);

impl SecretKey {
    /// Generates a key from the system's source of randomness.
    pub fn generate() -> SecretKey {
        SecretKey(SigningKey::generate(&mut OsRng))
    }

    /// Returns the public key of the pair.
    pub fn public(&self) -> PublicKey {
        PublicKey(self.0.verifying_key())
    }

    /// Returns the key as hexadecimal digits, its form in files.
    pub fn to_hex(&self) -> String {
        hex::encode(self.0.to_bytes())
    }

    pub(super) fn sign(&self, message: &[u8]) -> Signature {
        self.0.sign(message)
    }
}

impl FromStr for SecretKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<SecretKey, KeyError> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text.trim(), &mut bytes).context(DigitsSnafu)?;
        Ok(SecretKey(SigningKey::from_bytes(&bytes)))
    }
}

impl fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "SecretKey(of {})", self.public().id())
    }
}

/// A public key with which instances verify signatures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PublicKey(VerifyingKey);

impl PublicKey {
    /// Returns the short id that names the key in signature lines.
    pub fn id(&self) -> KeyId {
        let digest = blake3::hash(self.0.as_bytes());
        let mut id = [0; 8];
        id.copy_from_slice(&digest.as_bytes()[..8]);
        KeyId(id)
    }

    pub(super) fn verify(&self, message: &[u8], signature: &Signature) -> bool {
        self.0.verify_strict(message, signature).is_ok()
    }
}

impl FromStr for PublicKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<PublicKey, KeyError> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text.trim(), &mut bytes).context(DigitsSnafu)?;
        VerifyingKey::from_bytes(&bytes).map(PublicKey).context(CurveSnafu)
    }
}

impl fmt::Display for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0.as_bytes()))
    }
}

/// Id of a public key: the first eight bytes of its blake3 digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyId(pub [u8; 8]);

impl fmt::Display for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

/// Public keys that an instance trusts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TrustedKeys(Vec<PublicKey>);

impl TrustedKeys {
    /// Creates the set of trusted keys.
    pub fn new(keys: Vec<PublicKey>) -> TrustedKeys {
        TrustedKeys(keys)
    }

    /// Returns the keys in the order of the settings.
    pub fn iter(&self) -> impl Iterator<Item = &PublicKey> {
        self.0.iter()
    }

    pub(super) fn get(&self, id: KeyId) -> Option<&PublicKey> {
        self.0.iter().find(|key| key.id() == id)
    }
}
