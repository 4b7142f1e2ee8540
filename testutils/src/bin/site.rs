//! Starts a small site, changes it under load and prints the callers' results.
//!
//! The exit status is 1 if a flow broke, an answer was wrong or another check
//! failed, and 2 if the trial could not be run.

use medlarspur_lib::bundle::Class;
use medlarspur_testutils::{
    caller::{Callers, Settings, Stream},
    report::Report,
    site::{Site, SiteError, site_services},
    spread::Mode,
    web,
};
use signal_hook::consts::{SIGINT, SIGTERM};
use snafu::prelude::*;
use std::{
    env, io,
    net::SocketAddrV4,
    path::PathBuf,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Reasons why the trial has no result.
#[derive(Debug, Snafu)]
enum Error {
    /// The site can't be started or changed.
    #[snafu(display("the site failed"))]
    Site { source: SiteError },
    /// The callers can't be started, or the signals can't be handled.
    #[snafu(display("the callers can't be started"))]
    Start { source: io::Error },
    /// A signal ended the trial.
    #[snafu(display("interrupted"))]
    Interrupted,
}

/// Maximum time to wait for work in progress after the callers are stopped.
const GRACE: Duration = Duration::from_secs(10);
/// Time between two checks of the site for ended instances.
const TICK: Duration = Duration::from_millis(50);
/// Times of the replacement of an instance, of the leaving of a target and of the
/// killing of instances, in percent of the trial's duration.
const REPLACE_AT: u32 = 30;
const LEAVE_AT: u32 = 50;
const KILL_AT: u32 = 70;
/// Time from the bundle in which a target is leaving until the target refuses new
/// connections.
const DRAIN_AFTER: Duration = Duration::from_secs(2);
/// Name of the target that leaves.
const LEAVING: &str = "alertdesk-1";

struct Flags {
    instances: usize,
    targets: usize,
    feeds: u64,
    seconds: u32,
    mode: Mode,
    kill: usize,
    json: bool,
}

fn main() -> ExitCode {
    web::silence_logs();
    let flags = flags();
    match run(&flags) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            let chain =
                std::iter::successors(Some(&error as &dyn std::error::Error), |e| e.source());
            let chain = chain.map(ToString::to_string).collect::<Vec<_>>();
            eprintln!("medlarspur-site: {}", chain.join(": "));
            ExitCode::from(2)
        }
    }
}

fn flags() -> Flags {
    let flags = xflags::parse_or_exit! {
        /// How many instances; 4 if not given.
        optional --instances count: usize
        /// How many targets of alertdesk; 6 if not given. ingest has a third.
        optional --targets count: usize
        /// How many feeds are held; 300 if not given.
        optional --feeds count: u64
        /// How long callers call; 12 if not given.
        optional --seconds count: u32
        /// spray, hash or reshuffle; spray if not given.
        optional --fabric mode: Mode
        /// How many instances are killed besides.
        optional --kill count: usize
        /// Print the whole report as JSON.
        optional --json
    };
    Flags {
        instances: flags.instances.unwrap_or(4).max(1),
        targets: flags.targets.unwrap_or(6).max(2),
        feeds: flags.feeds.unwrap_or(300),
        seconds: flags.seconds.unwrap_or(12).max(4),
        mode: flags.fabric.unwrap_or(Mode::Spray),
        kill: flags.kill.unwrap_or(0),
        json: flags.json,
    }
}

fn run(flags: &Flags) -> Result<bool, Error> {
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&interrupted)).context(StartSnafu)?;
    }
    let services = site_services(flags.targets, flags.targets.div_ceil(3));
    let mut site = Site::start(&program(), flags.mode, &services).context(SiteSnafu)?;
    for _ in 0..flags.instances {
        ensure!(!interrupted.load(Ordering::Relaxed), InterruptedSnafu);
        site.join().context(SiteSnafu)?;
    }
    let callers =
        Callers::start(Settings::new(site.fabric.callers), streams(flags)).context(StartSnafu)?;
    change(&mut site, flags, &interrupted)?;
    let report = callers.stop(GRACE);
    Ok(conclude(flags, &site, &report))
}

/// Returns the path of the daemon, which is in the folder of this program.
fn program() -> PathBuf {
    let own = env::current_exe().unwrap_or_default();
    own.with_file_name("medlarspurd")
}

