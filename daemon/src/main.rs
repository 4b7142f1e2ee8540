//! Command line of `medlarspurd`, which runs one load balancer instance.

use log::LevelFilter;
use medlarspur_daemon::{boot, logs, marked, sink::LogSink};
use medlarspur_lib::{
    document,
    settings::{MarkedSettings, Settings},
};
use snafu::Report;
use std::{
    error::Error,
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

/// Exit status for settings that can't be read or are invalid.
const EXIT_SETTINGS: u8 = 2;
/// Exit status for an instance that failed to start or run.
const EXIT_RUN: u8 = 1;

/// Parsed command-line flags.
struct Flags {
    settings: PathBuf,
    check: bool,
}

fn main() -> ExitCode {
    let flags = xflags::parse_or_exit! {
        /// The settings of the instance, in YAML; see docs/settings.md.
        required --settings file: PathBuf
        /// Only check the settings, and exit with 0 if they hold.
        optional --check
    };
    let flags = Flags { settings: flags.settings, check: flags.check };
    let text = match read(&flags.settings) {
        Ok(text) => text,
        Err(exit) => return exit,
    };
    if MarkedSettings::is_declared_in(&text) {
        return start(&flags, MarkedSettings::parse(&text), |settings| {
            let sink = logs::init_with_sink(settings.log, LevelFilter::Info);
            if let Err(error) = &sink {
                eprintln!("warning: logging is disabled: {error}");
            }
            let sink = sink.ok();
            let result = marked::run(&flags.settings, settings, sink.clone());
            let result = result.map_err(Report::from_error);
            if let Err(report) = &result {
                log::error!("{report}");
            }
            // If the log thread didn't start, there are no lines to flush.
            sink.iter().for_each(LogSink::flush);
            result
        });
    }
    start(&flags, Settings::parse(&text), |settings| {
        logs::init(settings.log, LevelFilter::Info);
        boot::run(settings)
            .map_err(Report::from_error)
            .inspect_err(|report| log::error!("{report}"))
    })
}

/// Runs the instance with valid settings, or prints the faults of invalid ones.
fn start<S, E: Error>(
    flags: &Flags,
    settings: Result<S, document::Report>,
    run: impl FnOnce(&S) -> Result<(), Report<E>>,
) -> ExitCode {
    let settings = match settings {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("error: {} does not hold", flags.settings.display());
            eprintln!("{report}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if flags.check {
        println!("{}: the settings hold", flags.settings.display());
        return ExitCode::SUCCESS;
    }
    match run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::from(EXIT_RUN),
    }
}

fn read(path: &Path) -> Result<String, ExitCode> {
    fs::read_to_string(path).map_err(|error| {
        eprintln!("error: cannot read {}: {error}", path.display());
        eprintln!("Hint: name a readable file by --settings.");
        ExitCode::from(EXIT_SETTINGS)
    })
}
