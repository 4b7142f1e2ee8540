use medlarspur_lib::{bundle::TargetState, time::Millis};
use medlarspur_load::{
    Report,
    placement::{FULL, Seen, View, advise},
};

/// Renews the weights of so many seconds.
fn weights(seen: &mut [Seen], from: u64, seconds: u64) -> Vec<u16> {
    let mut weights = vec![0; seen.len()];
    for second in from..from + seconds {
        let view = |seen| View {
            state: TargetState::Active,
            weight: 100,
            slots: 2,
            hold: Some(40.0),
            seen,
        };
        let mut views: Vec<View> = seen.iter_mut().map(view).collect();
        advise(Millis::secs(second), 100, &mut views, &mut weights);
    }
    weights
}

fn targets(count: usize) -> Vec<Seen> {
    vec![Seen::new(false); count]
}

fn reset(seen: &mut Seen) {
    for _ in 0..200 {
        seen.open(Millis(1));
        seen.follow(Millis(1));
        seen.reset(Millis(1));
    }
}

fn told(draining: bool) -> Report {
    Report { healthy: true, draining, work: 0, connections: 0 }
}

#[test]
fn a_target_that_resets_its_flows_gets_less() {
    let mut seen = targets(14);
    reset(&mut seen[3]);
    let weights = weights(&mut seen, 0, 10);
    assert!(weights[3] <= FULL * 6 / 10, "{weights:?}");
    assert_eq!(weights[4], FULL);
}

/// A firewall between instances and callers resets flows of ten of fourteen
/// targets. Taken out, their work would overrun the other four.
#[test]
fn none_is_taken_out_when_most_look_bad() {
    let mut seen = targets(14);
    seen[..10].iter_mut().for_each(reset);
    assert_eq!(weights(&mut seen, 0, 10), [FULL; 14]);
}

/// A target that has just started has cold caches; a full share at once makes
/// its callers wait.
#[test]
fn a_new_target_gets_its_share_step_by_step() {
    let mut seen = targets(13);
    seen.push(Seen::new(true));
    assert!(weights(&mut seen, 0, 1)[13] <= FULL / 4);
    assert!(weights(&mut seen, 1, 5)[13] <= FULL / 2);
    assert_eq!(weights(&mut seen, 6, 15)[13], FULL);
}

/// Instances that flee a bad target at once all come back at once.
#[test]
fn a_weight_moves_in_small_steps() {
    let mut seen = targets(14);
    reset(&mut seen[0]);
    assert!(weights(&mut seen, 0, 1)[0] >= FULL * 8 / 10);
}

#[test]
fn a_draining_target_gets_nothing() {
    let mut seen = targets(14);
    seen[2].tell(Millis(1), told(true));
    let weights = weights(&mut seen, 0, 1);
    assert_eq!((weights[2], weights[3]), (0, FULL));
}

/// A faulty release of the targets' health endpoint says on all that they
/// drain. Believed, a whole service would stop.
#[test]
fn most_draining_at_once_is_not_believed() {
    let mut seen = targets(14);
    seen[..10].iter_mut().for_each(|seen| seen.tell(Millis(1), told(true)));
    assert_eq!(weights(&mut seen, 0, 1), [FULL; 14]);
}
