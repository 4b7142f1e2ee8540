//! Ranks by rendezvous hashing.

use medlarspur_lib::members::{is_top, top};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against two functions that disagree about which instance has a
    /// duty, so that two instances or none would have it.
    #[test]
    fn is_top_agrees_with_top(
        names in prop::collection::btree_set("[a-d]{1,3}", 0..20),
        me in "[a-d]{1,3}",
        key in "[a-z]{0,4}",
        n in 1usize..4,
    ) {
        let best = top(&key, n, names.iter(), |name| name.as_str());

        let found = is_top(&key, n, &me, names.iter().map(String::as_str));

        prop_assert_eq!(found, best.contains(&&me));
    }
}
