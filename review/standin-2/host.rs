//! A host: flows over UDP in the form `echo`, the health endpoint over TCP, and the host's
//! entry in the store.

use crate::{
    packet::{ACK, FIN, Key, Origin, Packet, RST, SYN},
    record::Record,
    store::Store,
};
use std::{
    collections::{HashMap, VecDeque},
    io::{Read, Write},
    net::{SocketAddr, SocketAddrV4, TcpListener, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::SeqCst},
    },
    thread,
    time::Duration,
};

const BEAT_MS: u64 = 770;
const QUEUE: usize = 8;
const MAX_RESENDS: u32 = 8;
static NEXT_SEQ: AtomicU32 = AtomicU32::new(0x1000_0000);

#[derive(Clone, Debug)]
pub struct Spec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
    pub slots: usize,
    pub work_ms: u64,
    /// Duration of the slow start.
    pub cold_ms: u64,
}

/// A request that a host began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub host: String,
    /// Arrival of the flow's opening packet.
    pub opened_at: u64,
}

#[derive(Default)]
struct Control {
    stop: AtomicBool,
    /// End of the slow start.
    cold_until: AtomicU64,
}

pub struct Host {
    pub spec: Spec,
    pub started: u64,
    control: Arc<Control>,
    store: Store,
}

struct Flow {
    opened_at: u64,
    seq: u32,
    open: bool,
    ended: bool,
    /// Next number that the caller sends.
    expected: u32,
    echo: u32,
    /// The last packet sent, until it is acknowledged.
    unacked: Option<Packet>,
    resend_at: u64,
    resends: u32,
}

impl Host {
    pub fn start(spec: Spec, store: &Store, record: &Record, runs: &Arc<Mutex<Vec<Run>>>) -> Host {
        let control = Arc::<Control>::default();
        let socket = UdpSocket::bind(spec.address).expect("a host's address is free");
        socket.set_read_timeout(Some(Duration::from_millis(2))).unwrap();
        let listener = TcpListener::bind(spec.address).expect("a host's address is free");
        listener.set_nonblocking(true).unwrap();
        let started = record.now();
        control.cold_until.store(started + spec.cold_ms, SeqCst);
        record.line(&format!("host {} of {} starts at {}", spec.id, spec.service, spec.address));
        let (id, stop) = (spec.id.clone(), control.clone());
        thread::spawn(move || serve_health(&listener, &id, &stop));
        let worker = Worker {
            spec: spec.clone(),
            control: control.clone(),
            socket,
            record: record.clone(),
            runs: runs.clone(),
            flows: HashMap::new(),
            queue: VecDeque::new(),
            running: Vec::new(),
        };
        thread::spawn(move || worker.run());
        let (beat_spec, beat_control) = (spec.clone(), control.clone());
        let (beat_store, beat_record) = (store.clone(), record.clone());
        thread::spawn(move || beat(&beat_spec, &beat_control, &beat_store, &beat_record));
        Host { spec, started, control, store: store.clone() }
    }

    /// Makes the host cold. Its entry says so from its next beat on.
    pub fn turn_cold(&self, until: u64) {
        self.control.cold_until.store(until, SeqCst);
    }

    /// Ends the host without a word; its entry stays until it is removed.
    pub fn crash(&self) {
        self.control.stop.store(true, SeqCst);
    }

    pub fn remove_entry(&self) {
        self.store.delete(&entry_key(&self.spec));
    }
}

fn entry_key(spec: &Spec) -> String {
    format!("servers/{}", spec.id)
}

fn entry(spec: &Spec, cold: u64, sequence: u64) -> String {
    format!(
        "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
         \"concurrency\":{},\"state\":\"ready\",\"coldLeftMs\":{cold},\"sequence\":{sequence}}}",
        spec.service, spec.address, spec.zone, spec.slots
    )
}

/// Writes the entry when more than its sequence has changed.
fn beat(spec: &Spec, control: &Control, store: &Store, record: &Record) {
    let (mut sequence, mut written) = (0, None);
    while !control.stop.load(SeqCst) {
        let cold = control.cold_until.load(SeqCst).saturating_sub(record.now());
        if written != Some(cold) {
            sequence += 1;
            store.put(&entry_key(spec), &entry(spec, cold, sequence));
            written = Some(cold);
        }
        thread::sleep(Duration::from_millis(BEAT_MS));
    }
}

