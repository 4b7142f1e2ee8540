//! Errors of commands, each with a hint and an exit code.

use medlarspur_lib::{
    bundle::{BundleError, KeyError},
    document::Report,
};
use snafu::Snafu;
use std::{io, net::SocketAddr, path::PathBuf, process::ExitCode};

/// Exit codes, as listed by `--help`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// The command succeeded, or the answer is yes.
    Done = 0,
    /// The answer is no.
    No = 1,
    /// The command line is wrong.
    Usage = 2,
    /// A file can't be read or written, or is not a key.
    File = 3,
    /// An instance can't be reached, or its response is invalid.
    Instance = 4,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> ExitCode {
        ExitCode::from(code as u8)
    }
}

/// Reason why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CommandError {
    /// A file can't be read.
    #[snafu(display("can't read {}", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file can't be written.
    #[snafu(display("can't write {}", path.display()))]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file is not a key.
    #[snafu(display("{} holds no key", path.display()))]
    InvalidKey {
        /// Path of the file.
        path: PathBuf,
        /// Reason why it is invalid.
        source: KeyError,
    },
    /// A bundle is invalid.
    #[snafu(display("{} has faults: {}", path.display(), source.problems.len()))]
    Faults {
        /// Path of the file.
        path: PathBuf,
        /// The faults.
        source: Report,
    },
    /// Instances that trust the given keys would refuse a bundle.
    #[snafu(display("{} would be refused", path.display()))]
    Refused {
        /// Path of the file.
        path: PathBuf,
        /// Reason why they would refuse it.
        source: BundleError,
    },
    /// The command line names no instance.
    #[snafu(display("no instance is named"))]
    NoInstance,
    /// An instance does not answer.
    #[snafu(display("the instance at {address} does not answer"))]
    NoAnswer {
        /// Address of the instance.
        address: SocketAddr,
        /// Error of the HTTP client.
        source: ureq::Error,
    },
    /// An instance rejected the request.
    #[snafu(display("the instance at {address} answers {code}: {detail}"))]
    Rejected {
        /// Address of the instance.
        address: SocketAddr,
        /// The HTTP status code.
        code: u16,
        /// Its explanation.
        detail: String,
    },
    /// The response is not the expected JSON.
    #[snafu(display("the answer of the instance at {address} can't be read"))]
    InvalidAnswer {
        /// Address of the instance.
        address: SocketAddr,
        /// Reason why it is invalid.
        source: serde_json::Error,
    },
    /// A value can't be written as JSON.
    #[snafu(display("can't print this as JSON"))]
    Json {
        /// Error of the library.
        source: serde_json::Error,
    },
}

impl CommandError {
    /// Returns what to do about the error.
    pub fn hint(&self) -> &'static str {
        match self {
            CommandError::Read { .. } => "check the path and whether you may read it",
            CommandError::Write { source, .. } if source.kind() == io::ErrorKind::AlreadyExists => {
                "choose another name or remove the file first; keys are never overwritten"
            }
            CommandError::Write { .. } => "check the path and whether you may write there",
            CommandError::InvalidKey { .. } => "`medlarspur key new --out FILE` makes a key pair",
            CommandError::Faults { .. } => {
                "fix the faults above; `medlarspur bundle check FILE` lists them again"
            }
            CommandError::Refused { .. } => {
                "sign the text as it is now, with a key that the instances trust"
            }
            CommandError::NoInstance => "give one or more addresses, such as 10.0.0.1:9000",
            CommandError::NoAnswer { .. } => {
                "check that the daemon runs and that this is `operator:` of its settings"
            }
            CommandError::Rejected { .. } | CommandError::InvalidAnswer { .. } => {
                "check that a medlarspurd of about this release listens at the address"
            }
            CommandError::Json { .. } => "leave out --json, and report this as a bug",
        }
    }

    /// Returns the exit code.
    pub fn code(&self) -> Code {
        match self {
            CommandError::Read { .. }
            | CommandError::Write { .. }
            | CommandError::InvalidKey { .. } => Code::File,
            CommandError::Faults { .. } | CommandError::Refused { .. } => Code::No,
            CommandError::NoInstance => Code::Usage,
            CommandError::NoAnswer { .. }
            | CommandError::Rejected { .. }
            | CommandError::InvalidAnswer { .. }
            | CommandError::Json { .. } => Code::Instance,
        }
    }
}
