//! Measures the overhead of a control message on the wire. A relay between two instances
//! counts the bytes above TCP in both directions.
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
    let relayed = Arc::new(AtomicU64::new(0));
    let relay = relay(b.addr(), relayed.clone());
    let mut totals = Vec::new();
    for _ in 0..CALLS {
        a.send(relay, heartbeat(0));
        b.recv_timeout(WAIT).expect("it arrives");
        // Lets the response of the call pass the relay.
        thread::sleep(Duration::from_millis(2));
        totals.push(relayed.load(Relaxed));
    }
    let body = encode(&heartbeat(0)).encoded_len();
    let each = (totals[CALLS as usize - 1] - totals[1]) / (CALLS - 2);
    println!(
        "{label}: first call {} B, each later one {each} B, of which the message {body} B",
        totals[0]
    );
}

fn relay(to: SocketAddrV4, relayed: Arc<AtomicU64>) -> SocketAddrV4 {
    let listener = TcpListener::bind(addr(0)).expect("a port");
    let port = listener.local_addr().expect("it is bound").port();
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let server = TcpStream::connect(to).expect("it listens");
            let reverse =
                (server.try_clone().expect("a handle"), client.try_clone().expect("a handle"));
            let (forward_counter, reverse_counter) = (relayed.clone(), relayed.clone());
            thread::spawn(move || copy(client, server, &forward_counter));
            thread::spawn(move || copy(reverse.0, reverse.1, &reverse_counter));
        }
    });
    addr(port)
}

fn copy(mut from: TcpStream, mut to: TcpStream, relayed: &AtomicU64) {
    let mut buf = [0; 16 * 1024];
    while let Ok(n) = from.read(&mut buf) {
        if n == 0 || to.write_all(&buf[..n]).is_err() {
            return;
        }
        relayed.fetch_add(n as u64, Relaxed);
    }
}
