//! Approximate counts of openings by caller and network, in fixed memory.
//!
//! Detects a few callers or keys that take most of the load. Without it, one misconfigured
//! station that opens a thousand connections a second shuts out a whole town: most admitted
//! openings come from one address. A layer-4 load balancer does not see application keys.
//! The caller's network (its /24), which holds a customer's devices, is used instead.
//!
//! The counts are a count-min sketch over two windows. It never counts too low. With
//! `ROW_CELLS` cells and two rows, the mean error is below one ten-thousandth of all
//! openings, so it affects only callers close to the limit.

use crate::random::mix;
use medlarspur_lib::{bundle::Class, time::Millis};
use std::net::Ipv4Addr;

/// Number of cells of a row; a power of two. 2 rows × 2 windows × 16,384 cells × 4 bytes
/// are 256 KB per class, for any number of callers.
const ROW_CELLS: usize = 16_384;
const ROWS: usize = 2;

/// Recent openings by key, over a sliding window.
#[derive(Debug, Clone)]
pub struct Sketch {
    seed: u64,
    window: Millis,
    window_start: Millis,
    current: Box<[u32]>,
    previous: Box<[u32]>,
}

impl Sketch {
    /// Returns an empty sketch that counts over `window`.
    pub fn new(seed: u64, window: Millis) -> Sketch {
        let cells = || vec![0; ROW_CELLS * ROWS].into_boxed_slice();
        Sketch { seed, window, window_start: Millis(0), current: cells(), previous: cells() }
    }

    /// Counts one opening of `key`.
    pub fn add(&mut self, now: Millis, key: u64) {
        self.rotate_windows(now);
        for cell in self.cells(key) {
            self.current[cell] = self.current[cell].saturating_add(1);
        }
    }

    /// Estimates how often `key` was counted in the last window.
    pub fn count(&mut self, now: Millis, key: u64) -> f64 {
        self.rotate_windows(now);
        let remaining = 1.0 - now.since(self.window_start).0 as f64 / self.window.0 as f64;
        self.cells(key)
            .map(|cell| {
                f64::from(self.current[cell]) + f64::from(self.previous[cell]) * remaining.max(0.0)
            })
            .fold(f64::MAX, f64::min)
    }

    fn cells(&self, key: u64) -> std::array::IntoIter<usize, ROWS> {
        let hash = mix(key ^ self.seed);
        let mask = ROW_CELLS - 1;
        [hash as usize & mask, ROW_CELLS + ((hash >> 32) as usize & mask)].into_iter()
    }

    fn rotate_windows(&mut self, now: Millis) {
        let age = now.since(self.window_start);
        if age < self.window {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.fill(0);
        if age.0 >= self.window.0 * 2 {
            self.previous.fill(0);
        }
        self.window_start = now;
    }
}

/// Returns the key that counts one caller of a service.
pub fn caller_key(service: u16, class: Class, caller: Ipv4Addr) -> u64 {
    u64::from(service) << 40 | (class as u64) << 32 | u64::from(u32::from(caller))
}

/// Returns the key that counts a caller's network.
pub fn network_key(service: u16, caller: Ipv4Addr) -> u64 {
    1 << 63 | u64::from(service) << 40 | u64::from(u32::from(caller) >> 8)
}
