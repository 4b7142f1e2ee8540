//! Tests of signing bundles and verifying signatures.

use super::fixtures::{bundle_text, key, keys, site};
use medlarspur_lib::{
    bundle::{MAX_BUNDLE_SIZE, SignedBundle, sign, strip_signature},
    ids::SiteName,
};

fn refusal(bytes: &[u8]) -> &'static str {
    SignedBundle::check(bytes, &keys(), &site()).expect_err("to be refused").reason()
}

#[test]
fn a_signed_bundle_is_accepted() {
    let text = sign(&bundle_text(), &key(1));

    let signed = SignedBundle::check(text.as_bytes(), &keys(), &site()).expect("signed");

    assert_eq!(&*signed.text, text);
    assert_eq!(signed.key, key(1).public().id());
    assert_eq!(&signed.digest, blake3::hash(text.as_bytes()).as_bytes());
    assert_eq!(signed.bundle.services.len(), 2);
}

#[test]
fn signing_again_replaces_the_signature() {
    let once = sign(&bundle_text(), &key(1));
    let other = sign(&bundle_text(), &key(2));

    assert_eq!(sign(&other, &key(1)), once);
    assert_eq!(strip_signature(&once), bundle_text());
}

#[test]
fn a_text_without_a_final_line_feed_can_be_signed() {
    let text = sign(bundle_text().trim_end(), &key(1));

    assert!(SignedBundle::check(text.as_bytes(), &keys(), &site()).is_ok());
}

#[test]
fn each_invalid_signature_has_its_reason() {
    let signed = sign(&bundle_text(), &key(1));
    let changed = signed.replacen("10.1.0.1:6080", "10.1.0.9:6080", 1);
    let appended = format!("{signed}site: plovdiv\n");

    assert_eq!(refusal(bundle_text().as_bytes()), "no-signature");
    assert_eq!(refusal(appended.as_bytes()), "no-signature");
    assert_eq!(refusal(sign(&bundle_text(), &key(2)).as_bytes()), "unknown-key");
    assert_eq!(refusal(changed.as_bytes()), "bad-signature");
    assert_eq!(refusal(b"\xff\xfe"), "not-text");
    assert_eq!(refusal(&vec![b'#'; MAX_BUNDLE_SIZE + 1]), "too-large");
    assert_eq!(refusal(b""), "no-signature");
}

#[test]
fn a_signed_bundle_with_faults_is_refused() {
    let text = sign("version: 1\nsite: sofia\n", &key(1));

    assert_eq!(refusal(text.as_bytes()), "faults");
}

#[test]
fn a_bundle_of_another_site_is_refused() {
    let text = sign(&bundle_text(), &key(1));
    let vantaa = SiteName::new("vantaa");

    let refusal = SignedBundle::check(text.as_bytes(), &keys(), &vantaa).expect_err("wrong site");

    assert_eq!(refusal.reason(), "wrong-site");
}

/// An author may replace the seed by mistake. Guards against accepting that:
/// every flow would hash to another bucket, and open feeds would reach targets
/// that reset them.
#[test]
fn a_changed_seed_is_refused() {
    let check = |text: &str| {
        SignedBundle::check(sign(text, &key(1)).as_bytes(), &keys(), &site()).expect("signed")
    };
    let current = check(&bundle_text());
    let next = check(&bundle_text().replace("version: 7", "version: 8"));
    let reseeded = check(&bundle_text().replace("seed: 00", "seed: 01"));

    assert!(next.check_can_replace(&current.bundle).is_ok());
    let refusal = reseeded.check_can_replace(&current.bundle).expect_err("another seed");
    assert_eq!(refusal.reason(), "seed-changed");
    assert!(next.rank() > current.rank());
}
