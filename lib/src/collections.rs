//! Hash maps with a fast hasher.
//!
//! [`Map`] and [`Set`] are for keys that we or the operators choose. Where a
//! caller chooses the key, an unseeded hash lets it pile its keys into one
//! slot, and the packet thread slows down for everybody; [`SeededMap`] draws a
//! fresh seed a process and takes that lever away.

/// A map whose keys no caller chooses.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;
/// A set whose keys no caller chooses.
pub type Set<K> = rustc_hash::FxHashSet<K>;
/// A map whose keys a caller may choose.
#[allow(clippy::disallowed_types, reason = "this is the alias that the lint points to")]
pub type SeededMap<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;
