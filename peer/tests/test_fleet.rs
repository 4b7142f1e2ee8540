//! Controllers connected over real connections.

use crate::fixtures::{Authority, addr, eventually, start_peer};
use medlarspur_lib::{
    control::{Action, ControlSettings, Controller, Event, TICK},
    ids::{DomainName, Incarnation, InstanceName, Version},
    members::{Addresses, Member, MemberState},
    spread::Check,
    time::Millis,
};
use medlarspur_peer::PeerHandle;
use std::{convert::Infallible, net::SocketAddrV4, time::Instant};

/// Accepts every text as a bundle. Its number of lines is its version.
struct AcceptAll;

impl Check for AcceptAll {
    type Error = Infallible;

    fn check(&self, text: &str) -> Result<Version, Infallible> {
        Ok(Version(text.lines().count() as u64))
    }
}

struct Instance {
    controller: Controller<AcceptAll>,
    peers: PeerHandle,
    last_tick: Option<Millis>,
    started: Instant,
}

impl Instance {
    fn new(n: u8, authority: &Authority, seeds: Vec<SocketAddrV4>) -> Instance {
        let peers = start_peer("gromovestnik", Some(authority.issue()));
        let me = Member {
            name: InstanceName::new(&format!("i{n}")),
            domain: DomainName::new(&format!("d{}", n % 2)),
            incarnation: Incarnation(1),
            state: MemberState::Live,
            addresses: Addresses { packets: addr(1), questions: addr(2), control: peers.addr() },
            version: Version(0),
            advertised: 0,
        };
        let controller = Controller::new(ControlSettings { me, seeds }, AcceptAll);
        Instance { controller, peers, last_tick: None, started: Instant::now() }
    }

    /// Handles an event and sends the resulting messages.
    fn handle(&mut self, event: Event) {
        let now = Millis::from(self.started.elapsed());
        for action in self.controller.handle(now, event) {
            if let Action::Send { to, message } = action {
                self.peers.send(to, message);
            }
        }
    }

    /// Handles the received messages, and a tick if one is due.
    fn step(&mut self) {
        while let Some(message) = self.peers.try_recv() {
            self.handle(Event::Peer(message));
        }
        let now = Millis::from(self.started.elapsed());
        if self.last_tick.is_none_or(|t| now.since(t) >= TICK) {
            self.last_tick = Some(now);
            self.handle(Event::Tick);
        }
    }

    fn has_bundle(&self, text: &str) -> bool {
        self.controller.current().is_some_and(|t| &*t.text == text)
    }

    fn count_in_state(&self, state: MemberState) -> usize {
        self.controller.roster().members().filter(|m| m.state == state).count()
    }
}

/// Starts four instances, of which the last three know the address of the first.
fn fleet() -> Vec<Instance> {
    let authority = Authority::new();
    let first = Instance::new(0, &authority, Vec::new());
    let seeds = vec![first.peers.addr()];
    let rest = (1..4).map(|n| Instance::new(n, &authority, seeds.clone()));
    std::iter::once(first).chain(rest).collect()
}

fn step_all(fleet: &mut [Instance]) {
    fleet.iter_mut().for_each(Instance::step);
}

/// Guards against a bundle, or a change of it, that doesn't reach all instances. Only one of
/// them reads each, and at the start the others know a single address.
#[test]
fn bundle_reaches_all_over_mutual_tls() {
    let mut fleet = fleet();

    fleet[2].handle(Event::PlatformBundle("a: 1\n".into()));
    let first = eventually(|| {
        step_all(&mut fleet);
        fleet.iter().all(|i| i.has_bundle("a: 1\n") && i.count_in_state(MemberState::Live) == 4)
    });
    fleet[3].handle(Event::PlatformBundle("a: 1\nb: 2\n".into()));
    let second = eventually(|| {
        step_all(&mut fleet);
        fleet.iter().all(|i| i.has_bundle("a: 1\nb: 2\n"))
    });

    assert!(first && second);
}

/// Guards against a killed instance that isn't detected. The others would ask it about flows
/// while callers wait.
#[test]
fn killed_instance_is_detected_over_mutual_tls() {
    let mut fleet = fleet();
    assert!(eventually(|| {
        step_all(&mut fleet);
        fleet.iter().all(|i| i.count_in_state(MemberState::Live) == 4)
    }));

    drop(fleet.pop());

    assert!(eventually(|| {
        step_all(&mut fleet);
        fleet.iter().all(|i| {
            i.count_in_state(MemberState::Dead) == 1 && i.count_in_state(MemberState::Live) == 3
        })
    }));
}
