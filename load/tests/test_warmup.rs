//! Tests which instances open flows at targets that are slow after their start.

use medlarspur_load::warmup::{MAX_OWNERS, Seat, opening_interval};
use proptest::prelude::*;

/// Returns the maximum number of openings a second for a slow target, by the rate that it
/// can take.
fn allowed_per_second(rate: u32) -> u64 {
    u64::from(rate) * 3 / 2 + 5
}

/// Returns the most openings within any second of owners that each open whenever they may.
fn most_per_second(rate: u32, phases: &[u64]) -> usize {
    let pause = opening_interval(rate).0;
    let mut moments: Vec<u64> = phases
        .iter()
        .flat_map(|phase| (0..20).map(move |nth| phase % pause + nth * pause))
        .collect();
    moments.sort_unstable();
    let within = |at: u64| moments.iter().filter(|it| (at..at + 1_000).contains(it)).count();
    moments.iter().map(|at| within(*at)).max().unwrap_or_default()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Seats that agree on their number split the targets: each has one owner.
    #[test]
    fn each_target_has_one_owner(count in 1..200u32, target in any::<u64>()) {
        let seats = (0..count).map(|position| Seat { position, count });

        prop_assert_eq!(seats.filter(|seat| seat.owns(target)).count(), 1);
    }

    /// Guards against more openings at a target than the bound while several instances
    /// act as its owner.
    #[test]
    fn several_owners_stay_within_the_bound(
        rate in 1..100u32, phases in proptest::collection::vec(0..10_000u64, 1..=MAX_OWNERS as usize)
    ) {
        prop_assert!(most_per_second(rate, &phases) as u64 <= allowed_per_second(rate));
    }
}

/// Guards against refusing all callers while all targets of a service are slow at once.
/// Each can take four requests a second, of which its owner opens two.
#[test]
fn an_owner_opens_half_of_what_a_target_can_take() {
    assert_eq!(most_per_second(4, &[0]), 2);
    assert_eq!(most_per_second(40, &[0]), 20);
}
