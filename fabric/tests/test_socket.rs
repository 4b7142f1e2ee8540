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

/// Receives until `count` datagrams came or the patience is over.
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
fn a_batch_arrives_whole_and_in_order() {
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
fn a_batch_names_its_senders() {
    let mut sender = socket();
    let mut receiver = socket();
    sender.send(&[Datagram { to: receiver.local(), bytes: b"x" }]);

    let mut batch = Batch::new();
    let start = Instant::now();
    while receiver.receive(&mut batch, STEP).unwrap() == 0 && start.elapsed() < TIMEOUT {}

    assert_eq!(batch.iter().next().map(|it| it.from), Some(sender.local()));
}

#[test]
fn a_listener_moves_to_another_thread() {
    let listener = Listener::bind(any_port()).unwrap();
    let to = listener.local();
    let thread = thread::spawn(move || collect(&mut Socket::from(listener), 1));

    socket().send(&[Datagram { to, bytes: b"hello" }]);

    assert_eq!(thread.join().unwrap(), vec![b"hello".to_vec()]);
}

/// A fabric with a larger MTU, or somebody who scans ports, sends datagrams
/// that don't fit. The kernel cuts them; passed on, a caller's answer would
/// break in the middle. The user notices nothing as long as they are dropped
/// and counted while the datagrams around them go through.
#[test]
fn oversize_and_empty_datagrams_are_counted_and_dropped() {
    let mut receiver = socket();
    let sender = UdpSocket::bind(any_port()).unwrap();
    for size in [1, MAX_DATAGRAM + 1, 0, MAX_DATAGRAM, 9000] {
        sender.send_to(&vec![1; size], receiver.local()).unwrap();
    }

    let received = collect(&mut receiver, 2);
    collect_nothing(&mut receiver);

    let sizes: Vec<_> = received.iter().map(Vec::len).collect();
    assert_eq!(sizes, [1, MAX_DATAGRAM]);
    assert_eq!(receiver.counts().oversize, 2);
    assert_eq!(receiver.counts().empty, 1);
}

/// Reads once more, so that what lay behind the last datagram is counted.
fn collect_nothing(socket: &mut Socket) {
    let mut batch = Batch::new();
    assert_eq!(socket.receive(&mut batch, STEP).unwrap(), 0);
}

/// A target dies and its host answers packets to it by ICMP "port unreachable".
/// If that error ended the packet thread or a batch, flows to all the other
/// targets would stop with it and every user would notice.
#[test]
fn a_dead_target_stops_nobody_else() {
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

/// An operator publishes a target in a network to which no route leads, or a
/// packet exceeds what can be sent. The kernel stops a batch at such a datagram;
/// without passing over it, flows behind it in the batch would stall.
#[test]
fn a_datagram_that_cannot_be_sent_is_passed_over() {
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
fn nothing_to_receive_is_not_an_error() {
    let mut receiver = socket();
    let mut batch = Batch::new();

    assert_eq!(receiver.receive(&mut batch, Duration::ZERO).unwrap(), 0);
    assert_eq!(receiver.receive(&mut batch, STEP).unwrap(), 0);
}
