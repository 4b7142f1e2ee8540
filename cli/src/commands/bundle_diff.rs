//! `bundle diff`: compares two bundles.

use super::read_bundle;
use crate::{
    error::{Code, CommandError},
    flags::Diff,
    output,
};
use medlarspur_lib::bundle::{Change, Obstacle, diff, obstacles};
use serde::Serialize;

/// Differences between two bundles, as printed in JSON.
#[derive(Serialize)]
struct Differences {
    changes: Vec<Change>,
    obstacles: Vec<Obstacle>,
}

pub fn run(flags: &Diff) -> Result<Code, CommandError> {
    let (old, new) = (read_bundle(&flags.old)?, read_bundle(&flags.new)?);
    let changes = diff(&old, &new);
    let code = if changes.is_empty() { Code::Done } else { Code::No };
    let obstacles = if changes.is_empty() { Vec::new() } else { obstacles(&old, &new) };
    if flags.json {
        output::print_json(&Differences { changes, obstacles })?;
        return Ok(code);
    }
    for change in &changes {
        output::print_line(&change.to_string());
    }
    for obstacle in obstacles {
        output::print_line(&format!("! {obstacle}"));
    }
    Ok(code)
}
