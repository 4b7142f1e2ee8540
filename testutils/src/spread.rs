//! How a fabric picks the instance for a packet.

use crate::packet::PacketHeader;
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    hash::{BuildHasher, Hash},
    str::FromStr,
};

/// The ways in which fabrics spread packets over instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Any packet goes anywhere.
    Spray,
    /// A flow keeps its instance as long as that is in the list.
    Hash,
    /// A flow keeps its instance until the list changes at all.
    Reshuffle,
}

/// Says that a text names no [`Mode`].
#[derive(Debug, snafu::Snafu)]
#[snafu(display("no fabric mode {text:?}; use spray, hash or reshuffle"))]
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

/// Picks instances in one of the [`Mode`]s.
pub struct Picker {
    mode: Mode,
    rng: StdRng,
}

impl Picker {
    /// Makes a choice that repeats itself for the same `seed`.
    pub fn new(mode: Mode, seed: u64) -> Self {
        Self { mode, rng: StdRng::seed_from_u64(seed) }
    }

    /// The position in `names` of the instance that gets the packet.
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

/// A hash whose bits are all mixed, which the fast one's are not.
fn hash(value: &impl Hash) -> u64 {
    foldhash::quality::FixedState::default().hash_one(value)
}
