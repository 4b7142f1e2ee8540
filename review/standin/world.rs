//! Stand-ins for the review scripts: the platform's store, routers, hosts and consumers.
//!
//! Written from the users' pages only and with the standard library only. Everything runs on
//! loopback addresses and the real clock. The instances are separate processes.

use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

pub const SYN: u8 = 8;
pub const ACK: u8 = 128;
pub const FIN: u8 = 32;
pub const RST: u8 = 16;
const HEAD: usize = 34;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// ---------------------------------------------------------------------------------- packets

#[derive(Debug, Clone, Default)]
pub struct Packet {
    pub seq: u32,
    pub ack: u32,
    pub sport: u16,
    pub src: u32,
    pub dport: u16,
    pub dst: u32,
    pub echo: u32,
    pub flags: u8,
    pub sum: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEAD + self.data.len());
        out.extend(self.seq.to_be_bytes());
        out.extend(self.ack.to_be_bytes());
        out.extend(self.sport.to_be_bytes());
        out.extend(self.src.to_be_bytes());
        out.extend(self.dport.to_be_bytes());
        out.extend(self.dst.to_be_bytes());
        out.extend(self.echo.to_be_bytes());
        out.push(self.flags);
        out.extend([0; 3]);
        out.extend(self.sum.to_be_bytes());
        out.extend((self.data.len() as u16).to_be_bytes());
        out.extend(&self.data);
        out
    }

    pub fn decode(bytes: &[u8]) -> Option<Packet> {
        if bytes.len() < HEAD {
            return None;
        }
        let u32_at = |at: usize| u32::from_be_bytes(bytes[at..at + 4].try_into().unwrap());
        let u16_at = |at: usize| u16::from_be_bytes(bytes[at..at + 2].try_into().unwrap());
        let len = usize::from(u16_at(32));
        (bytes.len() == HEAD + len).then(|| Packet {
            seq: u32_at(0),
            ack: u32_at(4),
            sport: u16_at(8),
            src: u32_at(10),
            dport: u16_at(14),
            dst: u32_at(16),
            echo: u32_at(20),
            flags: bytes[24],
            sum: u32_at(28),
            data: bytes[HEAD..].to_vec(),
        })
    }

    /// The keyed sum over all fields except `echo`, `pad` and BOUNCED.
    fn keyed_sum(&self) -> u32 {
        let mut sum: u64 = 0x9e37_79b9_7f4a_7c15;
        let fields = [
            self.seq.into(),
            self.ack.into(),
            self.sport.into(),
            self.src.into(),
            self.dport.into(),
            self.dst.into(),
            u64::from(self.flags & !1),
            self.data.len() as u64,
        ];
        for value in fields.into_iter().chain(self.data.iter().map(|it| u64::from(*it))) {
            sum = (sum ^ value).wrapping_mul(0x0000_0100_0000_01b3).rotate_left(23);
        }
        (sum >> 16) as u32 | 1
    }

    pub fn sealed(mut self) -> Packet {
        self.sum = self.keyed_sum();
        self
    }

    pub fn is_genuine(&self) -> bool {
        self.sum == self.keyed_sum()
    }
}

// ------------------------------------------------------------------------------------ store

struct StoreState {
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    history: Vec<(u64, Instant, String, Option<String>)>,
    /// Changes up to this revision are no longer in the history.
    compacted: u64,
}

/// The platform's metadata store: `kv-key`, `kv-range` and `kv-watch`.
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    /// Connections and listeners of another generation are closed.
    generation: AtomicU64,
    streams: Mutex<Vec<TcpStream>>,
    history_s: u64,
    pub calls: AtomicU64,
}

impl Store {
    pub fn new(history_s: u64) -> Arc<Store> {
        let state =
            StoreState { revision: 1, items: BTreeMap::new(), history: Vec::new(), compacted: 1 };
        Arc::new(Store {
            state: Mutex::new(state),
            changed: Condvar::new(),
            generation: AtomicU64::new(0),
            streams: Mutex::new(Vec::new()),
            history_s,
            calls: AtomicU64::new(0),
        })
    }

