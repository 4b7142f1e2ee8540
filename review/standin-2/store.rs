//! The platform's metadata store: `/kv-range` and `/kv-watch` over HTTP, and writes by the
//! hosts and the operator, which are made here without HTTP.

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{Shutdown, SocketAddrV4, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

const PAGE: usize = 500;

struct Item {
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Key and value (none: removed) of each change, by revision.
    history: BTreeMap<u64, (String, Option<String>)>,
}

#[derive(Default)]
struct Shared {
    data: Mutex<Data>,
    changed: Condvar,
    /// Whether hosts and the operator reach the store.
    up: AtomicBool,
}

/// The content of the store, which stays when the store's address changes.
#[derive(Clone, Default)]
pub struct Store(Arc<Shared>);

/// The store's service at one address.
pub struct Service {
    stop: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    store: Store,
}

impl Store {
    /// Writes an item. Returns false if the store is down.
    pub fn put(&self, key: &str, value: &str) -> bool {
        if !self.0.up.load(SeqCst) {
            return false;
        }
        let mut data = self.0.data.lock().unwrap();
        data.revision += 1;
        let (revision, value) = (data.revision, base64(value.as_bytes()));
        let created = data.items.get(key).map_or(revision, |it| it.created);
        data.items.insert(key.to_owned(), Item { value: value.clone(), revision, created });
        data.history.insert(revision, (key.to_owned(), Some(value)));
        self.0.changed.notify_all();
        true
    }

    pub fn delete(&self, key: &str) -> bool {
        if !self.0.up.load(SeqCst) {
            return false;
        }
        let mut data = self.0.data.lock().unwrap();
        if data.items.remove(key).is_some() {
            data.revision += 1;
            let revision = data.revision;
            data.history.insert(revision, (key.to_owned(), None));
            self.0.changed.notify_all();
        }
        true
    }

    /// Serves at an address until the service is stopped.
    pub fn serve(&self, address: SocketAddrV4) -> Service {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        listener.set_nonblocking(true).unwrap();
        let stop = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(Mutex::new(Vec::new()));
        let service =
            Service { stop: stop.clone(), connections: connections.clone(), store: self.clone() };
        self.0.up.store(true, SeqCst);
        let store = self.clone();
        thread::spawn(move || {
            while !stop.load(SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        connections.lock().unwrap().push(stream.try_clone().unwrap());
                        let (store, stop) = (store.clone(), stop.clone());
                        thread::spawn(move || store.answer_all(stream, &stop));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        service
    }

    fn answer_all(&self, mut stream: TcpStream, stop: &AtomicBool) {
        let mut input = Vec::new();
        loop {
            let end = loop {
                if let Some(at) = input.windows(4).position(|it| it == b"\r\n\r\n") {
                    break at + 4;
                }
                let mut bytes = [0; 4096];
                match stream.read(&mut bytes) {
                    Ok(count) if count > 0 => input.extend_from_slice(&bytes[..count]),
                    _ => return,
                }
            };
            let head: Vec<u8> = input.drain(..end).collect();
            let head = String::from_utf8_lossy(&head).into_owned();
            let target = head.split(' ').nth(1).unwrap_or("").to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let query: BTreeMap<&str, String> = query
                .split('&')
                .filter_map(|it| it.split_once('='))
                .map(|(name, value)| (name, percent_decode(value)))
                .collect();
            let text = |name: &str| query.get(name).cloned().unwrap_or_default();
            thread::sleep(Duration::from_millis(4));
            let (status, body) = match path {
                "/kv-range" => ("200 OK", self.range(&text("prefix"), query.get("after"))),
                "/kv-watch" => {
                    let after = text("after").parse().unwrap_or(0);
                    let wait = text("waitMs").parse().unwrap_or(0);
                    ("200 OK", self.watch(&text("prefix"), after, wait, stop))
                }
                _ => ("404 Not Found", "{}".to_owned()),
            };
            if stop.load(SeqCst) {
                return;
            }
            let answer = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: Option<&String>) -> String {
        let data = self.0.data.lock().unwrap();
        let found = data.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && after.is_none_or(|after| key.as_str() > after.as_str())
        });
        let found: Vec<String> = found.take(PAGE + 1).map(|(key, it)| item(key, it)).collect();
        format!(
            "{{\"items\":[{}],\"truncated\":{},\"currentRev\":{}}}",
            found[..found.len().min(PAGE)].join(","),
            found.len() > PAGE,
            data.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: u64, stop: &AtomicBool) -> String {
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut data = self.0.data.lock().unwrap();
        loop {
            let events: Vec<String> = data
                .history
                .range(after + 1..)
                .filter(|(_, (key, _))| key.starts_with(prefix))
                .map(|(revision, (key, value))| match value {
                    Some(value) => item(
                        key,
                        &Item { value: value.clone(), revision: *revision, created: *revision },
                    ),
                    None => format!(
                        "{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"
                    ),
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || stop.load(SeqCst) {
                let (events, revision) = (events.join(","), data.revision);
                return format!("{{\"events\":[{events}],\"currentRev\":{revision}}}");
            }
            let left = left.min(Duration::from_millis(50));
            data = self.0.changed.wait_timeout(data, left).unwrap().0;
        }
    }
}

impl Service {
    /// Takes the store down: its port refuses connections, and open ones are closed.
    pub fn stop(self) {
        self.store.0.up.store(false, SeqCst);
        self.stop.store(true, SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        thread::sleep(Duration::from_millis(10));
    }
}

fn item(key: &str, it: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createRevision\":{},\"lease\":0}}",
        it.value, it.revision, it.created
    )
}

fn percent_decode(text: &str) -> String {
    let (mut out, bytes) = (Vec::new(), text.as_bytes());
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|it| u8::from_str_radix(it, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for nth in 0..4 {
            match nth <= chunk.len() {
                true => out.push(DIGITS[(word >> (18 - 6 * nth) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}
