//! What can be wrong with a document, and the report that lists it all.

use super::path::Path;
use snafu::Snafu;
use std::fmt;

/// One fault of one value. [`Fault::advice`] says what its author does.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Fault {
    /// The text is no YAML at all, or has a key twice in one mapping.
    #[snafu(display("not readable as YAML: {detail}"))]
    Syntax {
        /// What the YAML library says.
        detail: String,
    },
    /// The text is longer than any reader takes.
    #[snafu(display("{size} bytes long, where at most {limit} are taken"))]
    TooLarge {
        /// Its length in bytes.
        size: usize,
        /// The greatest length in bytes.
        limit: usize,
    },
    /// More brackets are open at once than any reader takes.
    #[snafu(display("more than {limit} brackets are open at once"))]
    TooDeep {
        /// The greatest number of open brackets.
        limit: usize,
    },
    /// A field that must be there is not.
    #[snafu(display("the field `{field}` is missing"))]
    MissingField {
        /// Its name.
        field: &'static str,
    },
    /// A field that nothing reads, most often a misspelt one.
    #[snafu(display("unknown field"))]
    UnknownField {
        /// The fields that would be read there.
        known: &'static [&'static str],
    },
    /// A value of the wrong kind.
    #[snafu(display("found {found}"))]
    WrongType {
        /// The kind that belongs there.
        expected: &'static str,
        /// The kind that was found.
        found: &'static str,
    },
    /// A text that does not have the form that it needs.
    #[snafu(display("`{found}` does not fit"))]
    WrongFormat {
        /// The text, cut if it is long.
        found: String,
        /// The form that belongs there.
        expected: &'static str,
    },
    /// A number or span outside of its range.
    #[snafu(display("{found} is out of range"))]
    OutOfRange {
        /// The value, with its unit.
        found: String,
        /// The least value, with its unit.
        min: String,
        /// The greatest value, with its unit.
        max: String,
    },
    /// A list that needs an item has none.
    #[snafu(display("the list is empty"))]
    EmptyList,
    /// Something that must be unique stands at another place already.
    #[snafu(display("{what} `{found}` stands at {other} already"))]
    Duplicate {
        /// What must be unique.
        what: &'static str,
        /// The value.
        found: String,
        /// Where it stood first.
        other: Path,
    },
    /// A failure domain in which there is no target.
    #[snafu(display("no target is in the failure domain `{found}`"))]
    NoTargetInDomain {
        /// Its name.
        found: String,
    },
    /// The number of buckets is no power of two.
    #[snafu(display("{found} buckets are not a power of two"))]
    NotPowerOfTwo {
        /// The number that was found.
        found: u64,
    },
    /// Too few buckets to share flows evenly over the targets.
    #[snafu(display("{found} buckets are too few for {targets} targets"))]
    TooFewBuckets {
        /// The number that was found.
        found: u64,
        /// How many targets there are.
        targets: usize,
        /// The least number that does.
        min: u64,
    },
}

impl Fault {
    /// What the author of the document does about it.
    pub fn advice(&self) -> String {
        match self {
            Fault::Syntax { .. } => "mend the YAML at this place, often its indentation".into(),
            Fault::TooLarge { .. } => {
                "leave out fields that have their default, or use the short form `{a: b}`".into()
            }
            Fault::TooDeep { .. } => "close the brackets".into(),
            Fault::MissingField { field } => format!("add `{field}:`"),
            Fault::UnknownField { known } => {
                format!("remove it, or use one of {}", known.join(", "))
            }
            Fault::WrongType { expected: "text", found: "a number" } => "put it in quotes".into(),
            Fault::WrongType { expected, .. } | Fault::WrongFormat { expected, .. } => {
                format!("write {expected}")
            }
            Fault::OutOfRange { min, max, .. } => format!("choose a value from {min} to {max}"),
            Fault::EmptyList => "add at least one item".into(),
            Fault::Duplicate { other, .. } => format!("change or remove it here or at {other}"),
            Fault::NoTargetInDomain { .. } => "remove it, or write it as targets name it".into(),
            Fault::NotPowerOfTwo { found } => {
                format!("choose {}", found.checked_next_power_of_two().unwrap_or(1).clamp(8, 32768))
            }
            Fault::TooFewBuckets { min, .. } => format!("choose {min} or more"),
        }
    }
}

/// A fault and where it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The line, counted from 1, where it could be found.
    pub line: Option<usize>,
    /// The value that has the fault.
    pub path: Path,
    /// What is wrong with it.
    pub fault: Fault,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        write!(f, "{}: {}; {}", self.path, self.fault, self.fault.advice())
    }
}

/// How many faults a report shows as text; a log would drown in thousands.
const MAX_SHOWN: usize = 64;

/// Every fault of a document, in the order of their lines. Never empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The faults.
    pub problems: Vec<Problem>,
}

impl std::error::Error for Report {}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (ix, problem) in self.problems.iter().take(MAX_SHOWN).enumerate() {
            let start = if ix > 0 { "\n" } else { "" };
            write!(f, "{start}{problem}")?;
        }
        match self.problems.len().saturating_sub(MAX_SHOWN) {
            0 => Ok(()),
            more => write!(f, "\nand {more} more"),
        }
    }
}