fn streams(flags: &Flags) -> Vec<Stream> {
    let stream = |service: &str, class, remote: ([u8; 4], u16), rate, total| Stream {
        service: service.into(),
        class,
        remote: SocketAddrV4::new(remote.0.into(), remote.1),
        rate,
        total,
        size: 100_000,
        hold: 3_600_000,
    };
    let feeds = flags.feeds as f64 * 4.0 / f64::from(flags.seconds);
    vec![
        stream("alertdesk", Class::Feed, ([10, 70, 0, 1], 7001), feeds, flags.feeds),
        stream("alertdesk", Class::Request, ([10, 70, 0, 1], 7002), 100.0, 0),
        stream("ingest", Class::Upload, ([10, 70, 0, 2], 7003), 10.0, 0),
    ]
}

/// Replaces an instance, lets a target leave, and kills as many instances as the
/// flags say.
fn change(site: &mut Site, flags: &Flags, interrupted: &AtomicBool) -> Result<(), Error> {
    let start = Instant::now();
    let whole = Duration::from_secs(flags.seconds.into());
    let at = |percent| whole * percent / 100;
    wait(site, start, at(REPLACE_AT), interrupted)?;
    eprintln!("{:5.1} s: an instance is replaced", start.elapsed().as_secs_f64());
    site.join().context(SiteSnafu)?;
    site.leave().context(SiteSnafu)?;
    wait(site, start, at(LEAVE_AT), interrupted)?;
    eprintln!("{:5.1} s: target {LEAVING} leaves", start.elapsed().as_secs_f64());
    site.publish_leaving(LEAVING);
    wait(site, start, (at(LEAVE_AT) + DRAIN_AFTER).min(whole), interrupted)?;
    site.drain(LEAVING);
    wait(site, start, at(KILL_AT), interrupted)?;
    for _ in 0..flags.kill {
        eprintln!("{:5.1} s: an instance is killed", start.elapsed().as_secs_f64());
        site.kill().context(SiteSnafu)?;
        wait(site, start, start.elapsed() + TICK, interrupted)?;
    }
    wait(site, start, whole, interrupted)
}

fn wait(
    site: &mut Site,
    start: Instant,
    until: Duration,
    interrupted: &AtomicBool,
) -> Result<(), Error> {
    while start.elapsed() < until {
        ensure!(!interrupted.load(Ordering::Relaxed), InterruptedSnafu);
        site.remove_ended();
        thread::sleep(TICK);
    }
    Ok(())
}

/// Prints the result and returns whether all checks passed.
fn conclude(flags: &Flags, site: &Site, report: &Report) -> bool {
    if flags.json {
        println!("{}", serde_json::to_string(report).unwrap_or_default());
    } else {
        print_table(report);
    }
    let counts = site.targets.list.iter().map(|running| running.counts()).collect::<Vec<_>>();
    let mut runs = std::collections::BTreeMap::<&str, u32>::new();
    for (id, count) in counts.iter().flat_map(|counts| &counts.runs) {
        *runs.entry(id).or_default() += count;
    }
    let repeated = runs.values().filter(|&&count| count > 1).count();
    let turned = report.iter().flat_map(|(_, _, row)| &row.turned);
    let refused_but_run = turned.filter(|id| runs.contains_key(id.as_str())).count();
    let strays = counts.iter().map(|counts| counts.strays).sum::<u64>();
    let late = counts.iter().map(|counts| counts.late).sum::<u64>();
    let calls = site.platform.calls();
    eprintln!("requests run twice {repeated}, turned away and yet run {refused_but_run}");
    eprintln!("packets at a target of another service {strays}, openings at a leaving one {late}");
    eprintln!("calls to the platform: bundle {}, instances {}", calls.bundle, calls.instances);
    let broken = report.iter().map(|(_, _, row)| row.broken).sum::<u64>();
    let wrong = report.iter().map(|(_, _, row)| row.wrong).sum::<u64>();
    let pending = report.iter().map(|(_, _, row)| row.pending).sum::<u64>();
    let faults = broken + wrong + pending + strays + (repeated + refused_but_run) as u64;
    let completed = report.iter().all(|(_, _, row)| row.completed > 0);
    faults == 0 && completed
}

fn print_table(report: &Report) {
    println!(
        "{:<10} {:<8} {:>7} {:>9} {:>7} {:>8} {:>10} {:>6} {:>7} {:>7} {:>7} {:>9}",
        "service",
        "class",
        "opened",
        "completed",
        "broken",
        "refused",
        "unanswered",
        "wrong",
        "pending",
        "p50 ms",
        "p99 ms",
        "imbalance"
    );
    for (service, class, row) in report.iter() {
        println!(
            "{service:<10} {class:<8} {:>7} {:>9} {:>7} {:>8} {:>10} {:>6} {:>7} {:>7} {:>7} {:>9.2}",
            row.opened,
            row.completed,
            row.broken,
            row.refused,
            row.unanswered,
            row.wrong,
            row.pending,
            row.p50,
            row.p99,
            row.imbalance
        );
    }
}