fn serve_health(listener: &TcpListener, id: &str, control: &Control) {
    while !control.stop.load(SeqCst) {
        let Ok((mut stream, _)) = listener.accept() else {
            thread::sleep(Duration::from_millis(2));
            continue;
        };
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let _ = stream.read(&mut [0; 2048]);
        let _ = stream.write_all(
            format!(
                "HTTP/1.1 200 OK\r\nX-Medlarspur-Instance-Id: {id}\r\nContent-Length: 0\r\n\
                 Connection: close\r\n\r\n"
            )
            .as_bytes(),
        );
    }
}

struct Worker {
    spec: Spec,
    control: Arc<Control>,
    socket: UdpSocket,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
    flows: HashMap<Key, Flow>,
    queue: VecDeque<(Key, String)>,
    running: Vec<(u64, Key, String)>,
}

impl Worker {
    fn run(mut self) {
        let mut bytes = [0; 2048];
        while !self.control.stop.load(SeqCst) {
            while let Ok((count, from)) = self.socket.recv_from(&mut bytes) {
                self.receive(&bytes[..count], from);
                self.tick();
            }
            self.tick();
        }
    }

    /// The hex digits of the id, as a number.
    fn number(&self) -> u64 {
        let digits = self.spec.id.chars().filter_map(|it| it.to_digit(16));
        digits.fold(0, |number, digit| number << 4 | u64::from(digit))
    }

    fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        if bytes.len() < 8 {
            return;
        }
        let receiver = u64::from_be_bytes(bytes[..8].try_into().unwrap());
        if receiver != 0 && receiver != self.number() {
            return;
        }
        let Some((packet, origin)) = Packet::decode(&bytes[8..]) else { return };
        if origin != Origin::End {
            let (id, key) = (&self.spec.id, packet.key);
            return self.record.line(&format!("FORGED packet at {id} of {key:?} from {from}"));
        }
        let key = packet.key;
        if packet.flags & SYN != 0 {
            return self.open(&packet);
        }
        let now = self.record.now();
        let Some(flow) = self.flows.get_mut(&key) else {
            if packet.flags & RST == 0 {
                self.reset(&packet, "no such flow");
            }
            return;
        };
        flow.echo = packet.echo;
        if packet.flags & RST != 0 {
            self.flows.remove(&key);
            return;
        }
        if !flow.open {
            if packet.ack != flow.seq {
                return self.reset(&packet, "not open here");
            }
            flow.open = true;
            flow.unacked = None;
        }
        if flow.unacked.as_ref().is_some_and(|it| packet.ack == end(it)) {
            flow.unacked = None;
        }
        if flow.ended {
            if packet.flags & FIN == 0 && !packet.data.is_empty() {
                return self.reset(&packet, "the flow has ended");
            }
            return;
        }
        if !packet.data.is_empty() && packet.seq == flow.expected {
            flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
            let text = String::from_utf8_lossy(&packet.data).into_owned();
            let id = text.lines().find_map(|it| it.strip_prefix("X-Medlarspur-Request-Id: "));
            let id = id.unwrap_or("none").to_owned();
            if self.queue.len() < QUEUE + self.spec.slots * 4 {
                self.queue.push_back((key, id));
            } else {
                self.answer(key, &id, "503 Service Unavailable", "X-Medlarspur-Not-Executed: 1");
            }
        } else if let Some(last) = flow.unacked.clone().filter(|_| !packet.data.is_empty()) {
            flow.resend_at = now + 200;
            self.send(&last);
        }
        if packet.flags & FIN != 0 {
            let Some(flow) = self.flows.get_mut(&key) else { return };
            flow.ended = true;
            flow.unacked = None;
            let reply = Packet {
                key: key.reversed(),
                seq: flow.seq,
                ack: flow.expected.wrapping_add(1),
                echo: flow.echo,
                flags: ACK | FIN,
                data: Vec::new(),
            };
            self.send(&reply);
        }
    }

    fn open(&mut self, packet: &Packet) {
        let now = self.record.now();
        let key = packet.key;
        if !self.flows.contains_key(&key) {
            let seq = NEXT_SEQ.fetch_add(0x0010_0000, SeqCst);
            let flow = Flow {
                opened_at: now,
                seq: seq.wrapping_add(1),
                open: false,
                ended: false,
                expected: packet.seq.wrapping_add(1),
                echo: packet.echo,
                unacked: None,
                resend_at: 0,
                resends: 0,
            };
            self.flows.insert(key, flow);
            self.record.line(&format!("host {} takes the opening of {}", self.spec.id, name(key)));
        }
        let Some(flow) = self.flows.get_mut(&key) else { return };
        if flow.open {
            return;
        }
        flow.echo = packet.echo;
        let reply = Packet {
            key: key.reversed(),
            seq: flow.seq.wrapping_sub(1),
            ack: flow.expected,
            echo: flow.echo,
            flags: SYN | ACK,
            data: Vec::new(),
        };
        flow.unacked = Some(reply.clone());
        (flow.resend_at, flow.resends) = (now + 200, 0);
        self.send(&reply);
    }

    fn tick(&mut self) {
        let now = self.record.now();
        let done: Vec<(u64, Key, String)> =
            self.running.iter().filter(|it| it.0 <= now).cloned().collect();
        self.running.retain(|it| it.0 > now);
        for (_, key, id) in done {
            let stamp = format!("X-Medlarspur-Server-Stamp: {}", self.spec.id);
            self.answer(key, &id, "200 OK", &stamp);
        }
        while self.running.len() < self.spec.slots {
            let Some((key, id)) = self.queue.pop_front() else { break };
            let Some(flow) = self.flows.get(&key) else { continue };
            let run = Run {
                id: id.clone(),
                host: self.spec.id.clone(),
                opened_at: flow.opened_at,
            };
            self.record.line(&format!("host {} runs {id} of {}", self.spec.id, name(key)));
            self.runs.lock().unwrap().push(run);
            self.running.push((now + self.spec.work_ms, key, id));
        }
        let mut due = Vec::new();
        for flow in self.flows.values_mut().filter(|it| it.unacked.is_some()) {
            if flow.resend_at > now {
                continue;
            }
            flow.resends += 1;
            if flow.resends > MAX_RESENDS {
                flow.unacked = None;
                continue;
            }
            flow.resend_at = now + (200 << flow.resends).min(1_600);
            due.extend(flow.unacked.clone());
        }
        due.iter().for_each(|it| self.send(it));
    }

    fn answer(&mut self, key: Key, id: &str, status: &str, header: &str) {
        let now = self.record.now();
        let Some(flow) = self.flows.get_mut(&key) else { return };
        let body = format!("{id} at {}", self.spec.id);
        let text = format!(
            "HTTP/1.1 {status}\r\n{header}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let reply = Packet {
            key: key.reversed(),
            seq: flow.seq,
            ack: flow.expected,
            echo: flow.echo,
            flags: ACK,
            data: text.into_bytes(),
        };
        flow.seq = flow.seq.wrapping_add(reply.data.len() as u32);
        flow.unacked = Some(reply.clone());
        (flow.resend_at, flow.resends) = (now + 200, 0);
        self.send(&reply);
    }

    fn reset(&mut self, packet: &Packet, reason: &str) {
        let key = packet.key;
        self.record.line(&format!("host {} resets {}: {reason}", self.spec.id, name(key)));
        let reply = Packet {
            key: key.reversed(),
            seq: packet.ack,
            ack: 0,
            echo: packet.echo,
            flags: RST,
            data: Vec::new(),
        };
        self.send(&reply);
    }

    /// Sends a packet directly to the caller, at the port number of `datagrams`.
    fn send(&self, packet: &Packet) {
        let to = SocketAddrV4::new(packet.key.dst, crate::caller_port());
        let _ = self.socket.send_to(&packet.encode(), to);
    }
}

fn end(packet: &Packet) -> u32 {
    packet.seq.wrapping_add(packet.data.len() as u32)
}

pub fn name(key: Key) -> String {
    format!("{}:{}>{}:{}", key.src, key.sport, key.dst, key.dport)
}
