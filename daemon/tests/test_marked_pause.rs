//! Pauses in which the process does not run.

use crate::marked::{lines_with, site, wait_until};
use medlarspur_daemon::marked::pause::{MIN_PAUSE, PauseDetector};
use medlarspur_lib::{bundle::Class, time::Millis};
use medlarspur_standin::{
    frame::{Flags, Frame},
    instance::Instance,
    site::{DESK, service_address},
};
use nix::sys::signal::Signal;
use std::{
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    thread,
    time::Duration,
};

#[test]
fn times_from_500_ms_on_in_which_the_thread_did_not_run_are_pauses() {
    let mut it = PauseDetector::new(Millis(1_000));

    let pauses = [1_250, 1_749, 2_249, 2_250, 5_250].map(|now| it.record_run(Millis(now)));

    assert_eq!(pauses, [None, None, Some(Millis(500)), None, Some(Millis(3_000))]);
}

/// Guards against flows that a woken instance opens at a target of which others learnt during the
/// pause that it leaves.
#[test]
fn a_woken_instance_merges_what_others_have_sent_before_it_opens_flows() {
    let mut site = site(8, 6);
    let reads = |it: &Instance| {
        let lines = it.lines();
        let last = lines.iter().rfind(|line| line.contains(" readers: "));
        last.is_some_and(|line| line.contains("this instance reads"))
    };
    wait_until("two instances of each domain read the store", || {
        site.instances.iter().filter(|it| reads(it)).count() == 4
    });
    let listener = site.instances.iter().position(|it| !reads(it)).expect("two instances listen");
    let leaving = (0..8).find(|host| site.target(*host).is_some_and(|it| it.service == DESK));
    let leaving = leaving.expect("a target of the service");
    let name = format!("target=i-{:08x}", site.target(leaving).expect("a target").incarnation);
    site.instances[listener].signal(Signal::SIGSTOP).expect("it runs");
    site.drain(leaving);
    wait_until("the others know that the target leaves", || {
        lines_with(&site, &["target entry", &name, "state=leaving"]).len() == 5
    });
    thread::sleep(Duration::from_millis(MIN_PAUSE.0));
    let to = site.instances[listener].addresses.packets;
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a socket");

    for number in 0..40 {
        let opening = opening(number).write();
        socket.send_to(&opening, to).expect("the packet is sent");
    }
    site.instances[listener].signal(Signal::SIGCONT).expect("it runs");

    let opened = || -> Vec<String> {
        let lines = site.instances[listener].lines();
        lines.into_iter().filter(|line| line.contains(" flow opened ")).collect()
    };
    wait_until("the instance opens flows", || !opened().is_empty());
    assert_eq!(opened().iter().find(|line| line.contains(&name)), None);
}

/// The opening of a flow that no caller of the site has.
fn opening(number: u16) -> Frame {
    Frame {
        source: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1_024 + number),
        destination: service_address(Class::Request),
        flags: Flags::Syn,
        seq: 1_000,
        ack: 0,
        echo: 0,
        data: Vec::new(),
        genuine: true,
    }
}
