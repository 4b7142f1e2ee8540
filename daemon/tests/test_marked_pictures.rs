//! Tests of pulls of updates between instances.

use medlarspur_daemon::marked::{
    inbox::{self, Event, Inbox},
    pictures::{Command, MAX_TRANSFERS, UpdateExchange},
};
use medlarspur_marked::{Revision, Scope, Update};
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use std::{
    collections::BTreeSet,
    net::{SocketAddrV4, TcpListener, TcpStream},
    thread,
};

/// Returns an address that was free a moment ago.
fn free() -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    match listener.local_addr().expect("an address") {
        std::net::SocketAddr::V4(address) => address,
        std::net::SocketAddr::V6(_) => panic!("an IPv4 address"),
    }
}

/// Starts an update exchange at an address of the system's choice.
fn start() -> (SocketAddrV4, UpdateExchange, Inbox) {
    for _ in 0..20 {
        let (sender, inbox) = inbox::channel().expect("an inbox");
        let address = free();
        if let Ok(exchange) = UpdateExchange::start(address, sender) {
            return (address, exchange, inbox);
        }
    }
    panic!("no port stays free");
}

fn events(inbox: &Inbox) -> Vec<Event> {
    let mut fds = [PollFd::new(inbox.wake_fd(), PollFlags::POLLIN)];
    poll(&mut fds, PollTimeout::from(5_000_u16)).expect("polling works");
    inbox.drain().collect()
}

fn update(revision: u64) -> Update {
    Update::new(Revision::new(0, revision), Scope::Snapshot, Vec::new())
}

/// Answers requests to the main thread with an update of that revision.
fn answer(inbox: Inbox, revision: u64) {
    thread::spawn(move || {
        loop {
            for event in events(&inbox) {
                let Event::PullRequested { known, reply } = event else { panic!("{event:?}") };
                reply.send(Command::Send(known, update(revision)));
            }
        }
    });
}

/// Guards against connections that send no request and lock out all requesters.
#[test]
fn three_hundred_pulls_succeed_beside_silent_connections() {
    let (address, _pictures, inbox) = start();
    answer(inbox, 7);
    let stuck: Vec<TcpStream> = (0..MAX_TRANSFERS)
        .map(|_| TcpStream::connect(address).expect("the connection opens"))
        .collect();

    let (_, puller, pulls) = start();
    let (mut pulled, mut requested) = (0, 0);
    (0..MAX_TRANSFERS).for_each(|_| puller.pull(address, Revision::new(0, 0)));
    while pulled < 300 {
        for event in events(&pulls) {
            match event {
                Event::Pulled { from, update } => {
                    assert_eq!((from, update.revision), (address, Revision::new(0, 7)));
                    pulled += 1;
                }
                // Rejected as there are too many at once: the requester pulls again, or from
                // another instance.
                Event::PullFailed(from) => assert_eq!(from, address),
                other => panic!("{other:?}"),
            }
            requested += 1;
            puller.pull(address, Revision::new(0, 0));
        }
        assert!(requested < 2_000, "{pulled} of 300 pulls succeeded after {requested} requests");
    }
    drop(stuck);
}

/// Guards against waiting for an instance that has no catalog yet, or doesn't run.
#[test]
fn a_pull_from_an_instance_without_a_catalog_fails_at_once() {
    let (address, _pictures, inbox) = start();
    answer(inbox, 0);
    let unused = free();
    let (_, puller, pulls) = start();

    puller.pull(address, Revision::new(0, 0));
    puller.pull(unused, Revision::new(0, 0));

    let mut failed = BTreeSet::new();
    while failed.len() < 2 {
        for event in events(&pulls) {
            let Event::PullFailed(from) = event else { panic!("{event:?}") };
            failed.insert(from);
        }
    }
    assert_eq!(failed, BTreeSet::from([address, unused]));
}
