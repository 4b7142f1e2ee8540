//! `key new`: draws a key pair.

use crate::{
    error::{Code, CommandError, WriteSnafu},
    flags::New,
    output,
};
use medlarspur_lib::bundle::SecretKey;
use snafu::ResultExt;
use std::{
    fs::OpenOptions,
    io::{self, Write},
    os::unix::fs::OpenOptionsExt,
    path::{Path, PathBuf},
};

/// Only the owner reads a secret key.
const SECRET_MODE: u32 = 0o600;
/// Everybody reads a public key.
const PUBLIC_MODE: u32 = 0o644;

pub fn run(flags: &New) -> Result<Code, CommandError> {
    let secret = SecretKey::generate();
    let public = public_path(&flags.out);
    // Found out only after the secret was written, this would leave a secret
    // beside the public key of another pair.
    ensure_absent(&public)?;
    write_new(&flags.out, &secret.to_hex(), SECRET_MODE)?;
    write_new(&public, &secret.public().to_string(), PUBLIC_MODE)?;
    output::print_line(&format!("key {} (id {})", secret.public(), secret.public().id()));
    output::print_line(&format!(
        "secret in {}, public in {}",
        flags.out.display(),
        public.display()
    ));
    Ok(Code::Done)
}

fn public_path(secret: &Path) -> PathBuf {
    let mut name = secret.as_os_str().to_owned();
    name.push(".pub");
    name.into()
}

fn ensure_absent(path: &Path) -> Result<(), CommandError> {
    if !path.try_exists().context(WriteSnafu { path })? {
        return Ok(());
    }
    Err(io::Error::from(io::ErrorKind::AlreadyExists)).context(WriteSnafu { path })
}

/// Writes a file that must not exist yet: an overwritten secret key is gone,
/// and with it the only way to sign for instances that trust its public key.
fn write_new(path: &Path, text: &str, mode: u32) -> Result<(), CommandError> {
    let file = OpenOptions::new().write(true).create_new(true).mode(mode).open(path);
    let mut file = file.context(WriteSnafu { path })?;
    writeln!(file, "{text}").context(WriteSnafu { path })
}
