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

/// Two services; the second target of the first is in the given state.
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

/// A draft that has waited for its first view.
fn draft() -> Draft {
    let first = bundle(1, TargetState::Active);
    let mut draft = Draft::first(InstanceName::new("entry-1"), &first, NOW);
    draft.advance(NOW + PUBLISH_DELAY);
    draft
}

fn keepers(view: &View) -> Vec<String> {
    view.services[0].keepers.all().iter().map(ToString::to_string).collect()
}

/// Operators publish thousands of changes a day, each for a few services. If
/// each dealt all tables again, an instance of a large site would spend more
/// on that than on all else, and a change would come into force late.
#[test]
fn a_service_that_a_bundle_leaves_as_it_was_keeps_its_tables() {
    let mut draft = draft();
    let before = draft.commit().unwrap();

    draft.install(&bundle(2, TargetState::Leaving), NOW);
    let after = draft.commit().unwrap();

    assert_eq!(after.bundle.version, Version(2));
    assert!(!Arc::ptr_eq(&before.services[0], &after.services[0]));
    assert!(Arc::ptr_eq(&before.services[1], &after.services[1]));
}

#[test]
fn a_service_that_changes_is_dealt_again() {
    let mut draft = draft();
    draft.install(&bundle(2, TargetState::Leaving), NOW);

    draft.advance(PENDING_LIMIT);
    let view = draft.commit().unwrap();

    let first =
        view.registry.find_by_name(&view.services[0].spec.name, &TargetName::new("ajanvaraus-1"));
    assert!(view.services[0].buckets.iter().all(|state| state.owner == first));
}

/// Each change of the bundle makes every member say that it has it. Keepers
/// that were chosen anew for each of these words cost more than the change.
#[test]
fn news_of_a_version_is_published_and_keeps_the_services() {
    let mut draft = draft();
    draft.set_members(vec![member("entry-2", MemberState::Live, 1)], NOW);
    let before = draft.commit().unwrap();

    draft.set_members(vec![member("entry-2", MemberState::Suspect, 2)], NOW);
    let after = draft.commit().unwrap();

    assert_eq!(after.members[0].version, Version(2));
    assert!(Arc::ptr_eq(&before.services[0], &after.services[0]));
}

/// An instance dies while it keeps exceptions. If the others went on telling
/// it, flows of moved buckets would be known to nobody and feeds would break.
#[test]
fn a_member_that_dies_keeps_nothing_any_more() {
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

/// A target moves to another host and back again. Flows that peers tell of it
/// by its name would be sent to the host that it has left.
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
fn a_bucket_without_doubt_stays_at_16_bytes() {
    assert_eq!(size_of::<BucketView>(), 16);
}
