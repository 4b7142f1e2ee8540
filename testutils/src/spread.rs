//! Picks the instance for each packet of a fabric.

use crate::packet::PacketHeader;
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    hash::{BuildHasher, Hash},
    str::FromStr,
};

/// Method by which a fabric spreads packets over instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Each packet goes to a random instance.
    Spray,
    /// A flow keeps its instance while that is in the list.
    Hash,
    /// A flow keeps its instance until the list changes.
    Reshuffle,
}

/// A text that is not the name of a [`Mode`].
#[derive(Debug, snafu::Snafu)]
#[snafu(display("unknown fabric mode {text:?}; use spray, hash or reshuffle"))]
pub struct UnknownMode {
    text: String,
}

impl FromStr for Mode {
    type Err = UnknownMode;

    fn from_str(text: &str) -> Result<Self, UnknownMode> {
        match text {
            "spray" => Ok(Self::Spray),
            "hash" => Ok(Self::Hash),
            "reshuffle" => Ok(Self::Reshuffle),
            _ => Err(UnknownMode { text: text.into() }),
        }
    }
}

/// Picks instances as a [`Mode`] says.
pub struct Picker {
    mode: Mode,
    rng: StdRng,
}

impl Picker {
    /// Creates a picker whose choices depend only on `mode`, `seed` and its inputs.
    pub fn new(mode: Mode, seed: u64) -> Self {
        Self { mode, rng: StdRng::seed_from_u64(seed) }
    }

    /// Returns the position in `names` of the instance for a packet, or `None`
    /// without instances.
    pub fn pick<T: Hash>(&mut self, names: &[T], header: &PacketHeader) -> Option<usize> {
        if names.is_empty() {
            return None;
        }
        Some(match self.mode {
            Mode::Spray => self.rng.random_range(0..names.len()),
            Mode::Hash => {
                let rank = |&ix: &usize| hash(&(header.src, header.dst, &names[ix]));
                (0..names.len()).max_by_key(rank).unwrap_or(0)
            }
            Mode::Reshuffle => hash(&(header.src, header.dst)) as usize % names.len(),
        })
    }
}

/// Hashes a value with the quality variant of foldhash, as its fast variant mixes
/// some bits too little for a choice by hash.
fn hash(value: &impl Hash) -> u64 {
    foldhash::quality::FixedState::default().hash_one(value)
}
