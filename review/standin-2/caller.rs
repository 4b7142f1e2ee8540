//! Callers: flows over UDP, each with one request or with many and pauses between them.

use crate::{
    fleet::Fleet,
    host::name,
    packet::{ACK, FIN, Key, Origin, Packet, RST, SYN},
    record::Record,
};
use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    thread,
    time::Duration,
};

/// Time that an attempt to open a flow takes at most.
const OPENING_LIMIT_MS: u64 = 1_400;
/// Times of the copies of an opening packet.
const COPIES_MS: [u64; 2] = [200, 600];
/// Maximum distance of a reset's number from the last acknowledged one.
const RESET_WINDOW: u32 = 76_800;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered with a success by this host.
    Served(String),
    /// Reset before the flow was open.
    Refused,
    /// No answer to the opening.
    Unopened,
    /// The open flow was reset, by this host or, without one, by the system.
    Cut(Option<SocketAddrV4>),
    /// No answer to the request within its time budget.
    Late,
}

#[derive(Clone, Debug)]
pub struct Try {
    pub id: String,
    pub key: Key,
    /// When the caller sent the opening packet of the flow, and the request.
    pub opened_at: u64,
    pub sent_at: u64,
    pub outcome: Outcome,
}

struct Flow {
    opened_at: u64,
    open: bool,
    copies: usize,
    /// Own next number, and the next one expected of the host.
    seq: u32,
    expected: u32,
    echo: u32,
    /// Pauses before the further requests.
    pauses: Vec<u64>,
    next_at: Option<u64>,
    request: Option<Request>,
    /// Address of the host at which the flow opened.
    host: Option<SocketAddrV4>,
}

struct Request {
    id: String,
    packet: Packet,
    sent_at: u64,
    resend_at: u64,
    step: u64,
}

struct State {
    flows: HashMap<Key, Flow>,
    tries: Vec<Try>,
    last_port: u16,
    last_id: u64,
    seq: u32,
}

/// All callers of a zone, at one address.
#[derive(Clone)]
pub struct Callers {
    zone: String,
    ip: Ipv4Addr,
    budget_ms: u64,
    state: Arc<Mutex<State>>,
    fleet: Arc<Fleet>,
    record: Record,
}

impl Callers {
    pub fn start(
        nth: usize,
        zone: &str,
        budget_ms: u64,
        fleet: &Arc<Fleet>,
        record: &Record,
        stop: &Arc<AtomicBool>,
    ) -> Callers {
        let ip = Ipv4Addr::new(127, 20, 0, nth as u8 + 1);
        let socket = UdpSocket::bind((ip, fleet.ports.datagrams)).expect("the port is free");
        socket.set_read_timeout(Some(Duration::from_millis(2))).unwrap();
        let state = State {
            flows: HashMap::new(),
            tries: Vec::new(),
            last_port: 1_023,
            last_id: 0,
            seq: 0x2000_0000 + ((nth as u32) << 24),
        };
        let callers = Callers {
            zone: zone.to_owned(),
            ip,
            budget_ms,
            state: Arc::new(Mutex::new(state)),
            fleet: fleet.clone(),
            record: record.clone(),
        };
        let (this, stop) = (callers.clone(), stop.clone());
        thread::spawn(move || {
            let mut bytes = [0; 2048];
            while !stop.load(SeqCst) {
                if let Ok((count, from)) = socket.recv_from(&mut bytes) {
                    let std::net::SocketAddr::V4(from) = from else { continue };
                    this.receive(&bytes[..count], from);
                }
                this.tick();
            }
        });
        callers
    }

    /// Opens a flow and sends a request on it, and one more after each of the pauses.
    pub fn open(&self, route: SocketAddrV4, pauses: &[u64]) -> Key {
        let now = self.record.now();
        let mut state = self.state.lock().unwrap();
        state.last_port = if state.last_port == u16::MAX { 1_024 } else { state.last_port + 1 };
        state.seq = state.seq.wrapping_add(0x0002_0000);
        let key =
            Key { src: self.ip, sport: state.last_port, dst: *route.ip(), dport: route.port() };
        let seq = state.seq;
        let flow = Flow {
            opened_at: now,
            open: false,
            copies: 0,
            seq: seq.wrapping_add(1),
            expected: 0,
            echo: 0,
            pauses: pauses.to_vec(),
            next_at: None,
            request: None,
            host: None,
        };
        state.flows.insert(key, flow);
        drop(state);
        self.record.line(&format!("caller opens {}", name(key)));
        self.send(&opening(key, seq, 0));
        key
    }

    fn send(&self, packet: &Packet) {
        self.fleet.route(&self.zone, packet.key, &packet.encode());
    }

    pub fn tries(&self) -> Vec<Try> {
        self.state.lock().unwrap().tries.clone()
    }