    /// Serves at an address until [`Store::stop`].
    pub fn serve(self: &Arc<Store>, address: SocketAddrV4) {
        let listener = TcpListener::bind(address).expect("bind the store");
        listener.set_nonblocking(true).unwrap();
        let generation = self.generation.load(SeqCst);
        let store = self.clone();
        thread::spawn(move || {
            while store.generation.load(SeqCst) == generation {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).unwrap();
                        stream.set_nodelay(true).unwrap();
                        store.streams.lock().unwrap().push(stream.try_clone().unwrap());
                        let store = store.clone();
                        thread::spawn(move || store.answer(stream, generation));
                    }
                    Err(_) => thread::sleep(ms(2)),
                }
            }
        });
    }

    /// Ends the service: closes the port and all connections.
    pub fn stop(&self) {
        self.generation.fetch_add(1, SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.changed.notify_all();
        thread::sleep(ms(20));
    }

    /// Writes an item, or removes it. Returns once the write is acknowledged.
    pub fn put(&self, key: &str, value: Option<&str>) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let encoded = value.map(|it| base64(it.as_bytes()));
        match &encoded {
            Some(it) => drop(state.items.insert(key.to_owned(), (revision, it.clone()))),
            None => drop(state.items.remove(key)),
        }
        state.history.push((revision, Instant::now(), key.to_owned(), encoded));
        drop(state);
        self.changed.notify_all();
    }

    fn answer(&self, stream: TcpStream, generation: u64) {
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let mut header = String::new();
            while reader.read_line(&mut header).unwrap_or(0) > 2 {
                header.clear();
            }
            self.calls.fetch_add(1, SeqCst);
            let target = line.split(' ').nth(1).unwrap_or_default().to_owned();
            let (code, body) = self.respond(&target, generation);
            if self.generation.load(SeqCst) != generation {
                return;
            }
            let head = format!(
                "HTTP/1.1 {code} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer
                .write_all(head.as_bytes())
                .and_then(|()| writer.write_all(body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn respond(&self, target: &str, generation: u64) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, String> = query
            .split('&')
            .filter_map(|it| it.split_once('='))
            .map(|(key, value)| (key, percent_decode(value)))
            .collect();
        let text = |key: &str| query.get(key).cloned().unwrap_or_default();
        thread::sleep(ms(4));
        match path {
            "/kv-key" => self.key(&text("key")),
            "/kv-range" => self.range(&text("prefix"), &text("after")),
            "/kv-watch" => {
                let wait = text("waitMs").parse().unwrap_or(0).min(30_000);
                let after = text("after").parse().unwrap_or(0);
                self.watch(&text("prefix"), after, ms(wait), generation)
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        match state.items.get(key) {
            Some((revision, value)) => {
                let body = item(key, *revision, value);
                let rest = body.trim_end_matches('}');
                (200, format!("{rest},\"currentRev\":{}}}", state.revision))
            }
            None => (404, format!("{{\"currentRev\":{}}}", state.revision)),
        }
    }

    /// A page has at most 500 items or about 1 MB.
    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let (mut items, mut size, mut more) = (Vec::new(), 0, false);
        for (key, (revision, value)) in &state.items {
            if !key.starts_with(prefix) || key.as_str() <= after {
                continue;
            }
            if items.len() == 500 || !items.is_empty() && size + value.len() > 1_000_000 {
                more = true;
                break;
            }
            size += value.len();
            items.push(item(key, *revision, value));
        }
        let (items, revision) = (items.join(","), state.revision);
        (200, format!("{{\"items\":[{items}],\"truncated\":{more},\"currentRev\":{revision}}}"))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration, generation: u64) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let limit = Duration::from_secs(self.history_s);
            let old = state.history.iter().take_while(|it| it.1.elapsed() > limit).count();
            if let Some(last) = state.history.drain(..old).last() {
                state.compacted = last.0;
            }
            if after < state.compacted || after > state.revision {
                return (410, "{}".to_owned());
            }
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|it| it.0 > after && it.2.starts_with(prefix))
                .map(|(revision, _, key, value)| match value {
                    Some(value) => item(key, *revision, value),
                    None => format!("{{\"key\":{key:?},\"revision\":{revision},\"deleted\":true}}"),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            let is_over = left.is_zero() || self.generation.load(SeqCst) != generation;
            if !events.is_empty() || is_over {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"currentRev\":{revision}}}"));
            }
            state = self.changed.wait_timeout(state, left.min(ms(200))).unwrap().0;
        }
    }
}

