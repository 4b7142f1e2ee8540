//! Ages of datagrams that waited in a socket.

use medlarspur_fabric::{Batch, Clocks, Datagram, QueueAges, Socket, Wire};
use std::{
    net::{Ipv4Addr, SocketAddrV4},
    thread,
    time::Duration,
};

/// A reading of both clocks, in milliseconds.
fn clocks(wall: u64, boot: u64) -> Clocks {
    Clocks { wall: Duration::from_millis(wall), boot: Duration::from_millis(boot) }
}

/// Age in milliseconds of a datagram that was stamped at `stamp` and is received at `now`, if the
/// socket was last empty at `empty`.
fn max_age(empty: Clocks, stamp: Option<u64>, now: Clocks) -> u128 {
    QueueAges::new(empty).max_age(stamp.map(Duration::from_millis), now).as_millis()
}

#[test]
fn age_is_the_time_since_the_stamp() {
    let empty = clocks(50_000, 1_000);

    assert_eq!(max_age(empty, Some(50_100), clocks(53_100, 4_100)), 3_000);
    assert_eq!(max_age(empty, Some(53_099), clocks(53_100, 4_100)), 1);
}

/// Guards against old datagrams that look new, and the reverse, after a step of the wall clock.
#[test]
fn stamps_are_not_used_across_a_step_of_the_wall_clock() {
    let empty = clocks(50_000, 1_000);

    let (back, forward) = (clocks(50_100, 4_100), clocks(90_000, 1_010));

    assert_eq!(max_age(empty, Some(50_100), back), 3_100);
    assert_eq!(max_age(empty, Some(50_005), forward), 0);
}

#[test]
fn an_unstamped_datagram_may_be_as_old_as_the_beginning_of_a_pause() {
    assert_eq!(max_age(clocks(50_000, 1_000), None, clocks(50_100, 1_100)), 0);
    assert_eq!(max_age(clocks(50_000, 1_000), None, clocks(50_400, 1_400)), 400);
}

#[test]
fn an_empty_socket_ends_the_effect_of_a_step() {
    let mut ages = QueueAges::new(clocks(50_000, 1_000));

    ages.record_receipt(clocks(90_000, 1_010), true);

    let stamp = Some(Duration::from_millis(90_005));
    assert_eq!(ages.max_age(stamp, clocks(90_007, 1_017)).as_millis(), 2);
}

#[test]
fn a_socket_reports_how_long_a_datagram_waited() {
    let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    let (mut sender, mut receiver) = (Socket::bind(any).unwrap(), Socket::bind(any).unwrap());
    receiver.record_ages();
    let mut batch = Batch::new();
    let wait = Duration::from_millis(30);
    let mut reports_wait = || {
        sender.send(&[Datagram { to: receiver.local(), bytes: b"x" }]);
        thread::sleep(wait);
        receiver.receive(&mut batch, Duration::ZERO).unwrap();
        let ages: Vec<Duration> = batch.iter().map(|it| it.age).collect();
        matches!(ages[..], [age] if age >= wait)
    };

    // The kernel begins to stamp datagrams a moment after the option is set.
    let begins = (0..100).any(|_| reports_wait());

    assert!(begins && (0..3).all(|_| reports_wait()));
}

/// Age in milliseconds of an unstamped datagram that is received at once after a wait from
/// `began` to `now`, in a socket that was emptied at 0.
fn age_after_wait(began: u64, now: u64, limit: u64) -> u128 {
    let mut ages = QueueAges::new(clocks(50_000, 0));
    let (began, now) = (clocks(50_000 + began, began), clocks(50_000 + now, now));
    ages.record_wait(began, now, Duration::from_millis(limit));
    ages.max_age(None, now).as_millis()
}

#[test]
fn an_unstamped_datagram_that_ends_a_wait_is_new() {
    assert_eq!(age_after_wait(10, 210, 250), 0);
    assert_eq!(age_after_wait(100, 450, 250), 0);
}

/// Guards against old datagrams that look new after a pause of the process.
#[test]
fn an_unstamped_datagram_may_be_as_old_as_a_wait_that_ended_late() {
    assert_eq!(age_after_wait(10, 361, 250), 361);
    assert_eq!(age_after_wait(10, 3_000, 40), 3_000);
}

/// Guards against old datagrams that look new because they let the thread wait for no time.
#[test]
fn a_wait_says_nothing_about_a_pause_before_it() {
    assert_eq!(age_after_wait(3_000, 3_000, 250), 3_000);
}

/// Guards against old datagrams that look new because there were too many for one receipt.
#[test]
fn unstamped_datagrams_are_old_until_the_socket_is_empty_after_a_pause() {
    let mut ages = QueueAges::new(clocks(50_000, 0));
    let mut receive = |now: u64, is_drained: bool| {
        let now = clocks(50_000 + now, now);
        let age = ages.max_age(None, now).as_millis();
        ages.record_receipt(now, is_drained);
        age
    };

    assert_eq!(receive(3_000, false), 3_000);
    assert_eq!(receive(3_040, true), 3_040);
    assert_eq!(receive(3_080, true), 0);
}

/// Guards against an overload in which all datagrams look old because the socket is never empty.
#[test]
fn unstamped_datagrams_are_new_while_the_thread_keeps_running() {
    let mut ages = QueueAges::new(clocks(50_000, 0));

    for now in (50..5_000).step_by(50) {
        let now = clocks(50_000 + now, now);
        assert_eq!(ages.max_age(None, now).as_millis(), 0);
        ages.record_receipt(now, false);
    }
}
