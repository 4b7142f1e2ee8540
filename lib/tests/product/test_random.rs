//! No bytes make a reader panic; they are taken or refused with a reason.

use super::{
    fixtures::{bundle_text, key, keys, site},
    mutate::{edit, is_complete, mutated},
};
use medlarspur_lib::bundle::{Bundle, SignedBundle, sign};
use proptest::{collection::vec, prelude::*};

/// A slip indents the first line, which ends the document after it: the rest
/// is a second one to the YAML library, which names no line for that. The
/// author would search all of the text.
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
        let refusal = SignedBundle::check(&bytes, &keys(), &site()).expect_err("not signed off");

        prop_assert!(["not-text", "no-signature"].contains(&refusal.reason()));
    }

    #[test]
    fn a_change_after_signing_is_refused(edits in vec(edit(), 1..4)) {
        let text = sign(&bundle_text(), &key(1));
        let bytes = mutated(&text, &edits);
        prop_assume!(bytes != text.as_bytes());

        let found = SignedBundle::check(&bytes, &keys(), &site());

        // The signature line has no signature of its own: its last line end
        // may go, and its digits may change case.
        let same = bytes.trim_ascii_end().eq_ignore_ascii_case(text.trim_end().as_bytes());
        prop_assert!(found.is_err() || same);
    }

    #[test]
    fn mutated_bundles_are_taken_or_reported(edits in vec(edit(), 1..8)) {
        let bytes = mutated(&bundle_text(), &edits);

        let text = String::from_utf8_lossy(&bytes);
        match Bundle::parse(&text) {
            Ok(bundle) => prop_assert!(!bundle.services.is_empty()),
            Err(report) => prop_assert!(is_complete(&report, &text)),
        }
    }
}
