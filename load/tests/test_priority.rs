//! Tests the levels of priorities and the order that they give to flows.

use medlarspur_lib::{bundle::Class, time::Millis};
use medlarspur_load::{
    backlog::{Backlog, Waiting},
    limit::{ConcurrencyLimit, InFlight},
    priority::{Level, LevelUse, Levels, MAX_LEVELS, Priority},
    vacancy::Vacancy,
};
use proptest::prelude::*;

fn waiting(key: u32, level: Level, since: u64) -> Waiting<u32> {
    Waiting { key, level, since: Millis(since), deadline: Millis(since + 600) }
}

fn levels(priorities: impl IntoIterator<Item = u8>) -> Levels {
    Levels::new(priorities.into_iter().map(|it| (Class::Feed, Some(Priority(it)))), true)
}

/// Guards against gaps between levels, and against counts without bound for many priorities.
#[test]
fn priorities_are_ranked_without_gaps_up_to_the_last_level() {
    let (few, many) = (levels([7, 0, 7, 200]), levels(0..20));
    let rank = |levels: &Levels, it| levels.level(Class::Feed, Some(Priority(it))).rank();

    assert_eq!((few.count(), many.count()), (3, MAX_LEVELS));
    assert_eq!([0, 7, 200].map(|it| rank(&few, it)), [0, 1, 2]);
    assert_eq!([6, 7, 19].map(|it| rank(&many, it)), [6, 7, 7]);
    assert_eq!(few.level(Class::Feed, None), Level::nth(2, 3));
    assert!(Level::nth(1, 3).is_elevated() && !Level::nth(2, 3).is_elevated());
}

#[test]
fn the_class_decides_while_no_route_has_a_priority() {
    let classes = [Class::Request, Class::Feed, Class::Upload];
    let levels = Levels::new(classes.map(|class| (class, None)), false);

    let of_class = classes.map(|class| levels.level(class, None));

    assert_eq!(of_class, [Level::nth(0, 2), Level::nth(1, 2), Level::nth(1, 2)]);
    assert_eq!(levels.count(), 2);
}

/// Guards against requests that are held like feeds because their service has no others.
#[test]
fn requests_alone_are_one_level_and_keep_the_treatment_of_requests() {
    let levels = Levels::new([(Class::Request, Some(Priority(3)))], true);

    assert_eq!(levels.count(), 1);
    assert_eq!(levels.level(Class::Request, Some(Priority(3))), Level::HIGHEST);
}

/// Guards against levels in use that are restricted, or not, because of others without traffic.
#[test]
fn only_levels_in_use_decide_which_is_the_lowest() {
    let [second, third, last] = [1, 2, 3].map(|rank| Level::nth(rank, 4));
    let mut in_use = LevelUse::default();
    let is_elevated =
        |in_use: &LevelUse| [second, third].map(|it| in_use.restrict(it).is_elevated());

    in_use.record(second, Class::Request, Millis(0));
    assert!(is_elevated(&in_use)[0], "requests that are alone keep their treatment");
    assert!(in_use.record(third, Class::Feed, Millis(10)));
    assert_eq!(is_elevated(&in_use), [true, false]);
    in_use.record(last, Class::Feed, Millis(20));
    assert_eq!(is_elevated(&in_use), [true, true]);
    in_use.record(third, Class::Feed, Millis(60_030));
    assert_eq!(is_elevated(&in_use), [true, false], "the last is out of use");
}

#[test]
fn the_backlog_serves_levels_in_order_and_follows_a_change() {
    let mut backlog = Backlog::default();
    for (key, rank) in [(1, 2), (2, 0), (3, 1), (4, 2)] {
        backlog.push(waiting(key, Level::nth(rank, 3), key.into()));
    }

    assert_eq!(backlog.peek().map(|it| it.key), Some(2));
    assert!(!backlog.can_bypass(Level::nth(0, 3)));
    backlog.set_levels(|key| Level::nth(u8::from(key != 3), 2));
    assert_eq!(backlog.peek().map(|it| it.key), Some(3));
}

/// Guards against a high flow that is refused while a lower one is held.
#[test]
fn a_full_backlog_makes_room_for_a_higher_level() {
    let mut backlog = Backlog::default();
    for key in 0..1_022 {
        backlog.push(waiting(key, Level::nth(1, 3), 10));
    }
    backlog.push(waiting(2_000, Level::nth(2, 3), 50));
    backlog.push(waiting(2_001, Level::nth(2, 3), 40));

    let evicted = [2, 0, 0].map(|rank| backlog.make_room(Level::nth(rank, 3)).map(|it| it.key));

    assert_eq!(evicted, [None, Some(2_001), None], "there is room after the first");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a priority inversion: a flow is admitted while one of a higher level
    /// would not be.
    #[test]
    fn what_is_admitted_would_be_admitted_at_any_higher_level(
        work in prop::collection::vec(0..20_i32, 4),
        freed in prop::collection::vec((0..4_u8, any::<bool>()), 0..12),
        answers in 0..8_u32,
        opening in 0..4_u32,
        calm in 0..45_u64,
    ) {
        let mut limit = ConcurrencyLimit::default();
        // A limit from slow answers holds while the answers after them are fast again.
        for nth in 0..200 + calm {
            let span = Millis(if (100..200).contains(&nth) { 140 } else { 45 });
            if limit.record_answer(span, Millis(150), Millis(nth * 20)) {
                limit.adjust(10, 2.0, Millis(nth * 20));
            }
        }
        let mut in_flight = InFlight::default();
        let mut vacancy = Vacancy::default();
        vacancy.record_unanswered(Millis(0));
        (0..answers).for_each(|_| vacancy.record_probe_answer());
        for (rank, count) in work.into_iter().enumerate() {
            in_flight.adjust(Level::nth(rank as u8, 4), count);
        }
        for (rank, is_end) in freed {
            match is_end {
                true => vacancy.record_flow_end(Level::nth(rank, 4)),
                false => drop(vacancy.record_accepted(Level::nth(rank, 4))),
            }
        }

        for rank in 1..4 {
            let (higher, lower) = (Level::nth(rank - 1, 4), Level::nth(rank, 4));
            let admits = |level| limit.admits(level, in_flight, Millis(4_000 + calm * 20));
            prop_assert!(admits(higher) || !admits(lower));
            prop_assert!(vacancy.can_open(higher, opening) || !vacancy.can_open(lower, opening));
        }
    }
}
