//! Tests how targets are split among the instances of a failure domain.

use medlarspur_load::{subset::assigned_targets, warmup::Seat};
use proptest::prelude::*;
use std::collections::BTreeSet;

fn targets(count: u64) -> Vec<u64> {
    let mut targets: Vec<u64> =
        (1..=count).map(|it| it.wrapping_mul(0x9e37_79b9_7f4a_7c15)).collect();
    targets.sort_unstable();
    targets
}

fn all_subsets(count: u32, targets: &[u64]) -> Vec<Vec<u64>> {
    (0..count).map(|position| assigned_targets(Seat { position, count }, targets)).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against targets that no instance uses first, and against subsets of unequal
    /// size.
    #[test]
    fn each_target_is_assigned_and_subsets_are_of_similar_size(count in 1..120u32, number in 0..1_000u64) {
        let targets = targets(number);

        let subsets = all_subsets(count, &targets);

        let assigned: BTreeSet<u64> = subsets.iter().flatten().copied().collect();
        prop_assert_eq!(assigned.len(), targets.len());
        let sizes = subsets.iter().map(Vec::len);
        let (least, most) = (sizes.clone().min().unwrap_or(0), sizes.max().unwrap_or(0));
        prop_assert!(most - least <= 4, "{least} to {most}");
    }

    /// Guards against one target that most instances use first, where targets are few.
    #[test]
    fn targets_have_similar_numbers_of_instances(count in 1..120u32, number in 1..400u64) {
        let targets = targets(number);

        let subsets = all_subsets(count, &targets);

        let owners = |target: &u64| subsets.iter().filter(|subset| subset.contains(target)).count();
        let owners: Vec<usize> = targets.iter().map(owners).collect();
        let (least, most) = (owners.iter().min(), owners.iter().max());
        let mean = f64::from(count) / number as f64;
        prop_assert!(most.copied().unwrap_or(0) as f64 <= mean.max(1.0).ceil(), "{least:?} to {most:?}");
    }

    /// Guards against instances whose targets are all reserved for requests.
    #[test]
    fn each_subset_has_some_of_the_first_and_of_the_last_targets(count in 1..100u32) {
        let targets = targets(8 * u64::from(count));
        let middle = targets[targets.len() / 2];

        for subset in all_subsets(count, &targets) {
            let first = subset.iter().filter(|it| **it < middle).count();
            prop_assert!(first >= 2 && subset.len() - first >= 2, "{first} of {}", subset.len());
        }
    }

    /// Guards against new subsets for all instances whenever a target comes or goes.
    #[test]
    fn most_assignments_stay_when_a_target_goes(position in 0..100u32, gone in 0..800usize) {
        let before = targets(800);
        let mut after = before.clone();
        after.remove(gone);
        let seat = Seat { position, count: 100 };

        let (old, new) = (assigned_targets(seat, &before), assigned_targets(seat, &after));

        let stay = old.iter().filter(|it| new.contains(it)).count();
        prop_assert!(2 * stay >= old.len(), "{stay} of {} stay", old.len());
    }

    /// Guards against a damaged seat that ends a thread.
    #[test]
    fn any_seat_gets_a_target(position: u32, count: u32, number in 1..500u64) {
        let assigned = assigned_targets(Seat { position, count }, &targets(number));

        prop_assert!(!assigned.is_empty());
    }
}
