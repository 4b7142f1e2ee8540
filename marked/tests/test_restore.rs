//! A store that is restored from a copy: what was known, what the copy says, and what is written
//! again.

use super::fixtures::{config, millis, name, target};
use medlarspur_lib::{ids::DomainName, time::Millis};
use medlarspur_marked::{
    Catalog, Change, Content, Presence, Restored, Revision, Scope, Target, Update,
    message::encode_update,
};

/// Time after which everything is written again and what the copy says takes effect.
const REWRITE_TIME: Millis = Millis(3_000);

fn at(era: u32, count: u64, content: Content) -> Change {
    Change { revision: Revision::new(era, count), content }
}

fn written(number: u64, writes: u64, leaving: bool) -> Target {
    Target { writes, leaving, ..target(number, "desk") }
}

fn entry(number: u64, writes: u64) -> Content {
    Content::Target(written(number, writes, false))
}

fn snapshot(era: u32, count: u64, changes: Vec<Change>) -> Update {
    Update::new(Revision::new(era, count), Scope::Snapshot, changes)
}

fn incremental(era: u32, count: u64, content: Content) -> Update {
    let scope = Scope::Incremental(Revision::new(era, count - 1));
    Update::new(Revision::new(era, count), scope, vec![at(era, count, content)])
}

/// A catalog of era 0 up to revision 49, with two targets and config 1, and the given changes at
/// revision 50.
fn catalog_with(changes: Vec<Change>) -> Catalog {
    let mut catalog = Catalog::default();
    let mut all = vec![at(0, 1, Content::Config(config(1))), at(0, 2, entry(1, 3))];
    all.push(at(0, 3, entry(2, 3)));
    catalog.merge(snapshot(0, 49, all), millis(0));
    for change in changes {
        catalog.merge(incremental(0, 50, change.content), millis(0));
    }
    catalog
}

/// The snapshot of the restored copy: the two targets, config 1, and `more`.
fn restored_copy(count: u64, more: Vec<Change>) -> Update {
    let mut all = vec![at(1, 1, Content::Config(config(1))), at(1, 2, entry(1, 3))];
    all.push(at(1, 3, entry(2, 3)));
    all.extend(more);
    snapshot(1, count, all)
}

fn is_listed(catalog: &Catalog, number: u64) -> bool {
    catalog.latest(&name(number)).is_some_and(|it| it.presence == Presence::Listed)
}

fn south() -> DomainName {
    DomainName::new("south")
}

/// Guards against routes that operators have removed and that the copy brings back.
#[test]
fn an_older_config_of_a_copy_is_ignored() {
    let mut catalog = catalog_with(vec![at(0, 50, Content::Config(config(9)))]);

    catalog.merge(restored_copy(30, vec![]), millis(10));
    catalog.confirm(millis(10) + REWRITE_TIME);

    assert_eq!(catalog.config().expect("a config").version.0, 9);
}

/// Guards against ignoring a config because its count was already used in the earlier era.
#[test]
fn a_config_after_a_restore_is_in_force_at_once() {
    let mut catalog = catalog_with(vec![at(0, 50, Content::Config(config(9)))]);
    catalog.merge(restored_copy(30, vec![]), millis(10));

    catalog.merge(incremental(1, 31, Content::Config(config(10))), millis(20));

    assert_eq!(catalog.config().expect("a config").version.0, 10);
    assert_eq!(catalog.revision(), Revision::new(1, 31));
}

/// Guards against new flows to a leaving target, because the copy is older than its leaving.
#[test]
fn a_copy_does_not_make_a_leaving_target_available() {
    let leaves = Content::Target(written(1, 4, true));
    let mut catalog = catalog_with(vec![at(0, 50, leaves)]);

    catalog.merge(restored_copy(30, vec![]), millis(10));
    catalog.confirm(millis(10) + REWRITE_TIME);

    assert!(catalog.latest(&name(1)).expect("known").target.leaving);
    catalog.merge(incremental(1, 31, Content::Removed(name(1))), millis(4_000));
    assert!(!is_listed(&catalog, 1));
}

