//! Tests of the whole path over sockets, with stateless relays in place of instances.

use medlarspur_lib::{
    bundle::{Bundle, Class, TargetState},
    time::Millis,
};
use medlarspur_testutils::{
    caller::{Callers, Settings, Stream},
    client::Timeouts,
    fabric::{self, Fabric},
    layout::{Layout, ServiceLayout, TargetLayout},
    list::{ListedInstance, ListedState},
    packet::PacketHeader,
    profile::Profile,
    report::Report,
    spread::Mode,
    target::{Behaviour, Targets},
};
use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    thread,
    time::Duration,
};

const ADDRESS: Ipv4Addr = Ipv4Addr::new(10, 70, 0, 1);
/// Timeouts for work that must complete even on a busy machine.
const LONG_TIMEOUTS: Timeouts = Timeouts { handshake: Millis::secs(60), idle: Millis::secs(60) };
const PORTS: [(u16, Class); 3] = [(1, Class::Feed), (2, Class::Request), (3, Class::Upload)];

pub fn targets(fabric: &Fabric) -> Targets {
    let profiles = ["a", "b"].map(|name| Profile::new(name, "alertdesk", ADDRESS, &PORTS));
    Targets::start(profiles.to_vec(), fabric.returns).unwrap()
}

/// Starts a relay in place of an instance, which picks the target by the caller's port.
pub fn relay(name: &str, targets: &Targets) -> ListedInstance {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let SocketAddr::V4(packets) = socket.local_addr().unwrap() else { unreachable!() };
    let addrs = targets.list.iter().map(|running| running.addr).collect::<Vec<_>>();
    thread::spawn(move || {
        let mut buffer = [0; 2048];
        while let Ok((len, _)) = socket.recv_from(&mut buffer) {
            if let Some(header) = PacketHeader::parse(&buffer[..len]) {
                let addr = addrs[usize::from(header.src.port()) % addrs.len()];
                let _ = socket.send_to(&buffer[..len], addr);
            }
        }
    });
    let (name, domain, state) = (name.into(), "lozenets".into(), ListedState::Live);
    ListedInstance { name, domain, state, packets, questions: packets, control: packets }
}

pub fn stream(port: u16, class: Class, total: u64) -> Stream {
    let remote = SocketAddrV4::new(ADDRESS, port);
    let service = "alertdesk".into();
    Stream { service, class, remote, rate: 200.0, total, size: 30_000, hold: 600_000 }
}

/// Runs callers until all work of the streams was started, then stops them.
pub fn call(fabric: &Fabric, streams: Vec<Stream>, timeouts: Timeouts) -> Report {
    let all = streams.iter().map(|stream| stream.total).sum::<u64>();
    let settings = Settings { timeouts, ..Settings::new(fabric.callers) };
    let callers = Callers::start(settings, streams).unwrap();
    let opened = || callers.report().iter().map(|(_, _, row)| row.opened).sum::<u64>();
    for _ in 0..2000 {
        if opened() == all {
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    callers.stop(Duration::from_secs(60))
}

#[test]
fn spraying_fabric_carries_all_classes() {
    let fabric = Fabric::start(&fabric::Settings::new(Mode::Spray)).unwrap();
    let targets = targets(&fabric);
    fabric.set_list(vec![relay("x", &targets), relay("y", &targets)]);
    let streams = PORTS.iter().map(|&(port, class)| stream(port, class, 40)).collect();

    let report = call(&fabric, streams, LONG_TIMEOUTS);

    let completed = report.iter().map(|(_, _, row)| row.completed).collect::<Vec<_>>();
    assert_eq!(completed, [40, 40, 40], "{report:?}");
    let load = ureq::get(format!("http://{}/load", targets.list[0].probe)).call().unwrap();
    let load = load.into_body().read_to_string().unwrap();
    assert!(load.contains(r#""slots":0"#), "{load}");
    let runs = targets.list.iter().map(|running| running.counts().runs.len()).sum::<usize>();
    assert_eq!(runs, 40);
}

/// Guards against a simulated power loss that is incomplete or too wide: callers of
/// the dead target must get no answer, and those of the other target must not be
/// affected.
#[test]
fn dead_target_answers_nobody() {
    let fabric = Fabric::start(&fabric::Settings::new(Mode::Hash)).unwrap();
    let targets = targets(&fabric);
    fabric.set_list(vec![relay("x", &targets)]);
    targets.list[0].set_behaviour(Behaviour { dead: true, ..Behaviour::default() });

    let timeouts = Timeouts { handshake: Millis::secs(2), ..Timeouts::default() };
    let report = call(&fabric, vec![stream(2, Class::Request, 40)], timeouts);

    let (_, _, row) = report.iter().next().unwrap();
    assert_eq!(row.completed + row.unanswered, 40, "{row:?}");
    assert!(row.unanswered > 0 && !row.targets.contains_key("a"), "{row:?}");
}

#[test]
fn layout_gives_a_valid_bundle() {
    let target = TargetLayout {
        name: "a".into(),
        domain: "lozenets".into(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 4000),
        probe: Some(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 4001)),
        state: TargetState::Active,
    };
    let service = ServiceLayout {
        name: "alertdesk".into(),
        address: ADDRESS,
        ports: PORTS.to_vec(),
        keepalive: 8,
        refusal: Some("REFUSED {seconds}\n".into()),
        targets: vec![target],
    };
    let mut layout = Layout { site: "small".into(), version: 1, services: vec![service] };
    layout.set_state("a", TargetState::Leaving);

    let bundle = Bundle::parse(&layout.text()).unwrap();

    assert_eq!(bundle.version.0, 2);
    assert_eq!(bundle.services[0].refusal.as_deref(), Some("REFUSED {seconds}\n"));
    assert_eq!(bundle.services[0].targets[0].state, TargetState::Leaving);
}
