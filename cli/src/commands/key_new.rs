//! `key new`: generates a key pair.

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

/// Mode of the file of a secret key. Only its owner can read it.
const SECRET_MODE: u32 = 0o600;
/// Mode of the file of a public key. Everyone can read it.
const PUBLIC_MODE: u32 = 0o644;

pub fn run(flags: &New) -> Result<Code, CommandError> {
    let secret = SecretKey::generate();
    let public = public_path(&flags.out);
    // This is checked before the secret key is written. Otherwise, a failure would leave the
    // secret key next to the public key of another pair.
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

/// Returns the path of the public key that belongs to this secret key.
fn public_path(secret: &Path) -> PathBuf {
    let mut name = secret.as_os_str().to_owned();
    name.push(".pub");
    name.into()
}

/// Fails if the file exists.
fn ensure_absent(path: &Path) -> Result<(), CommandError> {
    if !path.try_exists().context(WriteSnafu { path })? {
        return Ok(());
    }
    Err(io::Error::from(io::ErrorKind::AlreadyExists)).context(WriteSnafu { path })
}

/// Writes a new file. It fails if the file exists: overwriting a secret key would destroy the
/// only means to sign for instances that trust its public key.
fn write_new(path: &Path, text: &str, mode: u32) -> Result<(), CommandError> {
    let file = OpenOptions::new().write(true).create_new(true).mode(mode).open(path);
    let mut file = file.context(WriteSnafu { path })?;
    writeln!(file, "{text}").context(WriteSnafu { path })
}
