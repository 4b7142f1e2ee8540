//! Detection of pauses in which the process did not run.

use medlarspur_daemon::marked::pause::PauseDetector;
use medlarspur_lib::time::Millis;

fn detector() -> PauseDetector {
    PauseDetector::new(Millis(1_000))
}

#[test]
fn waiting_for_input_is_no_pause() {
    let mut it = detector();

    assert_eq!(it.begin_wait(Millis(1_100)), None);
    assert_eq!(it.end_wait(Millis(9_000), None), None);
    assert_eq!(it.check_queue(Millis(3)), None);
}

/// Guards against a pause that no timer shows: the thread waits for input, and the first packet
/// that comes during the pause ends the wait late.
#[test]
fn an_old_packet_after_a_long_wait_shows_a_pause() {
    let mut it = detector();
    it.begin_wait(Millis(1_000));
    it.end_wait(Millis(2_500), Some(Millis(2_400)));

    assert_eq!(it.check_queue(Millis(900)), Some(Millis(900)));
}

/// Guards against an overload that is taken for pauses, since packets wait for long then.
#[test]
fn an_old_packet_without_a_wait_is_no_pause() {
    let mut it = detector();
    it.begin_wait(Millis(1_200));
    it.end_wait(Millis(1_201), Some(Millis(40)));

    assert_eq!(it.check_queue(Millis(900)), None);
}

#[test]
fn a_late_timer_and_a_long_round_show_a_pause() {
    let mut it = detector();
    it.begin_wait(Millis(1_000));

    assert_eq!(it.end_wait(Millis(1_539), Some(Millis(40))), None);
    assert_eq!(it.begin_wait(Millis(2_038)), None);
    assert_eq!(it.end_wait(Millis(5_078), Some(Millis(40))), Some(Millis(3_000)));
    assert_eq!(it.begin_wait(Millis(5_578)), Some(Millis(500)));
}
