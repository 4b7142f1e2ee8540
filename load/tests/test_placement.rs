use medlarspur_lib::{bundle::TargetState, time::Millis};
use medlarspur_load::{
    LoadReport,
    gate::placement::{FULL_WEIGHT, TargetStats, TargetView, update_weights},
};

/// Updates the weights once a second for `seconds` and returns the last ones.
fn weights(stats: &mut [TargetStats], from: u64, seconds: u64) -> Vec<u16> {
    let mut weights = vec![0; stats.len()];
    for second in from..from + seconds {
        let view = |stats| TargetView {
            state: TargetState::Active,
            weight: 100,
            slots: 2,
            hold: Some(40.0),
            stats,
        };
        let mut views: Vec<TargetView> = stats.iter_mut().map(view).collect();
        update_weights(Millis::secs(second), 100, &mut views, &mut weights);
    }
    weights
}

fn targets(count: usize) -> Vec<TargetStats> {
    vec![TargetStats::new(false); count]
}

fn reset(stats: &mut TargetStats) {
    for _ in 0..200 {
        stats.record_opening(Millis(1));
        stats.record_established(Millis(1));
        stats.record_reset(Millis(1));
    }
}

fn report(draining: bool) -> LoadReport {
    LoadReport { healthy: true, draining, work: 0, connections: 0 }
}

#[test]
fn a_target_that_resets_its_flows_gets_less_work() {
    let mut stats = targets(14);
    reset(&mut stats[3]);
    let weights = weights(&mut stats, 0, 10);
    assert!(weights[3] <= FULL_WEIGHT * 6 / 10, "{weights:?}");
    assert_eq!(weights[4], FULL_WEIGHT);
}

/// Guards against removing most targets. A firewall between instances and callers resets
/// flows of ten of fourteen targets, whose work would overload the other four.
#[test]
fn no_target_is_removed_when_most_look_bad() {
    let mut stats = targets(14);
    stats[..10].iter_mut().for_each(reset);
    assert_eq!(weights(&mut stats, 0, 10), [FULL_WEIGHT; 14]);
}

/// Guards against a full share at once for a target that has just started. Its caches are
/// cold, and its callers would wait.
#[test]
fn a_new_target_gets_its_share_step_by_step() {
    let mut stats = targets(13);
    stats.push(TargetStats::new(true));
    assert!(weights(&mut stats, 0, 1)[13] <= FULL_WEIGHT / 4);
    assert!(weights(&mut stats, 1, 5)[13] <= FULL_WEIGHT / 2);
    assert_eq!(weights(&mut stats, 6, 15)[13], FULL_WEIGHT);
}

/// Guards against instances that leave a bad target at once and all return at once.
#[test]
fn a_weight_moves_in_small_steps() {
    let mut stats = targets(14);
    reset(&mut stats[0]);
    assert!(weights(&mut stats, 0, 1)[0] >= FULL_WEIGHT * 8 / 10);
}

#[test]
fn a_draining_target_gets_nothing() {
    let mut stats = targets(14);
    stats[2].record_report(Millis(1), report(true));
    let weights = weights(&mut stats, 0, 1);
    assert_eq!((weights[2], weights[3]), (0, FULL_WEIGHT));
}

/// Guards against a whole service that stops because a faulty release of the targets'
/// health endpoint reports draining on all of them.
#[test]
fn reports_of_draining_from_most_targets_are_ignored() {
    let mut stats = targets(14);
    stats[..10].iter_mut().for_each(|stats| stats.record_report(Millis(1), report(true)));
    assert_eq!(weights(&mut stats, 0, 1), [FULL_WEIGHT; 14]);
}