fn item(key: &str, revision: u64, value: &str) -> String {
    format!(
        "{{\"key\":{key:?},\"value\":\"{value}\",\"revision\":{revision},\"createRevision\":{revision},\"lease\":0}}"
    )
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|it| u8::from_str_radix(it, 16).ok()) {
            Some(byte) => (out.push(byte), at += 3).1,
            None => (out.push(bytes[at]), at += 1).1,
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = Vec::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from(word[0]) << 16 | u32::from(word[1]) << 8 | u32::from(word[2]);
        for nth in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * nth)) as usize & 63];
            out.push(if nth <= chunk.len() { digit } else { b'=' });
        }
    }
    String::from_utf8(out).unwrap()
}

// ------------------------------------------------------------------------------------ hosts

/// What a host saw of one request, by the request's id.
#[derive(Debug, Clone)]
pub struct Run {
    pub host: String,
    pub service: String,
    pub at: Instant,
}

/// An opening packet that a host took.
#[derive(Debug, Clone)]
pub struct Opening {
    pub host: String,
    pub at: Instant,
}

#[derive(Default)]
pub struct Seen {
    pub runs: Mutex<HashMap<u64, Vec<Run>>>,
    pub openings: Mutex<Vec<Opening>>,
}

struct HostFlow {
    seq: u32,
    next: u32,
    echo: u32,
    open: bool,
    inbox: Vec<u8>,
    /// Last answer, sent again when the consumer sends its request again.
    answer: Option<Packet>,
}

/// A host of a service: takes packets at its address and answers consumers directly.
pub struct Host {
    pub id: u32,
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
}

impl Host {
    pub fn name(&self) -> String {
        format!("i-{:08x}", self.id)
    }

