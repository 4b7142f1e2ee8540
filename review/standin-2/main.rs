//! Stand-ins of the platform, the hosts and the callers, and the cases of this review.
//! Usage: `standin-2 CASE FOLDER`, from the root of the repository.

mod caller;
mod evacuated;
mod fleet;
mod host;
mod packet;
mod record;
mod seeds;
mod site;
mod store;
mod thaw;

use std::{path::PathBuf, process::ExitCode, sync::OnceLock, thread, time::Duration};

/// Time after which a case that has not ended counts as not run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

static CALLER_PORT: OnceLock<u16> = OnceLock::new();

/// Port at which callers take packets.
pub fn caller_port() -> u16 {
    *CALLER_PORT.get().expect("the ports are chosen first")
}

pub fn set_caller_port(port: u16) {
    let _ = CALLER_PORT.set(port);
}

/// Result of a case.
pub enum Verdict {
    Kept,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standin-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let folder = PathBuf::from(folder);
    if !PathBuf::from("target/release/medlarspurd").exists() {
        eprintln!("target/release/medlarspurd is not built");
        return ExitCode::from(2);
    }
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case takes too long");
        std::process::exit(2);
    });
    let verdict = match case.as_str() {
        "evacuated" => evacuated::run(&folder, has_trouble),
        "thaw" => thaw::run(&folder, has_trouble),
        "seeds" => seeds::run(&folder, has_trouble),
        _ => Verdict::NotRun,
    };
    ExitCode::from(match verdict {
        Verdict::Kept => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    })
}