    fn receive(&self, bytes: &[u8], from: SocketAddrV4) {
        let Some((packet, origin)) = Packet::decode(bytes) else { return };
        let key = packet.key.reversed();
        if origin == Origin::Forged {
            return self.record.line(&format!("FORGED packet to the caller of {}", name(key)));
        }
        let mut state = self.state.lock().unwrap();
        let Some(flow) = state.flows.get_mut(&key) else { return };
        if packet.flags & RST != 0 {
            let is_near = |a: u32, b: u32| a.wrapping_sub(b).min(b.wrapping_sub(a)) <= RESET_WINDOW;
            if origin == Origin::System && flow.open && !is_near(packet.seq, flow.expected) {
                return;
            }
            let by = (origin == Origin::End).then_some(from);
            let outcome = if flow.open { Outcome::Cut(by) } else { Outcome::Refused };
            return self.finish(&mut state, key, outcome);
        }
        // "The consumer and the host each place in their own packets the last `echo` that they
        // received on a flow."
        flow.echo = packet.echo;
        if packet.flags & SYN != 0 {
            let expected = packet.seq.wrapping_add(1);
            if !flow.open {
                (flow.open, flow.expected, flow.host) = (true, expected, Some(from));
                self.record.line(&format!("caller has {} open at {from}", name(key)));
                self.ask(&mut state, key);
            } else if flow.host == Some(from) {
                let reply = acknowledgement(key, flow);
                self.send(&reply);
            } else {
                self.record.line(&format!("caller of {} gets a SYN+ACK of {from} too", name(key)));
            }
            return;
        }
        if packet.data.is_empty() || packet.seq != flow.expected {
            if !packet.data.is_empty() {
                let reply = acknowledgement(key, flow);
                self.send(&reply);
            }
            return;
        }
        flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
        let text = String::from_utf8_lossy(&packet.data).into_owned();
        let stamp = text.lines().find_map(|it| it.strip_prefix("X-Medlarspur-Server-Stamp: "));
        let is_over = packet.flags & FIN != 0 || flow.pauses.is_empty();
        let reply = acknowledgement(key, flow);
        let reply = Packet { flags: if is_over { ACK | FIN } else { ACK }, ..reply };
        self.send(&reply);
        let outcome = match stamp {
            Some(stamp) if text.starts_with("HTTP/1.1 200") => Outcome::Served(stamp.to_owned()),
            _ => Outcome::Refused,
        };
        if is_over {
            return self.finish(&mut state, key, outcome);
        }
        let now = self.record.now();
        let flow = state.flows.get_mut(&key).unwrap();
        flow.next_at = Some(now + flow.pauses.remove(0));
        self.end_request(&mut state, key, outcome);
    }

    fn ask(&self, state: &mut State, key: Key) {
        let now = self.record.now();
        state.last_id += 1;
        let id = format!("{}-{}", self.zone, state.last_id);
        let flow = state.flows.get_mut(&key).unwrap();
        let text = format!(
            "POST / HTTP/1.1\r\nHost: site\r\nX-Medlarspur-Request-Id: {id}\r\n\
             Content-Length: 0\r\n\r\n"
        );
        let packet = Packet { data: text.into_bytes(), ..acknowledgement(key, flow) };
        flow.seq = flow.seq.wrapping_add(packet.data.len() as u32);
        let node = &self.fleet.select(&self.zone, key).name;
        self.record.line(&format!("caller sends {id} on {} through {node}", name(key)));
        self.send(&packet);
        let request = Request { id, packet, sent_at: now, resend_at: now + 200, step: 200 };
        flow.request = Some(request);
        flow.next_at = None;
    }

    fn end_request(&self, state: &mut State, key: Key, outcome: Outcome) {
        let Some(flow) = state.flows.get_mut(&key) else { return };
        let request = flow.request.take();
        let (id, sent_at) = match request {
            Some(it) => (it.id, it.sent_at),
            None => ("unsent".to_owned(), flow.opened_at),
        };
        let opened_at = flow.opened_at;
        self.record.line(&format!("request {id} on {}: {outcome:?}", name(key)));
        state.tries.push(Try { id, key, opened_at, sent_at, outcome });
    }

    fn finish(&self, state: &mut State, key: Key, outcome: Outcome) {
        self.end_request(state, key, outcome);
        state.flows.remove(&key);
    }

    fn tick(&self) {
        let now = self.record.now();
        let mut state = self.state.lock().unwrap();
        let keys: Vec<Key> = state.flows.keys().copied().collect();
        for key in keys {
            let flow = state.flows.get_mut(&key).unwrap();
            if !flow.open {
                if now >= flow.opened_at + OPENING_LIMIT_MS {
                    self.finish(&mut state, key, Outcome::Unopened);
                } else if flow.copies < 2 && now >= flow.opened_at + COPIES_MS[flow.copies] {
                    flow.copies += 1;
                    let copy = opening(key, flow.seq.wrapping_sub(1), flow.copies as u32);
                    self.send(&copy);
                }
                continue;
            }
            if flow.next_at.is_some_and(|at| at <= now) {
                self.ask(&mut state, key);
                continue;
            }
            let echo = flow.echo;
            let Some(request) = &mut flow.request else { continue };
            if now >= request.sent_at + self.budget_ms {
                self.finish(&mut state, key, Outcome::Late);
            } else if now >= request.resend_at {
                request.step = (request.step * 2).min(1_600);
                request.resend_at = now + request.step;
                request.packet.echo = echo;
                let packet = request.packet.clone();
                self.send(&packet);
            }
        }
    }
}

fn opening(key: Key, seq: u32, copies: u32) -> Packet {
    Packet { key, seq, ack: copies, echo: 0, flags: SYN, data: Vec::new() }
}

fn acknowledgement(key: Key, flow: &Flow) -> Packet {
    let Flow { seq, expected, echo, .. } = *flow;
    Packet { key, seq, ack: expected, echo, flags: ACK, data: Vec::new() }
}
