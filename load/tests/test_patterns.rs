//! Tests what callers get under each load pattern, at the sizes of both sites, with
//! instances that decide separately. The bounds are those of the objectives where they are
//! met; `docs/measures/load.md` has the figures.

use crate::model::{
    Model,
    outcome::Outcome,
    scene::{Fault, Policy, Scene},
    scenes,
    site::{Site, ajanvaraus, alertdesk, ingest, todisteet},
    work::Work,
};
use medlarspur_lib::bundle::Class;

/// Runs a scene under a spraying and a hashing fabric.
fn play(scene: Scene) -> Vec<(Scene, Outcome)> {
    let fabrics = [true, false].map(|spray| Scene { spray, ..scene.clone() });
    let played = fabrics.map(|scene| (scene.clone(), Model::play(&scene, Policy::Gate)));
    for (scene, outcome) in &played {
        assert_eq!(outcome.false_refusals, 0, "{}", scene.name);
        assert_eq!(outcome.double_runs, 0, "{}", scene.name);
        assert!(outcome.refusal_time(0.99) <= 50, "{}", scene.name);
    }
    played.into()
}

fn both(small: fn() -> Site, large: fn() -> Site) -> [Site; 2] {
    [small(), large()]
}

fn requests_done(scene: &Scene, outcome: &Outcome) -> f64 {
    outcome.fraction_done(scene, Class::Request, |_| true)
}

/// Guards against a busy site at which no booking succeeds. For a minute, three times as
/// many motorists try to book as the site can serve. If all were admitted, they would
/// wait longer than they stay, and the targets would do work whose callers have gone.
#[test]
fn saturation_keeps_goodput_high() {
    for site in both(alertdesk, ajanvaraus) {
        let scene = scenes::requests("saturation", &site, 60_000, (0.6, 3.0));
        for (scene, outcome) in play(scene) {
            let goodput = outcome.goodput(&scene);
            assert!(goodput >= 0.95, "{} {} {goodput}", site.name, scene.spray);
            let recovery = outcome.recovery_seconds(&scene);
            assert!(recovery.is_some_and(|s| s <= 5), "{} {recovery:?}", site.name);
        }
    }
}

/// The same without admission, which shows that the model has the failure.
#[test]
fn saturation_without_admission_wastes_work() {
    let scene = scenes::requests("saturation", &alertdesk(), 30_000, (0.6, 3.0));
    let outcome = Model::play(&scene, Policy::NoAdmission);
    assert!(outcome.goodput(&scene) < 0.6, "{}", outcome.goodput(&scene));
}

/// Guards against refusing a storm front: ten times the usual acknowledgements arrive in
/// one second. Refused, they would return as a second burst.
#[test]
fn a_burst_of_a_second_is_served() {
    for site in both(alertdesk, ajanvaraus) {
        for (scene, outcome) in play(scenes::requests("burst", &site, 1_000, (0.3, 3.0))) {
            let done = requests_done(&scene, &outcome);
            assert!(done >= 0.999, "{} {done}", site.name);
            assert!(outcome.recovery_seconds(&scene).is_some_and(|s| s <= 5), "{}", site.name);
        }
    }
}

/// Guards against three misconfigured callers that open four times as much as all others
/// together. If all were served in order of arrival, the callers of a whole town would
/// find the site full.
#[test]
fn a_few_callers_do_not_shut_out_the_others() {
    for site in both(alertdesk, ajanvaraus) {
        for (scene, outcome) in play(scenes::few_callers(&site)) {
            let others = |w: &Work| u32::from(w.caller) >> 24 != scenes::HEAVY_CALLER_NETWORK;
            let done = outcome.fraction_done(&scene, Class::Request, others);
            assert!(done >= 0.98, "{} {done}", site.name);
        }
    }
}

/// Guards against acknowledgements that wait behind uploads for seconds. Stations upload
/// twice what the slots can take, and requests need reserved capacity.
#[test]
fn requests_are_served_beside_long_uploads() {
    for site in both(alertdesk, ajanvaraus) {
        for (scene, outcome) in play(scenes::mixed(&site)) {
            let done = requests_done(&scene, &outcome);
            assert!(done >= 0.999, "{} {} {done}", site.name, scene.spray);
        }
    }
}

/// The same while the targets' load endpoints don't answer. Accumulated shares must not
/// be spent on uploads at once, or requests would wait behind them.
#[test]
fn requests_are_served_beside_long_uploads_without_reports() {
    for site in both(alertdesk, ajanvaraus) {
        for (scene, outcome) in play(scenes::silent(scenes::mixed(&site))) {
            let done = requests_done(&scene, &outcome);
            assert!(done >= 0.95, "{} {} {done}", site.name, scene.spray);
        }
    }
}

/// Guards against targets that are full of feeds and drop the openings of
/// acknowledgements. Three times as many feeds arrive as there are connections.
#[test]
fn requests_are_served_beside_too_many_feeds() {
    for site in both(alertdesk, ajanvaraus) {
        for (scene, outcome) in play(scenes::feeds(&site)) {
            let done = requests_done(&scene, &outcome);
            assert!(done >= 0.999, "{} {done}", site.name);
            assert_eq!(outcome.overrun, 0, "{}", site.name);
        }
    }
}

/// Guards against trusting a target's load endpoint that always reports idle, or always
/// full. The first would attract all work, and the second would push its own onto the
/// others.
#[test]
fn a_wrong_report_moves_little_load() {
    for site in [alertdesk(), ajanvaraus(), ingest(), todisteet()] {
        for lie in [Fault::SaysIdle, Fault::SaysFull] {
            for (scene, outcome) in play(scenes::fault("lie", &site, 1, lie)) {
                let (most, _) = outcome.imbalance(&scene);
                assert!(most <= 1.15, "{} {lie:?} {most}", site.name);
            }
        }
    }
}

/// Guards against callers that wait or fail while targets are idle, because the table
/// sends them to one that works at a fifth of its speed or resets half of its openings.
#[test]
fn a_bad_target_costs_no_request() {
    for site in both(alertdesk, ajanvaraus) {
        for fault in [Fault::Slow(20), Fault::Shed] {
            for (scene, outcome) in play(scenes::fault("bad", &site, 1, fault)) {
                let done = requests_done(&scene, &outcome);
                assert!(done >= 0.999, "{} {fault:?} {done}", site.name);
            }
        }
    }
}

/// Guards against removing the slowest targets when a database behind all of them halves
/// their speed at once. The rest would be overloaded one after the other.
#[test]
fn no_target_is_removed_when_all_are_slow() {
    for site in both(alertdesk, ajanvaraus) {
        let all = site.hosts;
        for (scene, outcome) in play(scenes::fault("all slow", &site, all, Fault::Slow(50))) {
            let done = requests_done(&scene, &outcome);
            assert!(done >= 0.99, "{} {done}", site.name);
            assert!(outcome.imbalance(&scene).0 <= 1.25, "{}", site.name);
        }
    }
}

/// Guards against instances that each use all slots and together overload the targets.
/// Uploads arrive at three times the slots of a service that has nothing else.
#[test]
fn uploads_share_slots_among_instances() {
    for (stale, least) in [(false, 0.93), (true, 0.9)] {
        for site in both(ingest, todisteet) {
            let scene = Scene { stale, ..scenes::uploads("uploads", &site, 3.0) };
            for (scene, outcome) in play(scene) {
                let goodput = outcome.goodput(&scene);
                assert!(goodput >= least, "{} {stale} {goodput}", site.name);
            }
        }
    }
}
