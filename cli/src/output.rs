//! Printing: lines, tables and JSON.

use crate::error::{CommandError, JsonSnafu};
use medlarspur_lib::status::{CatalogStatus, MarkedTarget};
use serde::Serialize;
use snafu::ResultExt;
use std::{
    io::{self, Write},
    process,
};

/// Prints a line. A reader that went away, as `head` does, ends the program
/// quietly, where `println!` would end it with a panic.
pub fn line(text: &str) {
    if writeln!(io::stdout().lock(), "{text}").is_err() {
        process::exit(0);
    }
}

/// Prints a value as JSON.
pub fn json(value: &impl Serialize) -> Result<(), CommandError> {
    line(&serde_json::to_string(value).context(JsonSnafu)?);
    Ok(())
}

/// Rows under a heading, in columns as wide as their widest cell.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with this heading.
    pub fn new(heading: &[&str]) -> Table {
        Table { rows: vec![heading.iter().map(|cell| cell.to_string()).collect()] }
    }

    /// Adds a row of as many cells as the heading has.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Prints the table, or nothing if it has no row.
    pub fn print(&self) {
        if self.rows.len() < 2 {
            return;
        }
        let widths: Vec<usize> = (0..self.rows[0].len()).map(|ix| self.width(ix)).collect();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
            line(cells.collect::<Vec<_>>().join("  ").trim_end());
        }
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

/// The revision as log lines write it: with its era, if the platform came back from a copy.
pub fn revision(picture: &CatalogStatus) -> String {
    match picture.era {
        0 => picture.revision.to_string(),
        era => format!("{era}.{}", picture.revision),
    }
}

/// Prints up to where an instance knows config and targets.
pub fn picture(picture: &CatalogStatus) {
    let age = picture.age.map(|age| span(age.0));
    let confirmed = age.map_or("never confirmed".to_owned(), |age| format!("confirmed {age} ago"));
    line(&format!("config   version {}", or_dash(picture.version)));
    line(&format!("picture  up to revision {}, {confirmed}", revision(picture)));
    if picture.omitted > 0 {
        line(&format!("routes   {} of the config can't be served", picture.omitted));
    }
    for it in &picture.evacuated {
        line(&format!("domain   {} evacuated since revision {}", it.domain, it.revision));
    }
}

/// Targets as an instance sees them, under a heading for their names.
pub fn targets(heading: &str, targets: &[MarkedTarget]) -> Table {
    let mut table = Table::new(&[heading, "ADDRESS", "DOMAIN", "USE", "WORK", "FEEDS"]);
    for it in targets {
        table.row(vec![
            it.name.to_string(),
            it.address.to_string(),
            it.domain.to_string(),
            it.usage.to_string(),
            it.work.to_string(),
            it.feeds.to_string(),
        ]);
    }
    table
}

/// A span of milliseconds in its largest fitting unit.
pub fn span(millis: u64) -> String {
    match millis {
        0..1_000 => format!("{millis}ms"),
        1_000..60_000 => format!("{}s", millis / 1_000),
        60_000..3_600_000 => format!("{}m{}s", millis / 60_000, millis / 1_000 % 60),
        _ => format!("{}h{}m", millis / 3_600_000, millis / 60_000 % 60),
    }
}

/// The first digits of a digest, enough to tell two apart by eye.
pub fn short(digest: &str) -> &str {
    digest.get(..12).unwrap_or(digest)
}

/// A value, or a dash for none.
pub fn or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
