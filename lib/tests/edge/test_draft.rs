//! Drafts of the next view.

use medlarspur_lib::{
    bundle::{Bundle, Class, Limits, Port, Protocol, Seed, Service, Target, TargetState},
    ids::{DomainName, Incarnation, InstanceName, ServiceName, SiteName, TargetName, Version},
    members::{Addresses, Member, MemberState},
    time::Millis,
    view::{BucketView, Departure, Draft, PENDING_LIMIT, PUBLISH_DELAY, View},
};
use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

const NOW: Millis = Millis(0);

fn address(host: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, host), port)
}

fn target(name: &str, state: TargetState) -> Target {
    Target {
        name: TargetName::new(name),
        address: address(name.len() as u8, 6080),
        domain: DomainName::new("vantaa-a"),
        weight: 100,
        slots: 3,
        connections: 2000,
        state,
        probe: None,
    }
}

fn service(name: &str, host: u8, second: TargetState) -> Arc<Service> {
    let targets = vec![
        target(&format!("{name}-1"), TargetState::Active),
        target(&format!("{name}-22"), second),
    ];
    Arc::new(Service {
        name: ServiceName::new(name),
        address: *address(host, 0).ip(),
        ports: vec![Port { number: 443, protocol: Protocol::Tcp, class: Class::Request }],
        buckets: 64,
        keepalive: Millis::secs(30),
        refusal: None,
        balance: 50,
        targets,
    })
}

/// Returns a bundle with two services. The second target of the first one is in
/// the given state.
fn bundle(version: u64, state: TargetState) -> Arc<Bundle> {
    let services =
        vec![service("ajanvaraus", 1, state), service("todisteet", 2, TargetState::Active)];
    let (site, seed) = (SiteName::new("uusimaa"), Seed([1; 16]));
    let limits = Limits::default();
    Arc::new(Bundle {
        version: Version(version),
        site,
        seed,
        services,
        limits,
        evacuated: Vec::new(),
    })
}

fn member(name: &str, state: MemberState, version: u64) -> Member {
    Member {
        name: InstanceName::new(name),
        domain: DomainName::new("espoo-b"),
        incarnation: Incarnation(1),
        state,
        addresses: Addresses {
            packets: address(9, 1),
            questions: address(9, 2),
            control: address(9, 3),
        },
        version: Version(version),
        advertised: 0,
    }
}

/// Returns a draft whose publish delay has passed.
fn draft() -> Draft {
    let first = bundle(1, TargetState::Active);
    let mut draft = Draft::first(InstanceName::new("entry-1"), &first, NOW);
    draft.advance(NOW + PUBLISH_DELAY);
    draft
}

fn keepers(view: &View) -> Vec<String> {
    view.services[0].keepers.all().iter().map(ToString::to_string).collect()
}

/// Operators publish thousands of changes a day, each to a few services. Guards
/// against assigning the tables of all services again with each change, which
/// would cost an instance of a large site more than all its other work and
/// delay the change.
#[test]
fn a_service_that_a_bundle_does_not_change_keeps_its_tables() {
    let mut draft = draft();
    let before = draft.commit().unwrap();

    draft.install(&bundle(2, TargetState::Leaving), NOW);
    let after = draft.commit().unwrap();

    assert_eq!(after.bundle.version, Version(2));
    assert!(!Arc::ptr_eq(&before.services[0], &after.services[0]));
    assert!(Arc::ptr_eq(&before.services[1], &after.services[1]));
}

#[test]
fn a_changed_service_is_assigned_again() {
    let mut draft = draft();
    draft.install(&bundle(2, TargetState::Leaving), NOW);

    draft.advance(PENDING_LIMIT);
    let view = draft.commit().unwrap();

    let first =
        view.registry.find_by_name(&view.services[0].spec.name, &TargetName::new("ajanvaraus-1"));
    assert!(view.services[0].buckets.iter().all(|state| state.owner == first));
}

/// Each change of the bundle makes every member announce the new version.
/// Guards against choosing the keepers again with each announcement, which
/// would cost more than the change.
#[test]
fn a_version_update_is_published_and_keeps_the_services() {
    let mut draft = draft();
    draft.set_members(vec![member("entry-2", MemberState::Live, 1)], NOW);
    let before = draft.commit().unwrap();

    draft.set_members(vec![member("entry-2", MemberState::Suspect, 2)], NOW);
    let after = draft.commit().unwrap();

    assert_eq!(after.members[0].version, Version(2));
    assert!(Arc::ptr_eq(&before.services[0], &after.services[0]));
}

/// Guards against a dead instance that stays a keeper: the others would still
/// advertise exceptions to it, no instance would know the flows of moved
/// buckets, and feeds would break.
#[test]
fn a_dead_member_is_no_longer_a_keeper() {
    let mut draft = draft();
    let live = |name| member(name, MemberState::Live, 1);
    draft.set_members(vec![live("entry-2"), live("entry-3")], NOW);
    let before = keepers(&draft.commit().unwrap());

    draft.set_members(vec![live("entry-2"), member("entry-3", MemberState::Dead, 1)], Millis(5));
    let after = draft.commit().unwrap();

    assert_eq!(before.len(), 2);
    assert_eq!(keepers(&after), ["entry-2"]);
    let departure = Departure { noticed: Millis(5), assumed: false };
    assert_eq!(after.departed.last(), Some(&departure));
}

/// Guards against flows that peers advertise by a target's name being sent to
/// the host that the target has left, after it moved away and back.
#[test]
fn a_target_that_moves_back_is_found_at_its_old_address() {
    let mut draft = draft();
    let name = TargetName::new("todisteet-1");
    let moved = |version, host| {
        let mut next = (*bundle(version, TargetState::Active)).clone();
        Arc::make_mut(&mut next.services[1]).targets[0].address = address(host, 6080);
        Arc::new(next)
    };

    let mut found = Vec::new();
    for (version, host) in [(2, 50), (3, 60), (4, 50)] {
        draft.install(&moved(version, host), NOW);
        let registry = &draft.view().registry;
        let target = registry.find_by_name(&ServiceName::new("todisteet"), &name).unwrap();
        found.push(registry.get(target).address);
    }

    assert_eq!(found, [50, 60, 50].map(|host| address(host, 6080)));
}

#[test]
fn a_bucket_view_takes_16_bytes() {
    assert_eq!(size_of::<BucketView>(), 16);
}
