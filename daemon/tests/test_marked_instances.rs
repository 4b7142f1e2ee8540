//! Tests of instances that leave, are killed, are paused and start while callers use the site.

use crate::marked::{
    TIMEOUT, add_mixed_callers, count_unanswered, lines_with, site, stop_callers, wait_for_answers,
    wait_until,
};
use medlarspur_lib::bundle::Class;
use nix::sys::signal::Signal;

#[test]
fn all_requests_are_answered_without_failures() {
    let mut site = site(8, 3);
    add_mixed_callers(&mut site);

    wait_for_answers(&site, 200);

    assert_eq!(count_unanswered(&stop_callers(&site)), 0);
}

/// Guards against flows that are cut when an instance leaves for an update. Routers learn of it
/// with a delay and send to it until then; its flows continue through other instances.
#[test]
fn an_instance_that_leaves_cuts_no_flow() {
    let mut site = site(8, 3);
    add_mixed_callers(&mut site);
    wait_for_answers(&site, 60);

    site.instances[0].signal(Signal::SIGTERM).expect("the instance runs");
    wait_until("the instance has stopped", || !lines_with(&site, &["::instance stop"]).is_empty());
    assert_eq!(site.routers.rotation_size(), 2, "the instance left rotation before it stopped");
    wait_for_answers(&site, 100);

    assert_eq!(count_unanswered(&stop_callers(&site)), 0);
    let ended = site.instances[0].exit_status().expect("the instance has ended");
    assert!(ended.success(), "{ended}");
}

/// Guards against feeds that are cut when an instance is killed. They continue through other
/// instances, which have no record of them.
#[test]
fn a_killed_instance_breaks_no_feed() {
    let mut site = site(8, 3);
    site.add_callers(Class::Feed, 20);
    wait_for_answers(&site, 60);

    site.instances[1].signal(Signal::SIGKILL).expect("the instance runs");
    wait_until("the instance has left rotation", || site.routers.rotation_size() == 2);
    wait_for_answers(&site, 100);

    assert_eq!(count_unanswered(&stop_callers(&site)), 0);
}

/// Guards against feeds that are sent to other targets when all instances are replaced at once.
/// The new instances have no record of any flow.
#[test]
fn feeds_continue_when_all_instances_are_replaced() {
    let mut site = site(8, 2);
    site.add_callers(Class::Feed, 20);
    wait_for_answers(&site, 60);

    site.kill_instance(1);
    site.kill_instance(0);
    site.add_instance().expect("an instance");
    site.add_instance().expect("an instance");
    assert!(site.wait_for_rotation(2, TIMEOUT));
    wait_for_answers(&site, 60);

    stop_callers(&site);
}

/// Guards against an instance that serves with an outdated catalog after it was paused for seconds
/// while a target left.
#[test]
fn a_paused_instance_serves_again() {
    let mut site = site(8, 3);
    add_mixed_callers(&mut site);
    wait_for_answers(&site, 60);

    site.instances[0].signal(Signal::SIGSTOP).expect("the instance runs");
    wait_until("the instance has left rotation", || site.routers.rotation_size() == 2);
    site.replace_target(0).expect("a new host");
    site.instances[0].signal(Signal::SIGCONT).expect("the instance exists");
    wait_until("the instance is back in rotation", || site.routers.rotation_size() == 3);
    wait_for_answers(&site, 100);

    stop_callers(&site);
}

/// Guards against an instance that blocks when the log collector hangs and the pipe is full. All
/// flows would stop without a log line.
#[test]
fn an_instance_whose_output_is_not_read_keeps_serving() {
    let mut site = site(8, 0);
    let mut setup = site.next_setup();
    setup.stops_reading = true;
    site.launch(setup).expect("an instance");
    assert!(site.wait_for_rotation(1, TIMEOUT));
    site.add_callers(Class::Request, 30);

    // Each answered request has a line of some 150 bytes; a pipe holds 64 KiB.
    wait_for_answers(&site, 1_200);

    assert_eq!(count_unanswered(&stop_callers(&site)), 0);
}
