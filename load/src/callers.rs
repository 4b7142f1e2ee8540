//! What single callers and networks take, counted in fixed memory.
//!
//! Answers a few callers or keys that take most of the load. Without it one
//! misconfigured station that opens a thousand connections a second shuts out
//! a whole town; one notices one address in most of the openings that got in.
//! A layer-4 edge sees no key of an application; the network of the caller
//! (its /24), behind which a customer's devices sit, stands for it.
//!
//! The counts are a count-min sketch of two windows. It never counts too low;
//! with [`CELLS`] cells and two rows it counts a caller too high, on average,
//! by less than a ten-thousandth of all openings, so only who is near the limit can suffer.

use crate::random::mix;
use medlarspur_lib::{bundle::Class, time::Millis};
use std::net::Ipv4Addr;

/// Cells of one row; a power of two. 2 rows × 2 windows × 16,384 × 4 bytes
/// are 256 KB a class, however many callers come.
const CELLS: usize = 16_384;
const ROWS: usize = 2;

/// Recent openings by key, over a sliding window.
#[derive(Debug, Clone)]
pub struct Sketch {
    seed: u64,
    span: Millis,
    start: Millis,
    now: Box<[u32]>,
    past: Box<[u32]>,
}

impl Sketch {
    /// Counts over windows of `span`.
    pub fn new(seed: u64, span: Millis) -> Sketch {
        let cells = || vec![0; CELLS * ROWS].into_boxed_slice();
        Sketch { seed, span, start: Millis(0), now: cells(), past: cells() }
    }

    /// Counts one opening of `key`.
    pub fn add(&mut self, now: Millis, key: u64) {
        self.slide(now);
        for cell in self.cells(key) {
            self.now[cell] = self.now[cell].saturating_add(1);
        }
    }

    /// About how often `key` was counted in the last window.
    pub fn count(&mut self, now: Millis, key: u64) -> f64 {
        self.slide(now);
        let left = 1.0 - now.since(self.start).0 as f64 / self.span.0 as f64;
        self.cells(key)
            .map(|cell| f64::from(self.now[cell]) + f64::from(self.past[cell]) * left.max(0.0))
            .fold(f64::MAX, f64::min)
    }

    fn cells(&self, key: u64) -> std::array::IntoIter<usize, ROWS> {
        let hash = mix(key ^ self.seed);
        let mask = CELLS - 1;
        [hash as usize & mask, CELLS + ((hash >> 32) as usize & mask)].into_iter()
    }

    fn slide(&mut self, now: Millis) {
        let age = now.since(self.start);
        if age < self.span {
            return;
        }
        std::mem::swap(&mut self.now, &mut self.past);
        self.now.fill(0);
        if age.0 >= self.span.0 * 2 {
            self.past.fill(0);
        }
        self.start = now;
    }
}

/// The key under which one caller of a service is counted.
pub fn caller_key(service: u16, class: Class, caller: Ipv4Addr) -> u64 {
    u64::from(service) << 40 | (class as u64) << 32 | u64::from(u32::from(caller))
}

/// The key under which a caller's network is counted.
pub fn network_key(service: u16, caller: Ipv4Addr) -> u64 {
    1 << 63 | u64::from(service) << 40 | u64::from(u32::from(caller) >> 8)
}
