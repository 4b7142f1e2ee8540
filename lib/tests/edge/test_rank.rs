use medlarspur_lib::members::{is_top, top};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Two ways to ask who has a duty must agree, or it would have two
    /// instances or none.
    #[test]
    fn to_be_among_the_top_is_what_the_top_says(
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
