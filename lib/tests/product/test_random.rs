//! No input makes a parser panic; it is accepted or refused with a reason.

use super::{
    fixtures::{bundle_text, key, keys, site},
    mutate::{edit, is_complete, mutated},
};
use medlarspur_lib::bundle::{Bundle, SignedBundle, sign};
use proptest::{collection::vec, prelude::*};

/// An indented first line ends the document after it, and the rest is a second
/// document. The YAML library gives no line for that error. Guards against a
/// report without a line, with which the author would have to search the whole
/// text.
#[test]
fn a_second_document_is_reported_with_its_line() {
    let indented = format!(" {}", bundle_text());
    let second = format!("{}---\nsite: sofia\n", bundle_text());

    for text in [indented, second] {
        let report = Bundle::parse(&text).expect_err("two documents");

        assert!(is_complete(&report, &text), "{report}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_bytes_are_refused(bytes in vec(any::<u8>(), 0..600)) {
        let refusal = SignedBundle::check(&bytes, &keys(), &site()).expect_err("not signed");

        prop_assert!(["not-text", "no-signature"].contains(&refusal.reason()));
    }

    #[test]
    fn a_change_after_signing_is_refused(edits in vec(edit(), 1..4)) {
        let text = sign(&bundle_text(), &key(1));
        let bytes = mutated(&text, &edits);
        prop_assume!(bytes != text.as_bytes());

        let found = SignedBundle::check(&bytes, &keys(), &site());

        // The signature doesn't cover its own line: the final line feed may be
        // missing, and the digits may change case.
        let same = bytes.trim_ascii_end().eq_ignore_ascii_case(text.trim_end().as_bytes());
        prop_assert!(found.is_err() || same);
    }

    #[test]
    fn mutated_bundles_are_accepted_or_reported(edits in vec(edit(), 1..8)) {
        let bytes = mutated(&bundle_text(), &edits);

        let text = String::from_utf8_lossy(&bytes);
        match Bundle::parse(&text) {
            Ok(bundle) => prop_assert!(!bundle.services.is_empty()),
            Err(report) => prop_assert!(is_complete(&report, &text)),
        }
    }
}
