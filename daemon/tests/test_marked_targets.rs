//! Tests of targets that leave, crash and are replaced while callers use the site.

use crate::marked::{
    add_mixed_callers, count_unanswered, lines_with, site, stop_callers, wait_for_answers,
    wait_until,
};
use medlarspur_lib::bundle::Class;
use medlarspur_standin::{
    site::{DESK, INGEST},
    target::Capacity,
};

/// Guards against flows that are cut while a target is drained and replaced.
#[test]
fn a_replaced_target_cuts_no_flow() {
    let mut site = site(8, 3);
    add_mixed_callers(&mut site);
    wait_for_answers(&site, 60);

    site.replace_target(0).expect("a new host");
    wait_for_answers(&site, 100);

    assert_eq!(count_unanswered(&stop_callers(&site)), 0);
}

#[test]
fn a_leaving_target_gets_no_new_flow_once_that_is_known() {
    let mut site = site(8, 2);
    site.add_callers(Class::Request, 8);
    wait_for_answers(&site, 40);
    let leaving = site.target(0).expect("a target").incarnation;

    site.drain(0);
    let entry = format!("target entry target=i-{leaving:08x}");
    wait_until("both instances log the entry", || {
        lines_with(&site, &[&entry, "state=leaving"]).len() == 2
    });
    wait_for_answers(&site, 5);
    let opened = site.opened_flows(0);
    wait_for_answers(&site, 80);

    assert_eq!(site.opened_flows(0), opened);
    assert_eq!(count_unanswered(&stop_callers(&site)), 0);
}

/// Guards against callers that keep waiting for a crashed target.
#[test]
fn all_flows_of_a_crashed_target_move_to_others() {
    let mut site = site(8, 3);
    site.add_callers(Class::Feed, 30);
    wait_for_answers(&site, 60);
    let dead = site.target(0).expect("a target").incarnation;

    site.stop_target(0, false);
    let lost = format!("target lost target=i-{dead:08x}");
    wait_until("the target is reported lost", || !lines_with(&site, &[&lost]).is_empty());
    wait_for_answers(&site, 150);

    let tally = stop_callers(&site);
    assert_eq!(count_unanswered(&tally), 0, "reset feeds are requested again and answered");
}

/// Guards against packets for a dead target that reach the next target at its address.
#[test]
fn a_target_at_a_reused_address_gets_no_packets_of_its_predecessor() {
    let mut site = site(8, 3);
    add_mixed_callers(&mut site);
    wait_for_answers(&site, 60);

    site.stop_target(0, false);
    site.start_target(0, INGEST);
    site.stop_target(3, true);
    site.start_target(3, DESK);
    wait_for_answers(&site, 150);

    stop_callers(&site);
}

/// Guards against a target that stays unused after it has started again.
#[test]
fn a_target_that_restarts_under_its_id_is_used_at_once() {
    let mut site = site(4, 2);
    site.add_callers(Class::Feed, 16);
    wait_for_answers(&site, 40);
    let name = format!("target=i-{:08x}", site.target(0).expect("a target").incarnation);

    site.restart_target(0);
    let replaced = ["target entry", &name, "state=replaced"];
    wait_until("both instances log the entry", || lines_with(&site, &replaced).len() == 2);
    site.add_callers(Class::Request, 8);
    wait_for_answers(&site, 150);

    assert!(site.opened_flows(0) > 0, "the target accepts flows again");
    assert_eq!(
        count_unanswered(&stop_callers(&site)),
        0,
        "reset feeds are requested again and answered"
    );
}

/// Guards against resetting the flows of a full target, and against requests that wait for it.
#[test]
fn a_full_target_keeps_its_flows_and_gets_no_others() {
    let mut site = site(8, 2);
    site.add_callers(Class::Feed, 16);
    site.add_callers(Class::Request, 12);
    wait_for_answers(&site, 80);
    let name = format!("target=i-{:08x}", site.target(0).expect("a target").incarnation);

    site.set_full(0, true);
    wait_until("the full target is logged", || {
        !lines_with(&site, &["target full", &name]).is_empty()
    });
    wait_for_answers(&site, 150);
    site.set_full(0, false);
    wait_for_answers(&site, 150);

    assert!(lines_with(&site, &["flow reset", "reason=target-lost"]).is_empty());
    assert_eq!(count_unanswered(&stop_callers(&site)), 0);
}

/// Guards against unanswered requests whose opening was accepted by two targets.
#[test]
fn a_target_at_its_capacity_limit_loses_no_request() {
    let mut site = site(8, 2);
    site.add_callers(Class::Feed, 16);
    site.add_callers(Class::Request, 12);
    wait_for_answers(&site, 80);

    site.set_capacity(0, Capacity::CurrentFlows);
    wait_for_answers(&site, 400);
    site.set_capacity(0, Capacity::Unlimited);
    wait_for_answers(&site, 100);

    assert_eq!(count_unanswered(&stop_callers(&site)), 0);
}
