//! Targets over UDP, each with HTTP endpoints for health and load.

use crate::{
    clock::Clock,
    fabric::{lock, to_ipv4},
    profile::{Profile, TargetCounts},
    server::Server,
    udp::BatchReceiver,
    web::{self, HttpServers},
};
use medlarspur_lib::time::Millis;
use rocket::{State, get, http::Status, put, routes, serde::json::Json};
use snafu::prelude::*;
use std::{
    io,
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// Simulated faults of a target and its endpoints. The endpoints report the real
/// state where no value is set.
#[derive(Debug, Default, Clone, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Refuses new connections.
    pub draining: bool,
    /// Drops all packets in both directions, like a host without power.
    pub dead: bool,
    /// Health that `/health` reports.
    pub health: Option<bool>,
    /// Utilization that `/load` reports.
    pub load: Option<f64>,
    /// Maximum age in milliseconds of the sample that `/load` reports.
    pub lag_ms: u64,
    /// Time in milliseconds that a request takes, in place of the profile's time.
    pub work_ms: Option<u64>,
}

/// The answer of `/load`.
#[derive(Debug, Default, Clone, Copy, serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// Number of open connections.
    pub connections: usize,
    /// Number of requests and uploads that have a slot or wait for one.
    pub slots: usize,
    /// Utilization from 0, idle, to 1, full.
    pub load: f64,
}

/// Reasons why the targets can't be started.
#[derive(Debug, Snafu)]
pub enum TargetError {
    /// A socket can't be bound.
    #[snafu(display("a target's socket can't be bound"))]
    Socket {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The HTTP endpoints can't be started.
    #[snafu(display("a target's HTTP endpoints can't be started"))]
    Probe {
        /// Error of the HTTP server.
        source: web::WebError,
    },
}

/// Maximum wait for a packet, so that an idle target notices a change of its
/// behaviour in time.
const MAX_WAIT: Millis = Millis(50);

/// Running targets. Their threads run until the process ends.
pub struct Targets {
    /// The targets, in the order of the profiles.
    pub list: Vec<RunningTarget>,
    _served: HttpServers,
}

/// A running target.
pub struct RunningTarget {
    /// Its name.
    pub name: String,
    /// Address for packets from instances.
    pub addr: SocketAddrV4,
    /// Address of its health and load endpoints.
    pub probe: SocketAddrV4,
    shared: Arc<Shared>,
}

struct Shared {
    server: Mutex<Server>,
    behaviour: Mutex<Behaviour>,
    sample: Mutex<Option<(Millis, Load)>>,
    clock: Clock,
}

impl Targets {
    /// Starts a target for each profile. Answers are sent to the fabric's address `returns`.
    pub fn start(profiles: Vec<Profile>, returns: SocketAddrV4) -> Result<Self, TargetError> {
        let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        let mut list = Vec::new();
        let mut sites = Vec::new();
        for profile in profiles {
            let socket = UdpSocket::bind(any).context(SocketSnafu)?;
            let addr = socket.local_addr().and_then(to_ipv4).context(SocketSnafu)?;
            let name = profile.name.clone();
            let shared = Arc::new(Shared::new(profile));
            let worker = Arc::clone(&shared);
            thread::spawn(move || worker.run(BatchReceiver::new(socket), returns));
            sites.push((Arc::clone(&shared), routes![health, load, counts, set_behaviour]));
            list.push(RunningTarget { name, addr, probe: any, shared });
        }
        let served = web::serve(any, sites).context(ProbeSnafu)?;
        for (running, &probe) in list.iter_mut().zip(&served.addrs) {
            running.probe = probe;
        }
        Ok(Self { list, _served: served })
    }
}

impl RunningTarget {
    /// Sets the simulated faults of the target.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.shared.set_behaviour(behaviour);
    }

    /// Counters of the target.
    pub fn counts(&self) -> TargetCounts {
        lock(&self.shared.server).counts.clone()
    }
}

impl Shared {
    fn new(profile: Profile) -> Self {
        Self {
            server: Mutex::new(Server::new(profile)),
            behaviour: Mutex::default(),
            sample: Mutex::default(),
            clock: Clock::start(),
        }
    }

    fn run(&self, mut receiver: BatchReceiver, returns: SocketAddrV4) {
        loop {
            let now = self.clock.now();
            let (packets, next) = {
                let mut server = lock(&self.server);
                (server.poll(now), server.next_poll())
            };
            let dead = lock(&self.behaviour).dead;
            for packet in packets.iter().filter(|_| !dead) {
                // A packet that can't be sent is lost, as in a real network.
                let _ = receiver.socket.send_to(packet, returns);
            }
            let wait = next.unwrap_or(now + MAX_WAIT).since(now).clamp(Millis(1), MAX_WAIT);
            let taken = receiver.receive(Duration::from_millis(wait.0), |packet| {
                if !dead {
                    lock(&self.server).receive(packet);
                }
            });
            if taken.is_err() {
                return;
            }
        }
    }

    fn set_behaviour(&self, behaviour: Behaviour) {
        let mut server = lock(&self.server);
        server.draining = behaviour.draining;
        if let Some(work) = behaviour.work_ms {
            server.profile.work_time = Millis(work);
        }
        *lock(&self.behaviour) = behaviour;
    }

    /// Returns the load that the endpoint reports, which is old or false if the
    /// behaviour says so.
    fn reported_load(&self) -> Load {
        let behaviour = lock(&self.behaviour).clone();
        let now = self.clock.now();
        let mut sample = lock(&self.sample);
        let fresh = sample.filter(|(at, _)| now.since(*at) < Millis(behaviour.lag_ms));
        let mut load = fresh.map_or_else(|| self.current_load(), |(_, load)| load);
        if fresh.is_none() {
            *sample = Some((now, load));
        }
        load.load = behaviour.load.unwrap_or(load.load);
        load
    }

    fn current_load(&self) -> Load {
        let server = lock(&self.server);
        let (connections, slots) = (server.connections(), server.work());
        Load { connections, slots, load: server.load() }
    }
}

#[get("/health")]
fn health(shared: &State<Arc<Shared>>) -> Status {
    let behaviour = lock(&shared.behaviour).clone();
    match behaviour.health.unwrap_or(!behaviour.draining && !behaviour.dead) {
        true => Status::Ok,
        false => Status::ServiceUnavailable,
    }
}

#[get("/load")]
fn load(shared: &State<Arc<Shared>>) -> Json<Load> {
    Json(shared.reported_load())
}

#[get("/seen")]
fn counts(shared: &State<Arc<Shared>>) -> Json<TargetCounts> {
    Json(lock(&shared.server).counts.clone())
}

#[put("/behaviour", data = "<behaviour>")]
fn set_behaviour(shared: &State<Arc<Shared>>, behaviour: Json<Behaviour>) {
    shared.set_behaviour(behaviour.into_inner());
}
