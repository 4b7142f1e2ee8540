//! Runs a stand-in as a process: platform, fabric, targets or callers.
//!
//! Platform, fabric and targets print their addresses as one line of JSON and run
//! until they are ended. Callers run for a number of seconds and print their report.

use medlarspur_lib::{bundle::Class, time::Millis};
use medlarspur_testutils::{
    caller::{self, Callers, Stream},
    fabric::{self, Fabric},
    platform::Platform,
    profile::Profile,
    spread::Mode,
    target::Targets,
    web,
};
use std::{
    error::Error,
    io::{self, BufRead},
    net::{Ipv4Addr, SocketAddrV4},
    thread,
    time::Duration,
};

mod flags {
    use super::*;

    xflags::xflags! {
        /// Stand-ins for the systems around medlarspur; for tests only.
        cmd medlarspur-standin {
            /// Serve a bundle and a list of instances by HTTP.
            cmd platform {
                /// Where to listen; a port of the system's choice if not given.
                optional --listen addr: SocketAddrV4
            }
            /// Spread callers' packets. Lines on stdin name the instances to cut off.
            cmd fabric {
                /// The platform to read the list from.
                required --platform addr: SocketAddrV4
                /// spray, hash or reshuffle; spray if not given.
                optional --mode mode: Mode
                /// Where callers send.
                optional --callers addr: SocketAddrV4
                /// Where targets and instances send.
                optional --returns addr: SocketAddrV4
                /// One-way delay in milliseconds.
                optional --delay millis: u64
                /// How long a leaving instance still gets packets, in milliseconds.
                optional --lag millis: u64
            }
            /// Serve one service by several targets.
            cmd target {
                /// The fabric's address for answers.
                required --fabric addr: SocketAddrV4
                /// The name of the service.
                required --service name: String
                /// The address of the service.
                required --address ip: Ipv4Addr
                /// The port for feeds.
                optional --feed port: u16
                /// The port for requests.
                optional --request port: u16
                /// The port for uploads.
                optional --upload port: u16
                /// How many targets; 1 if not given.
                optional --count count: usize
                /// How many requests and uploads each works on at once.
                optional --slots count: usize
                /// How long a request takes, in milliseconds.
                optional --work millis: u64
            }
            /// Call services; the streams are read from stdin as a JSON list.
            cmd caller {
                /// The fabric's address for callers.
                required --fabric addr: SocketAddrV4
                /// How long to call; 10 if not given.
                optional --seconds count: u64
                /// How many addresses call.
                optional --callers count: u32
                /// The first address of the callers.
                optional --first ip: Ipv4Addr
            }
        }
    }
}

use flags::MedlarspurStandinCmd;

/// Maximum time to wait for work in progress at the end.
const GRACE: Duration = Duration::from_secs(10);

fn main() -> Result<(), Box<dyn Error>> {
    web::silence_logs();
    match flags::MedlarspurStandin::from_env_or_exit().subcommand {
        MedlarspurStandinCmd::Platform(flags) => platform(&flags),
        MedlarspurStandinCmd::Fabric(flags) => fabric(&flags),
        MedlarspurStandinCmd::Target(flags) => target(&flags),
        MedlarspurStandinCmd::Caller(flags) => caller(&flags),
    }
}

fn any_port() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)
}

fn platform(flags: &flags::Platform) -> Result<(), Box<dyn Error>> {
    let platform = Platform::start(flags.listen.unwrap_or(any_port()))?;
    println!("{}", serde_json::json!({ "platform": platform.addr }));
    run()
}

fn fabric(flags: &flags::Fabric) -> Result<(), Box<dyn Error>> {
    let mut settings = fabric::Settings::new(flags.mode.unwrap_or(Mode::Spray));
    settings.platform = Some(flags.platform);
    settings.callers = flags.callers.unwrap_or(any_port());
    settings.returns = flags.returns.unwrap_or(any_port());
    settings.delay = flags.delay.map_or(settings.delay, Millis);
    settings.lag = flags.lag.map_or(settings.lag, Millis);
    let fabric = Fabric::start(&settings)?;
    println!("{}", serde_json::json!({ "callers": fabric.callers, "returns": fabric.returns }));
    for line in io::stdin().lock().lines() {
        fabric.block(&line?.split_whitespace().collect::<Vec<_>>());
    }
    run()
}

fn target(flags: &flags::Target) -> Result<(), Box<dyn Error>> {
    let kinds =
        [(flags.feed, Class::Feed), (flags.request, Class::Request), (flags.upload, Class::Upload)];
    let ports = kinds.into_iter().filter_map(|(port, class)| Some((port?, class)));
    let ports = ports.collect::<Vec<_>>();
    let profiles = (1..=flags.count.unwrap_or(1)).map(|number| {
        let name = format!("{}-{number}", flags.service);
        let mut profile = Profile::new(&name, &flags.service, flags.address, &ports);
        profile.slots = flags.slots.unwrap_or(profile.slots);
        profile.work_time = flags.work.map_or(profile.work_time, Millis);
        profile
    });
    let targets = Targets::start(profiles.collect(), flags.fabric)?;
    let list = targets.list.iter().map(|running| {
        serde_json::json!({ "name": running.name, "address": running.addr, "probe": running.probe })
    });
    println!("{}", serde_json::Value::from_iter(list));
    run()
}

fn caller(flags: &flags::Caller) -> Result<(), Box<dyn Error>> {
    let streams = serde_json::from_reader::<_, Vec<Stream>>(io::stdin().lock())?;
    let mut settings = caller::Settings::new(flags.fabric);
    settings.count = flags.callers.unwrap_or(settings.count).max(1);
    settings.first = flags.first.unwrap_or(settings.first);
    let callers = Callers::start(settings, streams)?;
    thread::sleep(Duration::from_secs(flags.seconds.unwrap_or(10)));
    println!("{}", serde_json::to_string(&callers.stop(GRACE))?);
    Ok(())
}

/// Waits until the process is ended.
fn run() -> Result<(), Box<dyn Error>> {
    loop {
        thread::park();
    }
}
