//! Starts an instance from validated settings and runs it until a signal stops it.

use crate::{
    checker::Checker,
    clock::Clock,
    control::{self, ControlParts},
    gate::LoadGate,
    life::Lifecycle,
    meters,
    packets::{self, PacketParts},
    sample::Sampler,
    shared::{RING_CAPACITY, Shared},
    status::StatusSource,
};
use medlarspur_fabric::{Listener, SocketError};
use medlarspur_lib::{
    control::ControlSettings,
    ids::{Incarnation, Version},
    members::{Addresses, Member, MemberState},
    settings::Settings,
};
use medlarspur_operator::{Meters, MetersError, OperatorError, OperatorServer};
use medlarspur_peer::{PeerError, PeerSettings, PeerTls, Peers};
use medlarspur_platform::{Http, Reader, ReaderError};
use medlarspur_target::{self as target, INTERVAL, Prober, ProberError};
use rtrb::RingBuffer;
use serde::Serialize;
use signal_hook::consts::{SIGINT, SIGTERM};
use snafu::{ResultExt, Snafu};
use std::{
    fs,
    hash::{DefaultHasher, Hash, Hasher},
    io::{self, Write},
    net::SocketAddr,
    path::Path,
    sync::{Arc, atomic::AtomicBool, mpsc::sync_channel},
    thread::{self, JoinHandle},
    time::{SystemTime, UNIX_EPOCH},
};

/// Maximum number of platform events queued for the control thread, and of operators'
/// queries queued for the packet thread. Each platform event is a whole bundle or list,
/// which supersedes any older one.
const PLATFORM_QUEUE: usize = 8;

/// Maximum number of probe results queued for the control thread: more than arrive
/// during one of its rounds.
const PROBE_QUEUE: usize = 1024;

/// Reasons why an instance can't start or run.
#[derive(Debug, Snafu)]
pub enum BootError {
    /// A socket for packets or questions can't be opened.
    #[snafu(display("cannot open a socket"))]
    Socket {
        /// The socket's address and the cause.
        source: SocketError,
    },
    /// The control connections can't be served.
    #[snafu(display("cannot serve peers"))]
    Peer {
        /// The cause.
        source: PeerError,
    },
    /// The platform's reader can't be started.
    #[snafu(display("cannot read the platform"))]
    Platform {
        /// The cause.
        source: ReaderError,
    },
    /// The prober of targets can't be started.
    #[snafu(display("cannot probe targets"))]
    Probe {
        /// The cause.
        source: ProberError,
    },
    /// The metrics can't be registered.
    #[snafu(display("cannot register the metrics"))]
    Metrics {
        /// The cause.
        source: MetersError,
    },
    /// The operators' HTTP server can't be started.
    #[snafu(display("cannot serve operators"))]
    Operators {
        /// The cause.
        source: OperatorError,
    },
    /// A system call failed: for a thread, a signal handler, a TLS file or standard output.
    #[snafu(display("cannot {what}"))]
    System {
        /// The operation that failed.
        what: &'static str,
        /// The cause.
        source: io::Error,
    },
}

/// The line of JSON on standard output that reports the listening addresses, for a
/// parent process that has left the choice of ports to the system.
#[derive(Debug, Serialize)]
struct StartupInfo<'a> {
    name: &'a str,
    domain: &'a str,
    #[serde(flatten)]
    addresses: Addresses,
    operator: SocketAddr,
}

