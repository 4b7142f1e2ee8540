//! Rendezvous hashing, by which instances agree on the assignment of duties
//! without communication.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// The rank of `name` for the duty `key`. All instances have to compute the
/// same rank, so the hash is fixed and unkeyed; no caller chooses either
/// argument.
pub fn rank(key: &str, name: &str) -> u64 {
    let mut h = SipHasher13::new();
    h.write(key.as_bytes());
    h.write_u8(0xff);
    h.write(name.as_bytes());
    h.finish()
}

/// The `n` of `items` that rank highest for the duty `key`, highest first. If
/// one of them goes, only its place is filled anew.
pub fn top<T>(
    key: &str,
    n: usize,
    items: impl Iterator<Item = T>,
    name: impl Fn(&T) -> &str,
) -> Vec<T> {
    let mut ranked: Vec<(u64, T)> = items.map(|item| (rank(key, name(&item)), item)).collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| name(&a.1).cmp(name(&b.1))));
    ranked.truncate(n);
    ranked.into_iter().map(|(_, item)| item).collect()
}

/// Whether `me` is among the `n` of `names` that rank highest for the duty
/// `key`, as by [`top`]. It stops at the `n`-th name above `me`. For thousands
/// of duties it looks at a few names for each instead of all.
pub fn is_top<'a>(key: &str, n: usize, me: &str, names: impl Iterator<Item = &'a str>) -> bool {
    let mine = rank(key, me);
    let mut above = 0;
    let mut listed = false;
    for name in names {
        let other = rank(key, name);
        listed |= name == me;
        above += usize::from(other > mine || other == mine && name < me);
        if above >= n {
            return false;
        }
    }
    listed
}
