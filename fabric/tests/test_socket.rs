//! The wire over a UDP socket.

use medlarspur_fabric::{Batch, Datagram, Listener, MAX_BATCH, MAX_DATAGRAM, Socket, Wire};
use std::{
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    thread,
    time::{Duration, Instant},
};

const TIMEOUT: Duration = Duration::from_secs(20);
const STEP: Duration = Duration::from_millis(20);

fn any_port() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)
}

fn socket() -> Socket {
    Socket::bind(any_port()).unwrap()
}

/// Receives until `count` datagrams have arrived or the timeout is over.
fn collect(socket: &mut Socket, count: usize) -> Vec<Vec<u8>> {
    let start = Instant::now();
    let mut batch = Batch::new();
    let mut received = Vec::new();
    while received.len() < count && start.elapsed() < TIMEOUT {
        socket.receive(&mut batch, STEP).unwrap();
        received.extend(batch.iter().map(|it| it.bytes.to_vec()));
    }
    received
}

#[test]
fn batch_arrives_complete_and_in_order() {
    let mut sender = socket();
    let mut receiver = socket();
    let payloads: Vec<Vec<u8>> = (0..3 * MAX_BATCH).map(|ix| vec![ix as u8; ix + 1]).collect();
    let to = receiver.local();
    let datagrams: Vec<_> = payloads.iter().map(|bytes| Datagram { to, bytes }).collect();

    let sent = sender.send(&datagrams);
    let received = collect(&mut receiver, payloads.len());

    assert_eq!(sent, payloads.len());
    assert_eq!(received, payloads);
    assert_eq!(sender.counts().sent, payloads.len() as u64);
    assert_eq!(receiver.counts().received, payloads.len() as u64);
}

#[test]
fn batch_contains_sender_addresses() {
    let mut sender = socket();
    let mut receiver = socket();
    sender.send(&[Datagram { to: receiver.local(), bytes: b"x" }]);

    let mut batch = Batch::new();
    let start = Instant::now();
    while receiver.receive(&mut batch, STEP).unwrap() == 0 && start.elapsed() < TIMEOUT {}

    assert_eq!(batch.iter().next().map(|it| it.from), Some(sender.local()));
}

#[test]
fn listener_can_move_to_another_thread() {
    let listener = Listener::bind(any_port()).unwrap();
    let to = listener.local();
    let thread = thread::spawn(move || collect(&mut Socket::from(listener), 1));

    socket().send(&[Datagram { to, bytes: b"hello" }]);

    assert_eq!(thread.join().unwrap(), vec![b"hello".to_vec()]);
}

/// Guards against forwarding truncated packets: a fabric with a larger MTU or a port scan sends
/// datagrams that exceed a slot, and the kernel truncates them. They must be dropped and counted
/// while the datagrams around them are received.
#[test]
fn oversize_and_empty_datagrams_are_counted_and_dropped() {
    let mut receiver = socket();
    let sender = UdpSocket::bind(any_port()).unwrap();
    for size in [1, MAX_DATAGRAM + 1, 0, MAX_DATAGRAM, 9000] {
        sender.send_to(&vec![1; size], receiver.local()).unwrap();
    }

    let received = collect(&mut receiver, 2);
    assert_nothing_received(&mut receiver);

    let sizes: Vec<_> = received.iter().map(Vec::len).collect();
    assert_eq!(sizes, [1, MAX_DATAGRAM]);
    assert_eq!(receiver.counts().oversize, 2);
    assert_eq!(receiver.counts().empty, 1);
}

/// Receives once more, so that dropped datagrams after the last received one are counted.
fn assert_nothing_received(socket: &mut Socket) {
    let mut batch = Batch::new();
    assert_eq!(socket.receive(&mut batch, STEP).unwrap(), 0);
}

/// Guards against one dead target stopping all flows: its host replies with ICMP "port
/// unreachable", which must end neither the packet thread nor a batch.
#[test]
fn dead_target_does_not_stop_other_flows() {
    let mut sender = socket();
    let mut receiver = socket();
    let closed = socket().local();
    let alive = receiver.local();
    let mut batch = Batch::new();

    for _ in 0..20 {
        sender.send(&[
            Datagram { to: closed, bytes: b"lost" },
            Datagram { to: alive, bytes: b"kept" },
        ]);
        sender.receive(&mut batch, Duration::ZERO).unwrap();
    }

    assert_eq!(collect(&mut receiver, 20).len(), 20);
}

/// Guards against flows stalling behind a datagram that can't be sent, because no route leads to
/// its target or it is too large. The kernel stops a batch at such a datagram.
#[test]
fn datagram_that_cannot_be_sent_is_skipped() {
    let mut sender = socket();
    let mut receiver = socket();
    let broadcast = SocketAddrV4::new(Ipv4Addr::BROADCAST, 9);
    let huge = vec![0; 70_000];
    let alive = receiver.local();

    let sent = sender.send(&[
        Datagram { to: alive, bytes: b"first" },
        Datagram { to: broadcast, bytes: b"refused" },
        Datagram { to: alive, bytes: &huge },
        Datagram { to: alive, bytes: b"last" },
    ]);

    assert_eq!(sent, 2);
    assert_eq!(collect(&mut receiver, 2), [b"first".to_vec(), b"last".to_vec()]);
    assert_eq!(sender.counts().unreachable, 1);
    assert_eq!(sender.counts().mtu, 1);
}

#[test]
fn receiving_nothing_is_not_an_error() {
    let mut receiver = socket();
    let mut batch = Batch::new();

    assert_eq!(receiver.receive(&mut batch, Duration::ZERO).unwrap(), 0);
    assert_eq!(receiver.receive(&mut batch, STEP).unwrap(), 0);
}
