//! The command-line tool for operators, which prepares bundles and shows the state of instances.
//!
//! Each command has a file in `commands`, which calls the library and prints the result. No
//! command changes an instance.

mod client;
mod commands;
mod error;
mod flags;
mod output;
mod scrape;

use crate::error::{Code, CommandError};
use snafu::ErrorCompat;
use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = match flags::Medlarspur::from_env() {
        Ok(flags) => flags,
        Err(error) if error.is_help() => {
            output::print_line(&error.to_string());
            return Code::Done.into();
        }
        Err(error) => return report_usage(&error),
    };
    match commands::run(flags.subcommand) {
        Ok(code) => code.into(),
        Err(error) => report_failure(&error),
    }
}

fn report_usage(error: &xflags::Error) -> ExitCode {
    eprintln!("Error: {error}");
    eprintln!("Hint: `medlarspur --help` lists the commands and their options");
    Code::Usage.into()
}

fn report_failure(error: &CommandError) -> ExitCode {
    let mut chain = error.iter_chain();
    if let Some(first) = chain.next() {
        eprintln!("Error: {first}");
    }
    for cause in chain {
        eprintln!("Caused by: {cause}");
    }
    eprintln!("Hint: {}", error.hint());
    error.code().into()
}
