//! Tests refusals while one priority takes what capacity there is.

use medlarspur_lib::time::Millis;
use medlarspur_load::{priority::Level, shedding::OpeningRates};

const HIGHEST: Level = Level::nth(0, 2);
const LOWEST: Level = Level::nth(1, 2);

/// Guards against lower levels that wait for all their time while higher ones take every
/// connection, and against refusals of the higher ones because of them.
#[test]
fn only_the_level_that_gets_nothing_is_refused() {
    let mut rates = OpeningRates::default();
    rates.record_held(&[30, 5], Millis(0));
    (0..1_000).step_by(20).for_each(|at| rates.record_opening(HIGHEST, Millis(at)));
    let (now, wait) = (Millis(1_000), Millis(1_000));

    assert!(rates.can_open(HIGHEST, 30, 30, wait, now));
    assert!(!rates.can_open(LOWEST, 35, 5, wait, now));
}

/// Guards against refusals by the rate of an overload that has ended for the level.
#[test]
fn a_level_that_is_held_anew_is_not_refused_by_its_past() {
    let mut rates = OpeningRates::default();
    rates.record_held(&[0, 1], Millis(0));
    rates.record_held(&[], Millis(900));
    rates.record_held(&[0, 1], Millis(950));

    assert!(rates.can_open(LOWEST, 10, 10, Millis(500), Millis(1_000)));
}
