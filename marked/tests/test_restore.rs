//! A source that comes back from a copy: what was known, what the copy says, and what is written
//! again.

use super::fixtures::{config, millis, name, target};
use medlarspur_lib::{ids::DomainName, time::Millis};
use medlarspur_marked::{
    Catalog, Change, Content, Presence, Restored, Revision, Scope, Target, Update,
    message::encode_update,
};

/// The time by which all is written again, and with it what the copy says holds.
const REWRITTEN: Millis = Millis(3_000);

fn at(era: u32, count: u64, content: Content) -> Change {
    Change { revision: Revision::new(era, count), content }
}

fn written(number: u64, writes: u64, leaving: bool) -> Target {
    Target { writes, leaving, ..target(number, "desk") }
}

fn entry(number: u64, writes: u64) -> Content {
    Content::Target(written(number, writes, false))
}

fn whole(era: u32, count: u64, changes: Vec<Change>) -> Update {
    Update::new(Revision::new(era, count), Scope::Snapshot, changes)
}

fn event(era: u32, count: u64, content: Content) -> Update {
    let scope = Scope::Incremental(Revision::new(era, count - 1));
    Update::new(Revision::new(era, count), scope, vec![at(era, count, content)])
}

/// One that knows the first era up to revision 50: two targets, and config 1.
fn knowing(changes: Vec<Change>) -> Catalog {
    let mut catalog = Catalog::default();
    let mut all = vec![at(0, 1, Content::Config(config(1))), at(0, 2, entry(1, 3))];
    all.push(at(0, 3, entry(2, 3)));
    catalog.merge(whole(0, 49, all), millis(0));
    for change in changes {
        catalog.merge(event(0, 50, change.content), millis(0));
    }
    catalog
}

/// What the copy has of that, and some more.
fn copy(count: u64, more: Vec<Change>) -> Update {
    let mut all = vec![at(1, 1, Content::Config(config(1))), at(1, 2, entry(1, 3))];
    all.push(at(1, 3, entry(2, 3)));
    all.extend(more);
    whole(1, count, all)
}

fn is_listed(catalog: &Catalog, number: u64) -> bool {
    catalog.latest(&name(number)).is_some_and(|it| it.presence == Presence::Listed)
}

fn south() -> DomainName {
    DomainName::new("south")
}

/// Guards against routes that operators have removed and that the copy brings back.
#[test]
fn an_older_config_of_a_copy_is_not_taken() {
    let mut catalog = knowing(vec![at(0, 50, Content::Config(config(9)))]);

    catalog.merge(copy(30, vec![]), millis(10));
    catalog.confirm(millis(10) + REWRITTEN);

    assert_eq!(catalog.config().expect("a config").version.0, 9);
}

/// Guards against a config whose revision was given out before.
#[test]
fn a_config_after_a_restore_is_in_force_at_once() {
    let mut catalog = knowing(vec![at(0, 50, Content::Config(config(9)))]);
    catalog.merge(copy(30, vec![]), millis(10));

    catalog.merge(event(1, 31, Content::Config(config(10))), millis(20));

    assert_eq!(catalog.config().expect("a config").version.0, 10);
    assert_eq!(catalog.revision(), Revision::new(1, 31));
}

/// Guards against new flows at a target that has said that it leaves, since the copy doesn't know.
#[test]
fn a_target_that_leaves_is_not_ready_because_a_copy_says_so() {
    let leaves = Content::Target(written(1, 4, true));
    let mut catalog = knowing(vec![at(0, 50, leaves)]);

    catalog.merge(copy(30, vec![]), millis(10));
    catalog.confirm(millis(10) + REWRITTEN);

    assert!(catalog.latest(&name(1)).expect("known").target.leaving);
    catalog.merge(event(1, 31, Content::Removed(name(1))), millis(4_000));
    assert!(!is_listed(&catalog, 1));
}

/// Guards against taking a target for gone that came after the copy was made.
#[test]
fn a_target_that_a_copy_lacks_stays_until_there_was_time_to_write_it_again() {
    for is_written in [true, false] {
        let mut catalog = knowing(vec![at(0, 50, entry(3, 1))]);

        catalog.merge(copy(30, vec![]), millis(10));
        assert!(is_listed(&catalog, 3));
        if is_written {
            catalog.merge(event(1, 31, entry(3, 2)), millis(1_500));
        }
        let changed = catalog.confirm(millis(10) + REWRITTEN);

        assert_eq!(is_listed(&catalog, 3), is_written);
        assert_eq!(changed.targets.is_empty(), is_written);
        assert_eq!(catalog.deadline(), None);
    }
}

