//! Log lines for changes of state, as text or as JSON.

use env_logger::{Builder, fmt::Formatter};
use log::{LevelFilter, Record};
use medlarspur_lib::settings::LogForm;
use medlarspur_operator::QUIET_TARGETS;
use serde::Serialize;
use std::{
    io::{self, Write},
    time::{SystemTime, UNIX_EPOCH},
};

/// One line in JSON.
#[derive(Debug, Serialize)]
struct Line<'a> {
    /// Milliseconds since the Unix epoch, by the machine's clock.
    time: u128,
    level: &'a str,
    part: &'a str,
    text: String,
}

/// Sets the logger up; `RUST_LOG` may raise or lower the level.
pub fn init(form: LogForm, level: LevelFilter) {
    let mut builder = Builder::new();
    builder.filter_level(level).parse_default_env();
    for target in QUIET_TARGETS {
        builder.filter_module(target, LevelFilter::Error);
    }
    match form {
        LogForm::Json => builder.format(json),
        LogForm::Text => builder.format(text),
    };
    builder.init();
}

fn json(out: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let line = Line {
        time: wall.as_millis(),
        level: record.level().as_str(),
        part: record.target(),
        text: one_line(&record.args().to_string()),
    };
    let text = serde_json::to_string(&line)?;
    writeln!(out, "{text}")
}

fn text(out: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let (time, level, part) = (out.timestamp_millis(), record.level(), record.target());
    writeln!(out, "{time} {level:5} {part} {}", one_line(&record.args().to_string()))
}

/// Joins the lines of a text. An error is told with its causes, one a line;
/// whoever searches the log for it must find them together.
pub fn one_line(text: &str) -> String {
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
    lines.collect::<Vec<_>>().join(" ")
}
