//! The commands, one file each.

mod bundle_check;
mod bundle_diff;
mod bundle_show;
mod bundle_sign;
mod explain;
mod flows;
mod key_new;
mod status;
mod top;

use crate::{
    error::{Code, CommandError, FaultsSnafu, InvalidKeySnafu, ReadSnafu},
    flags::{BundleCmd, KeyCmd, MedlarspurCmd},
};
use medlarspur_lib::bundle::{Bundle, KeyError, strip_signature};
use snafu::ResultExt;
use std::{fs, path::Path, str::FromStr};

/// Runs a command.
pub fn run(command: MedlarspurCmd) -> Result<Code, CommandError> {
    match command {
        MedlarspurCmd::Key(key) => match key.subcommand {
            KeyCmd::New(flags) => key_new::run(&flags),
        },
        MedlarspurCmd::Bundle(bundle) => match bundle.subcommand {
            BundleCmd::Check(flags) => bundle_check::run(&flags),
            BundleCmd::Sign(flags) => bundle_sign::run(&flags),
            BundleCmd::Show(flags) => bundle_show::run(&flags),
            BundleCmd::Diff(flags) => bundle_diff::run(&flags),
        },
        MedlarspurCmd::Status(flags) => status::run(&flags),
        MedlarspurCmd::Explain(flags) => explain::run(&flags),
        MedlarspurCmd::Flows(flags) => flows::run(&flags),
        MedlarspurCmd::Top(flags) => top::run(&flags),
    }
}

fn read(path: &Path) -> Result<String, CommandError> {
    fs::read_to_string(path).context(ReadSnafu { path })
}

fn read_bundle(path: &Path) -> Result<Bundle, CommandError> {
    Bundle::parse(strip_signature(&read(path)?)).context(FaultsSnafu { path })
}

fn read_key<T: FromStr<Err = KeyError>>(path: &Path) -> Result<T, CommandError> {
    read(path)?.parse().context(InvalidKeySnafu { path })
}
