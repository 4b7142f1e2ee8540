//! Tests of a store that is unreachable, rejects calls, loses data, and moves.

use crate::marked::{
    TIMEOUT, add_mixed_callers, count_unanswered, lines_with, site, stop_callers, wait_for_answers,
    wait_until,
};
use medlarspur_lib::bundle::Class;
use medlarspur_standin::{
    caller::Outcome,
    site::{DESK, DOMAINS, INGEST, Site, service_address},
    store::{Store, StoreFault},
};
use nix::sys::signal::Signal;

/// Guards against refusing callers while the store is unreachable.
#[test]
fn callers_are_served_while_the_store_is_unreachable() {
    let mut site = site(8, 3);
    add_mixed_callers(&mut site);
    wait_for_answers(&site, 30);

    site.store.set_fault(StoreFault { status: Some(503), ..StoreFault::default() });
    wait_until("the store is reported lost", || !lines_with(&site, &["store: lost"]).is_empty());
    wait_for_answers(&site, 150);
    site.store.set_fault(StoreFault::default());
    site.publish();
    let revision = format!("revision={}", site.store.revision());
    wait_until("the next config is in force", || {
        lines_with(&site, &["config in force", &revision]).len() == 3
    });

    assert_eq!(count_unanswered(&stop_callers(&site)), 0);
}

/// Guards against refusing the callers of a route whose type this version doesn't know.
#[test]
fn callers_of_a_route_of_any_type_are_served() {
    for kind in ["download", "a type to come"] {
        let mut site = site(8, 2);
        let routes = [
            (service_address(Class::Feed), kind, 1, DESK.to_owned()),
            (service_address(Class::Request), "non_idempotent", 1, DESK.to_owned()),
            (service_address(Class::Upload), kind, 1, INGEST.to_owned()),
        ];
        site.store.put_config(1_000, &routes);
        wait_until("the config is in force", || {
            lines_with(&site, &["config in force version=1000"]).len() == 2
        });

        add_mixed_callers(&mut site);
        wait_for_answers(&site, 60);

        let tally = stop_callers(&site);
        let answered = |class| tally.count(class, Outcome::Answered);
        assert!(answered(Class::Feed) > 0 && answered(Class::Upload) > 0, "{kind}");
        assert_eq!(count_unanswered(&tally), 0, "{kind}");
    }
}

/// Guards against an instance that can't start while the store is unreachable. The other
/// instances have the whole catalog.
#[test]
fn an_instance_that_starts_without_the_store_learns_from_others() {
    let mut site = site(8, 2);
    site.store.set_fault(StoreFault { status: Some(503), ..StoreFault::default() });

    site.add_instance().expect("an instance");

    assert!(site.wait_for_rotation(3, TIMEOUT), "the new instance is ready");
}

/// Guards against missed changes when the store drops its history and can't list them.
#[test]
fn a_store_that_drops_its_history_is_read_in_full() {
    let mut site = site(8, 2);
    add_mixed_callers(&mut site);

    site.store.set_fault(StoreFault { status: Some(503), ..StoreFault::default() });
    site.publish();
    site.add_target(medlarspur_standin::site::DESK).expect("a host");
    site.store.compact();
    site.store.set_fault(StoreFault::default());
    let revision = format!("known={}", site.store.revision());
    wait_until("the last revision is known", || lines_with(&site, &[&revision]).len() >= 2);

    assert_eq!(count_unanswered(&stop_callers(&site)), 0);
}

/// Waits until two instances of each failure domain read the store and the others don't.
fn wait_for_readers(site: &Site) {
    wait_until("two instances of each domain read the store", || {
        let begun = lines_with(site, &["this instance reads the store"]).len();
        begun - lines_with(site, &["this instance stops reading"]).len() == 2 * DOMAINS.len()
    });
}

/// Takes the store back to a copy that lacks two configs, which were in force everywhere.
fn lose_two_configs(site: &mut Site) {
    site.store.take_copy();
    site.publish();
    site.publish();
    let revision = format!("revision={}", site.store.revision());
    wait_until("the configs are in force", || {
        lines_with(site, &["config in force", &revision]).len() == site.instances.len()
    });
    site.store.restore();
}

/// Guards against dropping a config whose revision was used before the store was restored.
#[test]
fn a_config_comes_into_force_after_the_store_was_restored() {
    let mut site = site(8, 2);
    lose_two_configs(&mut site);

    site.publish();

    let version = format!("config in force version={} ", site.version());
    wait_until("the config is in force", || lines_with(&site, &[&version]).len() == 2);
}

