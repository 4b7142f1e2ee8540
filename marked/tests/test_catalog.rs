//! Merging updates: any order results in the same catalog.

use super::fixtures::{FEED, change, config, incremental, millis, name, started, target, update};
use medlarspur_lib::ids::ServiceName;
use medlarspur_marked::{Catalog, Content, Incarnation, Presence, Revision, Scope, Update};
use proptest::prelude::*;

fn listed(catalog: &Catalog) -> Vec<(Incarnation, Revision, bool)> {
    let entries = catalog.entries().map(|entry| {
        (entry.target.incarnation, entry.revision, entry.presence == Presence::Listed)
    });
    let mut entries: Vec<_> = entries.collect();
    entries.sort();
    entries
}

fn histories() -> impl Strategy<Value = Vec<Update>> {
    let content = (1..6u64, 0..4u64, 0..6u8).prop_map(|(number, start, kind)| match kind {
        0 => Content::Removed(name(number)),
        1 => Content::Unusable(name(number)),
        2..5 => Content::Target(started(number, "desk", start)),
        _ => Content::Config(config(number)),
    });
    proptest::collection::vec(content, 1..30).prop_map(|contents| {
        contents
            .into_iter()
            .zip(1..)
            .map(|(content, revision)| incremental(revision, content))
            .collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn order_and_repetition_of_updates_do_not_matter(
        history in histories(), order in any::<prop::sample::Index>(), seed in any::<u64>()
    ) {
        let mut ordered = Catalog::default();
        let mut shuffled = Catalog::default();
        let mut mixed = history.clone();
        let again = order.index(history.len());
        mixed.push(history[again].clone());
        let mut random = medlarspur_load::random::Random::new(seed);
        for last in (1..mixed.len()).rev() {
            mixed.swap(last, (random.draw() % (last as u64 + 1)) as usize);
        }

        for update in history {
            ordered.merge(update, millis(1));
        }
        for update in mixed {
            shuffled.merge(update, millis(1));
        }

        let present = |catalog: &Catalog| {
            let entries = listed(catalog).into_iter().filter(|(.., listed)| *listed);
            entries.collect::<Vec<_>>()
        };
        prop_assert_eq!(present(&ordered), present(&shuffled));
        prop_assert_eq!(ordered.config(), shuffled.config());
        // While updates are missing in between, the catalog does not claim to be complete. Pulling
        // what it lacks closes the gap.
        prop_assert!(shuffled.revision() <= ordered.revision());
        shuffled.merge(ordered.update_since(shuffled.revision(), millis(2)), millis(2));
        prop_assert_eq!(present(&ordered), present(&shuffled));
        prop_assert_eq!(ordered.revision(), shuffled.revision());
    }
}

/// Guards against a slow store that lists an older config while a newer one is in force. Applying
/// it would bring back routes that operators have removed.
#[test]
fn an_older_config_is_ignored() {
    let mut catalog = Catalog::default();
    catalog.merge(incremental(20, Content::Config(config(7))), millis(0));

    catalog.merge(incremental(10, Content::Config(config(6))), millis(1));

    assert_eq!(catalog.config().expect("a config").version.0, 7);
}

/// Guards against a removal that overtakes the update of its entry. Without a tombstone, the late
/// entry would bring a dead target back into use.
#[test]
fn a_removal_that_arrives_first_outdates_the_entry() {
    let mut catalog = Catalog::default();
    let gone = target(1, "desk");
    catalog.merge(incremental(9, Content::Removed(gone.name.clone())), millis(0));

    catalog.merge(incremental(8, Content::Target(gone)), millis(1));

    assert_eq!(catalog.entries().count(), 0);
}

/// Guards against keeping removed items after the store has compacted its history and an instance
/// makes a full read.
#[test]
fn a_snapshot_removes_items_that_it_does_not_list() {
    let mut catalog = Catalog::default();
    catalog.merge(incremental(1, Content::Target(target(1, "desk"))), millis(0));
    catalog.merge(incremental(2, Content::Target(target(2, "desk"))), millis(0));

    let kept = change(2, Content::Target(target(2, "desk")));
    catalog.merge(update(30, Scope::Snapshot, vec![kept]), millis(5));

    let presence =
        |number| catalog.entry(target(number, "desk").incarnation).expect("still known").presence;
    assert_eq!(presence(1), Presence::Removed(millis(5)));
    assert_eq!(presence(2), Presence::Listed);
}

/// Guards against removing a target that was listed by a newer change during a full read, which
/// takes several calls.
#[test]
fn a_snapshot_does_not_remove_newer_items() {
    let mut catalog = Catalog::default();
    catalog.merge(incremental(40, Content::Target(target(1, "desk"))), millis(0));

    catalog.merge(update(30, Scope::Snapshot, Vec::new()), millis(5));

    let entry = catalog.entry(target(1, "desk").incarnation).expect("still known");
    assert_eq!(entry.presence, Presence::Listed);
}

/// Guards against ignoring an entry that lapsed during an outage of the store and is written again
/// afterwards.
#[test]
fn an_entry_that_is_written_again_is_listed_again() {
    let mut catalog = Catalog::default();
    let it = target(1, "desk");
    catalog.merge(incremental(1, Content::Target(it.clone())), millis(0));
    catalog.merge(incremental(2, Content::Removed(it.name.clone())), millis(10));

    catalog.merge(incremental(3, Content::Target(it.clone())), millis(20));

    assert_eq!(catalog.entry(it.incarnation).expect("known").presence, Presence::Listed);
    assert_eq!(catalog.targets(&ServiceName::new("desk")).count(), 1);
}

/// Guards against memory that grows with every target that ever existed, and against forgetting a
/// removed target while its flows, which take up to a minute, continue.
#[test]
fn a_removed_target_is_forgotten_after_its_flows_have_ended() {
    let mut catalog = Catalog::default();
    let it = target(1, "desk");
    catalog.merge(incremental(1, Content::Target(it.clone())), millis(0));
    catalog.merge(incremental(2, Content::Removed(it.name.clone())), millis(0));

    catalog.merge(incremental(3, Content::Config(config(1))), millis(60_000));
    assert!(catalog.entry(it.incarnation).is_some());
    catalog.merge(incremental(4, Content::Config(config(2))), millis(91_000));

    assert!(catalog.entry(it.incarnation).is_none());
    assert_eq!(catalog.targets(&ServiceName::new("desk")).count(), 0);
}

#[test]
fn a_route_splits_new_flows_by_its_weights() {
    let mut split = super::fixtures::route(FEED, medlarspur_lib::bundle::Class::Feed, "desk");
    split.shares[0].weight = 90;
    split.shares.push(medlarspur_marked::Share { service: ServiceName::new("new"), weight: 10 });

    let desk = (0..100).filter(|draw| split.pick_service(*draw).as_str() == "desk").count();

    assert_eq!(desk, 90);
}

/// Guards against remembering the earlier of two removals of an unknown target that arrive out of
/// order. An entry from between them would then be listed.
#[test]
fn the_later_of_two_removals_wins() {
    let mut catalog = Catalog::default();
    let gone = target(1, "desk");
    catalog.merge(incremental(9, Content::Removed(gone.name.clone())), millis(0));
    catalog.merge(incremental(4, Content::Removed(gone.name.clone())), millis(0));

    catalog.merge(incremental(6, Content::Target(gone)), millis(1));

    assert_eq!(catalog.entries().count(), 0);
}

/// Guards against an incremental update for an instance that was away for minutes. The sender no
/// longer retains the removals of that time, so the instance would send flows to targets that are
/// gone.
#[test]
fn an_instance_that_was_away_for_long_gets_a_snapshot() {
    let (kept, gone) = (target(1, "desk"), target(2, "desk"));
    let mut source = Catalog::default();
    source.merge(incremental(1, Content::Target(kept.clone())), millis(0));
    source.merge(incremental(2, Content::Target(gone.clone())), millis(0));
    let mut away = Catalog::default();
    away.merge(source.update_since(Revision::new(0, 0), millis(0)), millis(0));
    source.merge(incremental(3, Content::Removed(gone.name.clone())), millis(10));
    source.merge(incremental(4, Content::Config(config(1))), millis(100_000));

    let update = source.update_since(away.revision(), millis(100_000));
    away.merge(update, millis(100_000));

    let entry = away.entry(gone.incarnation).expect("known for a while");
    assert_eq!(entry.presence, Presence::Removed(millis(100_000)));
    assert_eq!(away.revision(), source.revision());
}

/// Guards against missing a removal because an update between two received ones was lost.
#[test]
fn a_lost_update_is_detected() {
    let mut catalog = Catalog::default();
    catalog.merge(update(10, Scope::Snapshot, vec![]), millis(0));
    let later = update(14, Scope::Incremental(Revision::new(0, 12)), vec![]);

    assert!(catalog.has_gap_before(&later));
    catalog.merge(later, millis(1));

    assert_eq!(catalog.revision(), Revision::new(0, 10));
}

/// Guards against a target that stays listed forever because it was removed before the reader's
/// full read.
#[test]
fn a_reader_after_a_full_read_does_not_hide_earlier_removals() {
    let gone = target(1, "desk");
    let mut listener = Catalog::default();
    listener.merge(incremental(1, Content::Target(gone.clone())), millis(0));
    let mut reader = Catalog::default();
    let kept = change(2, Content::Target(target(2, "desk")));
    reader.merge(update(3, Scope::Snapshot, vec![kept]), millis(10));

    for _ in 0..2 {
        listener.merge(reader.update_since(listener.pull_base(), millis(20)), millis(20));
    }

    assert_eq!(listener.revision(), reader.revision());
    assert_eq!(
        listener.entry(gone.incarnation).expect("known").presence,
        Presence::Removed(millis(20))
    );
}