/// Runs an instance until SIGTERM or SIGINT stops it.
pub fn run(settings: &Settings) -> Result<(), BootError> {
    let clock = Clock::start();
    let shared = Arc::new(Shared::default());
    let shutdown = shutdown_on_signal()?;
    let fabric = Listener::bind(settings.packets).context(SocketSnafu)?;
    let questions = Listener::bind(settings.questions).context(SocketSnafu)?;
    let peers = Peers::start(peer_settings(settings)?).context(PeerSnafu)?;
    let addresses =
        Addresses { packets: fabric.local(), questions: questions.local(), control: peers.addr() };
    let (send, platform_events) = sync_channel(PLATFORM_QUEUE);
    let reader = Reader::start(Http::new(settings.platform), send).context(PlatformSnafu)?;
    let (send, probe_events) = sync_channel(PROBE_QUEUE);
    let prober = Prober::start(target::Http::new(), INTERVAL, send).context(ProbeSnafu)?;
    let (commands, command_receiver) = RingBuffer::new(RING_CAPACITY);
    let (adverts, advert_receiver) = RingBuffer::new(RING_CAPACITY);
    let (queries, query_receiver) = sync_channel(PLATFORM_QUEUE);
    let meters = Meters::new().context(MetricsSnafu)?;
    meters::register(&meters, &shared);
    let status = StatusSource::new(settings, shared.clone(), queries, clock);
    let operator = OperatorServer::start(settings.operator, Arc::new(status), meters.clone())
        .context(OperatorsSnafu)?;
    print_startup_info(settings, &addresses, operator.address())?;
    let lifecycle = Lifecycle::start(shared.clone(), shutdown.clone(), clock);
    let packets = PacketParts {
        fabric,
        questions,
        return_address: settings.fabric,
        secret: settings.secret.clone(),
        commands: command_receiver,
        queries: query_receiver,
        adverts,
        gate: LoadGate::new(seed(settings), meters.clone()),
        sampler: Sampler::new(meters.clone()),
        clock,
        shared: shared.clone(),
    };
    let control = ControlParts {
        settings: ControlSettings {
            me: local_member(settings, addresses),
            seeds: settings.peers.clone(),
        },
        checker: Checker::new(settings.keys.clone(), settings.site.clone(), meters),
        peers,
        platform: (reader, platform_events),
        probes: (prober, probe_events),
        commands,
        adverts: advert_receiver,
        shutdown,
        clock,
        shared,
    };
    let packets = spawn("packets", move || packets::run(packets))?;
    let control = spawn("control", move || control::run(control))?;
    lifecycle.wait_for_bundle().wait_for_shutdown().drain();
    join("packets", packets);
    join("control", control);
    operator.stop();
    Ok(())
}

fn peer_settings(settings: &Settings) -> Result<PeerSettings, BootError> {
    let tls = match &settings.tls {
        None => None,
        Some(tls) => Some(PeerTls {
            authority: read(&tls.ca)?,
            certificate: read(&tls.certificate)?,
            key: read(&tls.key)?,
            name: settings.site.as_str().to_owned(),
        }),
    };
    Ok(PeerSettings { site: settings.site.clone(), listen: settings.control, tls })
}

fn read(path: &Path) -> Result<Vec<u8>, BootError> {
    fs::read(path).context(SystemSnafu { what: "read a file of the TLS settings" })
}

/// Returns a seed derived from the instance's name. Instances with different seeds
/// spread refusals over different callers.
fn seed(settings: &Settings) -> u64 {
    let mut hasher = DefaultHasher::new();
    settings.name.hash(&mut hasher);
    hasher.finish()
}

fn shutdown_on_signal() -> Result<Arc<AtomicBool>, BootError> {
    let shutdown = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, shutdown.clone())
            .context(SystemSnafu { what: "handle signals" })?;
    }
    Ok(shutdown)
}

fn print_startup_info(
    settings: &Settings,
    addresses: &Addresses,
    operator: SocketAddr,
) -> Result<(), BootError> {
    let info = StartupInfo {
        name: settings.name.as_str(),
        domain: settings.domain.as_str(),
        addresses: addresses.clone(),
        operator,
    };
    let mut out = io::stdout().lock();
    serde_json::to_writer(&mut out, &info)
        .map_err(io::Error::from)
        .and_then(|()| writeln!(out))
        .and_then(|()| out.flush())
        .context(SystemSnafu { what: "write to the standard output" })
}

/// Returns this instance's own membership entry. The incarnation is the wall-clock
/// time in milliseconds, which distinguishes a restarted instance from its previous
/// run. If the clock is wrong, a peer that knows a later incarnation corrects it.
#[allow(clippy::disallowed_methods, reason = "no other state survives a restart")]
fn local_member(settings: &Settings, addresses: Addresses) -> Member {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Member {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        incarnation: Incarnation(wall.as_millis() as u64),
        state: MemberState::Live,
        addresses,
        version: Version(0),
        advertised: 0,
    }
}

fn spawn<T: Send + 'static>(
    name: &'static str,
    run: impl FnOnce() -> T + Send + 'static,
) -> Result<JoinHandle<T>, BootError> {
    let builder = thread::Builder::new().name(name.to_owned());
    builder.spawn(run).context(SystemSnafu { what: "start a thread" })
}

fn join<T>(name: &str, thread: JoinHandle<T>) {
    if thread.join().is_err() {
        log::error!("thread {name} panicked");
    }
}
