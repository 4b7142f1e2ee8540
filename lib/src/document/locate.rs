//! Finding the line of a value.
//!
//! The YAML library doesn't keep positions in the values that it parses, but
//! its errors have them. To find a line, the text is parsed again along the
//! path to the value, with a visitor that fails on purpose at that value.

use super::path::{Path, Step};
use serde::de::{self, DeserializeSeed, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_norway::{Deserializer, Location, Value};
use std::fmt;

/// Characters that end a line for the YAML library. A carriage return followed
/// by a line feed counts as one line break.
const LINE_BREAKS: [char; 5] = ['\n', '\r', '\u{85}', '\u{2028}', '\u{2029}'];

/// Returns the line on which the value at `path` begins, counted from 1.
pub(super) fn line(text: &str, path: &Path) -> Option<usize> {
    let locator = Locator { steps: path.steps() };
    let error = locator.deserialize(Deserializer::from_str(text)).err()?;
    error.location().map(|location| editor_line(text, location.line()))
}

/// Returns the line, counted from 1, of a syntax error. An error without a
/// location concerns the whole text, which begins on the first line, or a
/// second document. A second document arises if the first line is indented
/// deeper than the following ones.
pub(super) fn error_line(text: &str, error: &serde_norway::Error) -> usize {
    let location = error.location().or_else(|| second_document(text));
    location.map_or(1, |location| editor_line(text, location.line()))
}

/// Returns the location of the second document of a text, or of the error in
/// it.
fn second_document(text: &str) -> Option<Location> {
    let document = Deserializer::from_str(text).nth(1)?;
    let error = Locator { steps: &[] }.deserialize(document).err()?;
    error.location()
}

/// Converts a line number of the YAML library into that of an editor, which
/// ends lines at line feeds only, while the library ends them at any of
/// [`LINE_BREAKS`]. Otherwise a stray carriage return would give a line too far
/// down, or past the end of the text.
fn editor_line(text: &str, line: usize) -> usize {
    let mut library_line = 1;
    let mut editor_line = 1;
    let mut rest = text.chars().peekable();
    while library_line < line
        && let Some(found) = rest.next()
    {
        let is_crlf = found == '\r' && rest.peek() == Some(&'\n');
        library_line += usize::from(!is_crlf && LINE_BREAKS.contains(&found));
        editor_line += usize::from(found == '\n');
    }
    editor_line
}

/// Visitor that fails at the value to which the steps lead.
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
