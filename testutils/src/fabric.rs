//! A fabric over UDP, which carries callers' packets to instances and answers to
//! callers.
//!
//! It has two sockets. Callers send to `callers`, where the fabric learns the
//! socket behind each source address. Targets and instances send to `returns`.

use crate::{
    clock::Clock,
    list::{ListedInstance, ListedState},
    packet::PacketHeader,
    platform,
    spread::{Mode, Picker},
};
use medlarspur_lib::{
    collections::{Map, Set},
    time::Millis,
};
use std::{
    collections::VecDeque,
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Settings of a fabric.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address for callers' packets; with port 0 the operating system chooses a port.
    pub callers: SocketAddrV4,
    /// Address for answers of targets and instances.
    pub returns: SocketAddrV4,
    /// Method by which packets are spread over instances.
    pub mode: Mode,
    /// Seed of the random choices.
    pub seed: u64,
    /// Delay of each packet, in each direction.
    pub delay: Millis,
    /// Time in which a leaving instance still gets packets.
    pub lag: Millis,
    /// Platform to read the list of instances from; `None` if the list is set by
    /// [`Fabric::set_list`].
    pub platform: Option<SocketAddrV4>,
}

impl Settings {
    /// Returns the settings of a fabric without delay, on ports that the operating
    /// system chooses.
    pub fn new(mode: Mode) -> Self {
        let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        Self {
            callers: any,
            returns: any,
            mode,
            seed: 1,
            delay: Millis(0),
            lag: Millis::secs(1),
            platform: None,
        }
    }
}

/// Time between two reads of the list; lists of real fabrics lag by about as much.
const LIST_INTERVAL: Duration = Duration::from_millis(200);
/// Receive timeout while packets are delayed.
const TICK: Duration = Duration::from_millis(1);
/// Maximum size of a datagram in bytes.
const MAX_DATAGRAM: usize = 65_536;

/// A running fabric. Its threads run until the process ends.
pub struct Fabric {
    /// Address for callers' packets.
    pub callers: SocketAddrV4,
    /// Address for answers of targets and instances.
    pub returns: SocketAddrV4,
    shared: Arc<Shared>,
}

struct Shared {
    clock: Clock,
    routes: Mutex<Routes>,
    caller_sockets: Mutex<Map<Ipv4Addr, SocketAddr>>,
    lost: AtomicU64,
}

#[derive(Default)]
struct Routes {
    entries: Vec<ListedInstance>,
    leaving: Map<String, Millis>,
    blocked: Set<String>,
}

impl Fabric {
    /// Binds the sockets and starts the threads.
    pub fn start(settings: &Settings) -> io::Result<Self> {
        let callers = UdpSocket::bind(settings.callers)?;
        let returns = UdpSocket::bind(settings.returns)?;
        let fabric = Self {
            callers: to_ipv4(callers.local_addr()?)?,
            returns: to_ipv4(returns.local_addr()?)?,
            shared: Arc::new(Shared {
                clock: Clock::start(),
                routes: Mutex::default(),
                caller_sockets: Mutex::default(),
                lost: AtomicU64::new(0),
            }),
        };
        let (inward, outward) = (Arc::clone(&fabric.shared), Arc::clone(&fabric.shared));
        let (answers, delay, lag) = (callers.try_clone()?, settings.delay, settings.lag);
        let picker = Picker::new(settings.mode, settings.seed);
        let out = returns.try_clone()?;
        thread::spawn(move || inward.forward_to_instances(&callers, &out, picker, delay, lag));
        thread::spawn(move || outward.return_to_callers(&returns, &answers, delay));
        if let Some(platform) = settings.platform {
            let shared = Arc::clone(&fabric.shared);
            thread::spawn(move || shared.poll_list(platform));
        }
        Ok(fabric)
    }

    /// Sets the list of instances.
    pub fn set_list(&self, entries: Vec<ListedInstance>) {
        self.shared.set_list(entries);
    }

    /// Sets the instances that get no packets although they are listed.
    pub fn block(&self, names: &[&str]) {
        let names = names.iter().map(|name| (*name).to_owned());
        lock(&self.shared.routes).blocked = names.collect();
    }

    /// Number of packets that were dropped because no instance or caller was known.
    pub fn lost(&self) -> u64 {
        self.shared.lost.load(Ordering::Relaxed)
    }
}

