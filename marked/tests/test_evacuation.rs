//! Failure domains that operators empty: nothing new goes there, what is open goes on.

use super::fixtures::{
    FEED, Instance, REQUEST, change, config, flow, incremental, middle, millis, segment, snapshot,
    target, update,
};
use medlarspur_lib::{
    ids::{DomainName, ServiceName},
    status::TargetUse,
};
use medlarspur_load::warmup::Seat;
use medlarspur_marked::{
    Content, FlowKey, Incarnation, Kind, Note, ProbeResult, Refusal, Scope, Service, Target,
    Update, Warmup,
};
use proptest::prelude::*;

fn south() -> DomainName {
    DomainName::new("south")
}

/// A target of the domain that is emptied.
fn southern(number: u64) -> Target {
    Target { domain: south(), ..target(number, "desk") }
}

fn evacuated(revision: u64) -> Update {
    incremental(revision, Content::Evacuated(south()))
}

fn restored(revision: u64) -> Update {
    incremental(revision, Content::EvacuationEnded(south()))
}

/// One target in the north, one in the south.
fn two() -> (Instance, Incarnation, Incarnation) {
    let (north, south) = (target(1, "desk"), southern(2));
    let instance = Instance::new(&[north.clone(), south.clone()]);
    (instance, north.incarnation, south.incarnation)
}

/// Opens requests at one moment until one goes to `at`.
fn open_at(instance: &mut Instance, at: Incarnation, now: u64) -> FlowKey {
    let mut keys = (100..200).map(|number| flow(number, REQUEST));
    keys.find(|key| instance.open(*key, now) == at).expect("one goes there")
}

fn usage(instance: &Instance, at: Incarnation, now: u64) -> TargetUse {
    instance.usage(flow(9_999, FEED), at, now)
}

/// Operators empty a failure domain before its power is worked on. A flow that is
/// opened there afterwards breaks when the power goes.
#[test]
fn no_flow_is_opened_in_an_evacuated_domain() {
    let (mut instance, _, south) = two();

    instance.learn(evacuated(101), 10);

    for number in 0..40 {
        assert_ne!(instance.open(flow(number, REQUEST), 20), south);
    }
    assert_eq!(usage(&instance, south, 30), TargetUse::Evacuated);
    let told = |note: &Note| matches!(note, Note::Evacuated { targets: 1, .. });
    assert_eq!(instance.out.notes.iter().filter(|it| told(it)).count(), 1);
}

/// Emptying a domain breaks no flow: callers of an open feed go on where they are.
#[test]
fn flows_in_an_evacuated_domain_go_on() {
    let (mut instance, _, south) = two();
    let key = open_at(&mut instance, south, 0);
    instance.packet(middle(key, south, 1001, 500, 0), 5);

    instance.learn(evacuated(101), 10);
    instance.packet(middle(key, south, 1001, 500, 100), 2_000);
    instance.tick(3_000);

    assert_eq!(instance.last_target(), south);
    assert!(instance.out.resets.is_empty());
}

/// The opening packet is lost on the way to the target, the domain is emptied, and the
/// caller sends the packet again. The copy would open the flow there after all.
#[test]
fn the_copy_of_an_unanswered_opening_leaves_an_evacuated_domain() {
    let (mut instance, north, south) = two();
    let key = open_at(&mut instance, south, 0);

    instance.learn(evacuated(101), 10);
    instance.packet(segment(key, Kind::Open), 200);

    assert_eq!(instance.last_target(), north);
}

/// The same, but the target has answered: the copy was late. A second target would answer
/// it too, and the caller would be left with the numbers of one and the mark of the other.
#[test]
fn the_copy_of_an_answered_opening_stays() {
    let (mut instance, _, south) = two();
    let key = open_at(&mut instance, south, 0);
    instance.packet(middle(key, south, 1001, 500, 0), 5);

    instance.learn(evacuated(101), 10);
    instance.packet(segment(key, Kind::Open), 200);

    assert_eq!(instance.last_target(), south);
}

