//! Instances that leave, die, freeze and start while callers use the site.

use crate::marked::{
    TIMEOUT, add_mixed_callers, count_unanswered, lines_with, site, stop_callers, wait_for_answers,
    wait_until,
};
use medlarspur_lib::bundle::Class;
use nix::sys::signal::Signal;

#[test]
fn a_calm_day_is_served() {
    let mut site = site(8, 3);
    add_mixed_callers(&mut site);

    wait_for_answers(&site, 200);

    assert_eq!(count_unanswered(&stop_callers(&site)), 0);
}

/// An instance is stopped for an update. Routers learn of it late and go on
/// sending to it, and each of its flows goes on through another instance.
#[test]
fn an_instance_that_leaves_cuts_no_flow() {
    let mut site = site(8, 3);
    add_mixed_callers(&mut site);
    wait_for_answers(&site, 60);

    site.instances[0].signal(Signal::SIGTERM).expect("it runs");
    wait_until("it has stopped", || !lines_with(&site, &["::instance stop"]).is_empty());
    assert_eq!(site.routers.count(), 2, "it left rotation before it stopped");
    wait_for_answers(&site, 100);

    assert_eq!(count_unanswered(&stop_callers(&site)), 0);
    let ended = site.instances[0].ended().expect("it has ended");
    assert!(ended.success(), "{ended}");
}

/// An instance is killed without a word. Feeds that went through it go on
/// through others, which have never seen them.
#[test]
fn a_killed_instance_breaks_no_feed() {
    let mut site = site(8, 3);
    site.add_callers(Class::Feed, 20);
    wait_for_answers(&site, 60);

    site.instances[1].signal(Signal::SIGKILL).expect("it runs");
    wait_until("it has left rotation", || site.routers.count() == 2);
    wait_for_answers(&site, 100);

    assert_eq!(count_unanswered(&stop_callers(&site)), 0);
}

/// All instances are killed at once and others start in their place, with an
/// empty memory. Feeds that were open go on where they were.
#[test]
fn feeds_outlive_all_instances() {
    let mut site = site(8, 2);
    site.add_callers(Class::Feed, 20);
    wait_for_answers(&site, 60);

    site.drop_instance(1);
    site.drop_instance(0);
    site.add_instance().expect("an instance");
    site.add_instance().expect("an instance");
    assert!(site.wait_for_rotation(2, TIMEOUT));
    wait_for_answers(&site, 60);

    stop_callers(&site);
}

/// An instance stands still for seconds and wakes with an old picture: a target
/// that it would use has left meanwhile.
#[test]
fn an_instance_that_froze_serves_again() {
    let mut site = site(8, 3);
    add_mixed_callers(&mut site);
    wait_for_answers(&site, 60);

    site.instances[0].signal(Signal::SIGSTOP).expect("it runs");
    wait_until("it has left rotation", || site.routers.count() == 2);
    site.release(0).expect("a new host");
    site.instances[0].signal(Signal::SIGCONT).expect("it is there");
    wait_until("it is back in rotation", || site.routers.count() == 3);
    wait_for_answers(&site, 100);

    stop_callers(&site);
}

/// Whoever collects the logs hangs, and the pipe is full. An instance that
/// waited for it would stop all flows without a word.
#[test]
fn an_instance_whose_output_is_not_read_goes_on() {
    let mut site = site(8, 0);
    let mut setup = site.setup();
    setup.unread = true;
    site.launch(setup).expect("an instance");
    assert!(site.wait_for_rotation(1, TIMEOUT));
    site.add_callers(Class::Request, 30);

    // Each answered request has a line of some 150 bytes; a pipe holds 64 KiB.
    wait_for_answers(&site, 1_200);

    assert_eq!(count_unanswered(&stop_callers(&site)), 0);
}
