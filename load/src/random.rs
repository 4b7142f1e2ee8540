//! A small random number generator with an explicit seed.

/// A SplitMix64 generator. It is good enough to spread waits and not suited for secrets.
#[derive(Debug, Clone)]
pub struct Random(u64);

impl Random {
    /// Returns the generator that starts at `seed`.
    pub const fn new(seed: u64) -> Random {
        Random(seed)
    }

    /// Returns the next number of the sequence.
    pub fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0)
    }

    /// Returns a number in the range from 0 to 1, without 1.
    pub fn fraction(&mut self) -> f64 {
        (self.draw() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Spreads the bits of `x` over the whole word.
pub(crate) const fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