/// An opening is unanswered for longer than usual, and this instance sends it once more by
/// itself.
#[test]
fn an_opening_that_is_sent_again_leaves_an_evacuated_domain() {
    let (mut instance, north, south) = two();
    open_at(&mut instance, south, 0);

    instance.learn(evacuated(101), 10);
    let due = instance.forwarder.deadline().expect("an opening is looked at");
    instance.out.sent.clear();
    instance.tick(due.0);

    assert!(!instance.out.sent.is_empty());
    assert!(instance.out.sent.iter().all(|(to, ..)| *to == north));
}

/// A target dies while a domain is evacuated, and what was being opened there moves.
#[test]
fn moved_openings_pass_an_evacuated_domain_over() {
    let (one, other, empty) = (target(1, "desk"), target(3, "desk"), southern(2));
    let mut instance = Instance::new(&[one.clone(), other.clone(), empty.clone()]);
    instance.learn(evacuated(101), 10);
    for number in 0..20 {
        instance.open(flow(number, REQUEST), 20);
    }
    instance.out.sent.clear();

    instance.forwarder.answer(one.incarnation, ProbeResult::Gone, millis(40), &mut instance.out);

    assert!(!instance.out.sent.is_empty());
    assert!(instance.out.sent.iter().all(|(to, ..)| *to == other.incarnation));
}

/// A full target has a place again when one of its flows ends. In an evacuated domain the
/// place stays empty, and nobody asks whether there is one.
#[test]
fn a_place_that_comes_free_in_an_evacuated_domain_stays_empty() {
    let (mut instance, north, south) = two();
    instance.record_answers(FEED, 20, 40);
    let feed = (100..200).map(|number| flow(number, FEED));
    let feed = feed.into_iter().find(|key| instance.establish(*key, 50) == south).expect("one");
    open_at(&mut instance, south, 1_000);
    instance.tick(1_030);
    instance.packet(middle(feed, south, 1001, 500, 100), 1_040);
    instance.packet(middle(feed, south, 1101, 700, 0), 1_090);
    instance.forwarder.answer(south, ProbeResult::Silent, millis(1_330), &mut instance.out);
    assert_eq!(usage(&instance, south, 1_340), TargetUse::Full);

    instance.learn(evacuated(101), 1_400);
    instance.out.probed.clear();
    let mut end = middle(feed, south, 1101, 700, 0);
    end.kind = Kind::Abort;
    instance.packet(end, 1_500);
    for now in (1_500..9_000).step_by(100) {
        instance.tick(now);
    }

    assert_eq!(instance.open(flow(300, FEED), 9_000), north);
    assert!(!instance.out.probed.contains(&south));
}

/// A target starts in a domain that is being emptied. Its entry is the newest there is.
#[test]
fn a_target_that_starts_in_an_evacuated_domain_gets_nothing() {
    let (mut instance, north, _) = two();
    instance.learn(evacuated(101), 10);

    instance.learn(incremental(102, Content::Target(southern(5))), 20);

    for number in 0..40 {
        assert_eq!(instance.open(flow(number, REQUEST), 30), north);
    }
}

/// All domains with targets of the service are emptied. Callers hear so at once, which is
/// true: nothing was sent anywhere.
#[test]
fn callers_are_refused_at_once_where_all_domains_are_evacuated() {
    let mut instance = Instance::new(&[southern(2)]);
    instance.learn(evacuated(101), 10);

    instance.packet(segment(flow(1, REQUEST), Kind::Open), 20);

    assert_eq!(instance.out.resets, [(flow(1, REQUEST), 0, Refusal::Evacuated)]);
    assert!(instance.out.sent.is_empty());
}

#[test]
fn a_restored_domain_is_used_again() {
    let (mut instance, _, south) = two();
    instance.learn(evacuated(101), 10);

    instance.learn(restored(102), 20);

    open_at(&mut instance, south, 30);
    assert_eq!(usage(&instance, south, 30), TargetUse::Good);
}