impl Shared {
    fn set_list(&self, entries: Vec<ListedInstance>) {
        let now = self.clock.now();
        let mut routes = lock(&self.routes);
        let leaving = entries.iter().filter(|entry| entry.state == ListedState::Leaving);
        routes.leaving = leaving
            .map(|entry| (entry.name.clone(), *routes.leaving.get(&entry.name).unwrap_or(&now)))
            .collect();
        routes.entries = entries;
    }

    /// Reads the list periodically. If a read fails, the last list stays in use.
    fn poll_list(&self, platform: SocketAddrV4) {
        loop {
            if let Ok(entries) = platform::read_list(platform) {
                self.set_list(entries);
            }
            thread::sleep(LIST_INTERVAL);
        }
    }

    fn forward_to_instances(
        &self,
        callers: &UdpSocket,
        out: &UdpSocket,
        mut picker: Picker,
        delay: Millis,
        lag: Millis,
    ) {
        let mut line = DelayLine::new(delay);
        line.run(callers, out, &self.clock, |packet, from| {
            let header = PacketHeader::parse(packet)?;
            lock(&self.caller_sockets).insert(*header.src.ip(), from);
            let routes = lock(&self.routes);
            let receivers = routes.receivers(self.clock.now(), lag);
            let names = receivers.iter().map(|entry| &entry.name).collect::<Vec<_>>();
            let Some(ix) = picker.pick(&names, &header) else {
                self.lost.fetch_add(1, Ordering::Relaxed);
                return None;
            };
            Some(SocketAddr::V4(receivers[ix].packets))
        });
    }

    fn return_to_callers(&self, returns: &UdpSocket, out: &UdpSocket, delay: Millis) {
        let mut line = DelayLine::new(delay);
        line.run(returns, out, &self.clock, |packet, _| {
            let header = PacketHeader::parse(packet)?;
            let destination = lock(&self.caller_sockets).get(header.dst.ip()).copied();
            if destination.is_none() {
                self.lost.fetch_add(1, Ordering::Relaxed);
            }
            destination
        });
    }
}

impl Routes {
    /// Returns the instances that get packets at `now`, in the order of the list.
    fn receivers(&self, now: Millis, lag: Millis) -> Vec<&ListedInstance> {
        let within_lag = |name| self.leaving.get(name).is_none_or(|&since| now.since(since) < lag);
        let entries = self.entries.iter();
        entries
            .filter(|entry| !self.blocked.contains(&entry.name) && within_lag(&entry.name))
            .collect()
    }
}

/// Queue of the packets in one direction, which all have the same delay.
struct DelayLine {
    delay: Millis,
    queue: VecDeque<(Millis, SocketAddr, Vec<u8>)>,
}

impl DelayLine {
    fn new(delay: Millis) -> Self {
        Self { delay, queue: VecDeque::new() }
    }

    /// Receives packets and sends each, after the delay, to the address that `route`
    /// returns. Runs until the socket fails.
    fn run(
        &mut self,
        from: &UdpSocket,
        to: &UdpSocket,
        clock: &Clock,
        mut route: impl FnMut(&[u8], SocketAddr) -> Option<SocketAddr>,
    ) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            // No timeout is needed while no packet is delayed.
            let wait = (!self.queue.is_empty()).then_some(TICK);
            if from.set_read_timeout(wait).is_err() {
                return;
            }
            if let Ok((len, peer)) = from.recv_from(&mut buffer)
                && let Some(destination) = route(&buffer[..len], peer)
            {
                self.queue.push_back((
                    clock.now() + self.delay,
                    destination,
                    buffer[..len].to_vec(),
                ));
            }
            while let Some((_, destination, packet)) =
                self.queue.pop_front_if(|(due, _, _)| *due <= clock.now())
            {
                // An earlier packet to a closed port makes a send fail; the packet
                // is lost, as in a real network.
                let _ = to.send_to(&packet, destination);
            }
        }
    }
}

/// Converts an address to IPv4, the only protocol of the stand-ins.
pub(crate) fn to_ipv4(addr: SocketAddr) -> io::Result<SocketAddrV4> {
    match addr {
        SocketAddr::V4(addr) => Ok(addr),
        SocketAddr::V6(_) => Err(io::ErrorKind::Unsupported.into()),
    }
}

/// Locks a mutex, also if a thread panicked while holding it. No holder leaves the
/// state half changed.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
