//! Conditions under which a target is probed or lost.

use super::fixtures::millis;
use medlarspur_marked::{Health, ProbeResult};

#[test]
fn an_unanswered_packet_causes_one_probe() {
    let mut health = Health::new(millis(0));

    assert!(health.suspect(millis(100), millis(130)));
    assert!(!health.suspect(millis(120), millis(150)));
    assert!(!health.is_lost());
}

/// Guards against probes after the loss of a single packet. The target answers others in the
/// meantime, and a probe would only take one of its slots.
#[test]
fn a_target_that_answers_other_packets_is_not_probed() {
    let mut health = Health::new(millis(0));
    health.record_alive(millis(120));

    assert!(!health.suspect(millis(100), millis(130)));
}

#[test]
fn a_target_that_answers_a_probe_is_not_lost() {
    let mut health = Health::new(millis(0));
    health.suspect(millis(100), millis(130));

    health.record_probe_result(ProbeResult::Answers, millis(140));

    assert!(!health.is_lost());
}

/// Guards against targets that stay lost after a network partition has healed, and against probes
/// that become more expensive the longer it lasts.
#[test]
fn a_lost_target_is_probed_with_backoff_until_it_answers() {
    let mut health = Health::new(millis(0));
    let mut now = millis(100);
    let mut pauses = Vec::new();
    for _ in 0..5 {
        health.record_probe_result(ProbeResult::Silent, now);
        let retry = health.next_probe().expect("it is lost");
        pauses.push(retry.since(now).0);
        now = retry;
    }

    assert_eq!(pauses, [500, 1000, 2000, 2000, 2000]);
    assert_eq!(health.lost_since(), Some(millis(100)));
    health.record_probe_result(ProbeResult::Answers, now);
    assert!(!health.is_lost());
    assert_eq!(health.next_probe(), None);
}