/// News comes late and out of order: an instance hears that an evacuation ended, and then
/// of its beginning.
#[test]
fn older_news_does_not_undo_what_operators_said_last() {
    let (mut instance, north, south) = two();
    instance.learn(restored(105), 10);
    instance.learn(evacuated(103), 20);
    open_at(&mut instance, south, 30);

    instance.learn(evacuated(107), 40);
    instance.learn(restored(105), 50);

    for number in 300..320 {
        assert_eq!(instance.open(flow(number, REQUEST), 60), north);
    }
}

/// The store forgets its history while an evacuation ends, so no news tells of the end.
/// All is read again, and what is not there any more has ended.
#[test]
fn an_evacuation_that_ended_unheard_ends_with_the_next_whole_picture() {
    let (mut instance, _, south) = two();
    instance.learn(evacuated(101), 10);

    let picture = snapshot(&[target(1, "desk"), southern(2)]);
    instance.learn(Update { revision: medlarspur_marked::Revision::new(0, 150), ..picture }, 20);

    open_at(&mut instance, south, 30);
}

/// A picture that was read before the evacuation arrives after its news.
#[test]
fn an_older_picture_does_not_end_an_evacuation() {
    let (mut instance, north, _) = two();
    instance.learn(evacuated(120), 10);

    instance.learn(snapshot(&[target(1, "desk"), southern(2)]), 20);

    for number in 0..40 {
        assert_eq!(instance.open(flow(number, REQUEST), 30), north);
    }
}

/// All instances lose their power while a domain is evacuated. Who starts is told all by
/// somebody who knows, the evacuation included, and serves nobody before.
#[test]
fn a_picture_for_who_starts_has_the_evacuations() {
    let (mut instance, ..) = two();
    instance.learn(evacuated(101), 10);
    let told = instance.forwarder.catalog().update_since(Default::default(), millis(20));

    let mut fresh = Instance::new(&[]);
    fresh.learn(told, 0);

    assert!(fresh.forwarder.catalog().is_evacuated(&south()));
}

/// An instance that has just started hears one piece of news before it has a picture. It
/// names targets, and not that their domain is evacuated.
#[test]
fn single_news_is_no_picture_to_serve_by() {
    let mut catalog = medlarspur_marked::Catalog::default();
    let changes =
        vec![change(90, Content::Config(config(1))), change(91, Content::Target(southern(2)))];

    catalog.merge(
        update(91, Scope::Incremental(medlarspur_marked::Revision::new(0, 89)), changes),
        millis(0),
    );

    assert!(!catalog.is_usable());
}

/// A service says how many requests a second its targets bear after their start, from all
/// instances together. A domain that operators take back is full of such targets, and idle,
/// so it would get all that is opened.
fn warming(instance: &mut Instance) {
    let mut wanted = config(7);
    let warmup = Some(Warmup { span: millis(2_000), rate: 4 });
    wanted.services =
        vec![Service { name: ServiceName::new("desk"), health: "/health".into(), warmup }];
    instance.learn(incremental(101, Content::Config(wanted)), 0);
}

#[test]
fn a_restored_domain_is_left_alone_until_its_targets_are_warm() {
    let (mut instance, north, south) = two();
    warming(&mut instance);
    instance.learn(evacuated(102), 10);
    instance.learn(restored(103), 5_000);

    for number in 0..40 {
        assert_eq!(instance.open(flow(number, REQUEST), 6_900), north);
    }
    assert_eq!(usage(&instance, south, 6_900), TargetUse::Warming);

    open_at(&mut instance, south, 7_100);
}

/// A target that starts says for how long it is slow, which may be longer.
#[test]
fn a_target_that_starts_is_left_alone_until_it_is_warm() {
    let (mut instance, north, south) = two();
    warming(&mut instance);

    let slow = Target { cold: millis(3_000), ..southern(2) };
    instance.learn(incremental(102, Content::Target(slow)), 100);

    for number in 0..40 {
        assert_eq!(instance.open(flow(number, REQUEST), 3_000), north);
    }
    open_at(&mut instance, south, 3_200);
}

