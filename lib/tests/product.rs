//! Tests of the texts that operators write: bundles, signatures and settings.

mod product {
    mod fixtures;
    mod mutate;
    mod test_bundle;
    mod test_diff;
    mod test_flows;
    mod test_marked_settings;
    mod test_outdated;
    mod test_pages;
    mod test_random;
    mod test_settings;
    mod test_sign;
}