/// Guards against new flows at a target that has gone and that the copy still lists.
#[test]
fn a_target_that_went_is_not_listed_because_a_copy_says_so() {
    for is_there in [true, false] {
        let mut catalog = knowing(vec![at(0, 50, Content::Removed(name(1)))]);

        catalog.merge(copy(30, vec![]), millis(10));
        assert!(!is_listed(&catalog, 1));
        if !is_there {
            catalog.merge(event(1, 31, Content::Removed(name(1))), millis(1_500));
        }
        catalog.confirm(millis(10) + REWRITTEN);

        assert_eq!(is_listed(&catalog, 1), is_there);
    }
}

/// Guards against an entry that is already written again and waits like one of the copy.
#[test]
fn an_entry_that_is_later_by_its_own_count_is_taken_at_once() {
    let mut catalog = knowing(vec![at(0, 50, Content::Removed(name(1)))]);

    let leaves = Content::Target(written(2, 4, true));
    let update = whole(1, 32, vec![at(1, 31, entry(1, 4)), at(1, 32, leaves)]);
    catalog.merge(update, millis(10));

    assert!(is_listed(&catalog, 1));
    assert!(catalog.latest(&name(2)).expect("known").target.leaving);
}

/// Guards against new flows in a domain that operators have emptied, since the copy doesn't know.
#[test]
fn an_evacuation_that_a_copy_lacks_holds_until_operators_had_time() {
    let mut catalog = knowing(vec![at(0, 50, Content::Evacuated(south()))]);

    catalog.merge(copy(30, vec![]), millis(10));
    assert!(catalog.is_evacuated(&south()));
    catalog.confirm(millis(10) + REWRITTEN);
    assert!(!catalog.is_evacuated(&south()));

    let mut catalog = knowing(vec![at(0, 50, Content::Evacuated(south()))]);
    catalog.merge(copy(30, vec![]), millis(10));
    catalog.merge(event(1, 31, Content::Evacuated(south())), millis(1_000));
    catalog.confirm(millis(10) + REWRITTEN);
    assert!(catalog.is_evacuated(&south()));
    catalog.merge(event(1, 32, Content::EvacuationEnded(south())), millis(4_000));
    assert!(!catalog.is_evacuated(&south()));
}

/// Guards against emptying a domain again that operators have taken back since the copy.
#[test]
fn an_evacuation_that_ended_after_the_copy_does_not_hold_again() {
    let mut catalog = knowing(vec![at(0, 50, Content::Evacuated(south()))]);
    catalog.merge(event(0, 51, Content::EvacuationEnded(south())), millis(0));

    let of_copy = at(1, 50, Content::Evacuated(south()));
    catalog.merge(copy(50, vec![of_copy]), millis(10));
    assert!(!catalog.is_evacuated(&south()));

    let given_anew = at(1, 52, Content::Evacuated(south()));
    catalog.merge(copy(52, vec![given_anew]), millis(20));
    assert!(catalog.is_evacuated(&south()));
}

/// Guards against a message that was under way while the source came back.
#[test]
fn news_of_an_earlier_era_undoes_nothing() {
    let mut catalog = knowing(vec![]);
    let leaves = Content::Target(written(1, 5, true));
    catalog.merge(copy(30, vec![]), millis(10));
    catalog.merge(event(1, 31, leaves), millis(20));

    catalog.merge(event(0, 51, entry(1, 4)), millis(30));
    catalog.merge(whole(0, 60, vec![at(0, 55, entry(1, 4))]), millis(40));

    assert!(catalog.latest(&name(1)).expect("known").target.leaving);
    assert!(is_listed(&catalog, 2));
    assert_eq!(catalog.revision(), Revision::new(1, 31));
}