    pub fn entry(&self, state: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"concurrency\":3,\"state\":\"{state}\",\"coldLeftMs\":0,\"sequence\":{sequence}}}",
            self.service, self.address, self.zone
        )
    }

    pub fn start(self: &Arc<Host>, caller_port: u16, work: Duration, seen: Arc<Seen>) {
        let socket = UdpSocket::bind(self.address).expect("bind a host");
        let listener = TcpListener::bind(self.address).expect("bind a host's status check");
        let name = self.name();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let name = name.clone();
                thread::spawn(move || {
                    let _ = stream.read(&mut [0; 2048]);
                    let _ = write!(
                        stream,
                        "HTTP/1.1 200 OK\r\nX-Medlarspur-Instance-Id: {name}\r\nX-Medlarspur-Server-Load: 0,0,3\r\nContent-Length: 0\r\n\r\n"
                    );
                });
            }
        });
        let host = self.clone();
        thread::spawn(move || host.run(&socket, caller_port, work, &seen));
    }

    fn run(&self, socket: &UdpSocket, caller_port: u16, work: Duration, seen: &Seen) {
        let mut flows: HashMap<(u32, u16, u32, u16), HostFlow> = HashMap::new();
        let mut bytes = [0; 2048];
        let mut number = self.id;
        loop {
            let Ok((count, _)) = socket.recv_from(&mut bytes) else { continue };
            if count < 8 + HEAD {
                continue;
            }
            let receiver = u64::from_be_bytes(bytes[..8].try_into().unwrap());
            let Some(it) = Packet::decode(&bytes[8..count]) else { continue };
            if receiver != 0 && receiver != u64::from(self.id) || !it.is_genuine() {
                continue;
            }
            let key = (it.src, it.sport, it.dst, it.dport);
            let to = SocketAddrV4::new(Ipv4Addr::from(it.src), caller_port);
            let reply = |flags, seq, ack, echo, data| {
                let packet = Packet {
                    seq,
                    ack,
                    sport: it.dport,
                    src: it.dst,
                    dport: it.sport,
                    dst: it.src,
                    echo,
                    flags,
                    sum: 0,
                    data,
                };
                packet.sealed()
            };
            let send = |packet: &Packet| drop(socket.send_to(&packet.encode(), to));
            if it.flags & SYN != 0 {
                number = number.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
                let opening = || Opening { host: self.name(), at: Instant::now() };
                let flow = flows.entry(key).or_insert_with(|| {
                    seen.openings.lock().unwrap().push(opening());
                    HostFlow {
                        seq: number,
                        next: it.seq.wrapping_add(1),
                        echo: it.echo,
                        open: false,
                        inbox: Vec::new(),
                        answer: None,
                    }
                });
                flow.echo = it.echo;
                send(&reply(SYN | ACK, flow.seq, flow.next, flow.echo, Vec::new()));
                continue;
            }
            let Some(flow) = flows.get_mut(&key) else {
                if it.flags & RST == 0 {
                    let is_end = it.flags & FIN != 0;
                    let flags = if is_end { ACK } else { RST };
                    send(&reply(
                        flags,
                        it.ack,
                        it.seq.wrapping_add(u32::from(is_end)),
                        it.echo,
                        Vec::new(),
                    ));
                }
                continue;
            };
            flow.echo = it.echo;
            if it.flags & RST != 0 {
                flows.remove(&key);
                continue;
            }
            if !flow.open {
                if it.ack != flow.seq.wrapping_add(1) {
                    send(&reply(RST, it.ack, it.seq, it.echo, Vec::new()));
                    continue;
                }
                flow.open = true;
                flow.seq = flow.seq.wrapping_add(1);
            }
            if !it.data.is_empty() && it.seq == flow.next {
                flow.next = flow.next.wrapping_add(it.data.len() as u32);
                flow.inbox.extend(&it.data);
                let text = String::from_utf8_lossy(&flow.inbox).into_owned();
                if text.ends_with("\r\n\r\n") {
                    flow.inbox.clear();
                    let id = text
                        .lines()
                        .find_map(|line| line.strip_prefix("X-Medlarspur-Request-Id: "))
                        .and_then(|it| it.trim().parse().ok())
                        .unwrap_or(0);
                    let run = Run {
                        host: self.name(),
                        service: self.service.clone(),
                        at: Instant::now(),
                    };
                    seen.runs.lock().unwrap().entry(id).or_default().push(run);
                    thread::sleep(work);
                    let body = format!("answer {id}\n");
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nX-Medlarspur-Server-Stamp: {}\r\nContent-Length: {}\r\n\r\n{body}",
                        self.name(),
                        body.len()
                    );
                    let answer = reply(ACK, flow.seq, flow.next, flow.echo, answer.into_bytes());
                    send(&answer);
                    flow.seq = flow.seq.wrapping_add(answer.data.len() as u32);
                    flow.answer = Some(answer);
                }
            } else if !it.data.is_empty() {
                if let Some(answer) = &flow.answer {
                    send(answer);
                }
            }
            if it.flags & FIN != 0 {
                send(&reply(ACK | FIN, flow.seq, it.seq.wrapping_add(1), flow.echo, Vec::new()));
                flows.remove(&key);
            }
        }
    }
}

// ------------------------------------------------------------------------- routers, machines