/// Guards against not propagating an entry whose revision was used before the store was restored.
#[test]
fn listeners_learn_that_a_target_leaves_after_the_store_was_restored() {
    let mut site = site(8, 6);
    wait_for_readers(&site);
    lose_two_configs(&mut site);

    site.drain(0);

    wait_until("all instances log that the target leaves", || {
        lines_with(&site, &["target entry", "state=leaving"]).len() == 6
    });
}

/// Guards against failed requests after the store was restored from a copy, twice in a row.
#[test]
fn all_requests_are_answered_when_the_store_is_restored() {
    let mut site = site(8, 4);
    add_mixed_callers(&mut site);
    wait_for_answers(&site, 30);

    for leaving in [0, 1] {
        site.store.take_copy();
        site.add_target(DESK).expect("a host");
        site.evacuate(DOMAINS[1]);
        site.drain(leaving);
        site.publish();
        let known = format!("version={} ", site.version());
        wait_until("the config is in force", || {
            lines_with(&site, &["config in force", &known]).len() == site.instances.len()
        });
        site.store.restore();
        site.kill_instance(0);
        site.add_instance().expect("an instance");
        wait_for_answers(&site, 30);
        site.rewrite_entries();
        site.end_evacuation(DOMAINS[1]);
        let known = format!("to={}.", leaving + 1);
        wait_until("the restored store is logged", || {
            lines_with(&site, &["platform restored", &known]).len() >= 3
        });
        wait_for_answers(&site, 60);
    }

    assert_eq!(count_unanswered(&stop_callers(&site)), 0);
}

/// Guards against a moved store that is found only by a restart. Operators rewrite the settings
/// and send SIGHUP.
#[test]
fn a_moved_store_is_found_after_sighup() {
    let mut site = site(8, 1);
    let moved = Store::start().expect("a store");
    let mut setup = site.instances[0].setup.clone();
    setup.store = moved.address();

    site.instances[0].rewrite(setup).expect("a file");
    site.instances[0].signal(Signal::SIGHUP).expect("the instance runs");

    wait_until("the moved store is called", || moved.calls() > 0);
    assert!(site.instances[0].exit_status().is_none());
}

/// Guards against a moved store that is found only by a signal. The settings are read again when
/// the store can't be reached.
#[test]
fn a_moved_store_is_found_without_a_signal() {
    let mut site = site(8, 1);
    let moved = Store::start().expect("a store");
    let mut setup = site.instances[0].setup.clone();
    setup.store = moved.address();

    site.instances[0].rewrite(setup).expect("a file");
    site.store.set_fault(StoreFault { status: Some(503), ..StoreFault::default() });

    wait_until("the moved store is called", || moved.calls() > 0);
}

/// Guards against an instance that stops because of an error in rewritten settings.
#[test]
fn invalid_settings_are_rejected_on_reload() {
    let mut site = site(8, 1);
    let mut setup = site.instances[0].setup.clone();
    setup.domain = "no domain!".to_owned();

    site.instances[0].rewrite(setup).expect("a file");
    site.instances[0].signal(Signal::SIGHUP).expect("the instance runs");

    wait_until("the rejected reload is logged", || {
        !lines_with(&site, &["reload", "the settings stay as they are"]).is_empty()
    });
    assert!(site.instances[0].is_ready());
}

/// Guards against reading a store of an earlier era and ignoring all its updates.
#[test]
fn a_store_of_an_earlier_era_is_accepted_after_repeated_answers() {
    let mut site = site(8, 1);
    (0..3).for_each(|_| site.store.restore());
    wait_until("the restored store is logged", || {
        !lines_with(&site, &["platform restored", "to=3."]).is_empty()
    });
    let moved = Store::start().expect("a store");
    let routes = [(service_address(Class::Feed), "idempotent", 1, DESK.to_owned())];
    moved.put_config(1_000, &routes);
    let mut setup = site.instances[0].setup.clone();
    setup.store = moved.address();

    site.instances[0].rewrite(setup).expect("a file");
    site.instances[0].signal(Signal::SIGHUP).expect("the instance runs");

    wait_until("the config is in force", || {
        !lines_with(&site, &["config in force version=1000"]).is_empty()
    });
}
