//! The instances as processes, and the routers in front of them.

use crate::{packet::Key, record::Record};
use std::{
    fs::{self, File},
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddrV4, TcpStream, UdpSocket},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering::SeqCst},
    },
    thread,
    time::Duration,
};

const CONTINUE: i32 = 18;
const STOP: i32 = 19;

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PARENT_DEATH_SIGNAL: i32 = 1;
const KILL: u64 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, signal: u64, a: u64, b: u64, c: u64) -> i32;
}

#[derive(Clone, Copy)]
pub struct Ports {
    pub datagrams: u16,
    pub ready: u16,
    pub control: u16,
    pub metrics: u16,
}

pub struct Node {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    child: Mutex<Child>,
    pub in_rotation: AtomicBool,
    misses: AtomicU32,
}

pub struct Fleet {
    pub nodes: Vec<Arc<Node>>,
    pub ports: Ports,
    folder: PathBuf,
    zones: Vec<String>,
    stopped: Arc<AtomicBool>,
    socket: UdpSocket,
    record: Record,
}

impl Fleet {
    /// Starts `per_zone` instances in each zone, all at once.
    pub fn start(
        zones: &[&str],
        per_zone: usize,
        ports: Ports,
        store: SocketAddrV4,
        seeds: &dyn Fn(&[Ipv4Addr]) -> Vec<SocketAddrV4>,
        folder: PathBuf,
        record: &Record,
    ) -> Fleet {
        let addresses = node_addresses(zones.len() * per_zone);
        let seeds = seeds(&addresses);
        let stopped = Arc::<AtomicBool>::default();
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let mut fleet = Fleet {
            nodes: Vec::new(),
            ports,
            folder,
            zones: zones.iter().map(|it| (*it).to_owned()).collect(),
            stopped,
            socket,
            record: record.clone(),
        };
        for (nth, ip) in addresses.into_iter().enumerate() {
            let zone = zones[nth / per_zone].to_owned();
            let name = format!("edge-{zone}-{}", nth % per_zone + 1);
            let settings = fleet.folder.join(format!("{name}.yaml"));
            fleet.write_settings(&name, &zone, ip, &settings, store, &seeds);
            let child = start_process(&fleet.folder, &name, &settings);
            record.line(&format!("instance {name} starts at {ip}"));
            fleet.nodes.push(Arc::new(Node {
                name,
                zone,
                ip,
                settings,
                child: Mutex::new(child),
                in_rotation: AtomicBool::new(false),
                misses: AtomicU32::new(2),
            }));
        }
        for node in fleet.nodes.clone() {
            let (stopped, record) = (fleet.stopped.clone(), record.clone());
            let address = SocketAddrV4::new(node.ip, ports.ready);
            thread::spawn(move || watch_readiness(&node, address, &stopped, &record));
        }
        fleet
    }

    /// Writes the settings of an instance, as the platform fills in `deploy/settings.yaml`.
    fn write_settings(
        &self,
        name: &str,
        zone: &str,
        ip: Ipv4Addr,
        path: &PathBuf,
        store: SocketAddrV4,
        seeds: &[SocketAddrV4],
    ) {
        let Ports { datagrams, ready, control, metrics } = self.ports;
        let mut text = format!(
            "agreement: marks\nname: \"{name}\"\ndomain: \"{zone}\"\npackets: \"{ip}:{datagrams}\"\n\
             ready: \"{ip}:{ready}\"\nmetrics: \"{ip}:{metrics}\"\nstore: \"{store}\"\n\
             control: \"{ip}:{control}\"\npeers:\n"
        );
        seeds.iter().for_each(|it| text += &format!("  - \"{it}\"\n"));
        text += "regions:\n";
        for zone in &self.zones {
            text += &format!("  - domain: \"{zone}\"\n    region: \"sofia\"\n");
        }
        text += "capabilities:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  \
                 - \"recover\"\n  - \"flows\"\n  - \"places\"\n  - \"platform\"\n\
                 grace: 6s\nlog: text\n";
        let fresh = path.with_extension("new");
        fs::write(&fresh, text).unwrap();
        fs::rename(&fresh, path).unwrap();
    }

    /// Replaces the settings files of all instances, without a signal.
    pub fn change_settings(&self, store: SocketAddrV4, seeds: &[SocketAddrV4]) {
        for node in &self.nodes {
            let Node { name, zone, ip, settings, .. } = &**node;
            self.write_settings(name, zone, *ip, settings, store, seeds);
        }
    }

    /// The instance that the routers select for a flow: rendezvous hashing over the nodes of
    /// the zone that are in rotation, or over all if fewer than half are.
    pub fn select(&self, zone: &str, key: Key) -> &Arc<Node> {
        let all: Vec<&Arc<Node>> = self.nodes.iter().filter(|it| it.zone == zone).collect();
        let ready: Vec<&Arc<Node>> =
            all.iter().copied().filter(|it| it.in_rotation.load(SeqCst)).collect();
        let used = if ready.len() * 2 < all.len() { all } else { ready };
        used.into_iter().max_by_key(|it| weight(it.ip, key)).unwrap()
    }