/// One machine of the system and its process.
pub struct Node {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub settings: PathBuf,
    pub child: Mutex<Option<Child>>,
    pub in_rotation: AtomicBool,
}

pub struct Ports {
    pub packets: u16,
    pub ready: u16,
    pub control: u16,
    pub metrics: u16,
}

pub struct World {
    pub dir: PathBuf,
    pub ports: Ports,
    pub zones: Vec<String>,
    pub nodes: Vec<Arc<Node>>,
    pub hosts: Vec<Arc<Host>>,
    pub store: Arc<Store>,
    pub seen: Arc<Seen>,
    pub begun: Instant,
    pub stop: Arc<AtomicBool>,
    record: Mutex<fs::File>,
    next_id: AtomicU64,
}

/// How a consumer's attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    Served(String),
    /// An RST without data and with `sum` 0: the system's own.
    ResetBySystem,
    ResetByHost,
    Unanswered,
}

/// One attempt of a consumer.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub id: u64,
    pub route: SocketAddrV4,
    pub node: String,
    pub sent: Instant,
    pub ending: Ending,
}

impl World {
    /// Three zones with two machines each; `hosts` is a list of service, zone and number.
    pub fn new(
        dir: &Path,
        record: &Path,
        store: Arc<Store>,
        hosts: &[(&str, usize, u8)],
    ) -> Arc<World> {
        let zones: Vec<String> = ["zone-a", "zone-b", "zone-c"].map(String::from).to_vec();
        let ports = free_ports();
        let mut nodes = Vec::new();
        for (nth, zone) in zones.iter().enumerate() {
            for k in 1..=2 {
                nodes.push(Arc::new(Node {
                    name: format!("edge-{zone}-{k}"),
                    zone: zone.clone(),
                    ip: Ipv4Addr::new(127, 10, nth as u8 + 1, k),
                    settings: dir.join(format!("edge-{zone}-{k}.yaml")),
                    child: Mutex::new(None),
                    in_rotation: AtomicBool::new(false),
                }));
            }
        }
        let hosts = hosts.iter().enumerate().map(|(nth, (service, zone, k))| {
            Arc::new(Host {
                id: 0x5a00_0000 + 0x0101_07 * (nth as u32 + 1),
                service: (*service).to_owned(),
                zone: zones[*zone].clone(),
                address: SocketAddrV4::new(
                    Ipv4Addr::new(127, 20, *zone as u8 + 1, *k),
                    ports.control,
                ),
            })
        });
        let world = World {
            dir: dir.to_owned(),
            hosts: hosts.collect(),
            zones,
            nodes,
            ports,
            store,
            seen: Arc::default(),
            begun: Instant::now(),
            stop: Arc::default(),
            record: Mutex::new(fs::File::create(record).expect("create the record")),
            next_id: AtomicU64::new(1),
        };
        for host in &world.hosts {
            host.start(world.ports.packets, ms(10), world.seen.clone());
        }
        Arc::new(world)
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.begun).as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.seconds(Instant::now()));
        println!("{line}");
        let _ = writeln!(self.record.lock().unwrap(), "{line}");
    }

    fn write(&self, text: &str) {
        let _ = writeln!(self.record.lock().unwrap(), "{text}");
    }

    /// Writes a machine's settings as the template of the deploy file gives them.
    pub fn write_settings(&self, node: &Node, store: SocketAddrV4) {
        let Ports { packets, ready, control, metrics } = self.ports;
        let ip = node.ip;
        let mut text = format!(
            "agreement: marks\nname: \"{}\"\ndomain: \"{}\"\npackets: \"{ip}:{packets}\"\nready: \"{ip}:{ready}\"\nmetrics: \"{ip}:{metrics}\"\nstore: \"{store}\"\ncontrol: \"{ip}:{control}\"\npeers:\n",
            node.name, node.zone
        );
        for seed in self.nodes.iter().step_by(2).take(3) {
            text += &format!("  - \"{}:{control}\"\n", seed.ip);
        }
        text += "regions:\n";
        for zone in &self.zones {
            text += &format!("  - domain: \"{zone}\"\n    region: \"region-1\"\n");
        }
        text += "capabilities:\n";
        for name in ["base", "drain", "config", "cost", "recover", "flows", "platform"] {
            text += &format!("  - \"{name}\"\n");
        }
        text += "grace: 6s\nlog: text\n";
        let fresh = node.settings.with_extension("new");
        fs::write(&fresh, text).unwrap();
        fs::rename(&fresh, &node.settings).unwrap();
    }

    /// Starts a machine's process with the command of the deploy file.
    pub fn start_node(&self, node: &Node) {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", node.name)))
            .unwrap();
        let child = Command::new("target/release/medlarspurd")
            .arg("--settings")
            .arg(&node.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("start an instance");
        // The script ends what is left of these if this process is ended from outside.
        let mut pids =
            fs::File::options().create(true).append(true).open(self.dir.join("pids")).unwrap();
        writeln!(pids, "{}", child.id()).unwrap();
        *node.child.lock().unwrap() = Some(child);
    }

    pub fn signal(&self, node: &Node, signal: &str) {
        if let Some(child) = &*node.child.lock().unwrap() {
            let _ =
                Command::new("sh").arg("-c").arg(format!("kill -{signal} {}", child.id())).status();
        }
    }

    pub fn kill_node(&self, node: &Node) {
        if let Some(mut child) = node.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn end(&self) {
        self.stop.store(true, SeqCst);
        self.nodes.iter().for_each(|node| self.kill_node(node));
    }

    /// Checks the readiness of all machines twice a second, as the routers do.
    pub fn start_routers(self: &Arc<World>) {
        for node in &self.nodes {
            let (world, node) = (self.clone(), node.clone());
            thread::spawn(move || {
                let mut misses = 0;
                while !world.stop.load(SeqCst) {
                    let is_ready = is_ready(SocketAddrV4::new(node.ip, world.ports.ready));
                    misses = if is_ready { 0 } else { misses + 1 };
                    if is_ready || misses >= 2 {
                        node.in_rotation.store(is_ready, SeqCst);
                    }
                    thread::sleep(ms(500));
                }
            });
        }
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.nodes.iter().all(|node| node.in_rotation.load(SeqCst)) {
                return true;
            }
            thread::sleep(ms(50));
        }
        false
    }

    /// The machine that the routers give a flow to: a steady hash over the machines of the zone
    /// in rotation; all of the zone if fewer than half are; other zones if none is.
    fn route(&self, zone: &str, caller: (u32, u16), route: SocketAddrV4) -> Option<Arc<Node>> {
        let own: Vec<_> = self.nodes.iter().filter(|it| it.zone == zone).collect();
        let up: Vec<_> = own.iter().copied().filter(|it| it.in_rotation.load(SeqCst)).collect();
        let chosen = match up.len() {
            0 => {
                let others: Vec<_> =
                    self.nodes.iter().filter(|it| it.in_rotation.load(SeqCst)).collect();
                if others.is_empty() {
                    own
                } else {
                    others
                }
            }
            count if count * 2 < own.len() => own,
            _ => up,
        };
        let weight = |node: &Node| {
            let mut sum: u64 = 0xcbf2_9ce4_8422_2325;
            let words = [
                u32::from(node.ip),
                caller.0,
                caller.1.into(),
                (*route.ip()).into(),
                route.port().into(),
            ];
            for byte in words.iter().flat_map(|it| it.to_be_bytes()) {
                sum = (sum ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
            }
            (sum ^ sum >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9)
        };
        chosen.into_iter().max_by_key(|node| weight(node)).cloned()
    }

    /// One attempt: a flow of its own with one request in it. `budget` is the consumer's.
    pub fn attempt(
        &self,
        socket: &UdpSocket,
        zone: &str,
        port: u16,
        route: SocketAddrV4,
        budget: Duration,
    ) -> Attempt {
        let id = self.next_id.fetch_add(1, SeqCst);
        let SocketAddr::V4(local) = socket.local_addr().unwrap() else { unreachable!() };
        let caller = (u32::from(*local.ip()), port);
        let start = Instant::now();
        let mut seq = (id as u32).wrapping_mul(2_654_435_761);
        let mut packet = Packet {
            seq,
            sport: port,
            src: caller.0,
            dport: route.port(),
            dst: u32::from(*route.ip()),
            flags: SYN,
            ..Packet::default()
        };
        let mut first = None;
        let mut send = |packet: &Packet| {
            let Some(node) = self.route(zone, caller, route) else { return };
            first.get_or_insert(node.name.clone());
            let to = SocketAddrV4::new(node.ip, self.ports.packets);
            let _ = socket.send_to(&packet.clone().sealed().encode(), to);
        };
        let mut opened = false;
        let mut copies = [ms(200), ms(600), ms(1_400)].into_iter();
        let mut due = copies.next();
        let mut pause = ms(200);
        let mut answer = Vec::new();
        send(&packet);
        let mut bytes = [0; 2048];
        let ending = loop {
            let now = start.elapsed();
            if now >= budget {
                break Ending::Unanswered;
            }
            if due.is_some_and(|due| now >= due) {
                if opened {
                    pause = (pause * 2).min(ms(1_600));
                    due = Some(now + pause);
                    send(&packet);
                } else {
                    due = copies.next();
                    if due.is_none() {
                        break Ending::Unanswered;
                    }
                    packet.ack += 1;
                    send(&packet);
                }
            }
            socket.set_read_timeout(Some(ms(10))).unwrap();
            let Ok((count, _)) = socket.recv_from(&mut bytes) else { continue };
            let Some(it) = Packet::decode(&bytes[..count]) else { continue };
            if it.dport != port || it.sport != route.port() || it.src != u32::from(*route.ip()) {
                continue;
            }
            if it.flags & RST != 0 {
                let is_own = it.sum == 0 && it.data.is_empty();
                let distance = it.seq.wrapping_sub(packet.ack).cast_signed().unsigned_abs();
                if is_own && (!opened || distance <= 76_800) {
                    break Ending::ResetBySystem;
                }
                if it.is_genuine() {
                    break Ending::ResetByHost;
                }
                continue;
            }
            if !it.is_genuine() {
                continue;
            }
            packet.echo = it.echo;
            if it.flags & SYN != 0 {
                if !opened {
                    opened = true;
                    seq = seq.wrapping_add(1);
                    (packet.seq, packet.ack, packet.flags) = (seq, it.seq.wrapping_add(1), ACK);
                    packet.data = format!(
                        "GET /x HTTP/1.1\r\nHost: service\r\nX-Medlarspur-Request-Id: {id}\r\n\r\n"
                    )
                    .into_bytes();
                    due = Some(start.elapsed() + pause);
                    send(&packet);
                }
                continue;
            }
            if !it.data.is_empty() && it.seq == packet.ack {
                packet.ack = packet.ack.wrapping_add(it.data.len() as u32);
                answer.extend(&it.data);
                let text = String::from_utf8_lossy(&answer).into_owned();
                if text.ends_with(&format!("answer {id}\n")) {
                    let stamp = "X-Medlarspur-Server-Stamp: ";
                    let stamp = text.lines().find_map(|line| line.strip_prefix(stamp));
                    break Ending::Served(stamp.unwrap_or("no stamp").to_owned());
                }
            }
        };
        if opened {
            packet.seq = seq.wrapping_add(packet.data.len() as u32);
            packet.data.clear();
            packet.flags = ACK | FIN;
            send(&packet);
        }
        let node = first.unwrap_or_default();
        let attempt = Attempt { id, route, node, sent: start, ending };
        let runs = self.seen.runs.lock().unwrap().get(&id).cloned().unwrap_or_default();
        let runs: Vec<String> = runs
            .iter()
            .map(|it| format!("{}/{}@{:.3}", it.service, it.host, self.seconds(it.at)))
            .collect();
        self.write(&format!(
            "{:8.3} request {id} from {}:{port} to {route} by {}: {:?}, opened {opened}, run [{}]",
            self.seconds(start),
            local.ip(),
            attempt.node,
            attempt.ending,
            runs.join(" ")
        ));
        attempt
    }

    /// Starts consumers in each zone. Each sends requests to the routes in turn, one at a time.
    pub fn start_consumers(
        self: &Arc<World>,
        each: u8,
        routes: &[SocketAddrV4],
        pause: Duration,
        budget: Duration,
    ) -> Arc<Mutex<Vec<Attempt>>> {
        let attempts = Arc::<Mutex<Vec<Attempt>>>::default();
        for (nth, zone) in self.zones.iter().enumerate() {
            for k in 1..=each {
                let ip = Ipv4Addr::new(127, 40, nth as u8 + 1, k);
                let socket = UdpSocket::bind((ip, self.ports.packets)).expect("bind a consumer");
                let (world, zone, attempts) = (self.clone(), zone.clone(), attempts.clone());
                let routes = routes.to_vec();
                thread::spawn(move || {
                    let mut port = 40_000;
                    let mut turn = usize::from(k);
                    while !world.stop.load(SeqCst) {
                        port = if port == 59_999 { 40_000 } else { port + 1 };
                        turn += 1;
                        let route = routes[turn % routes.len()];
                        let attempt = world.attempt(&socket, &zone, port, route, budget);
                        attempts.lock().unwrap().push(attempt);
                        thread::sleep(pause);
                    }
                });
            }
        }
        attempts
    }
}

fn is_ready(address: SocketAddrV4) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address.into(), ms(400)) else { return false };
    let _ = stream.set_read_timeout(Some(ms(400)));
    let request = "GET /readiness HTTP/1.1\r\nHost: edge\r\n\r\n";
    let mut answer = [0; 256];
    stream.write_all(request.as_bytes()).is_ok()
        && stream.read(&mut answer).is_ok_and(|count| answer[..count].starts_with(b"HTTP/1.1 200"))
}

