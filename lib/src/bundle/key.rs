//! The keys that sign bundles off.

use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use rand_core::OsRng;
use snafu::{ResultExt, Snafu};
use std::{fmt, str::FromStr};

/// Why a text is no key.
#[derive(Debug, Snafu)]
pub enum KeyError {
    /// It is not 64 hexadecimal digits.
    #[snafu(display("a key is 64 hexadecimal digits"))]
    Digits {
        /// What the decoder says.
        source: hex::FromHexError,
    },
    /// Its digits are no point of the curve.
    #[snafu(display("these digits are no ed25519 public key"))]
    Curve {
        /// What the library says.
        source: ed25519_dalek::SignatureError,
    },
}

/// A secret key, which signs bundles. Never in an instance's settings.
pub struct SecretKey(SigningKey);

impl SecretKey {
    /// Draws a new key from the system's randomness.
    pub fn generate() -> SecretKey {
        SecretKey(SigningKey::generate(&mut OsRng))
    }

    /// The public key of the pair.
    pub fn public(&self) -> PublicKey {
        PublicKey(self.0.verifying_key())
    }

    /// The digits by which the key is written to a file.
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

/// A public key, by which instances check signatures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PublicKey(VerifyingKey);

impl PublicKey {
    /// The short name of the key in a signature line.
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

/// The first eight bytes of the blake3 digest of a public key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyId(pub [u8; 8]);

impl fmt::Display for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

/// The public keys that an instance trusts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TrustedKeys(Vec<PublicKey>);

impl TrustedKeys {
    /// Trusts these keys.
    pub fn new(keys: Vec<PublicKey>) -> TrustedKeys {
        TrustedKeys(keys)
    }

    /// The keys in the order of the settings.
    pub fn iter(&self) -> impl Iterator<Item = &PublicKey> {
        self.0.iter()
    }

    pub(super) fn get(&self, id: KeyId) -> Option<&PublicKey> {
        self.0.iter().find(|key| key.id() == id)
    }
}
