//! Faults of a document and the report that lists them.

use super::path::Path;
use snafu::Snafu;
use std::fmt;

/// A fault of one value. [`Fault::advice`] says how to fix it.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Fault {
    /// The text is not valid YAML, or has a key twice in one mapping.
    #[snafu(display("not readable as YAML: {detail}"))]
    Syntax {
        /// Message of the YAML library.
        detail: String,
    },
    /// The text is too long.
    #[snafu(display("{size} bytes long, more than the maximum of {limit}"))]
    TooLarge {
        /// Length in bytes.
        size: usize,
        /// Maximum length in bytes.
        limit: usize,
    },
    /// Too many brackets are open at once.
    #[snafu(display("more than {limit} brackets are open at once"))]
    TooDeep {
        /// Maximum number of open brackets.
        limit: usize,
    },
    /// A required field is missing.
    #[snafu(display("the field `{field}` is missing"))]
    MissingField {
        /// Name of the field.
        field: &'static str,
    },
    /// A field is not known, usually because it is misspelt.
    #[snafu(display("unknown field"))]
    UnknownField {
        /// Known fields of the mapping.
        known: &'static [&'static str],
    },
    /// A value has the wrong type.
    #[snafu(display("found {found}"))]
    WrongType {
        /// Expected type.
        expected: &'static str,
        /// Type that was found.
        found: &'static str,
    },
    /// A text doesn't have the required format.
    #[snafu(display("`{found}` does not fit"))]
    WrongFormat {
        /// The text, shortened if it is long.
        found: String,
        /// Required format.
        expected: &'static str,
    },
    /// A number or duration is out of range.
    #[snafu(display("{found} is out of range"))]
    OutOfRange {
        /// The value with its unit.
        found: String,
        /// Minimum with its unit.
        min: String,
        /// Maximum with its unit.
        max: String,
    },
    /// A list that needs at least one item is empty.
    #[snafu(display("the list is empty"))]
    EmptyList,
    /// A value that must be unique is already used elsewhere.
    #[snafu(display("{what} `{found}` is already used at {other}"))]
    Duplicate {
        /// Kind of value.
        what: &'static str,
        /// The value.
        found: String,
        /// Path of its first use.
        other: Path,
    },
    /// A failure domain has no target.
    #[snafu(display("no target is in the failure domain `{found}`"))]
    NoTargetInDomain {
        /// Name of the failure domain.
        found: String,
    },
    /// The number of buckets is not a power of two.
    #[snafu(display("{found} buckets are not a power of two"))]
    NotPowerOfTwo {
        /// Number that was found.
        found: u64,
    },
    /// There are too few buckets to distribute flows evenly over the targets.
    #[snafu(display("{found} buckets are too few for {targets} targets"))]
    TooFewBuckets {
        /// Number that was found.
        found: u64,
        /// Number of targets.
        targets: usize,
        /// Minimum number of buckets for these targets.
        min: u64,
    },
}

impl Fault {
    /// Returns advice for the author on how to fix the fault.
    pub fn advice(&self) -> String {
        match self {
            Fault::Syntax { .. } => "fix the YAML here; often the indentation is wrong".into(),
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
            Fault::NoTargetInDomain { .. } => "remove it, or use the domain of a target".into(),
            Fault::NotPowerOfTwo { found } => {
                format!("choose {}", found.checked_next_power_of_two().unwrap_or(1).clamp(8, 32768))
            }
            Fault::TooFewBuckets { min, .. } => format!("choose {min} or more"),
        }
    }
}

/// A fault and its place in the document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Line, counted from 1, if it was looked up and found.
    pub line: Option<usize>,
    /// Path of the faulty value.
    pub path: Path,
    /// The fault.
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

/// Maximum number of faults that a report shows as text. A document may have
/// thousands, which would flood a log.
const MAX_SHOWN: usize = 64;

/// All faults of a document, in the order of their lines. It is never empty.
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