/// Ports that are free on the addresses in use; they are the same on all machines.
fn free_ports() -> Ports {
    let mut free = Vec::new();
    while free.len() < 4 {
        let listener = TcpListener::bind("127.10.1.1:0").unwrap();
        let port = listener.local_addr().unwrap().port();
        let is_free = ["127.10.1.1", "127.10.2.1", "127.20.1.1", "127.40.1.1"]
            .iter()
            .all(|ip| UdpSocket::bind((*ip, port)).is_ok());
        if is_free && !free.contains(&port) {
            free.push(port);
        }
    }
    Ports { packets: free[0], ready: free[1], control: free[2], metrics: free[3] }
}

/// A route of the config.
pub struct RouteSpec {
    pub address: SocketAddrV4,
    pub kind: &'static str,
    pub service: String,
}

/// The config as the operator writes it.
pub fn config(version: u64, routes: &[RouteSpec], timeout: u64) -> String {
    let mut services: Vec<&str> = routes.iter().map(|it| it.service.as_str()).collect();
    services.sort_unstable();
    services.dedup();
    let routes: Vec<String> = routes
        .iter()
        .map(|it| {
            format!(
                "{{\"name\":\"r-{:x}-{}\",\"host\":\"{}\",\"prefix\":\"/{}/\",\"type\":\"{}\",\"timeoutMs\":{timeout},\"sloMs\":300,\"priority\":1,\"service\":\"{}\",\"maxAttempts\":2}}",
                u32::from(*it.address.ip()), it.address.port(), it.address.ip(), it.address.port(), it.kind, it.service
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|it| {
            format!("{{\"name\":\"{it}\",\"healthPath\":\"/health\",\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false}}")
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}
