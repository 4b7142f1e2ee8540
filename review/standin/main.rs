//! Runs one review case: `standin CASE RECORD DIR`; see the claim of each case.

mod cases;
mod world;

use std::{env, path::Path, process::ExitCode};

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, record, dir] = &args[..] else {
        eprintln!("usage: standin CASE RECORD DIR");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
    ExitCode::from(cases::run(case, Path::new(record), Path::new(dir), trouble))
}
