//! From checked settings to a running instance.

use crate::{
    checker::Checker,
    clock::Clock,
    control::{self, Control},
    gate::LoadGate,
    life::Life,
    meters,
    packets::{self, Packets},
    sample::Sampler,
    shared::{RING, Shared},
    status::Status,
};
use medlarspur_fabric::{Listener, SocketError};
use medlarspur_lib::{
    control::ControlSettings,
    ids::{Incarnation, Version},
    members::{Addresses, Member, MemberState},
    settings::Settings,
};
use medlarspur_operator::{Meters, MetersError, Operator, OperatorError};
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

/// How many readings of the platform may wait for the control thread. Each is
/// a whole bundle or list, and a newer one makes the older one worthless.
const READINGS: usize = 8;

/// How many results of probes may wait for the control thread: more than come
/// in one of its rounds.
const PROBES: usize = 1024;

/// Why an instance can't run.
#[derive(Debug, Snafu)]
pub enum BootError {
    /// A socket for packets or questions.
    #[snafu(display("cannot open a socket"))]
    Socket {
        /// Which and why.
        source: SocketError,
    },
    /// The control connections.
    #[snafu(display("cannot serve peers"))]
    Peer {
        /// Why.
        source: PeerError,
    },
    /// The platform's reader.
    #[snafu(display("cannot read the platform"))]
    Platform {
        /// Why.
        source: ReaderError,
    },
    /// The probes of targets.
    #[snafu(display("cannot probe targets"))]
    Probe {
        /// Why.
        source: ProberError,
    },
    /// The metrics.
    #[snafu(display("cannot register the metrics"))]
    Metrics {
        /// Why.
        source: MetersError,
    },
    /// The operators' server.
    #[snafu(display("cannot serve operators"))]
    Operators {
        /// Why.
        source: OperatorError,
    },
    /// A thread, a signal handler or the standard output.
    #[snafu(display("cannot {what}"))]
    System {
        /// What was tried.
        what: &'static str,
        /// What the system said.
        source: io::Error,
    },
}

/// What an instance says of itself on its standard output once it listens, for
/// whoever started it with ports left to the system.
#[derive(Debug, Serialize)]
struct Greeting<'a> {
    name: &'a str,
    domain: &'a str,
    #[serde(flatten)]
    addresses: Addresses,
    operator: SocketAddr,
}

/// Runs an instance until a signal ends it.
pub fn run(settings: &Settings) -> Result<(), BootError> {
    let clock = Clock::start();
    let shared = Arc::new(Shared::default());
    let leave = leave_on_signal()?;
    let fabric = Listener::bind(settings.packets).context(SocketSnafu)?;
    let questions = Listener::bind(settings.questions).context(SocketSnafu)?;
    let peers = Peers::start(peer_settings(settings)?).context(PeerSnafu)?;
    let addresses =
        Addresses { packets: fabric.local(), questions: questions.local(), control: peers.addr() };
    let (send, readings) = sync_channel(READINGS);
    let reader = Reader::start(Http::new(settings.platform), send).context(PlatformSnafu)?;
    let (send, probed) = sync_channel(PROBES);
    let prober = Prober::start(target::Http::new(), INTERVAL, send).context(ProbeSnafu)?;
    let (commands, obeyed) = RingBuffer::new(RING);
    let (adverts, outgoing) = RingBuffer::new(RING);
    let (looks, looked) = sync_channel(READINGS);
    let meters = Meters::new().context(MetricsSnafu)?;
    meters::register(&meters, &shared);
    let status = Status::new(settings, shared.clone(), looks, clock);
    let operator = Operator::start(settings.operator, Arc::new(status), meters.clone())
        .context(OperatorsSnafu)?;
    greet(settings, &addresses, operator.address())?;
    let life = Life::begin(shared.clone(), leave.clone(), clock);
    let packets = Packets {
        fabric,
        questions,
        returns: settings.fabric,
        secret: settings.secret.clone(),
        commands: obeyed,
        looks: looked,
        adverts,
        gate: LoadGate::new(seed(settings), meters.clone()),
        sampler: Sampler::new(meters.clone()),
        clock,
        shared: shared.clone(),
    };
    let control = Control {
        settings: ControlSettings { me: me(settings, addresses), seeds: settings.peers.clone() },
        checker: Checker::new(settings.keys.clone(), settings.site.clone(), meters),
        peers,
        platform: (reader, readings),
        probes: (prober, probed),
        commands,
        adverts: outgoing,
        leave,
        clock,
        shared,
    };
    let packets = spawn("packets", move || packets::run(packets))?;
    let control = spawn("control", move || control::run(control))?;
    life.serve().leave().stop();
    end("packets", packets);
    end("control", control);
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

/// Differs for each instance, so that no two spread their refusals alike.
fn seed(settings: &Settings) -> u64 {
    let mut hasher = DefaultHasher::new();
    settings.name.hash(&mut hasher);
    hasher.finish()
}

fn leave_on_signal() -> Result<Arc<AtomicBool>, BootError> {
    let leave = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, leave.clone())
            .context(SystemSnafu { what: "handle signals" })?;
    }
    Ok(leave)
}

fn greet(
    settings: &Settings,
    addresses: &Addresses,
    operator: SocketAddr,
) -> Result<(), BootError> {
    let greeting = Greeting {
        name: settings.name.as_str(),
        domain: settings.domain.as_str(),
        addresses: addresses.clone(),
        operator,
    };
    let mut out = io::stdout().lock();
    serde_json::to_writer(&mut out, &greeting)
        .map_err(io::Error::from)
        .and_then(|()| writeln!(out))
        .and_then(|()| out.flush())
        .context(SystemSnafu { what: "write to the standard output" })
}

/// This instance for its peers. Its incarnation is the wall clock's, so that a
/// restarted instance is told from its earlier life; a clock that is wrong is
/// corrected when a peer holds a later incarnation against it.
#[allow(clippy::disallowed_methods, reason = "nothing else of an earlier life lasts")]
fn me(settings: &Settings, addresses: Addresses) -> Member {
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

fn end<T>(name: &str, thread: JoinHandle<T>) {
    if thread.join().is_err() {
        log::error!("thread {name} panicked");
    }
}
