//! Serialization of values as text.

use serde::{Deserialize, Deserializer, Serializer, de::Error};
use std::{fmt::Display, str::FromStr};

/// Writes a value with its `Display`.
pub(super) fn serialize<T: Display, S: Serializer>(value: &T, to: S) -> Result<S::Ok, S::Error> {
    to.collect_str(value)
}

/// Reads a value with its `FromStr`.
pub(super) fn deserialize<'de, T, D>(from: D) -> Result<T, D::Error>
where
    T: FromStr<Err: Display>,
    D: Deserializer<'de>,
{
    String::deserialize(from)?.parse().map_err(D::Error::custom)
}
