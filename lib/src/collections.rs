//! Hash maps with fast hashers.
//!
//! [`Map`] and [`Set`] are for keys that callers don't choose. If callers
//! choose the keys, an unseeded hash lets one of them put all its keys into one
//! slot of the table, which slows the packet thread down for all. [`SeededMap`]
//! prevents that with a random seed per process.

/// A map for keys that callers don't choose.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;
/// A set for keys that callers don't choose.
pub type Set<K> = rustc_hash::FxHashSet<K>;
/// A map for keys that callers may choose.
#[allow(clippy::disallowed_types, reason = "this is the alias that the lint points to")]
pub type SeededMap<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;
