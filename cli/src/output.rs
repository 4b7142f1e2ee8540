//! Printing of lines, tables and JSON.

use crate::error::{CommandError, JsonSnafu};
use medlarspur_lib::status::{CatalogStatus, ExcludedStatus, MarkedTarget};
use serde::Serialize;
use snafu::ResultExt;
use std::{
    io::{self, Write},
    process,
};

/// Prints a line. If the reader has closed the pipe, as `head` does, this exits silently, where
/// `println!` would panic.
pub fn print_line(text: &str) {
    if writeln!(io::stdout().lock(), "{text}").is_err() {
        process::exit(0);
    }
}

/// Prints a value as JSON.
pub fn print_json(value: &impl Serialize) -> Result<(), CommandError> {
    print_line(&serde_json::to_string(value).context(JsonSnafu)?);
    Ok(())
}

/// A heading and rows, in columns as wide as their widest cell.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with this heading.
    pub fn new(heading: &[&str]) -> Table {
        Table { rows: vec![heading.iter().map(|cell| cell.to_string()).collect()] }
    }

    /// Adds a row, which has as many cells as the heading.
    pub fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Prints the table, or nothing if it has no rows.
    pub fn print(&self) {
        if self.rows.len() < 2 {
            return;
        }
        let widths: Vec<usize> = (0..self.rows[0].len()).map(|ix| self.column_width(ix)).collect();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
            print_line(cells.collect::<Vec<_>>().join("  ").trim_end());
        }
    }

    fn column_width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

/// Formats the revision as in log lines: with its era, if the platform was restored from a copy.
pub fn format_revision(catalog: &CatalogStatus) -> String {
    match catalog.era {
        0 => catalog.revision.to_string(),
        era => format!("{era}.{}", catalog.revision),
    }
}

/// Prints what an instance knows of config and targets, and how current that is.
pub fn print_catalog(catalog: &CatalogStatus) {
    let age = catalog.age.map(|age| format_duration(age.0));
    let confirmed = age.map_or("never confirmed".to_owned(), |age| format!("confirmed {age} ago"));
    print_line(&format!("config   version {}", or_dash(catalog.version)));
    print_line(&format!("picture  up to revision {}, {confirmed}", format_revision(catalog)));
    if catalog.omitted > 0 {
        print_line(&format!("routes   {} of the config can't be served", catalog.omitted));
    }
    for evacuated in &catalog.evacuated {
        print_line(&format!(
            "domain   {} evacuated since revision {}",
            evacuated.domain, evacuated.revision
        ));
    }
}

/// Returns a table of targets in the view of an instance. `heading` is that of their names.
pub fn target_table(heading: &str, targets: &[MarkedTarget]) -> Table {
    let mut table = Table::new(&[heading, "ADDRESS", "DOMAIN", "USE", "WORK", "FEEDS"]);
    for target in targets {
        table.add_row(vec![
            target.name.to_string(),
            target.address.to_string(),
            target.domain.to_string(),
            target.usage.to_string(),
            target.work.to_string(),
            target.feeds.to_string(),
        ]);
    }
    table
}

/// Prints what led to the exclusion of targets.
pub fn print_excluded(targets: &[MarkedTarget]) {
    for target in targets {
        if let Some(excluded) = &target.excluded {
            print_line(&format!("! {} {}", target.name, format_excluded(excluded)));
        }
    }
}

fn format_excluded(it: &ExcludedStatus) -> String {
    let percent = |share: Option<u32>| share.map_or("-".to_owned(), |share| format!("{share} %"));
    format!(
        "is excluded for {}, next trial in {}; failed: {} of own requests, {} of those of {} others",
        format_duration(it.age.0),
        format_duration(it.pause.0),
        percent(it.own_bad_percent),
        percent(it.others_bad_percent),
        it.reporters
    )
}

/// Formats a number of milliseconds in the one or two largest units that fit.
pub fn format_duration(millis: u64) -> String {
    match millis {
        0..1_000 => format!("{millis}ms"),
        1_000..60_000 => format!("{}s", millis / 1_000),
        60_000..3_600_000 => format!("{}m{}s", millis / 60_000, millis / 1_000 % 60),
        _ => format!("{}h{}m", millis / 3_600_000, millis / 60_000 % 60),
    }
}

/// Returns the first 12 digits of a digest, which suffice to tell digests apart.
pub fn short_digest(digest: &str) -> &str {
    digest.get(..12).unwrap_or(digest)
}

/// Formats a value, or a dash for none.
pub fn or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
