//! When a target is asked and when it counts as lost.

use super::fixtures::millis;
use medlarspur_marked::{Health, ProbeResult};

#[test]
fn a_packet_without_answer_asks_once() {
    let mut health = Health::new(millis(0));

    assert!(health.suspect(millis(100), millis(130)));
    assert!(!health.suspect(millis(120), millis(150)));
    assert!(!health.is_lost());
}

/// One packet of many is lost on a link. Its target answers others all the
/// while, and asking it would only cost it a slot.
#[test]
fn a_target_that_answers_others_is_not_asked() {
    let mut health = Health::new(millis(0));
    health.record_alive(millis(120));

    assert!(!health.suspect(millis(100), millis(130)));
}

#[test]
fn a_target_that_answers_is_not_lost() {
    let mut health = Health::new(millis(0));
    health.suspect(millis(100), millis(130));

    health.record_probe_result(ProbeResult::Answers, millis(140));

    assert!(!health.is_lost());
}

/// A cut between failure domains heals by itself. A target that was lost to it
/// must come back into use, and asking must not cost more the longer it lasts.
#[test]
fn a_lost_target_is_asked_again_ever_more_seldom_until_it_answers() {
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
