//! What can go wrong in a command, with a hint and an exit code.

use medlarspur_lib::{
    bundle::{BundleError, KeyError},
    document::Report,
};
use snafu::Snafu;
use std::{io, net::SocketAddr, path::PathBuf, process::ExitCode};

/// The exit codes, as `--help` lists them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// Done, or the answer is yes.
    Done = 0,
    /// The answer is no.
    No = 1,
    /// The command line is wrong.
    Usage = 2,
    /// A file can't be read or written, or is no key.
    File = 3,
    /// An instance can't be reached or gives no proper answer.
    Instance = 4,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> ExitCode {
        ExitCode::from(code as u8)
    }
}

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CommandError {
    /// A file can't be read.
    #[snafu(display("can't read {}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// A file can't be written.
    #[snafu(display("can't write {}", path.display()))]
    Write {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// A file is no key.
    #[snafu(display("{} holds no key", path.display()))]
    Key {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: KeyError,
    },
    /// A bundle has faults.
    #[snafu(display("{} has faults: {}", path.display(), source.problems.len()))]
    Faults {
        /// The file.
        path: PathBuf,
        /// The faults.
        source: Report,
    },
    /// Instances that trust the given keys would refuse a bundle.
    #[snafu(display("{} would be refused", path.display()))]
    Refused {
        /// The file.
        path: PathBuf,
        /// Why.
        source: BundleError,
    },
    /// No instance was named.
    #[snafu(display("no instance is named"))]
    NoInstance,
    /// An instance does not answer.
    #[snafu(display("the instance at {address} does not answer"))]
    Silent {
        /// Its address.
        address: SocketAddr,
        /// What the client says.
        source: ureq::Error,
    },
    /// An instance says that the question is wrong.
    #[snafu(display("the instance at {address} answers {code}: {detail}"))]
    Rejected {
        /// Its address.
        address: SocketAddr,
        /// The HTTP status code.
        code: u16,
        /// What it says.
        detail: String,
    },
    /// An instance answers something else than it was asked.
    #[snafu(display("the answer of the instance at {address} can't be read"))]
    Answer {
        /// Its address.
        address: SocketAddr,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A value has no JSON form.
    #[snafu(display("can't print this as JSON"))]
    Json {
        /// What the library says.
        source: serde_json::Error,
    },
}

impl CommandError {
    /// What to do about it.
    pub fn hint(&self) -> &'static str {
        match self {
            CommandError::Read { .. } => "check the path and whether you may read it",
            CommandError::Write { source, .. } if source.kind() == io::ErrorKind::AlreadyExists => {
                "choose another name or remove the file first; keys are never overwritten"
            }
            CommandError::Write { .. } => "check the path and whether you may write there",
            CommandError::Key { .. } => "`medlarspur key new --out FILE` makes a key pair",
            CommandError::Faults { .. } => {
                "mend the faults above; `medlarspur bundle check FILE` lists them again"
            }
            CommandError::Refused { .. } => {
                "sign the text as it is now, with a key that the instances trust"
            }
            CommandError::NoInstance => "give one or more addresses, such as 10.0.0.1:9000",
            CommandError::Silent { .. } => {
                "check that the daemon runs and that this is `operator:` of its settings"
            }
            CommandError::Rejected { .. } | CommandError::Answer { .. } => {
                "check that a medlarspurd of about this release listens at the address"
            }
            CommandError::Json { .. } => "leave out --json, and report this as a fault",
        }
    }

    /// The exit code.
    pub fn code(&self) -> Code {
        match self {
            CommandError::Read { .. } | CommandError::Write { .. } | CommandError::Key { .. } => {
                Code::File
            }
            CommandError::Faults { .. } | CommandError::Refused { .. } => Code::No,
            CommandError::NoInstance => Code::Usage,
            CommandError::Silent { .. }
            | CommandError::Rejected { .. }
            | CommandError::Answer { .. }
            | CommandError::Json { .. } => Code::Instance,
        }
    }
}
