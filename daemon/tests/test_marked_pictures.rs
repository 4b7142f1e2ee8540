//! Telling whole pictures to other instances.

use medlarspur_daemon::marked::{
    inbox::{self, Event, Inbox},
    pictures::{Command, MAX_TRANSFERS, UpdateExchange},
};
use medlarspur_marked::{News, Revision, Scope};
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use std::{
    collections::BTreeSet,
    net::{SocketAddrV4, TcpListener, TcpStream},
    thread,
};

/// An address that was free a moment ago.
fn free() -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    match listener.local_addr().expect("an address") {
        std::net::SocketAddr::V4(address) => address,
        std::net::SocketAddr::V6(_) => panic!("an IPv4 address"),
    }
}

/// An instance's pictures, at an address of the system's choice.
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
    poll(&mut fds, PollTimeout::from(5_000_u16)).expect("it waits");
    inbox.drain().collect()
}

fn news(revision: u64) -> News {
    News::new(Revision::new(0, revision), Scope::All, Vec::new())
}

/// Answers what the main thread is asked, with the picture of that revision.
fn answer(inbox: Inbox, revision: u64) {
    thread::spawn(move || {
        loop {
            for event in events(&inbox) {
                let Event::PullRequested { known, reply } = event else { panic!("{event:?}") };
                reply.send(Command::Send(known, news(revision)));
            }
        }
    });
}

/// Guards against connections that say nothing and keep all others from the picture.
#[test]
fn three_hundred_that_return_are_told_beside_some_that_say_nothing() {
    let (address, _pictures, inbox) = start();
    answer(inbox, 7);
    let stuck: Vec<TcpStream> =
        (0..MAX_TRANSFERS).map(|_| TcpStream::connect(address).expect("it connects")).collect();

    let (_, asking, answers) = start();
    let (mut told, mut asked) = (0, 0);
    (0..MAX_TRANSFERS).for_each(|_| asking.pull(address, Revision::new(0, 0)));
    while told < 300 {
        for event in events(&answers) {
            match event {
                Event::Pulled { from, update } => {
                    assert_eq!((from, update.revision), (address, Revision::new(0, 7)));
                    told += 1;
                }
                // Too many at once: whoever returns asks again, or another one.
                Event::PullFailed(from) => assert_eq!(from, address),
                other => panic!("{other:?}"),
            }
            asked += 1;
            asking.pull(address, Revision::new(0, 0));
        }
        assert!(asked < 2_000, "{told} of 300 told after {asked} questions");
    }
    drop(stuck);
}

/// Guards against waiting for an instance that has no picture itself, or is not there.
#[test]
fn who_knows_nothing_says_so_at_once() {
    let (address, _pictures, inbox) = start();
    answer(inbox, 0);
    let nobody = free();
    let (_, asking, answers) = start();

    asking.pull(address, Revision::new(0, 0));
    asking.pull(nobody, Revision::new(0, 0));

    let mut silent = BTreeSet::new();
    while silent.len() < 2 {
        for event in events(&answers) {
            let Event::PullFailed(from) = event else { panic!("{event:?}") };
            silent.insert(from);
        }
    }
    assert_eq!(silent, BTreeSet::from([address, nobody]));
}
