//! Logger setup, and the formats of log lines as text and JSON.

use crate::sink::LogSink;
use env_logger::{Builder, Target, fmt::Formatter};
use log::{
    LevelFilter, Record,
    kv::{Error, Key, Value, VisitSource},
};
use medlarspur_lib::settings::LogForm;
use medlarspur_operator::SILENCED_LOG_TARGETS;
use serde::Serialize;
use std::{
    collections::BTreeMap,
    fmt::Write as _,
    io::{self, Write, stdout},
    time::{SystemTime, UNIX_EPOCH},
};

/// A log line in JSON.
#[derive(Debug, Serialize)]
struct Line<'a> {
    /// Milliseconds since the Unix epoch, by the wall clock.
    time: u128,
    level: &'a str,
    part: &'a str,
    text: String,
    /// The line's key-value pairs.
    #[serde(flatten)]
    fields: BTreeMap<String, String>,
}

/// Initializes the logger on standard error. `RUST_LOG` overrides `level`.
pub fn init(form: LogForm, level: LevelFilter) {
    builder(form, level).init();
}

/// Initializes the logger on standard output, through a [`LogSink`] that never blocks the
/// logging thread.
pub fn init_with_sink(form: LogForm, level: LevelFilter) -> io::Result<LogSink> {
    let sink = LogSink::start(stdout())?;
    builder(form, level).target(Target::Pipe(Box::new(sink.clone()))).init();
    Ok(sink)
}

fn builder(form: LogForm, level: LevelFilter) -> Builder {
    let mut builder = Builder::new();
    builder.filter_level(level).parse_default_env();
    for target in SILENCED_LOG_TARGETS {
        builder.filter_module(target, LevelFilter::Error);
    }
    match form {
        LogForm::Json => builder.format(json),
        LogForm::Text => builder.format(text),
    };
    builder
}

#[allow(
    clippy::disallowed_methods,
    reason = "lines of several machines are compared by wall-clock time"
)]
fn json(out: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut fields = FieldMap(BTreeMap::new());
    record.key_values().visit(&mut fields).map_err(io::Error::other)?;
    let line = Line {
        time: wall.as_millis(),
        level: record.level().as_str(),
        part: record.target(),
        text: one_line(&record.args().to_string()),
        fields: fields.0,
    };
    let text = serde_json::to_string(&line)?;
    writeln!(out, "{text}")
}

fn text(out: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let (time, level, part) = (out.timestamp_millis(), record.level(), record.target());
    let mut line = one_line(&record.args().to_string());
    record.key_values().visit(&mut FieldText(&mut line)).map_err(io::Error::other)?;
    writeln!(out, "{time} {level:5} {part} {line}")
}

/// Collects the key-value pairs of a line.
struct FieldMap(BTreeMap<String, String>);

impl<'kvs> VisitSource<'kvs> for FieldMap {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

/// Appends the key-value pairs of a line as ` key=value`.
struct FieldText<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for FieldText<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::from)
    }
}

/// Joins the lines of a text into one. An error report has one line for each cause. On one
/// line, a search of the log finds the error together with its causes.
pub fn one_line(text: &str) -> String {
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
    lines.collect::<Vec<_>>().join(" ")
}