/// Guards against two restores of which the first one's copy ends what the second one's lists.
#[test]
fn what_a_copy_said_is_void_once_the_next_era_is_read() {
    let mut catalog = knowing(vec![at(0, 50, entry(3, 1))]);
    catalog.merge(copy(30, vec![]), millis(10));

    let again = vec![at(2, 2, entry(1, 3)), at(2, 3, entry(2, 3)), at(2, 5, entry(3, 1))];
    catalog.merge(whole(2, 20, again), millis(500));
    catalog.confirm(millis(500) + REWRITTEN);

    assert!(is_listed(&catalog, 3));
}

/// Guards against a second reading, of the same era, that takes at their word what waits.
#[test]
fn reading_all_again_confirms_nothing_early() {
    let mut catalog = knowing(vec![at(0, 50, entry(3, 1))]);
    catalog.merge(copy(30, vec![]), millis(10));

    catalog.merge(copy(31, vec![]), millis(500));

    assert!(is_listed(&catalog, 3));
    catalog.confirm(millis(10) + REWRITTEN);
    assert!(!is_listed(&catalog, 3));
}

/// Guards against a restore that operators can't see.
#[test]
fn a_restore_is_told_with_what_it_changes() {
    let mut catalog = knowing(vec![at(0, 50, entry(3, 1))]);

    let changed = catalog.merge(copy(30, vec![at(1, 30, entry(4, 1))]), millis(10));
    let later = catalog.merge(copy(31, vec![at(1, 30, entry(4, 1))]), millis(20));

    let (from, to) = (Revision::new(0, 50), Revision::new(1, 30));
    assert_eq!(changed.restore, Some(Restored { from, to, changed: 1, unconfirmed: 1 }));
    assert_eq!(later.restore, None);
}

/// Guards against telling each listener at a restore what is as it was.
#[test]
fn a_restore_is_told_in_a_message_that_does_not_grow_with_the_targets() {
    let size = |count: u64| {
        let listed = |era| (10..10 + count).map(move |nth| at(era, nth, entry(nth, 1)));
        let mut reader = Catalog::default();
        let all = [at(0, 1, Content::Config(config(1)))].into_iter().chain(listed(0));
        reader.merge(whole(0, 10_000, all.collect()), millis(0));
        reader.merge(event(0, 10_001, entry(3, 1)), millis(0));
        let known = reader.revision();
        let all = [at(1, 1, Content::Config(config(1)))].into_iter().chain(listed(1));

        reader.merge(whole(1, 10_000, all.collect()), millis(10));

        let told = reader.update_since(known, millis(20));
        assert!(matches!(told.scope, Scope::WithDigest { since, .. } if since == known));
        encode_update(&told).expect("sound").len()
    };

    assert!(size(100) < 200);
    // The digest takes a byte more or less.
    assert!(size(4_000).abs_diff(size(100)) < 4);
}

/// Guards against taking the difference of a reader that knew less than the listener.
#[test]
fn whoever_knew_more_of_the_earlier_era_asks_for_all() {
    let mut reader = knowing(vec![]);
    let known = reader.revision();
    let mut listener = knowing(vec![at(0, 50, entry(3, 1))]);
    reader.merge(copy(30, vec![]), millis(10));

    listener.merge(reader.update_since(known, millis(20)), millis(20));
    assert!(listener.revision().era == 0 && is_listed(&listener, 3));
    listener.merge(reader.update_since(listener.pull_base(), millis(30)), millis(30));
    listener.confirm(millis(30) + REWRITTEN);

    assert_eq!((listener.revision().era, is_listed(&listener, 3)), (1, false));
}

/// Guards against a difference of configs that can't be applied and is told again and again.
#[test]
fn whoever_has_the_config_of_the_copy_is_told_the_whole_one() {
    let mut reader = knowing(vec![at(0, 50, Content::Config(config(9)))]);
    let mut fresh = Catalog::default();
    fresh.merge(copy(30, vec![]), millis(10));
    reader.merge(copy(30, vec![]), millis(10));

    reader.merge(event(1, 31, Content::Config(config(10))), millis(20));
    fresh.merge(reader.update_since(fresh.pull_base(), millis(20)), millis(20));
    assert_eq!(fresh.revision(), Revision::new(1, 30));
    fresh.merge(reader.update_since(fresh.pull_base(), millis(30)), millis(30));

    assert_eq!(fresh.config(), reader.config());
    assert_eq!(fresh.revision(), Revision::new(1, 31));
}
