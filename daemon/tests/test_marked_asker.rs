//! Tests of probing many targets at once.

use medlarspur_daemon::marked::{
    asker::{MAX_PROBES, Prober},
    inbox::{self, Event},
};
use medlarspur_lib::{
    ids::{DomainName, ServiceName, TargetName},
    time::Millis,
};
use medlarspur_marked::{Incarnation, ProbeResult, Start, Target};
use nix::{
    poll::{PollFd, PollFlags, PollTimeout, poll},
    sys::socket::{
        AddressFamily, Backlog, SockFlag, SockType, SockaddrIn, bind, connect, getsockname, listen,
        socket,
    },
};
use std::{
    collections::BTreeSet,
    fs,
    net::SocketAddrV4,
    os::fd::{AsRawFd, OwnedFd},
};

fn stream() -> OwnedFd {
    let flags = SockFlag::SOCK_NONBLOCK | SockFlag::SOCK_CLOEXEC;
    socket(AddressFamily::Inet, SockType::Stream, flags, None).expect("a socket")
}

/// Returns an address that answers no connection, because the listener's backlog is full.
fn silent() -> (SocketAddrV4, Vec<OwnedFd>) {
    let listener = stream();
    let any = SockaddrIn::new(127, 0, 0, 1, 0);
    bind(listener.as_raw_fd(), &any).expect("a port");
    listen(&listener, Backlog::new(0).expect("a backlog")).expect("the socket listens");
    let at: SockaddrIn = getsockname(listener.as_raw_fd()).expect("an address");
    let mut kept = vec![listener];
    for _ in 0..4 {
        let filler = stream();
        let _ = connect(filler.as_raw_fd(), &at);
        kept.push(filler);
    }
    (SocketAddrV4::from(at), kept)
}

fn target(number: u64, address: SocketAddrV4) -> Target {
    let (name, start) = (TargetName::new(&format!("i-{number:08x}")), Start(1));
    Target {
        incarnation: Incarnation::new(&name, start),
        name,
        start,
        service: ServiceName::new("desk"),
        address,
        domain: DomainName::new("north"),
        slots: 2,
        leaving: false,
        cold: Millis(0),
        writes: 1,
    }
}

/// Returns the number of connections to an address in the state SYN_SENT on this machine.
fn opening(address: SocketAddrV4) -> usize {
    let remote = format!("{:08X}:{:04X}", u32::from(*address.ip()).swap_bytes(), address.port());
    let sockets = fs::read_to_string("/proc/self/net/tcp").expect("the list of sockets");
    let fields = sockets.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    fields.filter(|it| it.len() > 3 && it[2] == remote && it[3] == "02").count()
}

/// Returns the number of probing threads in this process.
fn threads() -> usize {
    let tasks = fs::read_dir("/proc/self/task").expect("the list of threads");
    let names = tasks.filter_map(|task| fs::read_to_string(task.ok()?.path().join("comm")).ok());
    names.filter(|name| name.trim() == "ask").count()
}

/// Guards against one thread for each target that is suspected when a failure domain loses power.
#[test]
fn threads_and_connections_do_not_grow_with_the_number_of_silent_targets() {
    let (address, kept) = silent();
    let (sender, inbox) = inbox::channel().expect("an inbox");
    let mut prober = Prober::new(sender);
    for count in [100, 600] {
        let mut found = BTreeSet::new();
        let (mut most_threads, mut most_opening) = (0, 0);
        // Fewer requests at once than the prober's inbox holds.
        for numbers in (0..count).collect::<Vec<_>>().chunks(200) {
            numbers.iter().for_each(|number| prober.probe(&target(*number, address), "/health"));
            let known = found.len();
            while found.len() < known + numbers.len() {
                let mut fds = [PollFd::new(inbox.wake_fd(), PollFlags::POLLIN)];
                poll(&mut fds, PollTimeout::from(2_000_u16)).expect("polling works");
                for event in inbox.drain() {
                    let Event::Probed(incarnation, result) = event else { panic!("{event:?}") };
                    assert_eq!(result, ProbeResult::Silent);
                    found.insert(incarnation);
                }
                most_threads = most_threads.max(threads());
                most_opening = most_opening.max(opening(address));
            }
        }

        assert_eq!(most_threads, 1, "with {count} targets");
        assert!(most_opening <= 2 * MAX_PROBES + kept.len(), "{most_opening} connections");
    }
}
