//! Computes the cost of each role at the target size from measured slopes.
//!
//! It reads `docs/measures/slopes.yaml`, prints the table of `docs/measures/roles.md`
//! and draws the slopes into `docs/measures/slopes.svg`. Run it again whenever the
//! slopes were measured again:
//!
//! ```text
//! cargo run --release -p medlarspur-testutils --bin medlarspur-capacity
//! ```

mod curves;
mod roles;
mod slopes;

use slopes::{Slopes, SlopesError};
use snafu::{ResultExt, Snafu};
use std::{fs, io, path::Path, process::ExitCode};

const SLOPES: &str = "docs/measures/slopes.yaml";
const CURVES: &str = "docs/measures/slopes.svg";

/// Reasons why the costs can't be computed.
#[derive(Debug, Snafu)]
enum CapacityError {
    /// A file can't be read or written.
    #[snafu(display("cannot use {path}; run this at the root of the repository"))]
    File { path: &'static str, source: io::Error },
    /// The slopes are invalid.
    #[snafu(display("cannot use {SLOPES}"))]
    Content { source: SlopesError },
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}", snafu::Report::from_error(error));
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), CapacityError> {
    let text = fs::read_to_string(Path::new(SLOPES)).context(FileSnafu { path: SLOPES })?;
    let slopes = Slopes::parse(&text).context(ContentSnafu)?;
    let rows = roles::rows(&slopes).context(ContentSnafu)?;
    fs::write(CURVES, curves::draw(&slopes)).context(FileSnafu { path: CURVES })?;
    print!("{}\n{}", slopes.table(), roles::table(&rows));
    Ok(())
}