/// Guards against removing a target that started after the copy was made.
#[test]
fn a_target_that_a_copy_lacks_stays_listed_for_the_rewrite_time() {
    for is_written in [true, false] {
        let mut catalog = catalog_with(vec![at(0, 50, entry(3, 1))]);

        catalog.merge(restored_copy(30, vec![]), millis(10));
        assert!(is_listed(&catalog, 3));
        if is_written {
            catalog.merge(incremental(1, 31, entry(3, 2)), millis(1_500));
        }
        let changed = catalog.confirm(millis(10) + REWRITE_TIME);

        assert_eq!(is_listed(&catalog, 3), is_written);
        assert_eq!(changed.targets.is_empty(), is_written);
        assert_eq!(catalog.deadline(), None);
    }
}

/// Guards against new flows to a target that has ended and that the copy still lists.
#[test]
fn a_copy_does_not_list_a_removed_target_at_once() {
    for is_there in [true, false] {
        let mut catalog = catalog_with(vec![at(0, 50, Content::Removed(name(1)))]);

        catalog.merge(restored_copy(30, vec![]), millis(10));
        assert!(!is_listed(&catalog, 1));
        if !is_there {
            catalog.merge(incremental(1, 31, Content::Removed(name(1))), millis(1_500));
        }
        catalog.confirm(millis(10) + REWRITE_TIME);

        assert_eq!(is_listed(&catalog, 1), is_there);
    }
}

/// Guards against delaying an entry that was already written again as if it came from the copy.
#[test]
fn an_entry_with_a_larger_write_count_is_applied_at_once() {
    let mut catalog = catalog_with(vec![at(0, 50, Content::Removed(name(1)))]);

    let leaves = Content::Target(written(2, 4, true));
    let update = snapshot(1, 32, vec![at(1, 31, entry(1, 4)), at(1, 32, leaves)]);
    catalog.merge(update, millis(10));

    assert!(is_listed(&catalog, 1));
    assert!(catalog.latest(&name(2)).expect("known").target.leaving);
}

/// Guards against new flows in an evacuated domain, because the copy is older than the evacuation.
#[test]
fn an_evacuation_that_a_copy_lacks_holds_for_the_rewrite_time() {
    let mut catalog = catalog_with(vec![at(0, 50, Content::Evacuated(south()))]);

    catalog.merge(restored_copy(30, vec![]), millis(10));
    assert!(catalog.is_evacuated(&south()));
    catalog.confirm(millis(10) + REWRITE_TIME);
    assert!(!catalog.is_evacuated(&south()));

    let mut catalog = catalog_with(vec![at(0, 50, Content::Evacuated(south()))]);
    catalog.merge(restored_copy(30, vec![]), millis(10));
    catalog.merge(incremental(1, 31, Content::Evacuated(south())), millis(1_000));
    catalog.confirm(millis(10) + REWRITE_TIME);
    assert!(catalog.is_evacuated(&south()));
    catalog.merge(incremental(1, 32, Content::EvacuationEnded(south())), millis(4_000));
    assert!(!catalog.is_evacuated(&south()));
}

/// Guards against evacuating a domain again whose evacuation ended after the copy was made.
#[test]
fn an_evacuation_that_ended_after_the_copy_does_not_begin_again() {
    let mut catalog = catalog_with(vec![at(0, 50, Content::Evacuated(south()))]);
    catalog.merge(incremental(0, 51, Content::EvacuationEnded(south())), millis(0));

    let of_copy = at(1, 50, Content::Evacuated(south()));
    catalog.merge(restored_copy(50, vec![of_copy]), millis(10));
    assert!(!catalog.is_evacuated(&south()));

    let given_anew = at(1, 52, Content::Evacuated(south()));
    catalog.merge(restored_copy(52, vec![given_anew]), millis(20));
    assert!(catalog.is_evacuated(&south()));
}

/// Guards against an update that was under way while the store was restored.
#[test]
fn an_update_of_an_earlier_era_is_ignored() {
    let mut catalog = catalog_with(vec![]);
    let leaves = Content::Target(written(1, 5, true));
    catalog.merge(restored_copy(30, vec![]), millis(10));
    catalog.merge(incremental(1, 31, leaves), millis(20));

    catalog.merge(incremental(0, 51, entry(1, 4)), millis(30));
    catalog.merge(snapshot(0, 60, vec![at(0, 55, entry(1, 4))]), millis(40));

    assert!(catalog.latest(&name(1)).expect("known").target.leaving);
    assert!(is_listed(&catalog, 2));
    assert_eq!(catalog.revision(), Revision::new(1, 31));
}

