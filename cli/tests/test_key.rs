//! The command that generates keys.

use crate::fixtures::folder;
use expect_test::expect;

#[test]
fn a_key_pair_goes_to_two_files() {
    let folder = folder();

    let printed = folder.printed("key new --out site.key");

    let (secret, public) = (folder.read("site.key"), folder.read("site.key.pub"));
    assert_eq!((secret.len(), public.len()), (65, 65));
    assert!(printed.contains(public.trim()) && !printed.contains(secret.trim()), "{printed}");
    assert_eq!((folder.mode("site.key"), folder.mode("site.key.pub")), (0o600, 0o644));
}

/// Guards against overwriting the key in use by a new one of the same name. Without the old
/// key, no bundle can be signed for the site's instances.
#[test]
fn a_key_is_never_overwritten() {
    let folder = folder();
    folder.printed("key new --out site.key");
    let before = folder.read("site.key");

    let second = folder.run("key new --out site.key");

    assert_eq!(folder.read("site.key"), before);
    expect![[r#"
        exit code 3
        Error: can't write site.key.pub
        Caused by: entity already exists
        Hint: choose another name or remove the file first; keys are never overwritten
    "#]]
    .assert_eq(&second);
}

#[test]
fn no_secret_key_is_written_next_to_another_public_key() {
    let folder = folder();
    folder.write("site.key.pub", "the public key of another pair");

    let printed = folder.run("key new --out site.key");

    assert!(printed.starts_with("exit code 3\n"), "{printed}");
    assert!(!folder.exists("site.key"));
}
