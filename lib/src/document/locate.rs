//! Finds the line of a value.
//!
//! The YAML library keeps no positions in the values that it reads, but puts
//! one into each error. So the text is read once more, along the path to the
//! value, and the read fails there on purpose.

use super::path::{Path, Step};
use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_norway::Value;
use std::fmt;

/// The line on which the value at `path` begins, counted from 1.
pub(super) fn line(text: &str, path: &Path) -> Option<usize> {
    let probe = Probe { steps: path.steps() };
    let error = probe.deserialize(serde_norway::Deserializer::from_str(text)).err()?;
    error.location().map(|location| location.line())
}

/// Fails at the value to which the steps lead.
#[derive(Clone, Copy)]
struct Probe<'p> {
    steps: &'p [Step],
}

impl Probe<'_> {
    fn fail<E: Error>(self) -> Result<(), E> {
        Err(E::custom("found"))
    }
}

impl<'de> DeserializeSeed<'de> for Probe<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, source: D) -> Result<(), D::Error> {
        source.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Probe<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value")
    }

    fn visit_bool<E: Error>(self, _: bool) -> Result<(), E> {
        self.fail()
    }

    fn visit_i64<E: Error>(self, _: i64) -> Result<(), E> {
        self.fail()
    }

    fn visit_u64<E: Error>(self, _: u64) -> Result<(), E> {
        self.fail()
    }

    fn visit_i128<E: Error>(self, _: i128) -> Result<(), E> {
        self.fail()
    }

    fn visit_u128<E: Error>(self, _: u128) -> Result<(), E> {
        self.fail()
    }

    fn visit_f64<E: Error>(self, _: f64) -> Result<(), E> {
        self.fail()
    }

    fn visit_str<E: Error>(self, _: &str) -> Result<(), E> {
        self.fail()
    }

    fn visit_unit<E: Error>(self) -> Result<(), E> {
        self.fail()
    }

    fn visit_none<E: Error>(self) -> Result<(), E> {
        self.fail()
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<(), A::Error> {
        let Some((Step::Index(wanted), steps)) = self.steps.split_first() else {
            return self.fail();
        };
        for _ in 0..*wanted {
            items.next_element::<IgnoredAny>()?;
        }
        items.next_element_seed(Probe { steps })?;
        self.fail()
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<(), A::Error> {
        let Some((Step::Field(wanted), steps)) = self.steps.split_first() else {
            return self.fail();
        };
        while let Some(key) = entries.next_key::<Value>()? {
            if key.as_str() == Some(wanted) {
                return entries.next_value_seed(Probe { steps });
            }
            entries.next_value::<IgnoredAny>()?;
        }
        self.fail()
    }
}
