//! The platform's metadata store: `/kv-range` and `/kv-watch` over HTTP, and writes by the
//! hosts and the operator, which are made here without HTTP.

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{SocketAddrV4, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
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
}

#[derive(Clone, Default)]
pub struct Store(Arc<Shared>);

impl Store {
    /// Writes an item. The return is the store's acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let mut data = self.0.data.lock().unwrap();
        data.revision += 1;
        let (revision, value) = (data.revision, base64(value.as_bytes()));
        let created = data.items.get(key).map_or(revision, |it| it.created);
        data.items.insert(key.to_owned(), Item { value: value.clone(), revision, created });
        data.history.insert(revision, (key.to_owned(), Some(value)));
        self.0.changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut data = self.0.data.lock().unwrap();
        if data.items.remove(key).is_some() {
            data.revision += 1;
            let revision = data.revision;
            data.history.insert(revision, (key.to_owned(), None));
            self.0.changed.notify_all();
        }
    }

    /// Serves at an address until the process ends.
    pub fn serve(&self, address: SocketAddrV4) {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.answer_all(stream));
            }
        });
    }

    fn answer_all(&self, mut stream: TcpStream) {
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
                    ("200 OK", self.watch(&text("prefix"), after, wait))
                }
                _ => ("404 Not Found", "{}".to_owned()),
            };
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

    fn watch(&self, prefix: &str, after: u64, wait: u64) -> String {
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
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), data.revision);
                return format!("{{\"events\":[{events}],\"currentRev\":{revision}}}");
            }
            data = self.0.changed.wait_timeout(data, left).unwrap().0;
        }
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
