//! Config deltas: applying them gives the same result as the whole config.

use super::fixtures::{change, config, incremental, millis, route, update};
use medlarspur_lib::{bundle::Class, ids::ServiceName};
use medlarspur_marked::{Catalog, Config, Content, Delta, Revision, Route, Scope, Service, Warmup};
use proptest::{collection::vec, prelude::*};

/// A config with the given routes, each as the last number of its address and the number of its
/// service.
fn random_config(version: u64, routes: &[(u8, u8)]) -> Config {
    let mut it = config(version);
    it.routes = Vec::new();
    for (number, service) in routes {
        let address = format!("198.18.1.{number}:80").parse().expect("an address");
        if it.routes.iter().all(|route: &Route| route.address != address) {
            it.routes.push(route(address, Class::Feed, &format!("service-{service}")));
        }
    }
    it.services = (0..version % 4)
        .map(|nth| Service {
            name: ServiceName::new(&format!("service-{nth}")),
            health: format!("/{version}").into(),
            warmup: (nth > 0).then_some(Warmup { span: millis(2_000), rate: version as u32 }),
        })
        .collect();
    it
}

fn sorted(mut config: Config) -> Config {
    config.routes.sort_by_key(|route| route.address);
    config.services.sort_by(|one, other| one.name.cmp(&other.name));
    config
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_delta_turns_the_old_config_into_the_new_one(
        old in vec((0..12u8, 0..3u8), 0..12), new in vec((0..12u8, 0..3u8), 0..12)
    ) {
        let (old, new) = (random_config(1, &old), random_config(2, &new));

        let delta = Delta::between(&old, &new);

        prop_assert_eq!(sorted(delta.apply(&old)), sorted(new));
    }

    /// Guards against wrong configs at a listener that receives only some versions and pulls the
    /// rest.
    #[test]
    fn a_listener_that_misses_updates_ends_with_the_same_config(
        versions in vec(vec((0..12u8, 0..3u8), 0..12), 1..40), received in any::<u64>()
    ) {
        let mut reader = Catalog::default();
        let mut listener = Catalog::default();
        for (routes, nth) in versions.iter().zip(1u64..) {
            reader.merge(incremental(nth, Content::Config(random_config(nth, routes))), millis(0));
            if received >> (nth % 64) & 1 == 1 {
                let before = listener.revision();
                let update = reader.update_since(before, millis(0));
                listener.merge(update, millis(0));
                prop_assert_eq!(listener.revision(), reader.revision());
            }
        }
        listener.merge(reader.update_since(listener.revision(), millis(0)), millis(0));

        let config = |catalog: &Catalog| sorted(catalog.config().expect("a config").clone());
        prop_assert_eq!(config(&listener), config(&reader));
    }
}

/// Guards against an instance that claims to know all changes although it lost an update, and has
/// another config than the delta is based on.
#[test]
fn a_delta_of_an_unknown_config_is_rejected() {
    let mut catalog = Catalog::default();
    catalog.merge(incremental(1, Content::Config(config(1))), millis(0));
    let delta = Delta::between(&config(5), &config(6));
    let scope = Scope::Incremental(Revision::new(0, 1));

    catalog.merge(update(6, scope, vec![change(6, Content::Delta(delta))]), millis(1));

    assert_eq!(catalog.config().expect("a config").version.0, 1);
    assert_eq!(catalog.revision(), Revision::new(0, 1));
}

/// Guards against updates of one route whose size grows with the other thousands of routes.
#[test]
fn the_update_of_one_route_does_not_grow_with_the_config() {
    let size = |count: u16| {
        let mut old = config(1);
        old.routes = (0..count)
            .map(|nth| {
                let address = std::net::SocketAddrV4::new([198, 18, 2, 2].into(), nth + 1);
                route(address, Class::Feed, "desk")
            })
            .collect();
        let mut new = old.clone();
        new.routes[0].shares[0].service = ServiceName::new("other");
        let mut catalog = Catalog::default();
        catalog.merge(incremental(1, Content::Config(old)), millis(0));
        catalog.merge(incremental(2, Content::Config(new)), millis(0));
        let update = catalog.update_since(Revision::new(0, 1), millis(0));
        medlarspur_marked::message::encode_update(&update).expect("the update is valid").len()
    };

    assert!(size(3_400) < 100);
    assert_eq!(size(3_400), size(34));
}
