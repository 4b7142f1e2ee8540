//! `bundle sign`: checks and signs a bundle.

use super::{read, read_key};
use crate::{
    error::{Code, CommandError, FaultsSnafu, RefusedSnafu, WriteSnafu},
    flags::Sign,
    output,
};
use medlarspur_lib::bundle::{Bundle, SecretKey, SignedBundle, TrustedKeys, sign, strip_signature};
use snafu::ResultExt;
use std::fs;

pub fn run(flags: &Sign) -> Result<Code, CommandError> {
    let key: SecretKey = read_key(&flags.key)?;
    let text = read(&flags.file)?;
    let bundle =
        Bundle::parse(strip_signature(&text)).context(FaultsSnafu { path: &flags.file })?;
    let signed = sign(&text, &key);
    // The signature counts towards the maximum size. Without this check, every instance would
    // refuse a text that is just below the maximum.
    let keys = TrustedKeys::new(vec![key.public()]);
    SignedBundle::check(signed.as_bytes(), &keys, &bundle.site)
        .context(RefusedSnafu { path: &flags.file })?;
    let Some(path) = &flags.out else {
        output::print_line(signed.trim_end());
        return Ok(Code::Done);
    };
    fs::write(path, &signed).context(WriteSnafu { path })?;
    let id = key.public().id();
    output::print_line(&format!("{}: version {} signed by {id}", path.display(), bundle.version));
    Ok(Code::Done)
}