/// Guards against two successive restores, where the unconfirmed changes of the first copy would
/// remove what the second one lists.
#[test]
fn unconfirmed_changes_are_dropped_when_the_next_era_is_read() {
    let mut catalog = catalog_with(vec![at(0, 50, entry(3, 1))]);
    catalog.merge(restored_copy(30, vec![]), millis(10));

    let again = vec![at(2, 2, entry(1, 3)), at(2, 3, entry(2, 3)), at(2, 5, entry(3, 1))];
    catalog.merge(snapshot(2, 20, again), millis(500));
    catalog.confirm(millis(500) + REWRITE_TIME);

    assert!(is_listed(&catalog, 3));
}

/// Guards against a second full read of the same era that applies unconfirmed changes at once.
#[test]
fn a_second_full_read_confirms_nothing_early() {
    let mut catalog = catalog_with(vec![at(0, 50, entry(3, 1))]);
    catalog.merge(restored_copy(30, vec![]), millis(10));

    catalog.merge(restored_copy(31, vec![]), millis(500));

    assert!(is_listed(&catalog, 3));
    catalog.confirm(millis(10) + REWRITE_TIME);
    assert!(!is_listed(&catalog, 3));
}

/// Guards against restores that operators don't see.
#[test]
fn a_restore_is_reported_with_its_effects() {
    let mut catalog = catalog_with(vec![at(0, 50, entry(3, 1))]);

    let changed = catalog.merge(restored_copy(30, vec![at(1, 30, entry(4, 1))]), millis(10));
    let later = catalog.merge(restored_copy(31, vec![at(1, 30, entry(4, 1))]), millis(20));

    let (from, to) = (Revision::new(0, 50), Revision::new(1, 30));
    assert_eq!(changed.restore, Some(Restored { from, to, changed: 1, unconfirmed: 1 }));
    assert_eq!(later.restore, None);
}

/// Guards against sending every listener all unchanged items after a restore.
#[test]
fn the_update_after_a_restore_does_not_grow_with_the_targets() {
    let size = |count: u64| {
        let listed = |era| (10..10 + count).map(move |nth| at(era, nth, entry(nth, 1)));
        let mut reader = Catalog::default();
        let all = [at(0, 1, Content::Config(config(1)))].into_iter().chain(listed(0));
        reader.merge(snapshot(0, 10_000, all.collect()), millis(0));
        reader.merge(incremental(0, 10_001, entry(3, 1)), millis(0));
        let known = reader.revision();
        let all = [at(1, 1, Content::Config(config(1)))].into_iter().chain(listed(1));

        reader.merge(snapshot(1, 10_000, all.collect()), millis(10));

        let update = reader.update_since(known, millis(20));
        assert!(matches!(update.scope, Scope::WithDigest { since, .. } if since == known));
        encode_update(&update).expect("the update is valid").len()
    };

    assert!(size(100) < 200);
    // The encoded size of the digest varies by some bytes.
    assert!(size(4_000).abs_diff(size(100)) < 4);
}

/// Guards against applying the update of a reader that knew less than the listener.
#[test]
fn a_listener_that_knew_more_of_the_earlier_era_pulls_a_snapshot() {
    let mut reader = catalog_with(vec![]);
    let known = reader.revision();
    let mut listener = catalog_with(vec![at(0, 50, entry(3, 1))]);
    reader.merge(restored_copy(30, vec![]), millis(10));

    listener.merge(reader.update_since(known, millis(20)), millis(20));
    assert!(listener.revision().era == 0 && is_listed(&listener, 3));
    listener.merge(reader.update_since(listener.pull_base(), millis(30)), millis(30));
    listener.confirm(millis(30) + REWRITE_TIME);

    assert_eq!((listener.revision().era, is_listed(&listener, 3)), (1, false));
}

/// Guards against a config delta that can't be applied and is sent again and again.
#[test]
fn an_instance_with_the_config_of_the_copy_gets_the_whole_config() {
    let mut reader = catalog_with(vec![at(0, 50, Content::Config(config(9)))]);
    let mut fresh = Catalog::default();
    fresh.merge(restored_copy(30, vec![]), millis(10));
    reader.merge(restored_copy(30, vec![]), millis(10));

    reader.merge(incremental(1, 31, Content::Config(config(10))), millis(20));
    fresh.merge(reader.update_since(fresh.pull_base(), millis(20)), millis(20));
    assert_eq!(fresh.revision(), Revision::new(1, 30));
    fresh.merge(reader.update_since(fresh.pull_base(), millis(30)), millis(30));

    assert_eq!(fresh.config(), reader.config());
    assert_eq!(fresh.revision(), Revision::new(1, 31));
}
