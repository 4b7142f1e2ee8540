//! `bundle sign`: checks a bundle and signs it off.

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
    // The line of the signature counts as well, so a text just under the
    // limit passes the checks and would still be refused by every instance.
    let keys = TrustedKeys::new(vec![key.public()]);
    SignedBundle::check(signed.as_bytes(), &keys, &bundle.site)
        .context(RefusedSnafu { path: &flags.file })?;
    let Some(path) = &flags.out else {
        output::line(signed.trim_end());
        return Ok(Code::Done);
    };
    fs::write(path, &signed).context(WriteSnafu { path })?;
    let id = key.public().id();
    output::line(&format!("{}: version {} signed by {id}", path.display(), bundle.version));
    Ok(Code::Done)
}
