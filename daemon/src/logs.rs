//! Log lines for changes of state, as text or as JSON.

use env_logger::Builder;
use log::LevelFilter;
use medlarspur_lib::settings::LogForm;
use medlarspur_operator::QUIET_TARGETS;
use serde::Serialize;
use std::{
    io::Write,
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
    if form == LogForm::Json {
        builder.format(|out, record| {
            let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let line = Line {
                time: wall.as_millis(),
                level: record.level().as_str(),
                part: record.target(),
                text: record.args().to_string(),
            };
            let text = serde_json::to_string(&line)?;
            writeln!(out, "{text}")
        });
    }
    builder.init();
}
