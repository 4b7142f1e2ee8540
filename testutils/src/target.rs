//! Targets over UDP, each with its endpoints for health and load.

use crate::{
    clock::Clock,
    fabric::{lock, v4},
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

/// How a target and its endpoints behave; what is unset tells the truth.
#[derive(Debug, Default, Clone, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Turns away every opening.
    pub draining: bool,
    /// Hears and says nothing, like a host without power.
    pub dead: bool,
    /// What `/health` says.
    pub health: Option<bool>,
    /// What `/load` says for the load.
    pub load: Option<f64>,
    /// How old `/load` may be.
    pub lag_ms: u64,
    /// How long a request takes, in place of the profile's time.
    pub work_ms: Option<u64>,
}

/// What `/load` answers.
#[derive(Debug, Default, Clone, Copy, serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// The connections that the target holds.
    pub connections: usize,
    /// The slots that are taken, work that waits for one included.
    pub slots: usize,
    /// From 0, idle, to 1, full.
    pub load: f64,
}

/// Why the targets did not start.
#[derive(Debug, Snafu)]
pub enum TargetError {
    /// A socket could not be bound.
    #[snafu(display("a target's socket can't be bound"))]
    Socket {
        /// What the system said.
        source: io::Error,
    },
    /// The endpoints could not be served.
    #[snafu(display("a target's endpoints can't be served"))]
    Probe {
        /// What the server said.
        source: web::WebError,
    },
}

/// How long a quiet target sleeps at most, so that it sees changes in time.
const MAX_WAIT: Millis = Millis(50);

/// Targets in this process. Their threads end with it.
pub struct Targets {
    /// Each target, in the order of the profiles.
    pub list: Vec<RunningTarget>,
    _served: HttpServers,
}

/// One target that runs.
pub struct RunningTarget {
    /// Its name.
    pub name: String,
    /// Where instances send packets.
    pub addr: SocketAddrV4,
    /// Where its health and load are read.
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
    /// Starts a target for each profile; answers go to the fabric's `returns`.
    pub fn start(profiles: Vec<Profile>, returns: SocketAddrV4) -> Result<Self, TargetError> {
        let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        let mut list = Vec::new();
        let mut sites = Vec::new();
        for profile in profiles {
            let socket = UdpSocket::bind(any).context(SocketSnafu)?;
            let addr = socket.local_addr().and_then(v4).context(SocketSnafu)?;
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
    /// Changes how the target behaves.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.shared.set_behaviour(behaviour);
    }

    /// What the target has seen so far.
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

    /// The load as the endpoint tells it: old, or a lie, if so set.
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
