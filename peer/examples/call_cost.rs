//! Measures what a control message costs on the wire besides its own bytes:
//! a relay between two instances counts what passes, both ways, above TCP.
//! `cargo run --release -p medlarspur-peer --example call_cost`

#[path = "../tests/fixtures.rs"]
#[allow(dead_code, reason = "shared with the tests")]
mod fixtures;

use fixtures::{Authority, addr, heartbeat, start_peer};
use medlarspur_peer::{PeerTls, encode};
use prost::Message;
use std::{
    io::{Read, Write},
    net::{SocketAddrV4, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    thread,
    time::Duration,
};

const CALLS: u64 = 200;
const WAIT: Duration = Duration::from_secs(30);

fn main() {
    let authority = Authority::new();
    measure("plain", None, None);
    measure("mutual TLS", Some(authority.issue()), Some(authority.issue()));
}

fn measure(label: &str, a: Option<PeerTls>, b: Option<PeerTls>) {
    let (a, b) = (start_peer("gromovestnik", a), start_peer("gromovestnik", b));
    let passed = Arc::new(AtomicU64::new(0));
    let relay = relay(b.addr(), passed.clone());
    let mut marks = Vec::new();
    for _ in 0..CALLS {
        a.send(relay, heartbeat(0));
        b.recv_timeout(WAIT).expect("it arrives");
        // Lets the answer of the call pass.
        thread::sleep(Duration::from_millis(2));
        marks.push(passed.load(Relaxed));
    }
    let body = encode(&heartbeat(0)).encoded_len();
    let each = (marks[CALLS as usize - 1] - marks[1]) / (CALLS - 2);
    println!(
        "{label}: first call {} B, each later one {each} B, of which the message {body} B",
        marks[0]
    );
}

fn relay(to: SocketAddrV4, passed: Arc<AtomicU64>) -> SocketAddrV4 {
    let listener = TcpListener::bind(addr(0)).expect("a port");
    let port = listener.local_addr().expect("it is bound").port();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let far = TcpStream::connect(to).expect("it listens");
            let back = (far.try_clone().expect("a handle"), near.try_clone().expect("a handle"));
            let (there, here) = (passed.clone(), passed.clone());
            thread::spawn(move || copy(near, far, &there));
            thread::spawn(move || copy(back.0, back.1, &here));
        }
    });
    addr(port)
}

fn copy(mut from: TcpStream, mut to: TcpStream, passed: &AtomicU64) {
    let mut buf = [0; 16 * 1024];
    while let Ok(n) = from.read(&mut buf) {
        if n == 0 || to.write_all(&buf[..n]).is_err() {
            return;
        }
        passed.fetch_add(n as u64, Relaxed);
    }
}