/// All targets of the service are slow after their start. Whatever this instance sent
/// there would come on top of what others send, so callers are refused at once.
#[test]
fn callers_are_refused_at_once_while_all_targets_are_warming() {
    let mut instance = Instance::new(&[]);
    warming(&mut instance);
    let slow = Target { cold: millis(2_000), ..southern(2) };
    instance.learn(incremental(102, Content::Target(slow)), 100);

    instance.packet(segment(flow(1, REQUEST), Kind::Open), 200);

    assert_eq!(instance.out.resets, [(flow(1, REQUEST), 0, Refusal::Warming)]);
}

/// Where operators don't bound it, a slow target gets less than others, and not nothing:
/// after a release of all targets nobody would be served.
#[test]
fn slow_targets_without_a_bound_are_used() {
    let slow = Target { cold: millis(2_000), ..southern(2) };
    let mut instance = Instance::new(std::slice::from_ref(&slow));

    assert_eq!(instance.open(flow(1, REQUEST), 100), slow.incarnation);
}

/// What operators said: revision, and whether the domain is evacuated.
fn said(count: usize) -> impl Strategy<Value = Vec<(u64, bool)>> {
    proptest::collection::vec(any::<bool>(), 1..count)
        .prop_map(|words| (200..).zip(words).collect())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever order news comes in, however often, the last word of the operators holds.
    #[test]
    fn the_last_word_holds_in_any_order(
        words in said(8), order in proptest::collection::vec(any::<prop::sample::Index>(), 0..24)
    ) {
        let (mut instance, ..) = two();
        let (last, is_evacuated) = *words.last().expect("one at least");
        let tell = |(revision, evacuates): (u64, bool)| {
            if evacuates { evacuated(revision) } else { restored(revision) }
        };
        for index in order {
            instance.learn(tell(*index.get(&words)), 10);
        }
        instance.learn(tell((last, is_evacuated)), 20);
        instance.learn(tell(words[0]), 30);

        prop_assert_eq!(instance.forwarder.catalog().is_evacuated(&south()), is_evacuated);
    }
}

/// An instance of the emptied domain and one target in each of two domains.
fn home() -> (Instance, Incarnation, Incarnation) {
    let targets = [southern(2), target(1, "desk")];
    let mut instance = Instance::in_domain("south", &targets);
    instance.learn(evacuated(101), 10);
    let [own, other] = targets.map(|it| it.incarnation);
    (instance, own, other)
}

/// The network between failure domains breaks while this one is evacuated: the store can't be
/// reached, and no target elsewhere answers. Callers of this domain reach nobody else, and
/// its targets are well.
fn cut_off() -> (Instance, Incarnation, Incarnation) {
    let (mut instance, own, other) = home();
    assert_eq!(instance.establish(flow(1, REQUEST), 1_000), other);
    instance.forwarder.set_cut_off(true);
    instance.tick(3_000);
    (instance, own, other)
}

#[test]
fn callers_of_an_evacuated_domain_that_is_cut_off_are_served_there() {
    let (mut instance, own, _) = cut_off();

    for number in 100..120 {
        assert_eq!(instance.open(flow(number, REQUEST), 3_010), own);
    }
    let told = |note: &Note| matches!(note, Note::Stranded { .. });
    assert_eq!(instance.out.notes.iter().filter(|it| told(it)).count(), 1);
}

/// The cut is over: somebody else answers, or the store does.
#[test]
fn an_evacuated_domain_is_left_alone_again_once_others_answer() {
    let (mut by_life, _, other) = cut_off();
    by_life.packet(middle(flow(1, REQUEST), other, 1001, 500, 100), 3_050);
    by_life.packet(middle(flow(1, REQUEST), other, 1101, 700, 0), 3_100);
    by_life.tick(3_100);
    let (mut by_store, ..) = cut_off();
    by_store.forwarder.set_cut_off(false);
    by_store.tick(3_100);

    assert_eq!(by_life.open(flow(200, REQUEST), 3_110), other);
    assert_eq!(by_store.open(flow(200, REQUEST), 3_110), other);
}