    /// Forwards a caller's packet to an instance of its zone.
    pub fn route(&self, zone: &str, key: Key, bytes: &[u8]) {
        let to = SocketAddrV4::new(self.select(zone, key).ip, self.ports.datagrams);
        let _ = self.socket.send_to(bytes, to);
    }

    pub fn are_ready(&self) -> bool {
        self.nodes.iter().all(|it| it.in_rotation.load(SeqCst))
    }

    pub fn control_addresses(&self) -> Vec<SocketAddrV4> {
        let nodes = self.nodes.iter();
        nodes.map(|it| SocketAddrV4::new(it.ip, self.ports.control)).collect()
    }

    /// Names of the instances that have ended.
    pub fn ended(&self) -> Vec<String> {
        let is_over = |it: &&Arc<Node>| it.child.lock().unwrap().try_wait().unwrap().is_some();
        self.nodes.iter().filter(is_over).map(|it| it.name.clone()).collect()
    }

    /// Ends all instances and removes their settings and logs.
    pub fn end(&self) {
        self.stopped.store(true, SeqCst);
        for node in &self.nodes {
            let mut child = node.child.lock().unwrap();
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }

    /// Kills all instances at the same moment.
    pub fn kill_all(&self) {
        self.record.say("all instances are killed");
        for node in &self.nodes {
            let _ = node.child.lock().unwrap().kill();
        }
        for node in &self.nodes {
            let _ = node.child.lock().unwrap().wait();
        }
    }

    /// Starts all instances again, with the settings in effect now.
    pub fn restart_all(&self) {
        self.record.say("all instances are started again");
        for node in &self.nodes {
            let child = start_process(&self.folder, &node.name, &node.settings);
            *node.child.lock().unwrap() = child;
        }
    }

    pub fn freeze(&self, node: &Node) {
        self.record.say(&format!("instance {} is frozen", node.name));
        node.signal(STOP);
    }

    pub fn wake(&self, node: &Node) {
        self.record.say(&format!("instance {} wakes", node.name));
        node.signal(CONTINUE);
    }
}

/// Starts an instance as the deploy file says, with its own settings file.
fn start_process(folder: &Path, name: &str, settings: &Path) -> Child {
    let log = folder.join(format!("{name}.log"));
    let log = File::options().create(true).append(true).open(log).unwrap();
    let mut command = Command::new("target/release/medlarspurd");
    command.arg("--settings").arg(settings).stdin(Stdio::null());
    command.stdout(log.try_clone().unwrap()).stderr(log);
    // An instance ends with this process, however this process ends.
    unsafe {
        command.pre_exec(|| {
            prctl(PARENT_DEATH_SIGNAL, KILL, 0, 0, 0);
            Ok(())
        });
    }
    command.spawn().expect("target/release/medlarspurd is built")
}

impl Node {
    fn signal(&self, signal: i32) {
        let id = self.child.lock().unwrap().id() as i32;
        unsafe { kill(id, signal) };
    }
}


fn node_addresses(count: usize) -> Vec<Ipv4Addr> {
    (0..count).map(|nth| Ipv4Addr::new(127, 10, 0, nth as u8 + 1)).collect()
}

fn weight(ip: Ipv4Addr, key: Key) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    let parts = [
        u32::from(ip),
        u32::from(key.src),
        u32::from(key.dst),
        u32::from(key.sport) << 16 | u32::from(key.dport),
    ];
    for part in parts {
        hash = (hash ^ u64::from(part)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        hash ^= hash >> 29;
    }
    hash.wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ hash >> 32
}

/// Asks twice a second. After two misses the node is out of rotation until it answers 200.
fn watch_readiness(node: &Node, address: SocketAddrV4, stopped: &AtomicBool, record: &Record) {
    while !stopped.load(SeqCst) {
        let is_ready = ask_readiness(address).unwrap_or(false);
        if is_ready {
            node.misses.store(0, SeqCst);
            if !node.in_rotation.swap(true, SeqCst) {
                record.line(&format!("instance {} is in rotation", node.name));
            }
        } else if node.misses.fetch_add(1, SeqCst) + 1 >= 2
            && node.in_rotation.swap(false, SeqCst)
        {
            record.line(&format!("instance {} is out of rotation", node.name));
        }
        thread::sleep(Duration::from_millis(if is_ready { 500 } else { 200 }));
    }
}

fn ask_readiness(address: SocketAddrV4) -> std::io::Result<bool> {
    let limit = Duration::from_millis(300);
    let mut stream = TcpStream::connect_timeout(&address.into(), limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: node\r\n\r\n")?;
    let mut bytes = [0; 512];
    let count = stream.read(&mut bytes)?;
    Ok(bytes[..count].starts_with(b"HTTP/1.1 200"))
}
