//! Finds the line of a value.
//!
//! The YAML library keeps no positions in the values that it reads, but puts
//! one into each error. So the text is read once more, along the path to the
//! value, and the read fails there on purpose.

use super::path::{Path, Step};
use serde::de::{self, DeserializeSeed, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_norway::{Deserializer, Location, Value};
use std::fmt;

/// What ends a line for the YAML library; a carriage return and a line feed
/// after it end one line together.
const LINE_BREAKS: [char; 5] = ['\n', '\r', '\u{85}', '\u{2028}', '\u{2029}'];

/// The line on which the value at `path` begins, counted from 1.
pub(super) fn line(text: &str, path: &Path) -> Option<usize> {
    let locator = Locator { steps: path.steps() };
    let error = locator.deserialize(Deserializer::from_str(text)).err()?;
    error.location().map(|location| editor_line(text, location.line()))
}

/// The line, counted from 1, of what made the text unreadable. An error without
/// a place is about the whole text, which begins on the first line, or about a
/// second document, which a top that is indented deeper than what follows it
/// brings about.
pub(super) fn error_line(text: &str, error: &serde_norway::Error) -> usize {
    let place = error.location().or_else(|| second_document(text));
    place.map_or(1, |location| editor_line(text, location.line()))
}

/// Where the second document of a text begins, or is broken.
fn second_document(text: &str) -> Option<Location> {
    let document = Deserializer::from_str(text).nth(1)?;
    let error = Locator { steps: &[] }.deserialize(document).err()?;
    error.location()
}

/// The line of the text, as editors count, on which a line of the YAML library
/// begins. The library ends lines at each of [`LINE_BREAKS`] too. With its count, a
/// stray carriage return would send the author to a line too far down, or past
/// the end of the text.
fn editor_line(text: &str, line: usize) -> usize {
    let mut passed = 1;
    let mut editor_line = 1;
    let mut rest = text.chars().peekable();
    while passed < line
        && let Some(found) = rest.next()
    {
        let pair = found == '\r' && rest.peek() == Some(&'\n');
        passed += usize::from(!pair && LINE_BREAKS.contains(&found));
        editor_line += usize::from(found == '\n');
    }
    editor_line
}

/// Fails at the value to which the steps lead.
#[derive(Clone, Copy)]
struct Locator<'p> {
    steps: &'p [Step],
}

impl Locator<'_> {
    fn fail<E: Error>(self) -> Result<(), E> {
        Err(E::custom("found"))
    }
}

impl<'de> DeserializeSeed<'de> for Locator<'_> {
    type Value = ();

    fn deserialize<D: de::Deserializer<'de>>(self, source: D) -> Result<(), D::Error> {
        source.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Locator<'_> {
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
        items.next_element_seed(Locator { steps })?;
        self.fail()
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<(), A::Error> {
        let Some((Step::Field(wanted), steps)) = self.steps.split_first() else {
            return self.fail();
        };
        while let Some(key) = entries.next_key::<Value>()? {
            if key.as_str() == Some(wanted) {
                return entries.next_value_seed(Locator { steps });
            }
            entries.next_value::<IgnoredAny>()?;
        }
        self.fail()
    }
}
