//! `bundle check`: lists the faults of a bundle.

use super::{read, read_key};
use crate::{
    error::{Code, CommandError, RefusedSnafu},
    flags::Check,
    output,
};
use medlarspur_lib::{
    bundle::{Bundle, PublicKey, SignedBundle, TrustedKeys, strip_signature},
    document::{Problem, Report},
};
use serde::Serialize;
use snafu::ResultExt;

/// A fault of a bundle, as printed in JSON.
#[derive(Serialize)]
struct Fault {
    line: Option<usize>,
    path: String,
    fault: String,
    advice: String,
}

impl From<&Problem> for Fault {
    fn from(problem: &Problem) -> Fault {
        Fault {
            line: problem.line,
            path: problem.path.to_string(),
            fault: problem.fault.to_string(),
            advice: problem.fault.advice(),
        }
    }
}

pub fn run(flags: &Check) -> Result<Code, CommandError> {
    let text = read(&flags.file)?;
    let bundle = match Bundle::parse(strip_signature(&text)) {
        Ok(bundle) => bundle,
        Err(report) => return print_faults(flags, &report),
    };
    let keys: Result<Vec<PublicKey>, _> = flags.trust.iter().map(|path| read_key(path)).collect();
    let keys = TrustedKeys::new(keys?);
    if keys.iter().next().is_some() {
        SignedBundle::check(text.as_bytes(), &keys, &bundle.site)
            .context(RefusedSnafu { path: &flags.file })?;
    }
    if flags.json {
        output::print_json(&Vec::<Fault>::new())?;
    } else {
        output::print_line(&summary(flags, &bundle));
        for warning in bundle.warnings() {
            output::print_line(&format!("{}: warning: {warning}", flags.file.display()));
        }
    }
    Ok(Code::Done)
}

fn print_faults(flags: &Check, report: &Report) -> Result<Code, CommandError> {
    if flags.json {
        let faults: Vec<Fault> = report.problems.iter().map(Fault::from).collect();
        output::print_json(&faults)?;
        return Ok(Code::No);
    }
    for problem in &report.problems {
        let line = problem.line.unwrap_or(0);
        let fault = Fault::from(problem);
        let location = format!("{}:{line}", flags.file.display());
        output::print_line(&format!(
            "{location}: {}: {}; {}",
            fault.path, fault.fault, fault.advice
        ));
    }
    Ok(Code::No)
}

fn summary(flags: &Check, bundle: &Bundle) -> String {
    let targets: usize = bundle.services.iter().map(|service| service.targets.len()).sum();
    format!(
        "{}: version {} for {}, {} services, {targets} targets, no faults",
        flags.file.display(),
        bundle.version,
        bundle.site,
        bundle.services.len(),
    )
}