/// The store is down and all else is well. What operators said last holds.
#[test]
fn a_store_that_is_away_opens_no_evacuated_domain() {
    let (mut instance, _, other) = home();
    instance.establish(flow(1, REQUEST), 2_900);
    instance.forwarder.set_cut_off(true);
    instance.tick(3_000);

    assert_eq!(instance.open(flow(100, REQUEST), 3_010), other);
}

/// Nothing answers elsewhere, but the store does: operators can be heard, and have not taken
/// it back.
#[test]
fn silence_elsewhere_alone_opens_no_evacuated_domain() {
    let (mut instance, own, _) = home();
    instance.establish(flow(1, REQUEST), 1_000);
    instance.tick(3_000);

    assert_ne!(instance.open(flow(100, REQUEST), 3_010), own);
}

/// All domains are evacuated and the store is away. No silence shows that this instance is cut
/// off from anybody.
#[test]
fn a_domain_stays_evacuated_where_all_are() {
    let mut instance = Instance::in_domain("south", &[southern(2)]);
    instance.learn(evacuated(101), 10);
    instance.forwarder.set_cut_off(true);
    instance.tick(3_000);

    instance.packet(segment(flow(1, REQUEST), Kind::Open), 3_010);

    assert_eq!(instance.out.resets, [(flow(1, REQUEST), 0, Refusal::Evacuated)]);
}

/// Callers whose openings went to targets that can't be reached still wait. What they wait
/// for comes over, before they give up.
#[test]
fn openings_that_nobody_answers_come_over_when_a_domain_is_cut_off() {
    let (mut instance, own, other) = home();
    instance.establish(flow(1, REQUEST), 1_000);
    assert_eq!(instance.open(flow(50, REQUEST), 2_900), other);
    instance.out.sent.clear();

    instance.forwarder.set_cut_off(true);
    instance.tick(3_000);

    assert_eq!(instance.out.sent.len(), 1);
    assert_eq!(instance.last_target(), own);
}

/// All targets of the service are slow after their start, and this instance owns them. Each
/// gets what its owner may open, and no more.
#[test]
fn an_owner_opens_flows_at_slow_targets_one_after_the_other() {
    let mut instance = Instance::in_domain("south", &[]);
    warming(&mut instance);
    let slow = Target { cold: millis(5_000), ..southern(2) };
    instance.learn(incremental(102, Content::Target(slow.clone())), 0);
    instance.forwarder.set_seat(Some(Seat { position: 0, count: 1 }));

    for (number, now) in (0..).zip((100..3_100).step_by(100)) {
        instance.packet(segment(flow(number, REQUEST), Kind::Open), now);
        let at = slow.incarnation;
        instance.packet(middle(flow(number, REQUEST), at, 1001, 500, 0), now + 5);
    }

    assert_eq!(instance.forwarder.counts().opened, 6, "two a second: half of what it bears");
    assert!(instance.out.resets.iter().all(|(.., why)| *why == Refusal::Warming));
}

/// Whoever owns a target is in its domain: with the domain cut off, others may take
/// themselves for its owner too.
#[test]
fn slow_targets_of_other_domains_have_other_owners() {
    let mut instance = Instance::new(&[]);
    warming(&mut instance);
    let slow = Target { cold: millis(5_000), ..southern(2) };
    instance.learn(incremental(102, Content::Target(slow)), 0);
    instance.forwarder.set_seat(Some(Seat { position: 0, count: 1 }));

    instance.packet(segment(flow(1, REQUEST), Kind::Open), 100);

    assert_eq!(instance.out.resets, [(flow(1, REQUEST), 0, Refusal::Warming)]);
}
