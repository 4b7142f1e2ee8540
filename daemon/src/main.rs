//! The daemon: one instance of medlarspur.

use log::LevelFilter;
use medlarspur_daemon::{boot, logs};
use medlarspur_lib::settings::Settings;
use std::{fs, path::PathBuf, process::ExitCode};

/// The settings can't be read or don't hold.
const EXIT_SETTINGS: u8 = 2;
/// The instance can't run.
const EXIT_RUN: u8 = 1;

fn main() -> ExitCode {
    let flags = xflags::parse_or_exit! {
        /// The settings of the instance, in YAML; see docs/settings.md.
        required --settings file: PathBuf
        /// Only check the settings, and exit with 0 if they hold.
        optional --check
    };
    let settings = match read(&flags.settings) {
        Ok(settings) => settings,
        Err(exit) => return exit,
    };
    if flags.check {
        println!("{}: the settings hold", flags.settings.display());
        return ExitCode::SUCCESS;
    }
    logs::init(settings.log, LevelFilter::Info);
    match boot::run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{}", snafu::Report::from_error(error));
            ExitCode::from(EXIT_RUN)
        }
    }
}

fn read(path: &PathBuf) -> Result<Settings, ExitCode> {
    let text = fs::read_to_string(path).map_err(|error| {
        eprintln!("error: cannot read {}: {error}", path.display());
        eprintln!("Hint: name a readable file by --settings.");
        ExitCode::from(EXIT_SETTINGS)
    })?;
    Settings::parse(&text).map_err(|report| {
        eprintln!("error: {} does not hold", path.display());
        eprintln!("{report}");
        ExitCode::from(EXIT_SETTINGS)
    })
}
